package coveladder;

import java.util.List;

/**
 * The routing policy of a call controller: the events that it receives and the actions that it may
 * request.
 *
 * <p>The controller calls one method for each event and passes the clock at that moment. The policy
 * responds through the {@link Actions} given to it at construction, before the method returns. A
 * policy is single-threaded, reads no clock and does no input or output of its own. All times,
 * durations and clock values are in milliseconds.
 */
public interface CallPolicy {

  /** Called once, before any other event, when the controller starts. */
  void onStart(double now);

  /** The exchange directory changed, or could not be fetched. */
  void onDirectoryUpdate(double now, DirectoryUpdate update);

  /** A call arrived at this controller, which must give it exactly one final answer. */
  void onCall(double now, Call call);

  /** An attempt was answered: the call is established. */
  void onEstablished(double now, Established established);

  /** An attempt ended; called exactly once for each attempt. */
  void onAttemptEnded(double now, AttemptEnded ended);

  /** The caller abandoned the call, or its patience ran out: no final answer is due any more. */
  void onCallerAbandoned(double now, String call);

  /** A load report arrived, as the reply to a probe or unsolicited. */
  void onLoadReport(double now, LoadReport report);

  /** A timer started through {@link Actions#startTimer} expired. */
  void onTimer(double now, long label);

  /**
   * A message from another controller arrived.
   *
   * @param from number of the controller that sent it
   */
  void onPeerMessage(double now, int from, byte[] payload);

  /** The actions that a policy may request from its controller. */
  interface Actions {

    /** Sends a set-up to an exchange; the attempt times out after {@code timeoutMillis}. */
    void send(String call, String exchange, double timeoutMillis);

    /** Cancels an outstanding attempt. */
    void cancel(String call, int attempt);

    /**
     * Gives the final answer "refused".
     *
     * @param retryAfterMillis time that the caller is asked to wait before it retries; 0: no
     *     request
     */
    void refuse(String call, double retryAfterMillis);

    /** Gives the final answer "failed". */
    void fail(String call);

    /** Starts a timer that calls {@link CallPolicy#onTimer} with this label when it expires. */
    void startTimer(double delayMillis, long label);

    /**
     * Cancels a timer that is no longer needed; no effect if none with this label is pending. An
     * implementation that cannot cancel may let it expire, which the policy ignores.
     */
    default void cancelTimer(long label) {}

    /** Requests a load report from an exchange, if {@link Settings#mayProbe} permits it. */
    void probe(String exchange);

    /** Sends a message to all other controllers, if {@link Settings#mayBroadcast} permits it. */
    void broadcast(byte[] payload);

    /** Subscribes to changes of the exchange directory. */
    void subscribeToDirectory();
  }

  /** The network topology: circuit groups between exchanges, or pools of agents. */
  enum Layout {
    /** Every exchange has circuit groups to others, and calls may pass through a tandem. */
    MESH,
    /** All controllers share pools of agents; no call is in transit. */
    POOLS
  }

  /** The state of an exchange according to the directory. */
  enum ExchangeState {
    /** Accepts calls. */
    IN_SERVICE,
    /** Completes its present calls; no new set-up may be sent to it. */
    DRAINING,
    /** Withdrawn from service. */
    GONE
  }

  /** How an attempt ended. */
  enum Outcome {
    /** The call was established and ended normally. */
    DONE,
    /** A signalling fault, or all lines of the called number were busy. */
    ERROR,
    /** Not set up: no free circuit, cranked back by a tandem, or a processor was full. */
    BUSY,
    /** No answer in time. */
    TIMED_OUT,
    /** The exchange could not be reached. */
    REFUSED,
    /** The connection was reset, or the established call was disconnected. */
    RESET,
    /** Cancelled by the controller. */
    CANCELLED,
    /** The attempt was never sent. */
    SKIPPED
  }

  /** Why an attempt was not set up. */
  enum Reason {
    /** No reason given. */
    NONE,
    /** No free circuit or agent. */
    NO_CIRCUIT,
    /** Cranked back by the tandem. */
    TURNED_BACK,
    /** Cranked back because the processor beyond the tandem was full. */
    FULL_BEYOND,
    /** The processor was full; for a skipped attempt: the local processor is down. */
    PROCESSOR_FULL,
    /** Every line of the called number is busy. */
    NUMBER_BUSY
  }

