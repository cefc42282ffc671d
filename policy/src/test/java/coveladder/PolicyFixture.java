package coveladder;

import coveladder.CallPolicy.AttemptEnded;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.DirectoryUpdate;
import coveladder.CallPolicy.Established;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.LoadReport;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import java.util.ArrayList;
import java.util.List;

/** A policy with a manual clock, the timers that it started and a record of its actions. */
final class PolicyFixture {
  /** Number of the call class of worth 1. */
  static final int LOW_WORTH = 0;

  /** Number of the call class of worth 8. */
  static final int HIGH_WORTH = 1;

  final RecordingActions actions = new RecordingActions();
  final Settings settings;
  final NestedThresholdPolicy policy;
  double now;

  /** Number of recorded actions that have been searched for new timers. */
  private int examinedActions;

  /** Running timers, each as its expiry time and its label. */
  private final List<double[]> timers = new ArrayList<>();

  PolicyFixture(Settings settings) {
    this(settings, 7);
  }

  PolicyFixture(Settings settings, long seed) {
    this(settings, seed, 0);
  }

  /** Creates a policy that starts at the given time, ms. */
  PolicyFixture(Settings settings, long seed, double startTime) {
    this.settings = settings;
    now = startTime;
    policy = new NestedThresholdPolicy(settings, seed, actions);
    policy.onStart(now);
  }

  /**
   * Returns a mesh of four exchanges: 0 is local, and each of the groups toward the three others
   * has 20 circuits, all free.
   */
  static PolicyFixture mesh() {
    return mesh(7);
  }

  static PolicyFixture mesh(long seed) {
    PolicyFixture fixture = new PolicyFixture(settings(Layout.MESH, 0), seed);
    fixture.updateDirectory(
        true,
        inServiceExchange(0, 0),
        inServiceExchange(1, 0),
        inServiceExchange(2, 0),
        inServiceExchange(3, 0));
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 20, 20);
    }
    return fixture;
  }

  static Settings settings(Layout layout, int localExchange) {
    return new Settings(
        layout,
        localExchange,
        /* controllerCount= */ 4,
        classes(),
        /* clockResolution= */ 5,
        /* maxAttempts= */ 4,
        /* mayCancel= */ true,
        /* mayProbe= */ false,
        /* mayBroadcast= */ false,
        /* maxRetryAfter= */ 0,
        /* directoryOnRequest= */ false,
        /* guardTime= */ 300,
        /* retransmitAfter= */ 800,
        /* coldShare= */ 0.3,
        /* rampTime= */ 10000,
        /* coldMultiple= */ 3,
        /* coldWindow= */ 3000);
  }

  private static List<CallClass> classes() {
    return List.of(
        new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of()),
        new CallClass(8, 0.25, 1000, 6000, 1, 6000, List.of()));
  }

  /** Returns the directory entry of exchange {@code "x" + number}. */
  static Exchange inServiceExchange(int number, double startedAt) {
    return new Exchange("x" + number, number, ExchangeState.IN_SERVICE, startedAt);
  }

  void updateDirectory(boolean complete, Exchange... entries) {
    policy.onDirectoryUpdate(now, new DirectoryUpdate(false, complete, List.of(entries)));
  }

  /** Reports the free circuits and the size of the group toward an exchange. */
  void reportCircuits(int exchange, int free, int size) {
    policy.onLoadReport(now, new LoadReport("x" + exchange, true, 0, load(free, size)));
  }

  /** Returns load figures of which only the circuits are known. */
  static Load load(double free, double size) {
    double unknown = Double.NaN;
    return new Load(free, size, unknown, unknown, unknown, unknown, unknown, unknown);
  }

  /** Offers a call of a local caller with a patience of 3 s. */
  void offerCall(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, false, false, false));
  }

  /** Offers a call that another controller forwarded. */
  void offerTransitCall(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, true, false, false));
  }

  void establish(String id, int attempt, double elapsed) {
    policy.onEstablished(now, new Established(id, attempt, elapsed));
  }

  void endAttempt(String id, int attempt, int exchange, Outcome outcome, Reason reason) {
    endAttempt(id, attempt, exchange, outcome, reason, 800);
  }

  /** Ends an attempt, and with outcome {@link Outcome#DONE} the call too. */
  void endAttempt(
      String id, int attempt, int exchange, Outcome outcome, Reason reason, double elapsed) {
    boolean callFinished = outcome == Outcome.DONE;
    policy.onAttemptEnded(
        now,
        new AttemptEnded(
            id, attempt, "x" + exchange, outcome, reason, 0, elapsed, callFinished, Load.UNKNOWN));
  }

  /** Advances the clock and fires the timers that expire meanwhile, each at its time. */
  void advanceClock(double duration) {
    double end = now + duration;
    for (double[] timer = removeNextTimer(end); timer != null; timer = removeNextTimer(end)) {
      now = Math.max(now, timer[0]);
      policy.onTimer(now, (long) timer[1]);
    }
    now = end;
  }

  /** Removes and returns the next timer that expires by {@code end}; null if there is none. */
  private double[] removeNextTimer(double end) {
    for (; examinedActions < actions.recorded.size(); examinedActions++) {
      var action = actions.recorded.get(examinedActions);
      if (action.type().equals("startTimer")) {
        timers.add(new double[] {now + action.value(), Long.parseLong(action.call())});
      }
    }
    double[] earliest = null;
    for (double[] timer : timers) {
      if (timer[0] <= end && (earliest == null || timer[0] < earliest[0])) {
        earliest = timer;
      }
    }
    timers.remove(earliest);
    return earliest;
  }
}
