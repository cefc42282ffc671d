package coveladder.rehearsal;

import coveladder.standin.PlannedCall;
import coveladder.standin.StandinCallers.CallResult;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Plays a scenario on a network and checks the rules. */
public final class Rehearsal {
  /** Maximum time for the calls to end after the period in which they are made. */
  private static final double MAX_SETTLE_MILLIS = 45_000;

  /** Tolerated delay of a final answer after the end of the caller's patience. */
  private static final double ANSWER_SLACK_MILLIS = 60;

  /** Time within which a restarted controller answers callers from before the restart. */
  private static final double RECOVERY_MILLIS = 500;

  /** Time for restarted controllers to release calls whose other end no longer exists. */
  private static final double RECOVERY_RELEASE_MILLIS = 70_000;

  private Rehearsal() {}

  /**
   * The result of a scenario.
   *
   * @param ruleReport what the checker found
   * @param plannedCallCount number of calls that were planned
   * @param callResults the result of each call that is over
   * @param messageCount number of messages that were sent
   * @param busyCircuits number of circuits still busy at the end
   * @param fleetConfig the configuration of the fleet
   * @param restarts kills of controllers and the calls established at that time; null if the
   *     scenario has no kills
   */
  public record Result(
      RuleReport ruleReport,
      int plannedCallCount,
      List<CallResult> callResults,
      long messageCount,
      int busyCircuits,
      FleetConfig fleetConfig,
      ControllerRestarts restarts) {

    /**
     * Whether all rules hold and every call ended. With kills, all circuits must be free as well,
     * unless a disk failed.
     */
    public boolean isClean() {
      boolean settled = restarts == null || restarts.diskFailed() || busyCircuits == 0;
      return ruleReport.breachCount() == 0 && callResults.size() == plannedCallCount && settled;
    }
  }

  /** Plays a scenario to its end. */
  public static Result play(Network network, Scenario scenario, long seed, FaultInjection faults) {
    return play(network, scenario, seed, faults, null);
  }

  /** Checks the rules against the recorded messages of a fleet. */
  public static RuleReport checkRules(List<MessageRecorder.Entry> entries, FleetConfig config) {
    double attemptTimeoutMillis = config.timing().transactionTimeout();
    Checker.Limits limits =
        new Checker.Limits(
            FleetConfig.GUARD_TIME_MILLIS,
            FleetConfig.DRAIN_GRACE_MILLIS,
            ANSWER_SLACK_MILLIS,
            attemptTimeoutMillis,
            RECOVERY_MILLIS);
    Set<String> controllers = new TreeSet<>();
    for (int i = 0; i < config.exchangeCount(); i++) {
      controllers.add(Fleet.controllerName(i));
    }
    return new Checker(limits, controllers).check(entries);
  }

  /** Plays a scenario in virtual time whose controllers persist their calls and are killed. */
  public static Result playWithRestarts(
      SimulatedNetwork network, Scenario scenario, long seed, ControllerRestarts restarts) {
    return play(network, scenario, seed, FaultInjection.NONE, restarts);
  }

  /** Plays a scenario with injected faults, such as a mutation, and with kills if not null. */
  static Result play(
      Network network,
      Scenario scenario,
      long seed,
      FaultInjection faults,
      ControllerRestarts restarts) {
    Fleet fleet = new Fleet(network, scenario.fleetConfig(), seed, faults, restarts);
    List<PlannedCall> plannedCalls =
        scenario.loadFactory().apply(seed).generateUntil(scenario.durationMillis());
    fleet.setPlannedCalls(plannedCalls);
    scenario.script().accept(network, fleet);
    network.runUntil(
        scenario.durationMillis() + MAX_SETTLE_MILLIS,
        () -> network.now() > scenario.durationMillis() && fleet.callers().isDone());
    network.runUntil(
        network.now() + (restarts == null ? 2_000 : RECOVERY_RELEASE_MILLIS), () -> false);
    List<MessageRecorder.Entry> entries = network.recorder().entries();
    RuleReport report = checkRules(entries, scenario.fleetConfig());
    return new Result(
        report,
        plannedCalls.size(),
        fleet.callResults(),
        entries.stream().filter(entry -> entry.kind() == MessageRecorder.Kind.SENT).count(),
        fleet.trunks().busyCircuits(),
        scenario.fleetConfig(),
        restarts);
  }
}
