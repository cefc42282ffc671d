package coveladder;

import static coveladder.PolicyFixture.HIGH_WORTH;
import static coveladder.PolicyFixture.LOW_WORTH;
import static coveladder.PolicyFixture.inServiceExchange;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.AttemptEnded;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import coveladder.RecordingActions.RecordedAction;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the decisions of the policy on single events and short sequences of them. */
class PolicyTest {
  private final PolicyFixture fixture = PolicyFixture.mesh();

  @Test
  void aCallIsSentDirectlyFirst() {
    fixture.offerCall("a", LOW_WORTH, 2);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("a"));
  }

  @Test
  void aCallWhoseDirectGroupIsFullTriesOneTandem() {
    fixture.reportCircuits(2, 0, 20);
    fixture.offerCall("a", LOW_WORTH, 2);
    assertEquals(1, fixture.actions.exchangesTried("a").size());
    assertFalse(fixture.actions.exchangesTried("a").contains("x2"));
  }

  /**
   * Returns the number of attempts of the last of ten calls that find the direct group full, while
   * tandems crank all calls back after {@code answerTime} ms.
   */
  private int attemptsAfterCrankbacks(double answerTime) {
    fixture.reportCircuits(2, 0, 20);
    for (int i = 0; i < 10; i++) {
      fixture.offerCall("c" + i, LOW_WORTH, 2);
      for (int attempt = 0; attempt < fixture.actions.exchangesTried("c" + i).size(); attempt++) {
        int tandem =
            Integer.parseInt(fixture.actions.exchangesTried("c" + i).get(attempt).substring(1));
        fixture.endAttempt("c" + i, attempt, tandem, Outcome.BUSY, Reason.TURNED_BACK, answerTime);
      }
      fixture.advanceClock(1600);
    }
    return fixture.actions.exchangesTried("c9").size();
  }

  @Test
  void tandemsThatCrankBackAreAvoidedWhileAnswersAreSlow() {
    assertEquals(0, attemptsAfterCrankbacks(200));
  }

  @Test
  void tandemsThatCrankBackAreTriedWhileAnswersArePrompt() {
    assertEquals(2, attemptsAfterCrankbacks(20));
  }

  @Test
  void aCrankbackDoesNotCountAgainstTheDestination() {
    fixture.reportCircuits(2, 0, 20);
    fixture.offerCall("c", HIGH_WORTH, 2);
    for (int attempt = 0; attempt < 2; attempt++) {
      int tandem = Integer.parseInt(fixture.actions.exchangesTried("c").get(attempt).substring(1));
      fixture.advanceClock(600);
      fixture.endAttempt("c", attempt, tandem, Outcome.BUSY, Reason.TURNED_BACK, 600);
    }
    fixture.reportCircuits(2, 20, 20);
    for (int i = 0; i < 4; i++) {
      fixture.offerCall("d" + i, HIGH_WORTH, 2);
      assertEquals(List.of("x2"), fixture.actions.exchangesTried("d" + i));
    }
  }

  /** Returns the settings of the mesh, but with the given longest retry delay of callers, ms. */
  private static Settings withMaxRetryAfter(double maxRetryAfter) {
    Settings base = PolicyFixture.settings(Layout.MESH, 0);
    return new Settings(
        base.layout(),
        base.localExchange(),
        base.controllerCount(),
        base.classes(),
        base.clockResolution(),
        base.maxAttempts(),
        base.mayCancel(),
        base.mayProbe(),
        base.mayBroadcast(),
        maxRetryAfter,
        base.directoryOnRequest(),
        base.guardTime(),
        base.retransmitAfter(),
        base.coldShare(),
        base.rampTime(),
        base.coldMultiple(),
        base.coldWindow());
  }

  @Test
  void anUnroutableCallIsAnsweredImmediately() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.advanceClock(1000);
    fixture.endAttempt("a", 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1000);
    assertEquals(1, fixture.actions.finalAnswers("a").size(), "the guard time outlasts the aim");
    fixture.updateDirectory(false, new Exchange("x3", 3, ExchangeState.GONE, 0));
    fixture.offerCall("b", HIGH_WORTH, 3);
    assertEquals(1, fixture.actions.finalAnswers("b").size(), "no exchange to send to");
  }

  @Test
  void aCallWithoutDirectGroupIsRefusedAfterItsLastTandem() {
    fixture.reportCircuits(2, 0, 0);
    fixture.offerCall("a", HIGH_WORTH, 2);
    for (int attempt = 0; attempt < 2; attempt++) {
      int tandem = Integer.parseInt(fixture.actions.exchangesTried("a").get(attempt).substring(1));
      fixture.endAttempt("a", attempt, tandem, Outcome.BUSY, Reason.TURNED_BACK, 20);
    }
    assertEquals(List.of("refuse"), fixture.actions.finalAnswers("a"));
  }

  @Test
  void aCallThatCanStillBeSentWaits() {
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 0, 20);
    }
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.advanceClock(1000);
    assertTrue(fixture.actions.finalAnswers("a").isEmpty());
  }

  /**
   * Returns the refusal of a call whose only exchange has a full processor that asks for 2 s, which
   * is beyond every aim.
   */
  private static RecordedAction refusalByFullProcessor(PolicyFixture fixture) {
    fixture.updateDirectory(true, inServiceExchange(0, 0), inServiceExchange(2, 0));
    fixture.reportCircuits(2, 20, 20);
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.policy.onAttemptEnded(
        fixture.now,
        new AttemptEnded(
            "a",
            0,
            "x2",
            Outcome.BUSY,
            Reason.PROCESSOR_FULL,
            2000,
            20,
            false,
            PolicyFixture.load(20, 20)));
    return fixture.actions.ofType("refuse").get(0);
  }

  @Test
  void aRefusalAsksToRetryWhenThePauseEnds() {
    assertEquals(0, refusalByFullProcessor(new PolicyFixture(withMaxRetryAfter(0))).value());
    assertEquals(
        2000, refusalByFullProcessor(new PolicyFixture(withMaxRetryAfter(5000))).value(), 100);
    assertEquals(1500, refusalByFullProcessor(new PolicyFixture(withMaxRetryAfter(1500))).value());
  }

  @Test
  void anUnreachableExchangeDoesNotUseUpTheAttemptsOfACall() {
    fixture.offerCall("a", LOW_WORTH, 2);
    for (int attempt = 0; attempt < fixture.actions.exchangesTried("a").size(); attempt++) {
      fixture.endAttempt("a", attempt, 2, Outcome.REFUSED, Reason.NONE, 10);
    }
    assertEquals(1, fixture.actions.exchangesTried("a").size());
  }

  /**
   * Returns the highest number of busy circuits, those of the redial included, at which a redial of
   * the class is admitted to the group of 20 circuits.
   */
  private static int maxOccupancyAdmittingRedials(PolicyFixture fixture, int type, int width) {
    int free = 0;
    String id = "";
    do {
      id = "r" + type + "." + ++free;
      fixture.reportCircuits(2, free, 20);
      fixture.policy.onCall(
          fixture.now, new Call(id, type, 3000, width, id, 2, false, true, false));
    } while (free < 20 && fixture.actions.exchangesTried(id).isEmpty());
    fixture.establish(id, 0, 40);
    fixture.endAttempt(id, 0, 2, Outcome.DONE, Reason.NONE);
    return 20 - free + width;
  }

  /** Guards against admitting a redial that seizes several circuits as if it seized only one. */
  @Test
  void wideRedialsAreAdmittedUpToNoHigherOccupancyThanNarrowOnes() {
    Settings base = PolicyFixture.settings(Layout.MESH, 0);
    List<CallClass> classes =
        List.of(
            new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of()),
            new CallClass(2, 0.25, 1200, 9000, 3, 10000, List.of()));
    PolicyFixture loadedFixture =
        new PolicyFixture(
            new Settings(
                base.layout(),
                /* localExchange= */ 0,
                /* controllerCount= */ 4,
                classes,
                base.clockResolution(),
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
                /* coldWindow= */ 3000));
    loadedFixture.updateDirectory(true, inServiceExchange(0, 0), inServiceExchange(2, 0));
    loadedFixture.reportCircuits(2, 0, 20);
    for (int i = 0; i < 60; i++) {
      loadedFixture.offerCall("c" + i, i % 10 == 0 ? 1 : 0, 2);
      loadedFixture.advanceClock(200);
    }
    loadedFixture.reportCircuits(2, 8, 20);
    loadedFixture.advanceClock(6000);
    int narrow = maxOccupancyAdmittingRedials(loadedFixture, 0, 1);
    int wide = maxOccupancyAdmittingRedials(loadedFixture, 1, 3);
    assertTrue(wide <= narrow, wide + " " + narrow);
  }

  @Test
  void loadReportsThatFreeNoCircuitTriggerNoRouteSearch() {
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 1, 20);
    }
    fixture.reportCircuits(2, 0, 20);
    for (int i = 0; i < 50; i++) {
      fixture.offerCall("c" + i, LOW_WORTH, 2);
    }
    long searchedBefore = fixture.policy.routesSearched;
    for (int i = 0; i < 100; i++) {
      fixture.reportCircuits(1, 0, 20);
    }
    assertEquals(searchedBefore, fixture.policy.routesSearched);
    fixture.reportCircuits(2, 1, 20);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("c0"));
    assertEquals(searchedBefore + 50, fixture.policy.routesSearched);
  }

  @Test
  void aRedialBeforeAnyFirstCallMayUseATandem() {
    fixture.reportCircuits(2, 0, 20);
    fixture.policy.onCall(fixture.now, new Call("r", 0, 3000, 1, "n", 2, false, true, false));
    assertEquals(1, fixture.actions.exchangesTried("r").size());
  }

  @Test
  void whileAnswersAreSlowLowWorthCallsAreSentOneAtATimeAndHighWorthCallsAsBefore() {
    for (int i = 0; i < 6; i++) {
      fixture.offerCall("s" + i, LOW_WORTH, 1 + i % 2);
      fixture.advanceClock(700);
      fixture.establish("s" + i, 0, 700);
    }
    fixture.offerCall("a", LOW_WORTH, 3);
    fixture.offerCall("b", LOW_WORTH, 3);
    fixture.offerCall("c", HIGH_WORTH, 3);
    assertEquals(List.of("x3"), fixture.actions.exchangesTried("a"));
    assertTrue(fixture.actions.exchangesTried("b").isEmpty());
    assertEquals(List.of("x3"), fixture.actions.exchangesTried("c"));
  }

  @Test
  void aCallWithoutDirectGroupUsesATandem() {
    fixture.reportCircuits(2, 0, 0);
    fixture.offerCall("a", LOW_WORTH, 2);
    assertEquals(1, fixture.actions.exchangesTried("a").size());
    assertFalse(fixture.actions.exchangesTried("a").contains("x2"));
  }

  @Test
  void alternativeCallsLeaveAReserveThatGrowsWithBlocking() {
    fixture.reportCircuits(1, 1, 20);
    fixture.reportCircuits(3, 1, 20);
    fixture.reportCircuits(2, 0, 20);
    fixture.offerCall("a", HIGH_WORTH, 2);
    assertTrue(fixture.actions.exchangesTried("a").isEmpty());
    fixture.reportCircuits(1, 2, 20);
    assertEquals(List.of("x1"), fixture.actions.exchangesTried("a"));
  }

  @Test
  void aTransitCallIsSentDirectlyOrRefused() {
    fixture.offerTransitCall("a", LOW_WORTH, 2);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("a"));
    fixture.reportCircuits(2, 0, 20);
    fixture.offerTransitCall("b", HIGH_WORTH, 2);
    assertTrue(fixture.actions.exchangesTried("b").isEmpty());
    assertEquals(List.of("refuse"), fixture.actions.finalAnswers("b"));
  }

  @Test
  void aCallWaitsForAFreeCircuitUntilItsAim() {
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 0, 20);
    }
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.offerCall("b", HIGH_WORTH, 2);
    fixture.advanceClock(300);
    fixture.reportCircuits(2, 1, 20);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("b"));
    assertTrue(fixture.actions.exchangesTried("a").isEmpty());
    fixture.advanceClock(900);
    assertEquals(List.of("refuse"), fixture.actions.finalAnswers("a"));
  }

  @Test
  void theGuardTimePassesBeforeTheRetryOfATimedOutAttempt() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.advanceClock(400);
    fixture.endAttempt("a", 0, 2, Outcome.TIMED_OUT, Reason.NONE, 400);
    assertEquals(1, fixture.actions.exchangesTried("a").size());
    fixture.advanceClock(guardTime() - 1);
    assertEquals(1, fixture.actions.exchangesTried("a").size());
    fixture.advanceClock(1);
    assertEquals(2, fixture.actions.exchangesTried("a").size());
  }

  private double guardTime() {
    return fixture.settings.guardTime();
  }

  @Test
  void callsWaitWhileTheLocalProcessorIsDown() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.endAttempt("a", 0, 2, Outcome.SKIPPED, Reason.PROCESSOR_FULL, 0);
    fixture.offerCall("b", HIGH_WORTH, 3);
    assertEquals(1, fixture.actions.ofType("send").size());
    fixture.advanceClock(600);
    fixture.reportCircuits(2, 20, 20);
    assertEquals(3, fixture.actions.ofType("send").size());
  }

  @Test
  void redialsAreBlockedAtLowerOccupancyThanFirstCalls() {
    for (int i = 0; i < 200; i++) {
      fixture.reportCircuits(2, 0, 20);
      fixture.reportCircuits(1, 0, 20);
      fixture.reportCircuits(3, 0, 20);
      fixture.offerCall("c" + i, i % 10 == 0 ? HIGH_WORTH : LOW_WORTH, 2);
      fixture.advanceClock(50);
    }
    fixture.advanceClock(4000);
    int maxFreeBlockingFirstCalls = 0;
    int maxFreeBlockingRedials = 0;
    for (int free = 1; free <= 20; free++) {
      fixture.reportCircuits(2, free, 20);
      for (boolean redial : new boolean[] {false, true}) {
        String id = "f" + free + redial;
        fixture.policy.onCall(fixture.now, new Call(id, 0, 3000, 1, id, 2, false, redial, false));
        if (fixture.actions.exchangesTried(id).isEmpty()) {
          maxFreeBlockingFirstCalls = redial ? maxFreeBlockingFirstCalls : free;
          maxFreeBlockingRedials = redial ? free : maxFreeBlockingRedials;
        } else {
          fixture.establish(id, 0, 40);
          fixture.endAttempt(id, 0, 2, Outcome.DONE, Reason.NONE);
        }
      }
    }
    assertTrue(
        maxFreeBlockingFirstCalls < maxFreeBlockingRedials,
        maxFreeBlockingFirstCalls + " " + maxFreeBlockingRedials);
  }

  @Test
  void redialsWaitBehindFirstCalls() {
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 0, 20);
    }
    fixture.policy.onCall(fixture.now, new Call("r", 0, 3000, 1, "n", 2, false, true, false));
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.reportCircuits(2, 1, 20);
    assertEquals(1, fixture.actions.exchangesTried("a").size());
    assertTrue(fixture.actions.exchangesTried("r").isEmpty());
  }

  @Test
  void noMoreThanTheMaximumOfAttemptsIsSent() {
    fixture.offerCall("a", LOW_WORTH, 2);
    for (int i = 0; i < fixture.settings.maxAttempts(); i++) {
      assertEquals(i + 1, fixture.actions.exchangesTried("a").size());
      fixture.endAttempt("a", i, 2, Outcome.ERROR, Reason.NONE, 20);
    }
    assertEquals(fixture.settings.maxAttempts(), fixture.actions.exchangesTried("a").size());
    assertEquals(1, fixture.actions.finalAnswers("a").size());
  }

  @Test
  void everyCallGetsItsFinalAnswerInTime() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.advanceClock(3000);
    assertEquals(1, fixture.actions.finalAnswers("a").size());
    fixture.endAttempt("a", 0, 2, Outcome.CANCELLED, Reason.NONE);
    assertEquals(1, fixture.actions.finalAnswers("a").size());
    assertEquals(1, fixture.actions.exchangesTried("a").size());
  }

  @Test
  void anAbandonedCallCausesNoFurtherActions() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.policy.onCallerAbandoned(fixture.now, "a");
    fixture.endAttempt("a", 0, 2, Outcome.BUSY, Reason.NO_CIRCUIT);
    fixture.advanceClock(5000);
    assertTrue(fixture.actions.finalAnswers("a").isEmpty());
    assertEquals(1, fixture.actions.exchangesTried("a").size());
  }

  @Test
  void nothingIsSentToADrainingOrRemovedExchange() {
    fixture.updateDirectory(false, new Exchange("x2", 2, ExchangeState.DRAINING, 0));
    fixture.offerCall("a", HIGH_WORTH, 2);
    fixture.updateDirectory(false, new Exchange("x2", 2, ExchangeState.GONE, 0));
    fixture.offerCall("b", HIGH_WORTH, 2);
    fixture.advanceClock(3000);
    assertTrue(fixture.actions.ofType("send").isEmpty());
    assertEquals(1, fixture.actions.finalAnswers("a").size());
    assertEquals(1, fixture.actions.finalAnswers("b").size());
  }

  @Test
  void aColdExchangeReceivesThisControllersShareOfItsBudget() {
    for (int i = 0; i < 40; i++) {
      fixture.offerCall("w" + i, LOW_WORTH, 1);
      fixture.establish("w" + i, 0, 40);
      fixture.endAttempt("w" + i, 0, 1, Outcome.DONE, Reason.NONE);
    }
    fixture.advanceClock(2100);
    fixture.updateDirectory(false, inServiceExchange(2, 2000));
    fixture.reportCircuits(2, 90, 90);
    int sentToCold = 0;
    for (int i = 0; i < 40; i++) {
      fixture.offerCall("c" + i, LOW_WORTH, 2);
      fixture.establish("c" + i, 0, 40);
      sentToCold += fixture.actions.exchangesTried("c" + i).contains("x2") ? 1 : 0;
    }
    // 27 = 3 (multiple) * 0.3 (cold share) * 2 set-ups per call * 20 calls/s * 3 s / 4 controllers.
    assertTrue(sentToCold == 26 || sentToCold == 27, "sent " + sentToCold);
  }

  @Test
  void aSmallGroupKeepsNoReserve() {
    fixture.reportCircuits(1, 1, 4);
    fixture.reportCircuits(3, 0, 4);
    fixture.reportCircuits(2, 0, 4);
    fixture.offerCall("a", LOW_WORTH, 2);
    assertEquals(List.of("x1"), fixture.actions.exchangesTried("a"));
  }

  @Test
  void theSuitableTandemWithMostFreeCircuitsIsChosen() {
    fixture.reportCircuits(2, 0, 20);
    for (int i = 0; i < 5; i++) {
      fixture.reportCircuits(1, 5, 20);
      fixture.reportCircuits(3, 9, 20);
      fixture.offerCall("a" + i, LOW_WORTH, 2);
      assertEquals(List.of("x3"), fixture.actions.exchangesTried("a" + i));
      fixture.endAttempt("a" + i, 0, 3, Outcome.ERROR, Reason.NUMBER_BUSY, 20);
    }
  }

  /**
   * Guards against a search for a new tandem on every call where many pairs of exchanges have no
   * direct group: a tandem that carried a call is preferred to one with more free circuits.
   */
  @Test
  void aTandemThatCarriedACallIsPreferredUntilItCranksBack() {
    fixture.reportCircuits(2, 0, 0);
    fixture.reportCircuits(1, 9, 20);
    fixture.reportCircuits(3, 0, 20);
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.establish("a", 0, 40);
    fixture.reportCircuits(1, 5, 20);
    fixture.reportCircuits(3, 9, 20);
    fixture.offerCall("b", LOW_WORTH, 2);
    assertEquals(List.of("x1"), fixture.actions.exchangesTried("b"));
    fixture.endAttempt("b", 0, 1, Outcome.BUSY, Reason.TURNED_BACK, 40);
    assertEquals(List.of("x1", "x3"), fixture.actions.exchangesTried("b"));
  }

  @Test
  void aSilentExchangeReceivesOneTrialCallAtATime() {
    for (int i = 0; i < 12; i++) {
      fixture.offerCall("c" + i, LOW_WORTH, 2);
    }
    int sent = fixture.actions.ofType("send").size();
    assertTrue(sent <= 4);
    fixture.advanceClock(1200);
    for (int i = 0; i < sent; i++) {
      fixture.endAttempt("c" + i, 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1200);
    }
    for (int i = 0; i < 12; i++) {
      fixture.offerCall("d" + i, LOW_WORTH, 2);
    }
    fixture.advanceClock(600);
    for (int i = 0; i < 12; i++) {
      fixture.offerCall("e" + i, LOW_WORTH, 2);
    }
    assertEquals(sent + 1, fixture.actions.ofType("send").size());
  }

  /**
   * Guards against pauses that are shorter than the time between two calls and so hold back none of
   * them: the pause has to grow with the time between calls.
   */
  @Test
  void pausesGrowWhileAProcessorStaysFull() {
    int answered = 0;
    for (int step = 0; step < 1000; step++) {
      if (step % 25 == 0) {
        fixture.offerCall("p" + step, LOW_WORTH, 2);
      }
      fixture.advanceClock(50);
      for (; answered < fixture.actions.ofType("send").size(); answered++) {
        String id = fixture.actions.ofType("send").get(answered).call();
        int attempt = fixture.actions.exchangesTried(id).size() - 1;
        fixture.endAttempt(id, attempt, 2, Outcome.BUSY, Reason.PROCESSOR_FULL, 40);
      }
    }
    assertTrue(answered >= 4 && answered <= 30, "answered " + answered);
  }

  /**
   * Guards against trial calls of many controllers that together overload an exchange, although
   * those of one controller alone would not.
   */
  @Test
  void trialCallsOfManyControllersAreSpreadInTime() {
    int trialCalls = 0;
    for (int seed = 1; seed <= 40; seed++) {
      PolicyFixture controller = PolicyFixture.mesh(seed);
      for (int i = 0; i < 40; i++) {
        String id = "t" + i;
        controller.offerCall(id, LOW_WORTH, 2);
        controller.advanceClock(1200);
        if (!controller.actions.exchangesTried(id).isEmpty()) {
          controller.endAttempt(id, 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1200);
          trialCalls++;
        }
      }
    }
    assertTrue(trialCalls > 0 && trialCalls < 40 * 40 / 2, "trial calls " + trialCalls);
  }

  @Test
  void badAnswersFromAllExchangesCountAgainstTheLocalProcessor() {
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.offerCall("a" + exchange, LOW_WORTH, exchange);
    }
    fixture.advanceClock(1200);
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.endAttempt("a" + exchange, 0, exchange, Outcome.TIMED_OUT, Reason.NONE, 1200);
    }
    int sentBefore = fixture.actions.ofType("send").size();
    fixture.advanceClock(600);
    for (int i = 0; i < 9; i++) {
      fixture.offerCall("b" + i, LOW_WORTH, 1 + i % 3);
    }
    int sentSince = fixture.actions.ofType("send").size() - sentBefore;
    assertTrue(sentSince >= 1 && sentSince <= 3, "sent " + sentSince);
  }

  /**
   * Guards against taking an exchange for slow after a stall of the local controller, which finds
   * old answers to read when it continues.
   */
  @Test
  void localStallsDoNotCountAgainstRemoteExchanges() {
    for (int round = 0; round < 8; round++) {
      fixture.offerCall("s" + round, LOW_WORTH, 2);
      fixture.now += 900;
      fixture.establish("s" + round, 0, 900);
    }
    fixture.advanceClock(200);
    for (int i = 0; i < 4; i++) {
      fixture.offerCall("a" + i, LOW_WORTH, 2);
      assertEquals(List.of("x2"), fixture.actions.exchangesTried("a" + i));
    }
  }

  /**
   * Guards against a wrong order of service after a stall: calls that can still reach their aim go
   * first, the most valuable ahead, and calls whose aim passed while they lay unread go last.
   */
  @Test
  void callsWhoseAimPassedDuringAStallAreServedLast() {
    fixture.offerCall("a", LOW_WORTH, 2);
    fixture.advanceClock(200);
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 0, 20);
    }
    fixture.now += 1500;
    fixture.policy.onCall(
        fixture.now, new Call("old", LOW_WORTH, 1600, 1, "n", 2, false, false, false));
    fixture.offerCall("new", LOW_WORTH, 2);
    fixture.reportCircuits(2, 1, 20);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("new"));
    assertTrue(fixture.actions.exchangesTried("old").isEmpty());
  }

  @Test
  void aCallNearItsAimIsNotUsedAsTrialCall() {
    aSilentExchangeReceivesOneTrialCallAtATime();
    int sent = fixture.actions.ofType("send").size();
    String trialCall = fixture.actions.ofType("send").get(sent - 1).call();
    fixture.advanceClock(900);
    fixture.endAttempt(trialCall, 0, 2, Outcome.BUSY, Reason.NO_CIRCUIT, 900);
    assertEquals(sent, fixture.actions.ofType("send").size());
  }

  @Test
  void fewSetUpsButSomeAreSentWhenAllExchangesAnswerSlowly() {
    for (int round = 0; round < 12; round++) {
      for (int exchange = 1; exchange <= 3; exchange++) {
        fixture.offerCall("r" + round + exchange, LOW_WORTH, exchange);
      }
      fixture.advanceClock(1150);
      for (var send : fixture.actions.ofType("send")) {
        if (send.call().startsWith("r" + round)) {
          fixture.establish(send.call(), 0, 1150);
        }
      }
    }
    int sentBefore = fixture.actions.ofType("send").size();
    for (int i = 0; i < 10; i++) {
      fixture.offerCall("z" + i, LOW_WORTH, 1 + i % 3);
      fixture.advanceClock(300);
      fixture.reportCircuits(1, 20, 20);
    }
    int sentSince = fixture.actions.ofType("send").size() - sentBefore;
    assertTrue(sentSince == 1, "sent " + sentSince);
  }

  @Test
  void aSlowProcessorIsNotUsedAsTandem() {
    for (int round = 0; round < 6; round++) {
      fixture.offerCall("r" + round, LOW_WORTH, 1);
      fixture.advanceClock(700);
      fixture.establish("r" + round, 0, 700);
    }
    fixture.reportCircuits(2, 0, 20);
    for (int i = 0; i < 8; i++) {
      fixture.offerCall("a" + i, LOW_WORTH, 2);
      assertFalse(fixture.actions.exchangesTried("a" + i).contains("x1"));
    }
  }

  @Test
  void callsToACongestedNumberAreRefused() {
    for (int i = 0; i < 5; i++) {
      fixture.policy.onCall(
          fixture.now, new Call("h" + i, 0, 3000, 1, "hot", 2, false, false, false));
      if (i == 0) {
        fixture.endAttempt("h0", 0, 2, Outcome.ERROR, Reason.NUMBER_BUSY, 40);
      }
    }
    assertEquals(1, fixture.actions.ofType("send").size());
    assertEquals(5, fixture.actions.ofType("refuse").size());
  }

  @Test
  void overflowCarriedByTandemsKeepsTheGroupOpen() {
    var withoutTandems = PolicyFixture.mesh();
    for (PolicyFixture current : List.of(fixture, withoutTandems)) {
      boolean tandemsCarry = current == fixture;
      for (int i = 0; i < 200; i++) {
        current.reportCircuits(2, 0, 20);
        current.reportCircuits(1, tandemsCarry ? 20 : 0, 20);
        current.reportCircuits(3, tandemsCarry ? 20 : 0, 20);
        current.offerCall("c" + i, i % 10 == 0 ? HIGH_WORTH : LOW_WORTH, 2);
        if (tandemsCarry) {
          current.establish("c" + i, 0, 40);
        }
        current.advanceClock(50);
      }
      current.advanceClock(2000);
      current.reportCircuits(2, 1, 20);
      current.offerCall("last", LOW_WORTH, 2);
    }
    assertEquals(List.of("x2"), fixture.actions.exchangesTried("last"));
    assertEquals(List.of("refuse"), withoutTandems.actions.finalAnswers("last"));
  }

  @Test
  void unusableSettingsAreNamedWithTheirValue() {
    var error =
        assertThrows(
            IllegalArgumentException.class,
            () ->
                new Settings(
                    Layout.MESH,
                    /* localExchange= */ 0,
                    /* controllerCount= */ 0,
                    /* classes= */ List.of(),
                    /* clockResolution= */ 5,
                    /* maxAttempts= */ 4,
                    /* mayCancel= */ true,
                    /* mayProbe= */ false,
                    /* mayBroadcast= */ false,
                    /* maxRetryAfter= */ 0,
                    /* directoryOnRequest= */ false,
                    /* guardTime= */ 1,
                    /* retransmitAfter= */ 1,
                    /* coldShare= */ 1,
                    /* rampTime= */ 1,
                    /* coldMultiple= */ 1,
                    /* coldWindow= */ 1));
    assertTrue(error.getMessage().contains("instances=0"));
  }

  @Test
  void callsUseOnlyThePoolsOfTheirClass() {
    var callClass = new CallClass(1, 0, 1000, 6000, 1, 9000, List.of(1, 3));
    Settings base = PolicyFixture.settings(Layout.POOLS, -1);
    var poolFixture =
        new PolicyFixture(
            new Settings(
                base.layout(),
                /* localExchange= */ -1,
                /* controllerCount= */ 4,
                /* classes= */ List.of(callClass),
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
                /* coldWindow= */ 3000));
    poolFixture.updateDirectory(
        true, inServiceExchange(1, 0), inServiceExchange(2, 0), inServiceExchange(3, 0));
    poolFixture.reportCircuits(1, 0, 20);
    poolFixture.reportCircuits(2, 20, 20);
    poolFixture.reportCircuits(3, 20, 20);
    poolFixture.offerCall("a", 0, 1);
    assertEquals(List.of("x3"), poolFixture.actions.exchangesTried("a"));
  }

  @Test
  void anEventExaminesNoMoreWaitingCallsThanItMaySend() {
    PolicyFixture fixture = PolicyFixture.mesh();
    for (int i = 0; i < 400; i++) {
      fixture.offerCall("c" + i, LOW_WORTH, 1 + i % 3);
    }
    long examinedBefore = fixture.policy.waitingCallsExamined;
    for (int i = 0; i < 50; i++) {
      fixture.reportCircuits(1, i % 2 == 0 ? 10 : 20, 20);
    }
    assertTrue(
        fixture.policy.waitingCallsExamined - examinedBefore <= 2 * 50,
        "examined " + (fixture.policy.waitingCallsExamined - examinedBefore));
  }

  /** Refused calls were kept with their timers until their callers' time was over. */
  @Test
  void theTimersOfARefusedCallAreCancelled() {
    PolicyFixture fixture = PolicyFixture.mesh();
    fixture.reportCircuits(1, 0, 20);
    fixture.actions.recorded.clear();
    fixture.offerTransitCall("t", PolicyFixture.LOW_WORTH, 1);
    assertEquals(List.of("refuse"), fixture.actions.finalAnswers("t"));
    assertEquals(1, fixture.actions.ofType("startTimer").size());
    assertEquals(
        fixture.actions.ofType("startTimer").get(0).call(),
        fixture.actions.ofType("cancelTimer").get(0).call());
  }

  @Test
  void theTimersOfAnAbandonedCallThatWaitsAreCancelled() {
    PolicyFixture fixture = PolicyFixture.mesh();
    fixture.reportCircuits(1, 0, 20);
    fixture.reportCircuits(2, 0, 20);
    fixture.reportCircuits(3, 0, 20);
    fixture.actions.recorded.clear();
    fixture.offerCall("w", PolicyFixture.LOW_WORTH, 1);
    int started = fixture.actions.ofType("startTimer").size();
    fixture.policy.onCallerAbandoned(fixture.now, "w");
    assertEquals(started, fixture.actions.ofType("cancelTimer").size());
  }
}
