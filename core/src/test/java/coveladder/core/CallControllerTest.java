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
    public void startAttempt(AttemptOrder order) {
      wire.add("start " + order.call() + "/" + order.attempt() + " " + order.first().id());
      if (refuseAtOnce) {
        refuseAtOnce = false;
        controller.attemptOver(
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
    public void probe(ExchangeList.Entry exchange, double askedAt) {
      wire.add("probe " + exchange.id());
    }

    @Override
    public void tell(byte[] payload) {
      wire.add("tell " + payload.length);
    }

    @Override
    public void subscribeList() {
      wire.add("subscribe");
    }

    @Override
    public Clockwork clockwork() {
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
            CallController.Journal.NONE,
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
    ExchangeList.Entry far = new ExchangeList.Entry("e1", 1, "x1", "sip:s1", state, 0);
    controller.listNews(new ExchangeList.News(true, 0, version, List.of(far)));
  }

  private void call(String id, String number) {
    controller.callArrived(new Call(id, 0, 2_000, 1, number, 1, false, false, false));
  }

  @Test
  void aCallThatStandsAndEnds() {
    call("a", "send");
    clock.run(40);
    controller.attemptStands("a", 0);
    controller.attemptStands("a", 0);
    clock.run(9_000);
    controller.attemptOver("a", 0, Outcome.DONE, Reason.NONE, 0);
    controller.attemptOver("a", 0, Outcome.DONE, Reason.NONE, 0);
    assertEquals(List.of("call a", "stands a 40.0", "ended DONE NONE last=true"), events);
    assertEquals(
        List.of("start a/0 e1", "answer a STANDS", "release a/0", "bye a"), wire, wire.toString());
    assertEquals(0, controller.held());
  }

  @Test
  void aTimeOutIsToldOnlyWhenTheWireSaysThatItIsOver() {
    call("a", "send");
    clock.run(700);
    assertEquals(List.of("start a/0 e1", "cancel a/0"), wire);
    assertEquals(List.of("call a"), events);
    controller.attemptOver("a", 0, Outcome.BUSY, Reason.NO_CIRCUIT, 5);
    assertEquals("ended TIMED_OUT NONE last=false", events.get(1));
  }

  @Test
  void theLastGuardHoldsBackWhatWouldBreakARule() {
    call("a", "send");
    actions.send("a", "e1", 500);
    controller.attemptOver("a", 0, Outcome.RESET, Reason.NONE, 0);
    clock.run(299);
    actions.send("a", "e1", 500);
    clock.run(2);
    actions.send("a", "e1", 500);
    assertEquals(2, guard.heldBack());
    assertEquals(List.of("start a/0 e1", "start a/3 e1"), wire);
    controller.attemptOver("a", 3, Outcome.BUSY, Reason.NONE, 0);
    list(2, ExchangeState.DRAINING);
    clock.run(249);
    actions.send("a", "e1", 500);
    assertEquals("start a/4 e1", wire.get(2));
    controller.attemptOver("a", 4, Outcome.BUSY, Reason.NONE, 0);
    clock.run(2);
    actions.send("a", "e1", 500);
    assertEquals(3, guard.heldBack());
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
    clock.run(2_001);
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
    controller.callerLeft("a");
    controller.callerLeft("a");
    assertEquals(List.of("start a/0 e1", "cancel a/0"), wire);
    assertEquals(1, controller.held());
    controller.attemptOver("a", 0, Outcome.CANCELLED, Reason.NONE, 0);
    assertEquals("ended CANCELLED NONE last=true", events.get(2));
    assertEquals(0, controller.held());
  }

  @Test
  void aLateAnswerIsReleasedAndNotTold() {
    call("a", "send");
    controller.callerLeft("a");
    controller.attemptStands("a", 0);
    assertEquals("release a/0", wire.get(2));
    assertEquals(List.of("call a", "left a"), events);
  }

  @Test
  void aCalleesOwnAnswerEndsTheCall() {
    call("a", "send");
    controller.attemptConclusive("a", 0);
    assertEquals(List.of("start a/0 e1", "answer a PASSED"), wire);
    assertEquals("ended ERROR NONE last=true", events.get(1));
    assertEquals(0, controller.held());
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
    assertEquals(1, controller.outstanding());
  }

  @Test
  void circuitsAreToldOnceTheListKnowsTheirOtherEnd() {
    controller.circuits(2, 7, 9, 1);
    assertTrue(events.isEmpty());
    ExchangeList.Entry far =
        new ExchangeList.Entry("e2", 2, "x2", "sip:s2", ExchangeState.IN_SERVICE, 0);
    controller.listNews(new ExchangeList.News(false, 1, 2, List.of(far)));
    assertEquals(List.of("list 1", "report e2 7.0"), events);
    controller.circuits(2, 5, 9, 1);
    assertEquals(2, events.size(), "an old version tells nothing");
  }

  @Test
  void oneIdIsOneCall() {
    call("a", "wait");
    assertThrows(IllegalArgumentException.class, () -> call("a", "wait"));
  }
}
