package coveladder.core.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptGuard;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.Signalling;
import coveladder.core.TrackedCall;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * A controller that crashes at every write and every message of a scripted run, once and twice, and
 * goes on from its store. Peers live on: what they saw must keep the rules across lives.
 */
class CrashTest {
  private static final int CALLS = 6;

  /** What callers and far ends have seen, across all lives of the controller. */
  private static final class Peers {
    final Map<String, String> attempts = new TreeMap<>();
    final Map<String, List<String>> finals = new TreeMap<>();
    final Map<String, Boolean> hungUp = new HashMap<>();
    final List<String> breaches = new ArrayList<>();

    void invite(String key) {
      String call = key.substring(0, key.indexOf('/'));
      attempts.forEach(
          (other, state) -> {
            if (other.startsWith(call + "/") && !state.equals("over")) {
              breaches.add(key + " sent while " + other + " is " + state);
            }
          });
      if (finals.containsKey(call)) {
        breaches.add(key + " sent after the final answer");
      }
      attempts.put(key, "out");
    }

    void answer(String call, String status) {
      List<String> given = finals.computeIfAbsent(call, c -> new ArrayList<>());
      if (!given.isEmpty() && !given.contains(status)) {
        breaches.add(call + " answered " + status + " after " + given);
      }
      given.add(status);
    }

    boolean stands(String call) {
      return finals.getOrDefault(call, List.of()).contains("200");
    }
  }

  /** Thrown at the boundary where the process is killed. */
  private static final class Killed extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private final Peers peers = new Peers();
  private int boundaries;
  private int killAt = Integer.MAX_VALUE;

  private void boundary() {
    if (++boundaries == killAt) {
      throw new Killed();
    }
  }

  /** One life of the controller. */
  private final class Life implements Signalling, CallLegs, Scheduler {
    final MemoryStore store;
    final WriteAheadSignalling writeAhead;
    final CallController controller;
    final Recovery recovery;
    private final PriorityQueue<double[]> due = new PriorityQueue<>((a, b) -> compare(a, b));
    private final Map<Double, Runnable> tasks = new HashMap<>();
    private double now;
    private double order;

    Life(MemoryStore store) {
      this.store = store;
      this.writeAhead = new WriteAheadSignalling(this, this, store, 32_000);
      CallClass kind = new CallClass(1, 0, 1_000, 3_000, 1, 5_000, List.of());
      CallPolicy.Settings settings =
          new CallPolicy.Settings(
              Layout.MESH,
              0,
              2,
              List.of(kind),
              5,
              6,
              true,
              false,
              false,
              0,
              false,
              300,
              500,
              0.3,
              10_000,
              3,
              3_000);
      CallController.Observer journal =
          new CallController.Observer() {
            @Override
            public void callRemoved(TrackedCall call) {
              writeAhead.callRemoved(call.call().id());
            }
          };
      controller =
          new CallController(
              settings, writeAhead, new AttemptGuard(300, 250), journal, Simple::new);
      writeAhead.setController(controller);
      recovery =
          new Recovery(
              controller,
              writeAhead,
              store,
              this,
              this,
              new RecoveryRate(new RecoveryRate.Budget(1_000, 10), 0.3, 10_000),
              2_000);
      controller.start();
      ExchangeDirectory.Entry far =
          new ExchangeDirectory.Entry("e1", 1, "x1", "sip:s1", ExchangeState.IN_SERVICE, 0);
      controller.updateDirectory(new ExchangeDirectory.Update(true, 0, 1, List.of(far)));
      recovery.start();
    }

    private static int compare(double[] a, double[] b) {
      int byTime = Double.compare(a[0], b[0]);
      return byTime != 0 ? byTime : Double.compare(a[1], b[1]);
    }

    void run(double lasts) {
      double end = now + lasts;
      while (!due.isEmpty() && due.peek()[0] <= end) {
        double[] next = due.poll();
        now = next[0];
        Runnable task = tasks.remove(next[1]);
        if (task != null) {
          task.run();
        }
        store.flush();
      }
      now = end;
      store.flush();
    }

    @Override
    public double now() {
      return now;
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      double own = order++;
      due.add(new double[] {now + delay, own});
      tasks.put(own, task);
      return () -> tasks.remove(own);
    }

    @Override
    public Scheduler scheduler() {
      return this;
    }

    // ---- As a front -------------------------------------------------------------------------

    @Override
    public void startAttempt(AttemptRequest order) {
      boundary();
      peers.invite(order.call() + "/" + order.attempt());
      boundary();
    }

    @Override
    public void cancelAttempt(String call, int attempt) {
      boundary();
      String key = call + "/" + attempt;
      if (peers.attempts.replace(key, "over") != null) {
        schedule(
            1, () -> controller.attemptEnded(call, attempt, Outcome.CANCELLED, Reason.NONE, 0));
      }
    }

