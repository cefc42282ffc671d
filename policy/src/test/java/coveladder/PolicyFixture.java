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

/** One module with a clock set by hand, its timers and a recorder of what it asks for. */
final class PolicyFixture {
  static final int LOW_WORTH = 0;
  static final int HIGH_WORTH = 1;

  final RecordingActions actions = new RecordingActions();
  final Settings settings;
  final NestedThresholdPolicy policy;
  double now;
  private int examinedActions;
  private final List<double[]> timers = new ArrayList<>();

  PolicyFixture(Settings settings) {
    this(settings, 7);
  }

  PolicyFixture(Settings settings, long seed) {
    this(settings, seed, 0);
  }

  /** A module that starts at a clock. */
  PolicyFixture(Settings settings, long seed, double startTime) {
    this.settings = settings;
    now = startTime;
    policy = new NestedThresholdPolicy(settings, seed, actions);
    policy.onStart(now);
  }

  /** A mesh of four exchanges, 0 being the own one, each with a free group of 20 circuits. */
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
        4,
        classes(),
        5,
        4,
        true,
        false,
        false,
        0,
        false,
        300,
        800,
        0.3,
        10000,
        3,
        3000);
  }

  private static List<CallClass> classes() {
    return List.of(
        new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of()),
        new CallClass(8, 0.25, 1000, 6000, 1, 6000, List.of()));
  }

  static Exchange inServiceExchange(int number, double startedAt) {
    return new Exchange("x" + number, number, ExchangeState.IN_SERVICE, startedAt);
  }

  void updateDirectory(boolean complete, Exchange... entries) {
    policy.onDirectoryUpdate(now, new DirectoryUpdate(false, complete, List.of(entries)));
  }

  void reportCircuits(int exchange, int free, int size) {
    policy.onLoadReport(now, new LoadReport("x" + exchange, true, 0, load(free, size)));
  }

  static Load load(double free, double size) {
    double unknown = Double.NaN;
    return new Load(free, size, unknown, unknown, unknown, unknown, unknown, unknown);
  }

  void offerCall(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, false, false, false));
  }

  void offerTransitCall(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, true, false, false));
  }

  void establish(String id, int attempt, double elapsed) {
    policy.onEstablished(now, new Established(id, attempt, elapsed));
  }

  void endAttempt(String id, int attempt, int exchange, Outcome outcome, Reason reason) {
    endAttempt(id, attempt, exchange, outcome, reason, 800);
  }

  void endAttempt(
      String id, int attempt, int exchange, Outcome outcome, Reason reason, double elapsed) {
    boolean callFinished = outcome == Outcome.DONE;
    policy.onAttemptEnded(
        now,
        new AttemptEnded(
            id, attempt, "x" + exchange, outcome, reason, 0, elapsed, callFinished, Load.UNKNOWN));
  }

  /** Moves the clock on, firing the timers that run out on the way, each at its time. */
  void advanceClock(double duration) {
    double end = now + duration;
    for (double[] next = removeNextTimer(end); next != null; next = removeNextTimer(end)) {
      now = Math.max(now, next[0]);
      policy.onTimer(now, (long) next[1]);
    }
    now = end;
  }

  private double[] removeNextTimer(double end) {
    for (; examinedActions < actions.recorded.size(); examinedActions++) {
      var action = actions.recorded.get(examinedActions);
      if (action.type().equals("wake")) {
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
