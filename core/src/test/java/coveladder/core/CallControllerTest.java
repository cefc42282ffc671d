package coveladder.core;

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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the controller with a scripted policy and a recording front end. */
class CallControllerTest {
  private final List<String> policyEvents = new ArrayList<>();
  private final List<String> signals = new ArrayList<>();
  private final VirtualClock clock = new VirtualClock(0);
  private CallPolicy.Actions actions;
  private AttemptGuard attemptGuard;
  private CallController controller;
  private boolean skipImmediately;

  /** Records what the core requests from the front end. */
  private final class RecordingSignalling implements Signalling {
    @Override
    public void startAttempt(AttemptRequest request) {
      signals.add(
          "start " + request.call() + "/" + request.attempt() + " " + request.nextExchange().id());
      if (skipImmediately) {
        skipImmediately = false;
        controller.attemptEnded(
            request.call(), request.attempt(), Outcome.SKIPPED, Reason.PROCESSOR_FULL, 0);
      }
    }

    @Override
    public void cancelAttempt(String call, int attempt) {
      signals.add("cancel " + call + "/" + attempt);
    }

    @Override
    public void releaseAttempt(String call, int attempt) {
      signals.add("release " + call + "/" + attempt);
    }

    @Override
    public void answer(String call, FinalAnswer answer) {
      signals.add("answer " + call + " " + answer.kind());
    }

    @Override
    public void releaseCaller(String call, boolean disconnected) {
      signals.add("release caller " + call + (disconnected ? " disconnected" : ""));
    }

    @Override
    public void probe(ExchangeDirectory.Entry exchange, double sentAt) {
      signals.add("probe " + exchange.id());
    }

    @Override
    public void broadcast(byte[] payload) {
      signals.add("broadcast " + payload.length);
    }

    @Override
    public void subscribeToDirectory() {
      signals.add("subscribe");
    }

    @Override
    public Scheduler scheduler() {
      return clock;
    }
  }

  /** Records the events of the policy; sends a set-up for each call to the number "send". */
  private final class ScriptedPolicy implements CallPolicy {
    @Override
    public void onStart(double now) {
      policyEvents.add("start");
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate update) {
      policyEvents.add("directory " + update.entries().size());
    }

    @Override
    public void onCall(double now, Call call) {
      policyEvents.add("call " + call.id());
      if (call.number().equals("send")) {
        actions.send(call.id(), "e1", 500);
      }
    }

    @Override
    public void onEstablished(double now, Established established) {
      policyEvents.add("established " + established.call() + " " + established.elapsed());
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      policyEvents.add(
          "ended " + ended.outcome() + " " + ended.reason() + " finished=" + ended.callFinished());
    }

    @Override
    public void onCallerAbandoned(double now, String call) {
      policyEvents.add("abandoned " + call);
    }

    @Override
    public void onLoadReport(double now, LoadReport report) {
      policyEvents.add("report " + report.exchange() + " " + report.load().freeCircuits());
    }

