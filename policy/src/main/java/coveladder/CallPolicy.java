package coveladder;

import java.util.List;

/**
 * What a call controller tells its decision module, and what the module may ask of it.
 *
 * <p>The controller calls one method for each thing that happens, with the clock of that moment in
 * milliseconds; the module answers through the {@link Actions} it was made with, before the method
 * returns. A module is single-threaded, keeps no clock and does no input or output of its own.
 */
public interface CallPolicy {

  /** Called once, first, when the controller starts. */
  void onStart(double now);

  /** The list of exchanges changed, or could not be had. */
  void onList(double now, ListNews news);

  /** A call was handed to this controller, which owes it one final answer from now on. */
  void onCall(double now, Call call);

  /** An attempt was answered: the call stands. */
  void onStands(double now, Stands stands);

  /** An attempt ended; exactly one of these comes for each attempt. */
  void onEnded(double now, Ended ended);

  /** The caller left, or its time is up: nothing is owed any more. */
  void onCallerLeft(double now, String call);

  /** A load report came, asked for or not. */
  void onReport(double now, Report report);

  /** A timer set through {@link Actions#wake} ran out. */
  void onTimer(double now, long label);

  /** A message from another controller came. */
  void onPeer(double now, int from, byte[] payload);

  /** What the module asks of its controller. */
  interface Actions {

    /** Sends a set-up to an exchange; it times out after {@code within} milliseconds. */
    void send(String call, String exchange, double within);

    /** Stops waiting for an attempt. */
    void cancel(String call, int attempt);

    /** Final answer: refused; the caller is asked to stay away so long (0: no word on it). */
    void refuse(String call, double comeBack);

    /** Final answer: given up. */
    void fail(String call);

    /** Asks for {@link CallPolicy#onTimer} with this label after a delay in milliseconds. */
    void wake(double delay, long label);

    /** Asks an exchange for its load report. Only where the settings permit it. */
    void probe(String exchange);

    /** Sends a message to all other controllers. Only where the settings permit it. */
    void tell(byte[] payload);

    /** Asks for the changes of the exchange list from now on. */
    void subscribe();
  }

  /** How the servers are joined: circuit groups between exchanges, or pools of agents. */
  enum Layout {
    /** Every exchange has circuit groups to others, and calls may pass through a tandem. */
    MESH,
    /** Pools of agents that all controllers share; no call is in transit. */
    POOLS
  }

  /** What the list says of an exchange. */
  enum State {
    /** Takes calls. */
    IN_SERVICE,
    /** Finishes what it has; nothing new may be sent there. */
    DRAINING,
    /** Withdrawn. */
    GONE
  }

  /** How an attempt ended. */
  enum Outcome {
    /** The call stood and came to its end. */
    DONE,
    /** A signalling fault, or all lines of the number busy. */
    ERROR,
    /** Not set up: no circuit, turned back, or a processor was full. */
    BUSY,
    /** No answer in time. */
    TIMED_OUT,
    /** The exchange could not be reached. */
    REFUSED,
    /** Cut. */
    RESET,
    /** Called off. */
    CANCELLED,
    /** Never sent. */
    SKIPPED
  }

  /** Why an attempt was not set up. */
  enum Reason {
    /** No reason given. */
    NONE,
    /** No free circuit or agent. */
    NO_CIRCUIT,
    /** Turned back by the tandem. */
    TURNED_BACK,
    /** Turned back because the processor beyond the tandem was full. */
    FULL_BEYOND,
    /** The processor was full; with a skipped attempt, the own processor is down. */
    PROCESSOR_FULL,
    /** Every line of the number is busy. */
    NUMBER_BUSY
  }

  /**
   * A class of calls.
   *
   * @param worth what a call that stands in time is worth
   * @param lateWorth the share of it that a late call earns
   * @param aim the time within which a call should stand, ms
   * @param giveUp how long a caller keeps trying, ms
   * @param width circuits taken on each group
   * @param hold mean duration of a call, ms
   * @param pools numbers of the pools that it may use; empty: all
   * @param repeatFor how long after an attempt that may have run another may leave, ms; infinite
   *     where the class is safe to repeat, 0 where it is not
   * @param anywhere whether that other may go to any exchange, and a caller may be told to try
   *     again; else it goes where the first went, or the call fails
   */
  record CallClass(
      double worth,
      double lateWorth,
      double aim,
      double giveUp,
      int width,
      double hold,
      List<Integer> pools,
      double repeatFor,
      boolean anywhere) {
    /** A class that is safe to repeat. */
    public CallClass(
        double worth,
        double lateWorth,
        double aim,
        double giveUp,
        int width,
        double hold,
        List<Integer> pools) {
      this(worth, lateWorth, aim, giveUp, width, hold, pools, Double.POSITIVE_INFINITY, true);
    }

    /** Checks the figures. */
    public CallClass {
      Settings.require(worth >= 0, "worth", worth);
      Settings.require(lateWorth >= 0 && lateWorth <= 1, "lateWorth", lateWorth);
      Settings.require(aim > 0, "aim", aim);
      Settings.require(giveUp > 0, "giveUp", giveUp);
      Settings.require(width >= 1, "width", width);
      Settings.require(hold > 0, "hold", hold);
      Settings.require(repeatFor >= 0, "repeatFor", repeatFor);
      pools = List.copyOf(pools);
    }
  }

