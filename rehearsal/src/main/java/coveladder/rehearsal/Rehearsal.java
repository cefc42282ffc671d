package coveladder.rehearsal;

import coveladder.standin.CallPlan;
import coveladder.standin.StandinCallers.Fate;
import java.util.List;

/** Plays a day on a world and has it judged. */
public final class Rehearsal {
  private static final double SETTLE = 45_000;
  private static final double SLACK = 60;

  private Rehearsal() {}

  /**
   * What came of a day.
   *
   * @param verdict the checker's verdict
   * @param calls calls that were to be made
   * @param fates what became of each
   * @param messages messages on the wire
   * @param circuitsHeld circuits still busy when all was over
   * @param plan the fleet
   */
  public record Result(
      Verdict verdict,
      int calls,
      List<Fate> fates,
      long messages,
      int circuitsHeld,
      FleetPlan plan) {

    /** Whether all rules hold and every call came to its end. */
    public boolean clean() {
      return verdict.breaches() == 0 && fates.size() == calls;
    }
  }

  /** Plays a day to its end. */
  public static Result play(World world, Day day, long seed, Tampering tampering) {
    Fleet fleet = new Fleet(world, day.plan(), seed, tampering);
    List<CallPlan> calls = day.load().apply(seed).until(day.lasts());
    fleet.calls(calls);
    day.script().accept(world, fleet);
    world.run(day.lasts() + SETTLE, () -> world.now() > day.lasts() && fleet.callers().done());
    world.run(world.now() + 2_000, () -> false);
    List<Tap.Entry> entries = world.tap().entries();
    Checker.Figures figures =
        new Checker.Figures(FleetPlan.GUARD, FleetPlan.GRACE, SLACK, day.plan().timing().life());
    Verdict verdict = new Checker(figures, fleet.controllerNames()).judge(entries);
    return new Result(
        verdict,
        calls.size(),
        fleet.fates(),
        entries.stream().filter(e -> e.kind() == Tap.Kind.SENT).count(),
        fleet.trunks().busy(),
        day.plan());
  }
}
