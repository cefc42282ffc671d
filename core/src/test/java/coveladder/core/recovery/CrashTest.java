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
 * Kills the controller at every write and every message of a scripted run, once and twice, and
 * restarts it from its store. The peers keep running: they check that no call has two attempts
 * outstanding together, gets an attempt after its final answer or gets two different final answers,
 * across all restarts.
 */
class CrashTest {
  private static final int CALLS = 6;

  /** What callers and remote exchanges have seen, across all runs of the controller. */
  private static final class Peers {
    final Map<String, String> attempts = new TreeMap<>();
    final Map<String, List<String>> finalAnswers = new TreeMap<>();
    final Map<String, Boolean> callerReleased = new HashMap<>();
    final List<String> violations = new ArrayList<>();

    void invite(String key) {
      String call = key.substring(0, key.indexOf('/'));
      attempts.forEach(
          (other, state) -> {
            if (other.startsWith(call + "/") && !state.equals("ended")) {
              violations.add(key + " sent while " + other + " is " + state);
            }
          });
      if (finalAnswers.containsKey(call)) {
        violations.add(key + " sent after the final answer");
      }
      attempts.put(key, "pending");
    }

    void answer(String call, String status) {
      List<String> previous = finalAnswers.computeIfAbsent(call, c -> new ArrayList<>());
      if (!previous.isEmpty() && !previous.contains(status)) {
        violations.add(call + " answered " + status + " after " + previous);
      }
      previous.add(status);
    }

    boolean isEstablished(String call) {
      return finalAnswers.getOrDefault(call, List.of()).contains("200");
    }
  }

  /** Thrown at the boundary at which the process is killed. */
  private static final class Killed extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private final Peers peers = new Peers();
  private int boundaries;
  private int killAt = Integer.MAX_VALUE;

  /** Counts one boundary, a write or a message, and kills the process at the chosen one. */
  private void passBoundary() {
    if (++boundaries == killAt) {
      throw new Killed();
    }
  }

  /** One run of the controller, with its front end and virtual clock. */
  private final class Incarnation implements Signalling, CallLegs, Scheduler {
    final MemoryStore store;
    final WriteAheadSignalling signalling;
    final CallController controller;
    final Recovery recovery;

    /** Scheduled tasks, each as its due time in ms and the sequence number that keys its task. */
    private final PriorityQueue<double[]> queue = new PriorityQueue<>((a, b) -> compareDue(a, b));

    private final Map<Double, Runnable> tasks = new HashMap<>();
    private double now;
    private double nextSequence;