  /**
   * A class of calls.
   *
   * @param worth value of a call that is established within {@code aim}
   * @param lateWorth share of {@code worth} that a call established later earns, 0 to 1
   * @param aim target set-up time, ms
   * @param callerTimeout time over which a caller keeps trying, ms
   * @param width circuits seized on each circuit group
   * @param hold mean holding time of a call, ms
   * @param pools numbers of the pools that the class may use; empty: all
   * @param repeatWindow time after an attempt that may have taken effect during which another may
   *     be sent, ms; infinite if the class is safe to repeat, 0 if it is not
   * @param repeatAnywhere whether such a repeat may go to any exchange and the caller may be asked
   *     to retry; otherwise the repeat goes to the exchange of the first attempt, or the call fails
   */
  record CallClass(
      double worth,
      double lateWorth,
      double aim,
      double callerTimeout,
      int width,
      double hold,
      List<Integer> pools,
      double repeatWindow,
      boolean repeatAnywhere) {
    /** A class that is safe to repeat. */
    public CallClass(
        double worth,
        double lateWorth,
        double aim,
        double callerTimeout,
        int width,
        double hold,
        List<Integer> pools) {
      this(
          worth, lateWorth, aim, callerTimeout, width, hold, pools, Double.POSITIVE_INFINITY, true);
    }

    /** Checks that the values are in range. */
    public CallClass {
      Settings.require(worth >= 0, "worth", worth);
      Settings.require(lateWorth >= 0 && lateWorth <= 1, "lateWorth", lateWorth);
      Settings.require(aim > 0, "aim", aim);
      Settings.require(callerTimeout > 0, "giveUp", callerTimeout);
      Settings.require(width >= 1, "width", width);
      Settings.require(hold > 0, "hold", hold);
      Settings.require(repeatWindow >= 0, "repeatFor", repeatWindow);
      pools = List.copyOf(pools);
    }
  }

  /**
   * The settings that a policy is constructed with.
   *
   * @param layout network topology
   * @param localExchange number of the local exchange; -1 with pools
   * @param controllerCount number of controllers
   * @param classes the call classes, in the order of their numbers
   * @param clockResolution shortest difference between the clocks of two events, ms
   * @param maxAttempts maximum number of attempts for one call
   * @param mayCancel whether attempts may be cancelled
   * @param mayProbe whether exchanges may be probed
   * @param mayBroadcast whether controllers may send each other messages
   * @param maxRetryAfter longest retry delay that a refused caller observes, ms; 0: callers cannot
   *     be asked to wait
   * @param directoryOnRequest whether the policy must subscribe to the exchange directory
   * @param guardTime time after a time-out, reset or cancel before the call is sent again, ms
   * @param retransmitAfter time after which a pending set-up is retransmitted, ms; 0: never
   * @param coldShare share of its capacity at which a processor starts
   * @param rampTime time from its start until a processor has its full capacity, ms
   * @param coldMultiple multiple of its present capacity that a cold processor can bear
   * @param coldWindow length of the window over which that load is counted, ms
   */
  record Settings(
      Layout layout,
      int localExchange,
      int controllerCount,
      List<CallClass> classes,
      double clockResolution,
      int maxAttempts,
      boolean mayCancel,
      boolean mayProbe,
      boolean mayBroadcast,
      double maxRetryAfter,
      boolean directoryOnRequest,
      double guardTime,
      double retransmitAfter,
      double coldShare,
      double rampTime,
      double coldMultiple,
      double coldWindow) {
    /** Checks that the values are in range. */
    public Settings {
      require(layout != null, "layout", layout);
      require(controllerCount >= 1, "instances", controllerCount);
      require(!classes.isEmpty(), "classes", classes);
      require(clockResolution > 0, "resolution", clockResolution);
      require(maxAttempts >= 1, "maxAttempts", maxAttempts);
      require(maxRetryAfter >= 0, "maxComeBack", maxRetryAfter);
      require(guardTime >= 0, "guard", guardTime);
      require(retransmitAfter >= 0, "retransmit", retransmitAfter);
      require(coldShare > 0 && coldShare <= 1, "coldFrom", coldShare);
      require(rampTime >= 0, "ramp", rampTime);
      require(coldMultiple > 0, "fallMultiple", coldMultiple);
      require(coldWindow > 0, "fall", coldWindow);
      classes = List.copyOf(classes);
    }

    /** Throws unless the value is usable; {@code setting} is the name that operators know it by. */
    private static void require(boolean usable, String setting, Object value) {
      if (!usable) {
        throw new IllegalArgumentException("unusable setting " + setting + "=" + value);
      }
    }
  }