  /**
   * What a module is told at start.
   *
   * @param layout mesh or pools
   * @param self number of the own exchange; -1 with pools
   * @param instances how many controllers there are
   * @param classes the call classes, in the order of their numbers
   * @param resolution shortest gap between two events' clocks, ms
   * @param maxAttempts most attempts of one call
   * @param mayCancel whether attempts may be cancelled
   * @param mayProbe whether exchanges may be probed
   * @param mayTell whether controllers may send each other messages
   * @param maxComeBack longest wait that a refused caller follows, ms; 0: no such word
   * @param listByAsking whether the exchange list must be asked for
   * @param guard wait after a time-out, reset or cancel before the call is sent again, ms
   * @param retransmit a waiting set-up is repeated after this, ms; 0: never
   * @param coldFrom share of its capacity at which a started processor begins
   * @param ramp a started processor is warm after this, ms
   * @param fallMultiple multiple of its present capacity that a cold processor bears
   * @param fall length of the window over which that is counted, ms
   */
  record Settings(
      Layout layout,
      int self,
      int instances,
      List<CallClass> classes,
      double resolution,
      int maxAttempts,
      boolean mayCancel,
      boolean mayProbe,
      boolean mayTell,
      double maxComeBack,
      boolean listByAsking,
      double guard,
      double retransmit,
      double coldFrom,
      double ramp,
      double fallMultiple,
      double fall) {
    /** Checks the figures. */
    public Settings {
      require(layout != null, "layout", layout);
      require(instances >= 1, "instances", instances);
      require(!classes.isEmpty(), "classes", classes);
      require(resolution > 0, "resolution", resolution);
      require(maxAttempts >= 1, "maxAttempts", maxAttempts);
      require(maxComeBack >= 0, "maxComeBack", maxComeBack);
      require(guard >= 0, "guard", guard);
      require(retransmit >= 0, "retransmit", retransmit);
      require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
      require(ramp >= 0, "ramp", ramp);
      require(fallMultiple > 0, "fallMultiple", fallMultiple);
      require(fall > 0, "fall", fall);
      classes = List.copyOf(classes);
    }

    private static void require(boolean usable, String setting, Object value) {
      if (!usable) {
        throw new IllegalArgumentException("unusable setting " + setting + "=" + value);
      }
    }
  }

  /**
   * One line of the exchange list.
   *
   * @param id the exchange's id
   * @param number its number
   * @param state what the list says of it
   * @param started clock of its last start; 0: long ago
   */
  record Exchange(String id, int number, State state, double started) {}

  /**
   * News of the list.
   *
   * @param failed the list could not be had; the old one stays
   * @param complete the entries are the whole list
   * @param entries the lines, or those that changed
   */
  record ListNews(boolean failed, boolean complete, List<Exchange> entries) {}

  /**
   * A call.
   *
   * @param id the call's id
   * @param type number of its class
   * @param patience time until the caller gives up this try, ms
   * @param width circuits taken on each group
   * @param number the number called
   * @param destination number of the exchange, or of the pool of first choice
   * @param transit whether it was forwarded here by another controller
   * @param redial whether the caller marked it as a repeat
   * @param returned whether it stood before, was cut and comes again
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
   * A call stands.
   *
   * @param call the call's id
   * @param attempt number of the attempt
   * @param spent time since it was sent, ms
   */
  record Stands(String call, int attempt, double spent) {}

  /**
   * An attempt ended.
   *
   * @param call the call's id
   * @param attempt number of the attempt
   * @param exchange id of the exchange that it was sent to
   * @param outcome how it ended
   * @param reason why it was not set up
   * @param askedWait time that a full processor asks for, ms; 0: none named
   * @param spent time since it was sent, ms
   * @param last whether nothing more is owed to the call
   * @param load the report that came with it
   */
  record Ended(
      String call,
      int attempt,
      String exchange,
      Outcome outcome,
      Reason reason,
      double askedWait,
      double spent,
      boolean last,
      Load load) {}

  /**
   * A load report by itself.
   *
   * @param exchange id of the exchange
   * @param good whether the exchange answered
   * @param spent time since it was asked, ms; 0: not asked for
   * @param load the figures
   */
  record Report(String exchange, boolean good, double spent, Load load) {}

  /**
   * Load figures; each is NaN where the report has none.
   *
   * @param free free circuits toward the exchange, true at that moment
   * @param size circuits of that group
   * @param working messages being worked on at its processor
   * @param queued messages waiting there
   * @param busyShare share of the processor that is busy
   * @param procWait wait at the processor, ms
   * @param canTake set-ups a second that it can take from all senders
   * @param holdBack share of set-ups that it asks each sender to hold back
   */
  record Load(
      double free,
      double size,
      double working,
      double queued,
      double busyShare,
      double procWait,
      double canTake,
      double holdBack) {
    /** A report that says nothing. */
    public static final Load NOTHING =
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
