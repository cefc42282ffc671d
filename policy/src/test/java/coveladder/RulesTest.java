package coveladder;

import static coveladder.PolicyFixture.LOW_WORTH;
import static coveladder.PolicyFixture.inServiceExchange;
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
import coveladder.RecordingActions.RecordedAction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Passes thousands of random legal events to the policy and checks its five rules after every step:
 *
 * <ul>
 *   <li>an attempt is sent only to an exchange in service;
 *   <li>only one attempt of a call is outstanding, and the guard time passes before the next;
 *   <li>a call has no more attempts than the settings allow, and none after its end;
 *   <li>a call that is not established gets exactly one final answer, in time;
 *   <li>a cold exchange receives no more set-ups than its budget.
 * </ul>
 */
class RulesTest {
  private static final int SEEDS = 60;

  /** Random events for each seed. */
  private static final int STEPS = 600;

  /** The expected state of one call. */
  private static final class CallState {
    double deadline;
    boolean finished;
    boolean established;
    int attempts;

    /** Number of the attempt that is in flight or established; -1: none. */
    int outstandingAttempt = -1;

    /** Id of the exchange of the last attempt. */
    String exchange = "";

    double timeoutAt;
    double guardUntil;
    int finalAnswers;
  }

  private final Map<String, CallState> calls = new LinkedHashMap<>();

  /** States of the exchanges in the directory, by id. */
  private final Map<String, ExchangeState> directory = new LinkedHashMap<>();

  /** Times of the last start of the exchanges, by id. */
  private final Map<String, Double> startTimes = new LinkedHashMap<>();

  /** Times of all set-ups sent to the exchanges, by id. */
  private final Map<String, List<Double>> sendTimes = new LinkedHashMap<>();

  private SplittableRandom random;
  private PolicyFixture fixture;
  private int checkedActions;
  private int nextCallNumber;
  private int localCalls;

  @ParameterizedTest
  @EnumSource(Layout.class)
  void theFiveRulesHoldAfterEveryStep(Layout layout) {
    for (int seed = 0; seed < SEEDS; seed++) {
      startScenario(layout, seed);
      for (int step = 0; step < STEPS; step++) {
        randomEvent();
        checkRules();
      }
      for (int i = 0; i < 1000; i++) {
        advanceClock(10);
        checkRules();
      }
      calls.forEach(
          (id, call) -> assertTrue(call.finished || call.established, id + " never answered"));
    }
  }

  private void startScenario(Layout layout, int seed) {
    random = new SplittableRandom(seed);
    calls.clear();
    directory.clear();
    startTimes.clear();
    sendTimes.clear();
    checkedActions = 0;
    localCalls = 0;
    fixture = new PolicyFixture(PolicyFixture.settings(layout, layout == Layout.MESH ? 0 : -1));
    for (int i = 0; i < 5; i++) {
      updateExchange(i, ExchangeState.IN_SERVICE, 0);
    }
  }

  private void randomEvent() {
    switch (random.nextInt(9)) {
      case 0, 1, 2 -> offerRandomCall();
      case 3 -> abandonRandomCall();
      case 4 ->
          updateExchange(random.nextInt(5), ExchangeState.values()[random.nextInt(3)], fixture.now);
      case 5 -> reportRandomLoad();
      case 6 -> advanceClock(200 * random.nextDouble());
      default -> endRandomAttempt();
    }
    if (random.nextInt(4) == 0) {
      advanceClock(30 * random.nextDouble());
    }
  }

  private void offerRandomCall() {
    String id = "c" + nextCallNumber++;
    CallState call = new CallState();
    double patience = random.nextInt(10) == 0 ? random.nextInt(30) : 500 + random.nextInt(3000);
    call.deadline = fixture.now + patience;
    calls.put(id, call);
    boolean mesh = fixture.settings.layout() == Layout.MESH;
    boolean transit = mesh && random.nextInt(4) == 0;
    localCalls += transit ? 0 : 1;
    int destination = 1 + random.nextInt(4);
    int width = 1 + random.nextInt(2) * random.nextInt(3);
    String number = "n" + random.nextInt(8);
    boolean redial = random.nextInt(4) == 0;
    int type = random.nextInt(2);
    fixture.policy.onCall(
        fixture.now,
        new Call(id, type, patience, width, number, destination, transit, redial, false));
  }