    @Override
    public void onTimer(double now, long label) {
      policyEvents.add("timer " + label);
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] payload) {
      policyEvents.add("peer " + from);
    }
  }

  @BeforeEach
  void startController() {
    CallClass callClass = new CallClass(1, 0, 1000, 3000, 1, 5000, List.of());
    CallPolicy.Settings settings =
        new CallPolicy.Settings(
            Layout.MESH,
            0,
            2,
            List.of(callClass),
            5,
            6,
            true,
            true,
            true,
            0,
            false,
            300,
            500,
            0.3,
            10_000,
            3,
            3_000);
    attemptGuard = new AttemptGuard(300, 250);
    controller =
        new CallController(
            settings,
            new RecordingSignalling(),
            attemptGuard,
            CallController.Observer.NONE,
            policyActions -> {
              actions = policyActions;
              return new ScriptedPolicy();
            });
    controller.start();
    updateDirectory(1, ExchangeState.IN_SERVICE);
    policyEvents.clear();
    signals.clear();
  }

  private void updateDirectory(long version, ExchangeState state) {
    ExchangeDirectory.Entry remote = new ExchangeDirectory.Entry("e1", 1, "x1", "sip:s1", state, 0);
    controller.updateDirectory(new ExchangeDirectory.Update(true, 0, version, List.of(remote)));
  }

  private void callArrives(String id, String number) {
    controller.callArrived(new Call(id, 0, 2_000, 1, number, 1, false, false, false));
  }

  @Test
  void anEstablishedCallEndsWithARelease() {
    callArrives("a", "send");
    clock.advance(40);
    controller.attemptAnswered("a", 0);
    controller.attemptAnswered("a", 0);
    clock.advance(9_000);
    controller.attemptEnded("a", 0, Outcome.DONE, Reason.NONE, 0);
    controller.attemptEnded("a", 0, Outcome.DONE, Reason.NONE, 0);
    assertEquals(
        List.of("call a", "established a 40.0", "ended DONE NONE finished=true"), policyEvents);
    assertEquals(
        List.of("start a/0 e1", "answer a STANDS", "release a/0", "release caller a"),
        signals,
        signals.toString());
    assertEquals(0, controller.callCount());
  }

  @Test
  void aTimeOutIsReportedOnlyWhenTheAttemptHasEnded() {
    callArrives("a", "send");
    clock.advance(700);
    assertEquals(List.of("start a/0 e1", "cancel a/0"), signals);
    assertEquals(List.of("call a"), policyEvents);
    controller.attemptEnded("a", 0, Outcome.BUSY, Reason.NO_CIRCUIT, 5);
    assertEquals("ended TIMED_OUT NONE finished=false", policyEvents.get(1));
  }

  @Test
  void theAttemptGuardSuppressesSetUpsThatViolateARule() {
    callArrives("a", "send");
    actions.send("a", "e1", 500);
    controller.attemptEnded("a", 0, Outcome.RESET, Reason.NONE, 0);
    clock.advance(299);
    actions.send("a", "e1", 500);
    clock.advance(2);
    actions.send("a", "e1", 500);
    assertEquals(2, attemptGuard.suppressed());
    assertEquals(List.of("start a/0 e1", "start a/3 e1"), signals);
    controller.attemptEnded("a", 3, Outcome.BUSY, Reason.NONE, 0);
    updateDirectory(2, ExchangeState.DRAINING);
    clock.advance(249);
    actions.send("a", "e1", 500);
    assertEquals("start a/4 e1", signals.get(2));
    controller.attemptEnded("a", 4, Outcome.BUSY, Reason.NONE, 0);
    clock.advance(2);
    actions.send("a", "e1", 500);
    assertEquals(3, attemptGuard.suppressed());
  }

  @Test
  void eventsDuringAPolicyCallbackAreQueuedUntilItReturns() {
    skipImmediately = true;
    callArrives("a", "send");
    assertEquals(List.of("call a", "ended SKIPPED PROCESSOR_FULL finished=false"), policyEvents);
  }

  @Test
  void aCallThatThePolicyIgnoresFailsWhenPatienceExpires() {
    callArrives("a", "wait");
    clock.advance(2_001);
    assertEquals(List.of("answer a FAILED"), signals);
    assertEquals(List.of("call a", "abandoned a"), policyEvents);
    actions.refuse("a", 0);
    actions.fail("a");
    actions.send("a", "e1", 100);
    assertEquals(1, signals.size());
  }

  @Test
  void anAbandonedCallHasItsAttemptCancelled() {
    callArrives("a", "send");
    controller.callerAbandoned("a");
    controller.callerAbandoned("a");
    assertEquals(List.of("start a/0 e1", "cancel a/0"), signals);
    assertEquals(1, controller.callCount());
    controller.attemptEnded("a", 0, Outcome.CANCELLED, Reason.NONE, 0);
    assertEquals("ended CANCELLED NONE finished=true", policyEvents.get(2));
    assertEquals(0, controller.callCount());
  }

  @Test
  void aLateAnswerIsReleasedAndNotReported() {
    callArrives("a", "send");
    controller.callerAbandoned("a");
    controller.attemptAnswered("a", 0);
    assertEquals("release a/0", signals.get(2));
    assertEquals(List.of("call a", "abandoned a"), policyEvents);
  }

  @Test
  void aRejectionByTheCalleeEndsTheCall() {
    callArrives("a", "send");
    controller.calleeRejected("a", 0);
    assertEquals(List.of("start a/0 e1", "answer a PASSED"), signals);
    assertEquals("ended ERROR NONE finished=true", policyEvents.get(1));
    assertEquals(0, controller.callCount());
  }

  @Test
  void shutdownAnswersEachCallOnceAndRefusesNewCalls() {
    callArrives("a", "send");
    callArrives("b", "wait");
    controller.shutDown();
    controller.shutDown();
    callArrives("c", "send");
    assertEquals(
        List.of(
            "start a/0 e1",
            "answer a SHUT_DOWN",
            "cancel a/0",
            "answer b SHUT_DOWN",
            "answer c SHUT_DOWN"),
        signals);
    assertEquals(1, controller.outstandingAttempts());
  }

  @Test
  void circuitsAreReportedOnceTheDirectoryKnowsTheRemoteExchange() {
    controller.circuitsReported(2, 7, 9, 1);
    assertTrue(policyEvents.isEmpty());
    ExchangeDirectory.Entry remote =
        new ExchangeDirectory.Entry("e2", 2, "x2", "sip:s2", ExchangeState.IN_SERVICE, 0);
    controller.updateDirectory(new ExchangeDirectory.Update(false, 1, 2, List.of(remote)));
    assertEquals(List.of("directory 1", "report e2 7.0"), policyEvents);
    controller.circuitsReported(2, 5, 9, 1);
    assertEquals(2, policyEvents.size(), "an outdated version is not reported");
  }

  /** The timers of refused calls were kept until they were due, and filled the heap. */
  @Test
  void aCancelledTimerOfThePolicyIsNotKept() {
    long before = clock.pendingTasks();
    actions.startTimer(9_000, 2);
    actions.startTimer(9_000, 3);
    actions.cancelTimer(2);
    actions.cancelTimer(2);
    assertEquals(before + 1, clock.pendingTasks());
    clock.advance(9_001);
    actions.cancelTimer(3);
    assertEquals(List.of("timer 3"), policyEvents);
  }

  @Test
  void aDuplicateCallIdIsRejected() {
    callArrives("a", "wait");
    assertThrows(IllegalArgumentException.class, () -> callArrives("a", "wait"));
  }
}
