package coveladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.AttemptEnded;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.DirectoryUpdate;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.LoadReport;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Thousands of random legal events; the five rules are asserted after every step. */
class RulesTest {
  private static final int SEEDS = 60;
  private static final int STEPS = 600;

  /** What the caller's side knows of one call. */
  private static final class Life {
    double deadline;
    boolean over;
    boolean standing;
    int attempts;
    int out = -1;
    String toward = "";
    double timesOut;
    double guardUntil;
    int finals;
  }

  private final Map<String, Life> lives = new LinkedHashMap<>();
  private final Map<String, ExchangeState> listed = new LinkedHashMap<>();
  private final Map<String, Double> started = new LinkedHashMap<>();
  private final Map<String, List<Double>> sends = new LinkedHashMap<>();
  private SplittableRandom random;
  private Bed bed;
  private int read;
  private int ids;
  private int ownCalls;

  @ParameterizedTest
  @EnumSource(Layout.class)
  void theFiveRulesHoldAfterEveryStep(Layout layout) {
    for (int seed = 0; seed < SEEDS; seed++) {
      begin(layout, seed);
      for (int step = 0; step < STEPS; step++) {
        step();
        check();
      }
      for (int i = 0; i < 1000; i++) {
        tick(10);
        check();
      }
      lives.forEach((id, life) -> assertTrue(life.over || life.standing, id + " never answered"));
    }
  }

  private void begin(Layout layout, int seed) {
    random = new SplittableRandom(seed);
    lives.clear();
    listed.clear();
    started.clear();
    sends.clear();
    read = 0;
    ownCalls = 0;
    bed = new Bed(Bed.settings(layout, layout == Layout.MESH ? 0 : -1));
    for (int i = 0; i < 5; i++) {
      change(i, ExchangeState.IN_SERVICE, 0);
    }
  }

  private void step() {
    switch (random.nextInt(9)) {
      case 0, 1, 2 -> call();
      case 3 -> leave();
      case 4 -> change(random.nextInt(5), ExchangeState.values()[random.nextInt(3)], bed.now);
      case 5 -> report();
      case 6 -> tick(200 * random.nextDouble());
      default -> end();
    }
    if (random.nextInt(4) == 0) {
      tick(30 * random.nextDouble());
    }
  }

  private void call() {
    String id = "c" + ids++;
    Life life = new Life();
    double patience = random.nextInt(10) == 0 ? random.nextInt(30) : 500 + random.nextInt(3000);
    life.deadline = bed.now + patience;
    lives.put(id, life);
    boolean mesh = bed.settings.layout() == Layout.MESH;
    boolean transit = mesh && random.nextInt(4) == 0;
    ownCalls += transit ? 0 : 1;
    int to = 1 + random.nextInt(4);
    int width = 1 + random.nextInt(2) * random.nextInt(3);
    String number = "n" + random.nextInt(8);
    boolean redial = random.nextInt(4) == 0;
    int type = random.nextInt(2);
    bed.policy.onCall(
        bed.now, new Call(id, type, patience, width, number, to, transit, redial, false));
  }

  private void leave() {
    String id = any(life -> !life.over && !life.standing);
    if (id != null) {
      lives.get(id).over = true;
      bed.policy.onCallerAbandoned(bed.now, id);
    }
  }

  private void change(int number, ExchangeState state, double start) {
    String id = "x" + number;
    if (state == ExchangeState.GONE) {
      listed.remove(id);
    } else {
      listed.put(id, state);
      started.put(id, start);
    }
    Exchange entry = new Exchange(id, number, state, start);
    bed.policy.onDirectoryUpdate(bed.now, new DirectoryUpdate(false, false, List.of(entry)));
  }

  private void report() {
    int size = random.nextInt(12);
    int free = random.nextInt(size + 1);
    Load load = Bed.load(free, size);
    String id = "x" + (1 + random.nextInt(4));
    bed.policy.onLoadReport(bed.now, new LoadReport(id, true, 0, load));
  }

  private void end() {
    String id = any(life -> life.out >= 0);
    if (id == null) {
      return;
    }
    Life life = lives.get(id);
    if (!life.standing && !life.over && random.nextInt(3) > 0) {
      life.standing = true;
      bed.stands(id, life.out, random.nextInt(900));
      return;
    }
    Outcome outcome = life.standing ? Outcome.DONE : pick();
    finishAttempt(id, life, outcome);
  }

  private Outcome pick() {
    Outcome[] all = Outcome.values();
    return all[1 + random.nextInt(all.length - 1)];
  }

