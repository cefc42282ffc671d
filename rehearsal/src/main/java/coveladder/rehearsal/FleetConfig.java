package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.sip.Timing;
import coveladder.standin.Processor;
import java.util.ArrayList;
import java.util.List;

/**
 * A fleet to rehearse with: sizes, classes, processors, and the figures that controllers are told.
 *
 * @param exchangeCount how many exchanges
 * @param circuitsPerGroup circuits of each group
 * @param callsPerSecond calls a second at each exchange on a plain minute
 * @param callClasses the classes
 * @param processorModel figures of each processor
 * @param directoryDelayMillis how late the exchange list tells changes, ms
 * @param answerDelayMillis time until a called line answers, ms
 * @param timing SIP timers
 */
public record FleetConfig(
    int exchangeCount,
    int circuitsPerGroup,
    double callsPerSecond,
    List<CallClassConfig> callClasses,
    Processor.Model processorModel,
    double directoryDelayMillis,
    double answerDelayMillis,
    Timing timing) {

  /** Wait after an unsure end of an attempt, ms. */
  public static final double GUARD_TIME_MILLIS = 300;

  /** Time to cease sending after word of a drain, ms. */
  public static final double DRAIN_GRACE_MILLIS = 250;

  /** Time kept for a final answer on its way to the caller, ms. */
  public static final double ANSWER_MARGIN_MILLIS = 30;

  /**
   * One class.
   *
   * @param name its name in reports
   * @param priority its Resource-Priority value
   * @param trafficShare its share of all calls
   * @param worth worth of a call that stands in time
   * @param lateWorth share of it that a late one earns
   * @param aimMillis wanted time to stand, ms
   * @param patienceMillis patience of one try, whole seconds in ms
   * @param callerTimeoutMillis how long a caller keeps trying, ms
   * @param width circuits that it takes
   * @param holdMillis mean time that it lasts, ms
   */
  public record CallClassConfig(
      String name,
      String priority,
      double trafficShare,
      double worth,
      double lateWorth,
      double aimMillis,
      double patienceMillis,
      double callerTimeoutMillis,
      int width,
      double holdMillis) {}

  /** The classes of the embedded kit. */
  public static final List<CallClassConfig> CALL_CLASSES =
      List.of(
          new CallClassConfig("score-check", "cove.0", 0.82, 1, 0.2, 1200, 3000, 9000, 1, 8000),
          new CallClassConfig("match-centre", "cove.1", 0.11, 4, 0.2, 2500, 3000, 9000, 3, 12000),
          new CallClassConfig("lineup-save", "cove.2", 0.07, 8, 0.2, 1000, 2000, 6000, 1, 6000));

  /** A fleet of eight exchanges, small enough for a laptop. */
  public static FleetConfig eightExchanges() {
    return new FleetConfig(
        8,
        26,
        7,
        CALL_CLASSES,
        new Processor.Model(12, 4, 4, 1, 3, 1500, 0.3, 12000, 3, 3000),
        900,
        40,
        Timing.STANDARD);
  }

  /** The same with another number of exchanges and rate. */
  public FleetConfig withSize(int newExchangeCount, double newCallsPerSecond) {
    return new FleetConfig(
        newExchangeCount,
        circuitsPerGroup,
        newCallsPerSecond,
        callClasses,
        processorModel,
        directoryDelayMillis,
        answerDelayMillis,
        timing);
  }

  /** The classes as the policy wants them. */
  List<CallClass> policyClasses() {
    List<CallClass> classes = new ArrayList<>();
    for (CallClassConfig callClass : callClasses) {
      classes.add(
          new CallClass(
              callClass.worth(),
              callClass.lateWorth(),
              callClass.aimMillis(),
              callClass.callerTimeoutMillis(),
              callClass.width(),
              callClass.holdMillis(),
              List.of()));
    }
    return classes;
  }

  /** What the policy of one controller is told. */
  CallPolicy.Settings policySettings(int localExchange) {
    return new CallPolicy.Settings(
        Layout.MESH,
        localExchange,
        exchangeCount,
        policyClasses(),
        5,
        6,
        true,
        false,
        false,
        2000,
        false,
        GUARD_TIME_MILLIS,
        timing.t1(),
        processorModel.coldShare(),
        processorModel.rampMillis(),
        processorModel.coldMultiple(),
        processorModel.coldWindowMillis());
  }
}
