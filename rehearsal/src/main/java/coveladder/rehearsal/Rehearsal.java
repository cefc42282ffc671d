package coveladder.rehearsal;

import coveladder.standin.PlannedCall;
import coveladder.standin.StandinCallers.CallResult;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Plays a day on a world and has it judged. */
public final class Rehearsal {
  private static final double SETTLE = 45_000;
  private static final double SLACK = 60;
  private static final double RESUMES = 500;
  private static final double LET_GO = 70_000;

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
   * @param lives kills, and what became of calls that stood; null where nothing was killed
   */
  public record Result(
      Verdict verdict,
      int calls,
      List<CallResult> fates,
      long messages,
      int circuitsHeld,
      FleetPlan plan,
      Lives lives) {

    /** Whether all rules hold and every call came to its end. */
    public boolean clean() {
      boolean settled = lives == null || lives.diskFailed() || circuitsHeld == 0;
      return verdict.breaches() == 0 && fates.size() == calls && settled;
    }
  }

  /** Plays a day to its end. */
  public static Result play(World world, Day day, long seed, Tampering tampering) {
    return play(world, day, seed, tampering, null);
  }

  /** Has judged what crossed the wire of a fleet. */
  public static Verdict judge(List<Tap.Entry> entries, FleetPlan plan) {
    double life = plan.timing().transactionTimeout();
    Checker.Figures figures =
        new Checker.Figures(FleetPlan.GUARD, FleetPlan.GRACE, SLACK, life, RESUMES);
    Set<String> controllers = new TreeSet<>();
    for (int i = 0; i < plan.exchanges(); i++) {
      controllers.add(Fleet.controllerName(i));
    }
    return new Checker(figures, controllers).judge(entries);
  }

  /** Plays a day in virtual time whose controllers keep their calls and are killed. */
  public static Result playLives(SimWorld world, Day day, long seed, Lives lives) {
    return play(world, day, seed, Tampering.NONE, lives);
  }

  /** The same with something in between, such as a mutation. */
  static Result play(World world, Day day, long seed, Tampering tampering, Lives lives) {
    Fleet fleet = new Fleet(world, day.plan(), seed, tampering, lives);
    List<PlannedCall> calls = day.load().apply(seed).until(day.lasts());
    fleet.calls(calls);
    day.script().accept(world, fleet);
    world.run(day.lasts() + SETTLE, () -> world.now() > day.lasts() && fleet.callers().isDone());
    world.run(world.now() + (lives == null ? 2_000 : LET_GO), () -> false);
    List<Tap.Entry> entries = world.tap().entries();
    Verdict verdict = judge(entries, day.plan());
    return new Result(
        verdict,
        calls.size(),
        fleet.fates(),
        entries.stream().filter(e -> e.kind() == Tap.Kind.SENT).count(),
        fleet.trunks().busyCircuits(),
        day.plan(),
        lives);
  }
}
