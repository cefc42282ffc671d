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
   * @param ruleReport the checker's verdict
   * @param plannedCallCount calls that were to be made
   * @param callResults what became of each
   * @param messageCount messages on the wire
   * @param busyCircuits circuits still busy when all was over
   * @param fleetConfig the fleet
   * @param restarts kills, and what became of calls that stood; null where nothing was killed
   */
  public record Result(
      RuleReport ruleReport,
      int plannedCallCount,
      List<CallResult> callResults,
      long messageCount,
      int busyCircuits,
      FleetConfig fleetConfig,
      ControllerRestarts restarts) {

    /** Whether all rules hold and every call came to its end. */
    public boolean isClean() {
      boolean settled = restarts == null || restarts.diskFailed() || busyCircuits == 0;
      return ruleReport.breachCount() == 0 && callResults.size() == plannedCallCount && settled;
    }
  }

  /** Plays a day to its end. */
  public static Result play(Network world, Scenario day, long seed, FaultInjection tampering) {
    return play(world, day, seed, tampering, null);
  }

  /** Has judged what crossed the wire of a fleet. */
  public static RuleReport checkRules(List<MessageRecorder.Entry> entries, FleetConfig plan) {
    double life = plan.timing().transactionTimeout();
    Checker.Figures figures =
        new Checker.Figures(
            FleetConfig.GUARD_TIME_MILLIS, FleetConfig.DRAIN_GRACE_MILLIS, SLACK, life, RESUMES);
    Set<String> controllers = new TreeSet<>();
    for (int i = 0; i < plan.exchangeCount(); i++) {
      controllers.add(Fleet.controllerName(i));
    }
    return new Checker(figures, controllers).check(entries);
  }

  /** Plays a day in virtual time whose controllers keep their calls and are killed. */
  public static Result playWithRestarts(
      SimulatedNetwork world, Scenario day, long seed, ControllerRestarts lives) {
    return play(world, day, seed, FaultInjection.NONE, lives);
  }

  /** The same with something in between, such as a mutation. */
  static Result play(
      Network world, Scenario day, long seed, FaultInjection tampering, ControllerRestarts lives) {
    Fleet fleet = new Fleet(world, day.fleetConfig(), seed, tampering, lives);
    List<PlannedCall> calls = day.load().apply(seed).generateUntil(day.durationMillis());
    fleet.setPlannedCalls(calls);
    day.script().accept(world, fleet);
    world.runUntil(
        day.durationMillis() + SETTLE,
        () -> world.now() > day.durationMillis() && fleet.callers().isDone());
    world.runUntil(world.now() + (lives == null ? 2_000 : LET_GO), () -> false);
    List<MessageRecorder.Entry> entries = world.recorder().entries();
    RuleReport verdict = checkRules(entries, day.fleetConfig());
    return new Result(
        verdict,
        calls.size(),
        fleet.callResults(),
        entries.stream().filter(e -> e.kind() == MessageRecorder.Kind.SENT).count(),
        fleet.trunks().busyCircuits(),
        day.fleetConfig(),
        lives);
  }
}
