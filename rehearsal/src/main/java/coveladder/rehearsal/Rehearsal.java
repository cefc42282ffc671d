package coveladder.rehearsal;

import coveladder.standin.PlannedCall;
import coveladder.standin.StandinCallers.CallResult;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Plays a day on a world and has it judged. */
public final class Rehearsal {
  private static final double SETTLE_MILLIS = 45_000;
  private static final double ANSWER_SLACK_MILLIS = 60;
  private static final double RECOVERY_MILLIS = 500;
  private static final double RECOVERY_RELEASE_MILLIS = 70_000;

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
  public static Result play(Network network, Scenario scenario, long seed, FaultInjection faults) {
    return play(network, scenario, seed, faults, null);
  }

  /** Has judged what crossed the wire of a fleet. */
  public static RuleReport checkRules(List<MessageRecorder.Entry> entries, FleetConfig config) {
    double attemptTimeout = config.timing().transactionTimeout();
    Checker.Limits limits =
        new Checker.Limits(
            FleetConfig.GUARD_TIME_MILLIS,
            FleetConfig.DRAIN_GRACE_MILLIS,
            ANSWER_SLACK_MILLIS,
            attemptTimeout,
            RECOVERY_MILLIS);
    Set<String> controllers = new TreeSet<>();
    for (int i = 0; i < config.exchangeCount(); i++) {
      controllers.add(Fleet.controllerName(i));
    }
    return new Checker(limits, controllers).check(entries);
  }

  /** Plays a day in virtual time whose controllers keep their calls and are killed. */
  public static Result playWithRestarts(
      SimulatedNetwork network, Scenario scenario, long seed, ControllerRestarts restarts) {
    return play(network, scenario, seed, FaultInjection.NONE, restarts);
  }

  /** The same with something in between, such as a mutation. */
  static Result play(
      Network network,
      Scenario scenario,
      long seed,
      FaultInjection faults,
      ControllerRestarts restarts) {
    Fleet fleet = new Fleet(network, scenario.fleetConfig(), seed, faults, restarts);
    List<PlannedCall> calls = scenario.load().apply(seed).generateUntil(scenario.durationMillis());
    fleet.setPlannedCalls(calls);
    scenario.script().accept(network, fleet);
    network.runUntil(
        scenario.durationMillis() + SETTLE_MILLIS,
        () -> network.now() > scenario.durationMillis() && fleet.callers().isDone());
    network.runUntil(
        network.now() + (restarts == null ? 2_000 : RECOVERY_RELEASE_MILLIS), () -> false);
    List<MessageRecorder.Entry> entries = network.recorder().entries();
    RuleReport report = checkRules(entries, scenario.fleetConfig());
    return new Result(
        report,
        calls.size(),
        fleet.callResults(),
        entries.stream().filter(e -> e.kind() == MessageRecorder.Kind.SENT).count(),
        fleet.trunks().busyCircuits(),
        scenario.fleetConfig(),
        restarts);
  }
}
