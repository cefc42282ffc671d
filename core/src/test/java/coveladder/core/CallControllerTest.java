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

/** The driver with a policy and a front that do just what the test says. */
class CallControllerTest {
  private final List<String> events = new ArrayList<>();
  private final List<String> wire = new ArrayList<>();
  private final VirtualClock clock = new VirtualClock(0);
  private CallPolicy.Actions actions;
  private AttemptGuard guard;
  private CallController controller;
  private boolean refuseAtOnce;

  /** Writes down what the core asks for. */
  private final class Wire implements Signalling {
    @Override
    public void startAttempt(AttemptRequest order) {
      wire.add("start " + order.call() + "/" + order.attempt() + " " + order.nextExchange().id());
      if (refuseAtOnce) {
        refuseAtOnce = false;
        controller.attemptEnded(
            order.call(), order.attempt(), Outcome.SKIPPED, Reason.PROCESSOR_FULL, 0);
      }
    }

    @Override
    public void cancelAttempt(String call, int attempt) {
      wire.add("cancel " + call + "/" + attempt);
    }

    @Override
    public void releaseAttempt(String call, int attempt) {
      wire.add("release " + call + "/" + attempt);
    }

    @Override
    public void answer(String call, FinalAnswer answer) {
      wire.add("answer " + call + " " + answer.kind());
    }

    @Override
    public void releaseCaller(String call, boolean cut) {
      wire.add("bye " + call + (cut ? " cut" : ""));
    }

    @Override
    public void probe(ExchangeDirectory.Entry exchange, double askedAt) {
      wire.add("probe " + exchange.id());
    }

    @Override
    public void broadcast(byte[] payload) {
      wire.add("tell " + payload.length);
    }

    @Override
    public void subscribeToDirectory() {
      wire.add("subscribe");
    }

    @Override
    public Scheduler scheduler() {
      return clock;
    }
  }

  /** Writes down what the policy hears. */
  private final class Script implements CallPolicy {
    @Override
    public void onStart(double now) {
      events.add("start");
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate news) {
      events.add("list " + news.entries().size());
    }

    @Override
    public void onCall(double now, Call call) {
      events.add("call " + call.id());
      if (call.number().equals("send")) {
        actions.send(call.id(), "e1", 500);
      }
    }

    @Override
    public void onEstablished(double now, Established stands) {
      events.add("stands " + stands.call() + " " + stands.elapsed());
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      events.add(
          "ended " + ended.outcome() + " " + ended.reason() + " last=" + ended.callFinished());
    }

    @Override
    public void onCallerAbandoned(double now, String call) {
      events.add("left " + call);
    }

    @Override
    public void onLoadReport(double now, LoadReport report) {
      events.add("report " + report.exchange() + " " + report.load().freeCircuits());
    }