    @Override
    public void releaseAttempt(String call, int attempt) {
      boundary();
      peers.attempts.replace(call + "/" + attempt, "over");
    }

    @Override
    public void answer(String call, FinalAnswer answer) {
      boundary();
      boolean stands = answer.kind() == FinalAnswer.Kind.STANDS;
      peers.answer(call, stands ? "200" : answer.kind().name());
      boundary();
    }

    @Override
    public void releaseCaller(String call, boolean cut) {
      boundary();
      peers.hungUp.put(call, true);
    }

    @Override
    public void probe(ExchangeDirectory.Entry exchange, double askedAt) {}

    @Override
    public void broadcast(byte[] payload) {}

    @Override
    public void subscribeToDirectory() {}

    // ---- Legs -------------------------------------------------------------------------------

    private byte[] bytes(String text) {
      return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] encodeCallerLeg(String call) {
      return bytes(call);
    }

    @Override
    public byte[] prepareAttempt(AttemptRequest order) {
      return bytes(order.call() + "/" + order.attempt());
    }

    @Override
    public byte[] encodeAttemptLeg(String call) {
      return bytes(call);
    }

    @Override
    public byte[] encodeFinalAnswer(String call, FinalAnswer answer) {
      return bytes(answer.kind().name());
    }

    @Override
    public byte[] updateLeg(String call, boolean ofCaller, byte[] before) {
      return before;
    }

    @Override
    public boolean isReleasing(String call) {
      return false;
    }

    @Override
    public void prepareSuccess(String call) {}

    @Override
    public long wallClockMillis() {
      return 1_000_000;
    }

    @Override
    public void resume(SavedCall saved, boolean owed, int life) {
      boundary();
      if (owed) {
        peers.answer(saved.id(), "200");
      }
    }

    @Override
    public void verify(String call, boolean ofCaller, Consumer<LegStatus> told) {
      boundary();
      int attempt = controller.call(call).attemptCount() - 1;
      boolean far = peers.attempts.getOrDefault(call + "/" + attempt, "").equals("stands");
      boolean left = peers.hungUp.getOrDefault(call, false);
      told.accept((ofCaller ? !left : far) ? LegStatus.ACTIVE : LegStatus.GONE);
    }

    @Override
    public void releaseLost(String call, boolean ofCaller) {
      if (ofCaller) {
        controller.callerReleased(call);
      } else {
        int attempt = controller.call(call).attemptCount() - 1;
        controller.attemptEnded(call, attempt, Outcome.RESET, Reason.NONE, 0);
      }
    }

    @Override
    public void restoreCallerLeg(
        SavedCall saved, Consumer<Runnable> whenCalledOff, Runnable whenRepeated) {}

    @Override
    public void cancelAfterRestart(SavedCall saved, Runnable over) {
      boundary();
      peers.attempts.replace(saved.id() + "/" + saved.attempt(), "over");
      schedule(1, over);
    }

    @Override
    public byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer) {
      return bytes(answer.kind().name());
    }

    @Override
    public void answerCancelled(SavedCall saved) {
      boundary();
      peers.answer(saved.id(), "487");
    }

