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
final class Bed {
  static final int CHEAP = 0;
  static final int DEAR = 1;

  final Recorder asked = new Recorder();
  final Settings settings;
  final NestedThresholdPolicy policy;
  double now;
  private int timersSeen;
  private final List<double[]> timers = new ArrayList<>();

  Bed(Settings settings) {
    this(settings, 7);
  }

  Bed(Settings settings, long seed) {
    this(settings, seed, 0);
  }

  /** A module that starts at a clock. */
  Bed(Settings settings, long seed, double start) {
    this.settings = settings;
    now = start;
    policy = new NestedThresholdPolicy(settings, seed, asked);
    policy.onStart(now);
  }

  /** A mesh of four exchanges, 0 being the own one, each with a free group of 20 circuits. */
  static Bed mesh() {
    return mesh(7);
  }

  static Bed mesh(long seed) {
    Bed bed = new Bed(settings(Layout.MESH, 0), seed);
    bed.list(true, entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 0));
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 20, 20);
    }
    return bed;
  }

  static Settings settings(Layout layout, int self) {
    return new Settings(
        layout, self, 4, classes(), 5, 4, true, false, false, 0, false, 300, 800, 0.3, 10000, 3,
        3000);
  }

  private static List<CallClass> classes() {
    return List.of(
        new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of()),
        new CallClass(8, 0.25, 1000, 6000, 1, 6000, List.of()));
  }

  static Exchange entry(int number, double started) {
    return new Exchange("x" + number, number, ExchangeState.IN_SERVICE, started);
  }

  void list(boolean complete, Exchange... entries) {
    policy.onDirectoryUpdate(now, new DirectoryUpdate(false, complete, List.of(entries)));
  }

  void circuits(int far, int free, int size) {
    policy.onLoadReport(now, new LoadReport("x" + far, true, 0, load(free, size)));
  }

  static Load load(double free, double size) {
    double none = Double.NaN;
    return new Load(free, size, none, none, none, none, none, none);
  }

  void call(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, false, false, false));
  }

  void transit(String id, int type, int destination) {
    policy.onCall(now, new Call(id, type, 3000, 1, "n" + id, destination, true, false, false));
  }

  void stands(String id, int attempt, double spent) {
    policy.onEstablished(now, new Established(id, attempt, spent));
  }

  void ended(String id, int attempt, int far, Outcome outcome, Reason reason) {
    ended(id, attempt, far, outcome, reason, 800);
  }

  void ended(String id, int attempt, int far, Outcome outcome, Reason reason, double spent) {
    boolean last = outcome == Outcome.DONE;
    policy.onAttemptEnded(
        now,
        new AttemptEnded(id, attempt, "x" + far, outcome, reason, 0, spent, last, Load.UNKNOWN));
  }

  /** Moves the clock on, firing the timers that run out on the way, each at its time. */
  void pass(double time) {
    double end = now + time;
    for (double[] next = due(end); next != null; next = due(end)) {
      now = Math.max(now, next[0]);
      policy.onTimer(now, (long) next[1]);
    }
    now = end;
  }

  private double[] due(double end) {
    for (; timersSeen < asked.all.size(); timersSeen++) {
      var action = asked.all.get(timersSeen);
      if (action.what().equals("wake")) {
        timers.add(new double[] {now + action.figure(), Long.parseLong(action.call())});
      }
    }
    double[] first = null;
    for (double[] timer : timers) {
      if (timer[0] <= end && (first == null || timer[0] < first[0])) {
        first = timer;
      }
    }
    timers.remove(first);
    return first;
  }
}