  /**
   * An entry of the exchange directory.
   *
   * @param id id of the exchange
   * @param number number of the exchange
   * @param state state of the exchange
   * @param startedAt clock of its last start, ms; 0: long ago
   */
  record Exchange(String id, int number, ExchangeState state, double startedAt) {}

  /**
   * An update of the exchange directory.
   *
   * @param failed whether the directory could not be fetched; the previous one stays in force
   * @param complete whether the entries are the whole directory
   * @param entries all entries, or those that changed
   */
  record DirectoryUpdate(boolean failed, boolean complete, List<Exchange> entries) {}

  /**
   * A call to be routed.
   *
   * @param id id of the call
   * @param type number of its call class
   * @param patience time until the caller abandons this try, ms
   * @param width circuits seized on each circuit group
   * @param number the called number
   * @param destination number of the destination exchange, or of the first-choice pool
   * @param transit whether another controller forwarded the call here
   * @param redial whether the caller marked the call as a repeat
   * @param returned whether the call was established before, was disconnected and is made again
   */
  record Call(
      String id,
      int type,
      double patience,
      int width,
      String number,
      int destination,
      boolean transit,
      boolean redial,
      boolean returned) {}

  /**
   * A call was established.
   *
   * @param call id of the call
   * @param attempt number of the answered attempt
   * @param elapsed time since the attempt was sent, ms
   */
  record Established(String call, int attempt, double elapsed) {}

  /**
   * An attempt ended.
   *
   * @param call id of the call
   * @param attempt number of the attempt
   * @param exchange id of the exchange that the attempt was sent to
   * @param outcome how the attempt ended
   * @param reason why the attempt was not set up
   * @param requestedWait waiting time that a full processor asks for, ms; 0: none given
   * @param elapsed time since the attempt was sent, ms
   * @param callFinished whether no final answer is due to the call any more
   * @param load the load figures that came with it
   */
  record AttemptEnded(
      String call,
      int attempt,
      String exchange,
      Outcome outcome,
      Reason reason,
      double requestedWait,
      double elapsed,
      boolean callFinished,
      Load load) {}

  /**
   * A load report that did not come with the end of an attempt.
   *
   * @param exchange id of the exchange
   * @param answered whether the exchange answered
   * @param elapsed time since the probe was sent, ms; 0: unsolicited
   * @param load the load figures
   */
  record LoadReport(String exchange, boolean answered, double elapsed, Load load) {}

  /**
   * Load figures of an exchange; a figure that was not reported is NaN.
   *
   * @param freeCircuits free circuits toward the exchange, exact at the time of the report
   * @param groupSize number of circuits in that circuit group
   * @param inProgress messages that its processor is handling
   * @param queued messages that wait for its processor
   * @param utilization share of the processor that is busy
   * @param processorWait waiting time at the processor, ms
   * @param maxSetupRate set-ups per second that it can accept from all senders together
   * @param requestedReduction share of its set-ups that each sender is asked to hold back
   */
  record Load(
      double freeCircuits,
      double groupSize,
      double inProgress,
      double queued,
      double utilization,
      double processorWait,
      double maxSetupRate,
      double requestedReduction) {
    /** Load figures of which none was reported. */
    public static final Load UNKNOWN =
        new Load(
            Double.NaN,
            Double.NaN,
            Double.NaN,
            Double.NaN,
            Double.NaN,
            Double.NaN,
            Double.NaN,
            Double.NaN);
  }
}