    @Override
    public void resendFinalAnswer(SavedCall saved) {
      boundary();
      peers.answer(saved.id(), new String(saved.answer(), StandardCharsets.UTF_8));
    }
  }

  /** A policy that sends at once and, when an attempt was refused, once more. */
  private static final class Simple implements CallPolicy {
    private final Actions actions;

    Simple(Actions actions) {
      this.actions = actions;
    }

    @Override
    public void onStart(double now) {}

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate news) {}

    @Override
    public void onCall(double now, Call call) {
      actions.send(call.id(), "e1", 800);
    }

    @Override
    public void onEstablished(double now, Established stands) {}

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      if (!ended.callFinished() && ended.attempt() == 0 && ended.outcome() == Outcome.BUSY) {
        actions.send(ended.call(), "e1", 800);
      } else if (!ended.callFinished()) {
        actions.refuse(ended.call(), 0);
      }
    }

    @Override
    public void onCallerAbandoned(double now, String call) {}

    @Override
    public void onLoadReport(double now, LoadReport report) {}

    @Override
    public void onTimer(double now, long label) {}

    @Override
    public void onPeerMessage(double now, int from, byte[] payload) {}
  }

  // ---- The script ---------------------------------------------------------------------------

  private static List<Consumer<Life>> script(Peers peers) {
    List<Consumer<Life>> steps = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      String id = "c" + i;
      steps.add(life -> life.controller.callArrived(call(id)));
      steps.add(life -> life.run(2));
    }
    steps.add(life -> far(life, peers, "c0", 0, "stands"));
    steps.add(life -> far(life, peers, "c1", 0, "busy"));
    steps.add(life -> far(life, peers, "c2", 0, "busy"));
    steps.add(life -> life.run(5));
    steps.add(life -> far(life, peers, "c1", 1, "stands"));
    steps.add(life -> far(life, peers, "c2", 1, "busy"));
    steps.add(
        life -> {
          if (life.controller.call("c3") != null) {
            life.writeAhead.callerCancelled("c3", () -> peers.answer("c3", "487"));
            life.controller.callerAbandoned("c3");
          }
        });
    steps.add(life -> far(life, peers, "c4", 0, "stands"));
    steps.add(life -> life.run(5));
    steps.add(life -> hangUp(life, peers, "c0"));
    steps.add(life -> far(life, peers, "c4", 0, "over"));
    steps.add(life -> life.run(4_000));
    return steps;
  }

  private static Call call(String id) {
    return new Call(id, 0, 2_000, 1, "555", 1, false, false, false);
  }

  /** The far end answers or leaves, if it knows of the attempt. */
  private static void far(Life life, Peers peers, String call, int attempt, String what) {
    String key = call + "/" + attempt;
    String state = peers.attempts.get(key);
    if (what.equals("over") && "stands".equals(state)) {
      peers.attempts.put(key, "over");
      life.controller.attemptEnded(call, attempt, Outcome.DONE, Reason.NONE, 0);
    } else if ("out".equals(state) && what.equals("stands")) {
      peers.attempts.put(key, "stands");
      life.controller.attemptAnswered(call, attempt);
    } else if ("out".equals(state) && what.equals("busy")) {
      peers.attempts.put(key, "over");
      life.controller.attemptEnded(call, attempt, Outcome.BUSY, Reason.NO_CIRCUIT, 0);
    }
  }

  private static void hangUp(Life life, Peers peers, String call) {
    if (peers.stands(call)) {
      peers.hungUp.put(call, true);
      life.controller.callerReleased(call);
    }
  }

  /** Plays the script with kills at these boundaries; how many boundaries the first life has. */
  private int play(long seed, boolean diskFails, int... kills) {
    SplittableRandom random = new SplittableRandom(seed);
    MemoryStore store = new MemoryStore(this::boundary);
    store.diskFails = diskFails;
    List<Consumer<Life>> steps = script(peers);
    int step = 0;
    int life = 0;
    Life current = null;
    int first = 0;
    while (step < steps.size()) {
      boundaries = 0;
      killAt = life < kills.length ? kills[life] : Integer.MAX_VALUE;
      life++;
      try {
        current = new Life(store);
        current.run(30);
        while (step < steps.size()) {
          steps.get(step).accept(current);
          step++;
        }
        first = boundaries;
      } catch (Killed killed) {
        store.crash(random);
        step++;
      }
    }
    killAt = Integer.MAX_VALUE;
    current = life <= kills.length ? new Life(store) : current;
    current.run(60_000);
    settled(current);
    return first;
  }

  /** Nothing is left open at peers that the controller does not hold. */
  private void settled(Life life) {
    assertEquals(List.of(), peers.breaches);
    peers.attempts.forEach(
        (key, state) -> {
          String call = key.substring(0, key.indexOf('/'));
          boolean held = life.controller.call(call) != null;
          assertTrue(state.equals("over") || held, key + " is " + state + " and forgotten");
          boolean kept = held && state.equals("stands") && peers.stands(call);
          assertTrue(state.equals("over") || kept, key + " is " + state);
        });
    assertTrue(life.recovery.isComplete());
  }

  @Test
  void withoutACrashAllIsAsItWas() {
    play(1, false);
    assertEquals(List.of("200"), peers.finals.get("c1"));
    assertEquals(List.of("REFUSED"), peers.finals.get("c2"));
    assertEquals("stands", peers.attempts.get("c1/1"));
    assertEquals("over", peers.attempts.get("c0/0"));
  }

  @Test
  void aCrashAtEveryBoundaryKeepsTheRules() {
    int all = new CrashTest().play(1, false);
    assertTrue(all > 50, "boundaries " + all);
    for (int kill = 1; kill <= all; kill++) {
      for (long seed = 1; seed <= 4; seed++) {
        new CrashTest().play(seed, false, kill);
      }
    }
  }

  @Test
  void aSecondCrashDuringRecoveryKeepsThemToo() {
    int all = new CrashTest().play(1, false);
    for (int kill = 1; kill <= all; kill += 2) {
      for (int again = 1; again <= 12; again++) {
        new CrashTest().play(kill, false, kill, again);
      }
    }
  }

  @Test
  void aCallThatStoodBeforeTheCrashStandsAfterIt() {
    int all = new CrashTest().play(1, false);
    for (int kill = all - 20; kill <= all; kill++) {
      CrashTest test = new CrashTest();
      test.play(3, false, kill);
      assertEquals("stands", test.peers.attempts.get("c1/1"), "killed at " + kill);
    }
  }

  @Test
  void aDiskThatFailsStopsNoCall() {
    play(1, true);
    assertEquals(List.of("200"), peers.finals.get("c1"));
  }

  @Test
  void aBudgetOfNothingIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> new RecoveryRate.Budget(0, 0));
  }
}