  private void abandonRandomCall() {
    String id = randomCallId(call -> !call.finished && !call.established);
    if (id != null) {
      calls.get(id).finished = true;
      fixture.policy.onCallerAbandoned(fixture.now, id);
    }
  }

  private void updateExchange(int number, ExchangeState state, double startedAt) {
    String id = "x" + number;
    if (state == ExchangeState.GONE) {
      directory.remove(id);
    } else {
      directory.put(id, state);
      startTimes.put(id, startedAt);
    }
    Exchange entry = new Exchange(id, number, state, startedAt);
    fixture.policy.onDirectoryUpdate(
        fixture.now, new DirectoryUpdate(false, false, List.of(entry)));
  }

  private void reportRandomLoad() {
    int size = random.nextInt(12);
    int free = random.nextInt(size + 1);
    Load load = PolicyFixture.load(free, size);
    String id = "x" + (1 + random.nextInt(4));
    fixture.policy.onLoadReport(fixture.now, new LoadReport(id, true, 0, load));
  }

  private void endRandomAttempt() {
    String id = randomCallId(call -> call.outstandingAttempt >= 0);
    if (id == null) {
      return;
    }
    CallState call = calls.get(id);
    if (!call.established && !call.finished && random.nextInt(3) > 0) {
      call.established = true;
      fixture.establish(id, call.outstandingAttempt, random.nextInt(900));
      return;
    }
    Outcome outcome = call.established ? Outcome.DONE : randomFailure();
    endAttempt(id, call, outcome);
  }

  /** Returns any outcome but {@link Outcome#DONE}. */
  private Outcome randomFailure() {
    Outcome[] outcomes = Outcome.values();
    return outcomes[1 + random.nextInt(outcomes.length - 1)];
  }

