package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.sip.Timing;
import coveladder.standin.Processor;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration of a rehearsed fleet and of its controllers.
 *
 * @param exchangeCount number of exchanges
 * @param circuitsPerGroup number of circuits of each circuit group
 * @param callsPerSecond calls per second that arrive at each exchange outside surges
 * @param callClasses the call classes
 * @param processorModel parameters of each processor
 * @param directoryDelayMillis mean delay with which the exchange directory reports changes, ms
 * @param answerDelayMillis time after which a called line answers, ms
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

  /** Minimum time between an uncertain end of an attempt and the call's next attempt, ms. */
  public static final double GUARD_TIME_MILLIS = 300;

  /** Time after the notice of a drain within which set-ups may still be sent, ms. */
  public static final double DRAIN_GRACE_MILLIS = 250;

  /** Time reserved for a final answer to reach the caller, ms. */
  public static final double ANSWER_MARGIN_MILLIS = 30;

  /**
   * A call class and the behaviour of its callers.
   *
   * @param name its name in reports
   * @param priority its Resource-Priority value
   * @param trafficShare its share of all calls
   * @param worth value of a call that is established within {@code aimMillis}
   * @param lateWorth share of {@code worth} that a call established later earns, 0 to 1
   * @param aimMillis target set-up time, ms
   * @param patienceMillis time until a caller abandons an unanswered call, ms; whole seconds
   * @param callerTimeoutMillis time over which a caller keeps trying, ms
   * @param width circuits seized on each circuit group
   * @param holdMillis mean holding time of a call, ms
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

  /** The call classes of all rehearsals; the values are in the order of the record's components. */
  public static final List<CallClassConfig> CALL_CLASSES =
      List.of(
          new CallClassConfig("score-check", "cove.0", 0.82, 1, 0.2, 1200, 3000, 9000, 1, 8000),
          new CallClassConfig("match-centre", "cove.1", 0.11, 4, 0.2, 2500, 3000, 9000, 3, 12000),
          new CallClassConfig("lineup-save", "cove.2", 0.07, 8, 0.2, 1000, 2000, 6000, 1, 6000));

  /** A fleet of eight exchanges, small enough for a laptop. */
  public static FleetConfig eightExchanges() {
    return new FleetConfig(
        /* exchangeCount= */ 8,
        /* circuitsPerGroup= */ 26,
        /* callsPerSecond= */ 7,
        CALL_CLASSES,
        new Processor.Model(
            /* setupMillis= */ 12,
            /* answerMillis= */ 4,
            /* releaseMillis= */ 4,
            /* otherMillis= */ 1,
            /* rejectionMillis= */ 3,
            /* maxWaitMillis= */ 1500,
            /* coldShare= */ 0.3,
            /* rampMillis= */ 12000,
            /* coldMultiple= */ 3,
            /* coldWindowMillis= */ 3000),
        /* directoryDelayMillis= */ 900,
        /* answerDelayMillis= */ 40,
        Timing.STANDARD);
  }

  /** The same with another number of exchanges and another call rate per exchange. */
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

  /** The call classes in the form that the policy takes. */
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

  /** The policy settings of one controller. */
  CallPolicy.Settings policySettings(int localExchange) {
    return new CallPolicy.Settings(
        Layout.MESH,
        localExchange,
        exchangeCount,
        policyClasses(),
        /* clockResolution= */ 5,
        /* maxAttempts= */ 6,
        /* mayCancel= */ true,
        /* mayProbe= */ false,
        /* mayBroadcast= */ false,
        /* maxRetryAfter= */ 2000,
        /* directoryOnRequest= */ false,
        GUARD_TIME_MILLIS,
        timing.t1(),
        processorModel.coldShare(),
        processorModel.rampMillis(),
        processorModel.coldMultiple(),
        processorModel.coldWindowMillis());
  }
}