    Incarnation(MemoryStore store) {
      this.store = store;
      this.signalling = new WriteAheadSignalling(this, this, store, 32_000);
      CallClass callClass = new CallClass(1, 0, 1_000, 3_000, 1, 5_000, List.of());
      CallPolicy.Settings settings =
          new CallPolicy.Settings(
              Layout.MESH,
              0,
              2,
              List.of(callClass),
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
      CallController.Observer observer =
          new CallController.Observer() {
            @Override
            public void callRemoved(TrackedCall call) {
              signalling.callRemoved(call.call().id());
            }
          };
      controller =
          new CallController(
              settings, signalling, new AttemptGuard(300, 250), observer, RetryOncePolicy::new);
      signalling.setController(controller);
      recovery =
          new Recovery(
              controller,
              signalling,
              store,
              this,
              this,
              new RecoveryRate(new RecoveryRate.Budget(1_000, 10), 0.3, 10_000),
              2_000);
      controller.start();
      ExchangeDirectory.Entry remote =
          new ExchangeDirectory.Entry("e1", 1, "x1", "sip:s1", ExchangeState.IN_SERVICE, 0);
      controller.updateDirectory(new ExchangeDirectory.Update(true, 0, 1, List.of(remote)));
      recovery.start();
    }

    private static int compareDue(double[] a, double[] b) {
      int byTime = Double.compare(a[0], b[0]);
      return byTime != 0 ? byTime : Double.compare(a[1], b[1]);
    }

    void advance(double durationMillis) {
      double end = now + durationMillis;
      while (!queue.isEmpty() && queue.peek()[0] <= end) {
        double[] next = queue.poll();
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
    public Timer schedule(double delayMillis, Runnable task) {
      double sequence = nextSequence++;
      queue.add(new double[] {now + delayMillis, sequence});
      tasks.put(sequence, task);
      return () -> tasks.remove(sequence);
    }

    @Override
    public Scheduler scheduler() {
      return this;
    }

    // ---- Signalling -------------------------------------------------------------------------

    @Override
    public void startAttempt(AttemptRequest request) {
      passBoundary();
      peers.invite(request.call() + "/" + request.attempt());
      passBoundary();
    }

    @Override
    public void cancelAttempt(String call, int attempt) {
      passBoundary();
      String key = call + "/" + attempt;
      if (peers.attempts.replace(key, "ended") != null) {
        schedule(
            1, () -> controller.attemptEnded(call, attempt, Outcome.CANCELLED, Reason.NONE, 0));
      }
    }

    @Override
    public void releaseAttempt(String call, int attempt) {
      passBoundary();
      peers.attempts.replace(call + "/" + attempt, "ended");
    }

    @Override
    public void answer(String call, FinalAnswer answer) {
      passBoundary();
      boolean established = answer.kind() == FinalAnswer.Kind.STANDS;
      peers.answer(call, established ? "200" : answer.kind().name());
      passBoundary();
    }

    @Override
    public void releaseCaller(String call, boolean disconnected) {
      passBoundary();
      peers.callerReleased.put(call, true);
    }

    @Override
    public void probe(ExchangeDirectory.Entry exchange, double sentAt) {}

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
    public byte[] prepareAttempt(AttemptRequest request) {
      return bytes(request.call() + "/" + request.attempt());
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
    public byte[] updateLeg(String call, boolean callerSide, byte[] encodedLeg) {
      return encodedLeg;
    }

    @Override
    public boolean isReleasing(String call) {
      return false;
    }

    @Override
    public void prepareSuccess(String call) {}

    @Override
    public long persistentClockMillis() {
      return 1_000_000;
    }

    @Override
    public void resume(SavedCall saved, boolean answerDue, int incarnation) {
      passBoundary();
      if (answerDue) {
        peers.answer(saved.id(), "200");
      }
    }

    @Override
    public void verify(String call, boolean callerSide, Consumer<LegStatus> result) {
      passBoundary();
      int attempt = controller.call(call).attemptCount() - 1;
      boolean remoteActive =
          peers.attempts.getOrDefault(call + "/" + attempt, "").equals("established");
      boolean callerGone = peers.callerReleased.getOrDefault(call, false);
      result.accept((callerSide ? !callerGone : remoteActive) ? LegStatus.ACTIVE : LegStatus.GONE);
    }

    @Override
    public void releaseLost(String call, boolean callerSide) {
      if (callerSide) {
        controller.callerReleased(call);
      } else {
        int attempt = controller.call(call).attemptCount() - 1;
        controller.attemptEnded(call, attempt, Outcome.RESET, Reason.NONE, 0);
      }
    }

    @Override
    public void restoreCallerLeg(
        SavedCall saved, Consumer<Runnable> whenCancelled, Runnable whenRetransmitted) {}

    @Override
    public void cancelAfterRestart(SavedCall saved, Runnable whenEnded) {
      passBoundary();
      peers.attempts.replace(saved.id() + "/" + saved.attempt(), "ended");
      schedule(1, whenEnded);
    }

    @Override
    public byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer) {
      return bytes(answer.kind().name());
    }

    @Override
    public void answerCancelled(SavedCall saved) {
      passBoundary();
      peers.answer(saved.id(), "487");
    }

    @Override
    public void resendFinalAnswer(SavedCall saved) {
      passBoundary();
      peers.answer(saved.id(), new String(saved.answer(), StandardCharsets.UTF_8));
    }
  }

  /** A policy that sends each call at once, and once more if the first attempt was busy. */
  private static final class RetryOncePolicy implements CallPolicy {
    private final Actions actions;

    RetryOncePolicy(Actions actions) {
      this.actions = actions;
    }

    @Override
    public void onStart(double now) {}

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate update) {}

    @Override
    public void onCall(double now, Call call) {
      actions.send(call.id(), "e1", 800);
    }

    @Override
    public void onEstablished(double now, Established established) {}

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

  private static List<Consumer<Incarnation>> script(Peers peers) {
    List<Consumer<Incarnation>> steps = new ArrayList<>();
    for (int index = 0; index < CALLS; index++) {
      String id = "c" + index;
      steps.add(incarnation -> incarnation.controller.callArrived(call(id)));
      steps.add(incarnation -> incarnation.advance(2));
    }
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c0", 0, "established"));
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c1", 0, "busy"));
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c2", 0, "busy"));
    steps.add(incarnation -> incarnation.advance(5));
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c1", 1, "established"));
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c2", 1, "busy"));
    steps.add(
        incarnation -> {
          if (incarnation.controller.call("c3") != null) {
            incarnation.signalling.callerCancelled("c3", () -> peers.answer("c3", "487"));
            incarnation.controller.callerAbandoned("c3");
          }
        });
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c4", 0, "established"));
    steps.add(incarnation -> incarnation.advance(5));
    steps.add(incarnation -> callerReleases(incarnation, peers, "c0"));
    steps.add(incarnation -> remoteEvent(incarnation, peers, "c4", 0, "ended"));
    steps.add(incarnation -> incarnation.advance(4_000));
    return steps;
  }

  private static Call call(String id) {
    return new Call(id, 0, 2_000, 1, "555", 1, false, false, false);
  }

  /** The remote exchange answers, rejects or releases the attempt, if its state allows that. */
  private static void remoteEvent(
      Incarnation incarnation, Peers peers, String call, int attempt, String event) {
    String key = call + "/" + attempt;
    String state = peers.attempts.get(key);
    if (event.equals("ended") && "established".equals(state)) {
      peers.attempts.put(key, "ended");
      incarnation.controller.attemptEnded(call, attempt, Outcome.DONE, Reason.NONE, 0);
    } else if ("pending".equals(state) && event.equals("established")) {
      peers.attempts.put(key, "established");
      incarnation.controller.attemptAnswered(call, attempt);
    } else if ("pending".equals(state) && event.equals("busy")) {
      peers.attempts.put(key, "ended");
      incarnation.controller.attemptEnded(call, attempt, Outcome.BUSY, Reason.NO_CIRCUIT, 0);
    }
  }

  private static void callerReleases(Incarnation incarnation, Peers peers, String call) {
    if (peers.isEstablished(call)) {
      peers.callerReleased.put(call, true);
      incarnation.controller.callerReleased(call);
    }
  }

  /**
   * Runs the script and kills each run of the controller at the given boundary.
   *
   * @return number of boundaries that the last run passed, the one that completed the script
   */
  private int runScript(long seed, boolean diskFails, int... killBoundaries) {
    SplittableRandom random = new SplittableRandom(seed);
    MemoryStore store = new MemoryStore(this::passBoundary);
    store.diskFails = diskFails;
    List<Consumer<Incarnation>> steps = script(peers);
    int nextStep = 0;
    int incarnations = 0;
    Incarnation current = null;
    int boundaryCount = 0;
    while (nextStep < steps.size()) {
      boundaries = 0;
      killAt =
          incarnations < killBoundaries.length ? killBoundaries[incarnations] : Integer.MAX_VALUE;
      incarnations++;
      try {
        current = new Incarnation(store);
        current.advance(30);
        while (nextStep < steps.size()) {
          steps.get(nextStep).accept(current);
          nextStep++;
        }
        boundaryCount = boundaries;
      } catch (Killed killed) {
        store.crash(random);
        nextStep++;
      }
    }
    killAt = Integer.MAX_VALUE;
    current = incarnations <= killBoundaries.length ? new Incarnation(store) : current;
    current.advance(60_000);
    assertSettled(current);
    return boundaryCount;
  }

  /** Asserts that every attempt at the peers has ended or is established and tracked. */
  private void assertSettled(Incarnation incarnation) {
    assertEquals(List.of(), peers.violations);
    peers.attempts.forEach(
        (key, state) -> {
          String call = key.substring(0, key.indexOf('/'));
          boolean tracked = incarnation.controller.call(call) != null;
          assertTrue(state.equals("ended") || tracked, key + " is " + state + " and not tracked");
          boolean established = tracked && state.equals("established") && peers.isEstablished(call);
          assertTrue(state.equals("ended") || established, key + " is " + state);
        });
    assertTrue(incarnation.recovery.isComplete());
  }

  @Test
  void theScriptCompletesWithoutACrash() {
    runScript(1, false);
    assertEquals(List.of("200"), peers.finalAnswers.get("c1"));
    assertEquals(List.of("REFUSED"), peers.finalAnswers.get("c2"));
    assertEquals("established", peers.attempts.get("c1/1"));
    assertEquals("ended", peers.attempts.get("c0/0"));
  }

  @Test
  void aCrashAtAnyBoundaryViolatesNoRule() {
    int boundaryCount = new CrashTest().runScript(1, false);
    assertTrue(boundaryCount > 50, "boundaries " + boundaryCount);
    for (int firstKill = 1; firstKill <= boundaryCount; firstKill++) {
      for (long seed = 1; seed <= 4; seed++) {
        new CrashTest().runScript(seed, false, firstKill);
      }
    }
  }

  @Test
  void aSecondCrashDuringRecoveryViolatesNoRule() {
    int boundaryCount = new CrashTest().runScript(1, false);
    for (int firstKill = 1; firstKill <= boundaryCount; firstKill += 2) {
      for (int secondKill = 1; secondKill <= 12; secondKill++) {
        new CrashTest().runScript(firstKill, false, firstKill, secondKill);
      }
    }
  }

  @Test
  void anEstablishedCallSurvivesTheCrash() {
    int boundaryCount = new CrashTest().runScript(1, false);
    for (int firstKill = boundaryCount - 20; firstKill <= boundaryCount; firstKill++) {
      CrashTest test = new CrashTest();
      test.runScript(3, false, firstKill);
      assertEquals("established", test.peers.attempts.get("c1/1"), "killed at " + firstKill);
    }
  }

  @Test
  void aFailingDiskStopsNoCall() {
    runScript(1, true);
    assertEquals(List.of("200"), peers.finalAnswers.get("c1"));
  }

  @Test
  void aZeroRecoveryBudgetIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new RecoveryRate.Budget(0, 0));
  }
}