  private void endAttempt(String id, CallState call, Outcome outcome) {
    boolean callFinished = call.established || call.finished;
    int attempt = call.outstandingAttempt;
    call.outstandingAttempt = -1;
    call.finished |= call.established;
    call.established = false;
    if (List.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED).contains(outcome)) {
      call.guardUntil = fixture.now + fixture.settings.guardTime();
    }
    Reason reason = Reason.values()[random.nextInt(Reason.values().length)];
    fixture.policy.onAttemptEnded(
        fixture.now,
        new AttemptEnded(
            id, attempt, call.exchange, outcome, reason, 0, 100, callFinished, Load.UNKNOWN));
  }

  /** Advances the clock in steps of its resolution and times out attempts, as a controller does. */
  private void advanceClock(double duration) {
    for (double remaining = duration;
        remaining > 0;
        remaining -= fixture.settings.clockResolution()) {
      fixture.advanceClock(Math.min(remaining, fixture.settings.clockResolution()));
      checkRules();
      for (var entry : new ArrayList<>(calls.entrySet())) {
        CallState call = entry.getValue();
        if (call.outstandingAttempt >= 0 && !call.established && call.timeoutAt <= fixture.now) {
          endAttempt(entry.getKey(), call, Outcome.TIMED_OUT);
          checkRules();
        }
      }
    }
  }

  /** Returns the id of a random call that meets the condition; null if there is none. */
  private String randomCallId(Predicate<CallState> condition) {
    List<String> ids = new ArrayList<>();
    calls.forEach(
        (id, call) -> {
          if (condition.test(call)) {
            ids.add(id);
          }
        });
    return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
  }

  private void checkRules() {
    for (; checkedActions < fixture.actions.recorded.size(); checkedActions++) {
      var action = fixture.actions.recorded.get(checkedActions);
      CallState call = calls.get(action.call());
      switch (action.type()) {
        case "send" -> checkSend(action, call);
        case "refuse", "fail" -> {
          assertTrue(
              !call.finished && !call.established,
              "final answer to a call that is established or finished");
          assertTrue(fixture.now <= call.deadline + 20, "final answer late");
          assertEquals(1, ++call.finalAnswers);
          call.finished = true;
        }
        default -> {}
      }
    }
    for (CallState call : calls.values()) {
      boolean overdue = !call.finished && !call.established && fixture.now > call.deadline + 200;
      assertTrue(!overdue, "call without a final answer");
    }
  }

  private void checkSend(RecordedAction action, CallState call) {
    Settings settings = fixture.settings;
    assertTrue(!call.finished, "sent after the end of the call");
    assertEquals(-1, call.outstandingAttempt, "two attempts outstanding");
    assertTrue(fixture.now >= call.guardUntil, "sent within the guard time");
    assertEquals(
        ExchangeState.IN_SERVICE,
        directory.get(action.exchange()),
        "sent to an exchange that is not in service");
    assertTrue(++call.attempts <= settings.maxAttempts());
    call.outstandingAttempt = call.attempts - 1;
    call.exchange = action.exchange();
    call.timeoutAt = fixture.now + action.value();
    checkColdBudget(action.exchange());
  }

  private void checkColdBudget(String exchange) {
    Settings settings = fixture.settings;
    List<Double> exchangeSendTimes = sendTimes.computeIfAbsent(exchange, key -> new ArrayList<>());
    exchangeSendTimes.add(fixture.now);
    double startedAt = startTimes.get(exchange);
    if (startedAt > 0 && fixture.now < startedAt + settings.rampTime()) {
      long inWindow =
          exchangeSendTimes.stream()
              .filter(sentAt -> sentAt >= startedAt && sentAt > fixture.now - settings.coldWindow())
              .count();
      // Upper bound of the policy's estimate: two set-ups for each local call so far, all of them
      // within 2000 ms, the shortest time over which the policy counts calls.
      double warmSetupsPerMilli = 2.0 * localCalls / 2000;
      double budgetShare =
          settings.coldMultiple()
              * settings.coldShare()
              * warmSetupsPerMilli
              * settings.coldWindow()
              / settings.controllerCount();
      assertTrue(inWindow <= Math.max(1, budgetShare), "cold exchange over its budget");
    }
  }

  /**
   * Guards against overload of an exchange that has just started: 90 controllers, each with a call
   * to it every 100 ms, must together stay within its budget.
   */
  @Test
  void allControllersTogetherStayWithinTheColdBudget() {
    Settings base = PolicyFixture.settings(Layout.MESH, 0);
    Settings settings =
        new Settings(
            base.layout(),
            /* localExchange= */ 0,
            /* controllerCount= */ 90,
            base.classes(),
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
    List<Double> allSendTimes = new ArrayList<>();
    for (int seed = 1; seed <= 90; seed++) {
      PolicyFixture controller = new PolicyFixture(settings, seed);
      controller.now = 20000;
      controller.updateDirectory(
          true, inServiceExchange(1, 0), inServiceExchange(2, 19900), inServiceExchange(3, 0));
      for (int step = 0; step < 90; step++) {
        int sentBefore = controller.actions.ofType("send").size();
        controller.offerCall("c" + step, LOW_WORTH, 2);
        controller.advanceClock(100);
        for (var send :
            controller
                .actions
                .ofType("send")
                .subList(sentBefore, controller.actions.ofType("send").size())) {
          allSendTimes.add(controller.now);
          controller.establish(send.call(), 0, 40);
        }
      }
    }
    // Each controller estimates this budget from its ten local calls a second and may use a 90th.
    double budget =
        settings.coldMultiple() * settings.coldShare() * 2 * 10 * settings.coldWindow() / 1000;
    for (double end = 20000; end < 29000; end += 500) {
      final double windowEnd = end;
      long inWindow =
          allSendTimes.stream()
              .filter(sentAt -> sentAt > windowEnd - settings.coldWindow() && sentAt <= windowEnd)
              .count();
      assertTrue(inWindow <= 1.3 * budget, inWindow + " set-ups against " + budget);
    }
    assertTrue(allSendTimes.size() > 20);
  }
}