    @Override
    public void onTimer(double now, long label) {
      events.add("timer " + label);
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] payload) {
      events.add("peer " + from);
    }
  }

  @BeforeEach
  void start() {
    CallClass kind = new CallClass(1, 0, 1000, 3000, 1, 5000, List.of());
    CallPolicy.Settings settings =
        new CallPolicy.Settings(
            Layout.MESH,
            0,
            2,
            List.of(kind),
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
    guard = new AttemptGuard(300, 250);
    controller =
        new CallController(
            settings,
            new Wire(),
            guard,
            CallController.Observer.NONE,
            given -> {
              actions = given;
              return new Script();
            });
    controller.start();
    list(1, ExchangeState.IN_SERVICE);
    events.clear();
    wire.clear();
  }

  private void list(long version, ExchangeState state) {
    ExchangeDirectory.Entry far = new ExchangeDirectory.Entry("e1", 1, "x1", "sip:s1", state, 0);
    controller.updateDirectory(new ExchangeDirectory.Update(true, 0, version, List.of(far)));
  }

  private void call(String id, String number) {
    controller.callArrived(new Call(id, 0, 2_000, 1, number, 1, false, false, false));
  }

  @Test
  void aCallThatStandsAndEnds() {
    call("a", "send");
    clock.advance(40);
    controller.attemptAnswered("a", 0);
    controller.attemptAnswered("a", 0);
    clock.advance(9_000);
    controller.attemptEnded("a", 0, Outcome.DONE, Reason.NONE, 0);
    controller.attemptEnded("a", 0, Outcome.DONE, Reason.NONE, 0);
    assertEquals(List.of("call a", "stands a 40.0", "ended DONE NONE last=true"), events);
    assertEquals(
        List.of("start a/0 e1", "answer a STANDS", "release a/0", "bye a"), wire, wire.toString());
    assertEquals(0, controller.callCount());
  }

  @Test
  void aTimeOutIsToldOnlyWhenTheWireSaysThatItIsOver() {
    call("a", "send");
    clock.advance(700);
    assertEquals(List.of("start a/0 e1", "cancel a/0"), wire);
    assertEquals(List.of("call a"), events);
    controller.attemptEnded("a", 0, Outcome.BUSY, Reason.NO_CIRCUIT, 5);
    assertEquals("ended TIMED_OUT NONE last=false", events.get(1));
  }

  @Test
  void theLastGuardHoldsBackWhatWouldBreakARule() {
    call("a", "send");
    actions.send("a", "e1", 500);
    controller.attemptEnded("a", 0, Outcome.RESET, Reason.NONE, 0);
    clock.advance(299);
    actions.send("a", "e1", 500);
    clock.advance(2);
    actions.send("a", "e1", 500);
    assertEquals(2, guard.suppressed());
    assertEquals(List.of("start a/0 e1", "start a/3 e1"), wire);
    controller.attemptEnded("a", 3, Outcome.BUSY, Reason.NONE, 0);
    list(2, ExchangeState.DRAINING);
    clock.advance(249);
    actions.send("a", "e1", 500);
    assertEquals("start a/4 e1", wire.get(2));
    controller.attemptEnded("a", 4, Outcome.BUSY, Reason.NONE, 0);
    clock.advance(2);
    actions.send("a", "e1", 500);
    assertEquals(3, guard.suppressed());
  }

  @Test
  void whatHappensWhileThePolicyDecidesWaitsUntilItIsDone() {
    refuseAtOnce = true;
    call("a", "send");
    assertEquals(List.of("call a", "ended SKIPPED PROCESSOR_FULL last=false"), events);
  }

  @Test
  void aPolicyThatForgetsACallDoesNotCostTheCallerItsAnswer() {
    call("a", "wait");
    clock.advance(2_001);
    assertEquals(List.of("answer a FAILED"), wire);
    assertEquals(List.of("call a", "left a"), events);
    actions.refuse("a", 0);
    actions.fail("a");
    actions.send("a", "e1", 100);
    assertEquals(1, wire.size());
  }

  @Test
  void aCallerThatLeavesHasItsAttemptCalledOff() {
    call("a", "send");
    controller.callerAbandoned("a");
    controller.callerAbandoned("a");
    assertEquals(List.of("start a/0 e1", "cancel a/0"), wire);
    assertEquals(1, controller.callCount());
    controller.attemptEnded("a", 0, Outcome.CANCELLED, Reason.NONE, 0);
    assertEquals("ended CANCELLED NONE last=true", events.get(2));
    assertEquals(0, controller.callCount());
  }

  @Test
  void aLateAnswerIsReleasedAndNotTold() {
    call("a", "send");
    controller.callerAbandoned("a");
    controller.attemptAnswered("a", 0);
    assertEquals("release a/0", wire.get(2));
    assertEquals(List.of("call a", "left a"), events);
  }

  @Test
  void aCalleesOwnAnswerEndsTheCall() {
    call("a", "send");
    controller.calleeRejected("a", 0);
    assertEquals(List.of("start a/0 e1", "answer a PASSED"), wire);
    assertEquals("ended ERROR NONE last=true", events.get(1));
    assertEquals(0, controller.callCount());
  }

  @Test
  void shutdownAnswersEachCallOnceAndTakesNothingNew() {
    call("a", "send");
    call("b", "wait");
    controller.shutDown();
    controller.shutDown();
    call("c", "send");
    assertEquals(
        List.of(
            "start a/0 e1",
            "answer a SHUT_DOWN",
            "cancel a/0",
            "answer b SHUT_DOWN",
            "answer c SHUT_DOWN"),
        wire);
    assertEquals(1, controller.outstandingAttempts());
  }

  @Test
  void circuitsAreToldOnceTheListKnowsTheirOtherEnd() {
    controller.circuitsReported(2, 7, 9, 1);
    assertTrue(events.isEmpty());
    ExchangeDirectory.Entry far =
        new ExchangeDirectory.Entry("e2", 2, "x2", "sip:s2", ExchangeState.IN_SERVICE, 0);
    controller.updateDirectory(new ExchangeDirectory.Update(false, 1, 2, List.of(far)));
    assertEquals(List.of("list 1", "report e2 7.0"), events);
    controller.circuitsReported(2, 5, 9, 1);
    assertEquals(2, events.size(), "an old version tells nothing");
  }

  @Test
  void oneIdIsOneCall() {
    call("a", "wait");
    assertThrows(IllegalArgumentException.class, () -> call("a", "wait"));
  }
}