  private void finishAttempt(String id, Life life, Outcome outcome) {
    boolean done = life.standing || life.over;
    int attempt = life.out;
    life.out = -1;
    life.over |= life.standing;
    life.standing = false;
    if (List.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED).contains(outcome)) {
      life.guardUntil = bed.now + bed.settings.guardTime();
    }
    Reason reason = Reason.values()[random.nextInt(Reason.values().length)];
    bed.policy.onAttemptEnded(
        bed.now,
        new AttemptEnded(id, attempt, life.toward, outcome, reason, 0, 100, done, Load.UNKNOWN));
  }

  /** Lets time pass in steps of the clock's resolution, as a controller would. */
  private void tick(double time) {
    for (double left = time; left > 0; left -= bed.settings.clockResolution()) {
      bed.pass(Math.min(left, bed.settings.clockResolution()));
      check();
      for (var each : new ArrayList<>(lives.entrySet())) {
        Life life = each.getValue();
        if (life.out >= 0 && !life.standing && life.timesOut <= bed.now) {
          finishAttempt(each.getKey(), life, Outcome.TIMED_OUT);
          check();
        }
      }
    }
  }

  private String any(java.util.function.Predicate<Life> wanted) {
    List<String> ids = new ArrayList<>();
    lives.forEach(
        (id, life) -> {
          if (wanted.test(life)) {
            ids.add(id);
          }
        });
    return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
  }

  private void check() {
    for (; read < bed.asked.all.size(); read++) {
      var action = bed.asked.all.get(read);
      Life life = lives.get(action.call());
      switch (action.what()) {
        case "send" -> checkSend(action, life);
        case "refuse", "fail" -> {
          assertTrue(!life.over && !life.standing, "answered a call that was over");
          assertTrue(bed.now <= life.deadline + 20, "final answer late");
          assertEquals(1, ++life.finals);
          life.over = true;
        }
        default -> {}
      }
    }
    for (Life life : lives.values()) {
      boolean owed = !life.over && !life.standing && bed.now > life.deadline + 200;
      assertTrue(!owed, "call lost");
    }
  }

  private void checkSend(Recorder.Asked action, Life life) {
    Settings s = bed.settings;
    assertTrue(!life.over, "sent after the end");
    assertEquals(-1, life.out, "two attempts out");
    assertTrue(bed.now >= life.guardUntil, "release not awaited");
    assertEquals(
        ExchangeState.IN_SERVICE, listed.get(action.exchange()), "sent to one that drains");
    assertTrue(++life.attempts <= s.maxAttempts());
    life.out = life.attempts - 1;
    life.toward = action.exchange();
    life.timesOut = bed.now + action.figure();
    checkCold(action.exchange());
  }

  private void checkCold(String exchange) {
    Settings s = bed.settings;
    List<Double> sent = sends.computeIfAbsent(exchange, e -> new ArrayList<>());
    sent.add(bed.now);
    double start = started.get(exchange);
    if (start > 0 && bed.now < start + s.rampTime()) {
      long inWindow = sent.stream().filter(t -> t >= start && t > bed.now - s.coldWindow()).count();
      double mostRate = 2.0 * ownCalls / 2000;
      double share =
          s.coldMultiple() * s.coldShare() * mostRate * s.coldWindow() / s.controllerCount();
      assertTrue(inWindow <= Math.max(1, share), "cold exchange over its budget");
    }
  }

  /** Ninety controllers with a call every tenth of a second toward one that has just started. */
  @Test
  void allControllersTogetherStayWithinTheColdBudget() {
    Settings one = Bed.settings(Layout.MESH, 0);
    Settings many =
        new Settings(
            one.layout(),
            0,
            90,
            one.classes(),
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
    List<Double> sent = new ArrayList<>();
    for (int seed = 1; seed <= 90; seed++) {
      Bed controller = new Bed(many, seed);
      controller.now = 20000;
      controller.list(true, Bed.entry(1, 0), Bed.entry(2, 19900), Bed.entry(3, 0));
      for (int step = 0; step < 90; step++) {
        int before = controller.asked.of("send").size();
        controller.call("c" + step, Bed.CHEAP, 2);
        controller.pass(100);
        for (var send :
            controller.asked.of("send").subList(before, controller.asked.of("send").size())) {
          sent.add(controller.now);
          controller.stands(send.call(), 0, 40);
        }
      }
    }
    // What 90 controllers with ten own calls a second make of the cold share of one processor.
    double budget = many.coldMultiple() * many.coldShare() * 2 * 10 * many.coldWindow() / 1000;
    for (double end = 20000; end < 29000; end += 500) {
      final double last = end;
      long inWindow = sent.stream().filter(t -> t > last - many.coldWindow() && t <= last).count();
      assertTrue(inWindow <= 1.3 * budget, inWindow + " set-ups against " + budget);
    }
    assertTrue(sent.size() > 20);
  }
}
