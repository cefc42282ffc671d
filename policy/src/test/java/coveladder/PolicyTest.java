package coveladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyTest {
  private final Bed bed = Bed.mesh();

  @Test
  void aCallGoesDirectFirst() {
    bed.call("a", Bed.CHEAP, 2);
    assertEquals(List.of("x2"), bed.asked.sentTo("a"));
  }

  @Test
  void aCallWhoseDirectGroupIsFullTriesOneTandem() {
    bed.circuits(2, 0, 20);
    bed.call("a", Bed.CHEAP, 2);
    assertEquals(1, bed.asked.sentTo("a").size());
    assertFalse(bed.asked.sentTo("a").contains("x2"));
  }

  /** Sends of the last of ten calls that found the group full while tandems turned all back. */
  private int triesAfterTurnedBack(double answerTime) {
    bed.circuits(2, 0, 20);
    for (int i = 0; i < 10; i++) {
      bed.call("c" + i, Bed.CHEAP, 2);
      for (int n = 0; n < bed.asked.sentTo("c" + i).size(); n++) {
        int tandem = Integer.parseInt(bed.asked.sentTo("c" + i).get(n).substring(1));
        bed.ended("c" + i, n, tandem, Outcome.BUSY, Reason.TURNED_BACK, answerTime);
      }
      bed.pass(1600);
    }
    return bed.asked.sentTo("c9").size();
  }

  @Test
  void tandemsThatTurnCallsBackAreLeftAloneWhileAnswersAreSlow() {
    assertEquals(0, triesAfterTurnedBack(200));
  }

  @Test
  void tandemsThatTurnCallsBackAreStillTriedWhileAnswersAreQuick() {
    assertEquals(2, triesAfterTurnedBack(20));
  }

  @Test
  void whatATandemTurnsBackIsNotChargedToTheDestination() {
    bed.circuits(2, 0, 20);
    bed.call("c", Bed.DEAR, 2);
    for (int n = 0; n < 2; n++) {
      int tandem = Integer.parseInt(bed.asked.sentTo("c").get(n).substring(1));
      bed.pass(600);
      bed.ended("c", n, tandem, Outcome.BUSY, Reason.TURNED_BACK, 600);
    }
    bed.circuits(2, 20, 20);
    for (int i = 0; i < 4; i++) {
      bed.call("d" + i, Bed.DEAR, 2);
      assertEquals(List.of("x2"), bed.asked.sentTo("d" + i));
    }
  }

  /** Settings of the bed with a word to callers of at most so many ms. */
  private static Settings withComeBack(double most) {
    Settings s = Bed.settings(Layout.MESH, 0);
    return new Settings(
        s.layout(),
        s.localExchange(),
        s.controllerCount(),
        s.classes(),
        s.clockResolution(),
        s.maxAttempts(),
        s.mayCancel(),
        s.mayProbe(),
        s.mayBroadcast(),
        most,
        s.directoryOnRequest(),
        s.guardTime(),
        s.retransmitAfter(),
        s.coldShare(),
        s.rampTime(),
        s.coldMultiple(),
        s.coldWindow());
  }

  @Test
  void aCallWithNoWayLeftIsAnsweredAtOnce() {
    bed.call("a", Bed.CHEAP, 2);
    bed.pass(1000);
    bed.ended("a", 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1000);
    assertEquals(1, bed.asked.answers("a").size(), "the release guard outlasts the aim");
    bed.list(false, new Exchange("x3", 3, ExchangeState.GONE, 0));
    bed.call("b", Bed.DEAR, 3);
    assertEquals(1, bed.asked.answers("b").size(), "no exchange to send to");
  }

  @Test
  void aCallOfAPairWithoutGroupIsAnsweredWhenItsTandemsAreUsedUp() {
    bed.circuits(2, 0, 0);
    bed.call("a", Bed.DEAR, 2);
    for (int n = 0; n < 2; n++) {
      int tandem = Integer.parseInt(bed.asked.sentTo("a").get(n).substring(1));
      bed.ended("a", n, tandem, Outcome.BUSY, Reason.TURNED_BACK, 20);
    }
    assertEquals(List.of("refuse"), bed.asked.answers("a"));
  }

  @Test
  void aCallThatCanStillBeSentWaits() {
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 0, 20);
    }
    bed.call("a", Bed.CHEAP, 2);
    bed.pass(1000);
    assertTrue(bed.asked.answers("a").isEmpty());
  }

  /** Refuses by a full processor that asks for 2 s, which is beyond every aim. */
  private static Recorder.Asked refusedByPause(Bed bed) {
    bed.list(true, Bed.entry(0, 0), Bed.entry(2, 0));
    bed.circuits(2, 20, 20);
    bed.call("a", Bed.CHEAP, 2);
    bed.policy.onAttemptEnded(
        bed.now,
        new CallPolicy.AttemptEnded(
            "a", 0, "x2", Outcome.BUSY, Reason.PROCESSOR_FULL, 2000, 20, false, Bed.load(20, 20)));
    return bed.asked.of("refuse").get(0);
  }

  @Test
  void aRefusalSaysWhenThePauseInItsWayIsOver() {
    assertEquals(0, refusedByPause(new Bed(withComeBack(0))).figure());
    assertEquals(2000, refusedByPause(new Bed(withComeBack(5000))).figure(), 100);
    assertEquals(1500, refusedByPause(new Bed(withComeBack(1500))).figure());
  }

  @Test
  void aFarEndWithoutConnectionDoesNotUseUpTheAttemptsOfACall() {
    bed.call("a", Bed.CHEAP, 2);
    for (int n = 0; n < bed.asked.sentTo("a").size(); n++) {
      bed.ended("a", n, 2, Outcome.REFUSED, Reason.NONE, 10);
    }
    assertEquals(1, bed.asked.sentTo("a").size());
  }

  /** Highest occupancy up to which redials of the class enter; the group has 20 circuits. */
  private static int entersUpTo(Bed crowd, int type, int width) {
    int free = 0;
    String id = "";
    do {
      id = "r" + type + "." + ++free;
      crowd.circuits(2, free, 20);
      crowd.policy.onCall(crowd.now, new Call(id, type, 3000, width, id, 2, false, true, false));
    } while (free < 20 && crowd.asked.sentTo(id).isEmpty());
    crowd.stands(id, 0, 40);
    crowd.ended(id, 0, 2, Outcome.DONE, Reason.NONE);
    return 20 - free + width;
  }

  @Test
  void aWideRedialCountsByTheCircuit() {
    Settings s = Bed.settings(Layout.MESH, 0);
    List<CallPolicy.CallClass> classes =
        List.of(
            new CallPolicy.CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of()),
            new CallPolicy.CallClass(2, 0.25, 1200, 9000, 3, 10000, List.of()));
    Bed crowd =
        new Bed(
            new Settings(
                s.layout(),
                0,
                4,
                classes,
                s.clockResolution(),
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
                3000));
    crowd.list(true, Bed.entry(0, 0), Bed.entry(2, 0));
    crowd.circuits(2, 0, 20);
    for (int i = 0; i < 60; i++) {
      crowd.call("c" + i, i % 10 == 0 ? 1 : 0, 2);
      crowd.pass(200);
    }
    crowd.circuits(2, 8, 20);
    crowd.pass(6000);
    int narrow = entersUpTo(crowd, 0, 1);
    int wide = entersUpTo(crowd, 1, 3);
    assertTrue(wide <= narrow, wide + " " + narrow);
  }

  @Test
  void newsThatFreesNoCircuitLooksForNoRoutes() {
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 1, 20);
    }
    bed.circuits(2, 0, 20);
    for (int i = 0; i < 50; i++) {
      bed.call("c" + i, Bed.CHEAP, 2);
    }
    long routed = bed.policy.routesSearched;
    for (int i = 0; i < 100; i++) {
      bed.circuits(1, 0, 20);
    }
    assertEquals(routed, bed.policy.routesSearched);
    bed.circuits(2, 1, 20);
    assertEquals(List.of("x2"), bed.asked.sentTo("c0"));
    assertEquals(routed + 50, bed.policy.routesSearched);
  }

  @Test
  void aRedialBeforeAnyFirstTryMayUseATandem() {
    bed.circuits(2, 0, 20);
    bed.policy.onCall(bed.now, new Call("r", 0, 3000, 1, "n", 2, false, true, false));
    assertEquals(1, bed.asked.sentTo("r").size());
  }

  @Test
  void whileAnswersAreSlowCheapCallsGoOneAtATimeAndDearOnesAsBefore() {
    for (int i = 0; i < 6; i++) {
      bed.call("s" + i, Bed.CHEAP, 1 + i % 2);
      bed.pass(700);
      bed.stands("s" + i, 0, 700);
    }
    bed.call("a", Bed.CHEAP, 3);
    bed.call("b", Bed.CHEAP, 3);
    bed.call("c", Bed.DEAR, 3);
    assertEquals(List.of("x3"), bed.asked.sentTo("a"));
    assertTrue(bed.asked.sentTo("b").isEmpty());
    assertEquals(List.of("x3"), bed.asked.sentTo("c"));
  }

  @Test
  void aPairWithoutGroupUsesATandem() {
    bed.circuits(2, 0, 0);
    bed.call("a", Bed.CHEAP, 2);
    assertEquals(1, bed.asked.sentTo("a").size());
    assertFalse(bed.asked.sentTo("a").contains("x2"));
  }

  @Test
  void alternativeCallsLeaveAReserveThatGrowsWithBlocking() {
    bed.circuits(1, 1, 20);
    bed.circuits(3, 1, 20);
    bed.circuits(2, 0, 20);
    bed.call("a", Bed.DEAR, 2);
    assertTrue(bed.asked.sentTo("a").isEmpty());
    bed.circuits(1, 2, 20);
    assertEquals(List.of("x1"), bed.asked.sentTo("a"));
  }

  @Test
  void aCallInTransitGoesToItsDestinationOrBack() {
    bed.transit("a", Bed.CHEAP, 2);
    assertEquals(List.of("x2"), bed.asked.sentTo("a"));
    bed.circuits(2, 0, 20);
    bed.transit("b", Bed.DEAR, 2);
    assertTrue(bed.asked.sentTo("b").isEmpty());
    assertEquals(List.of("refuse"), bed.asked.answers("b"));
  }

  @Test
  void aCallWithNothingFreeWaitsAndIsSentWhenACircuitComesFree() {
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 0, 20);
    }
    bed.call("a", Bed.CHEAP, 2);
    bed.call("b", Bed.DEAR, 2);
    bed.pass(300);
    bed.circuits(2, 1, 20);
    assertEquals(List.of("x2"), bed.asked.sentTo("b"));
    assertTrue(bed.asked.sentTo("a").isEmpty());
    bed.pass(900);
    assertEquals(List.of("refuse"), bed.asked.answers("a"));
  }

  @Test
  void theReleaseGuardIsKeptAfterATimeOut() {
    bed.call("a", Bed.CHEAP, 2);
    bed.pass(400);
    bed.ended("a", 0, 2, Outcome.TIMED_OUT, Reason.NONE, 400);
    assertEquals(1, bed.asked.sentTo("a").size());
    bed.pass(settingsGuard() - 1);
    assertEquals(1, bed.asked.sentTo("a").size());
    bed.pass(1);
    assertEquals(2, bed.asked.sentTo("a").size());
  }

  private double settingsGuard() {
    return bed.settings.guardTime();
  }

  @Test
  void aCallIsHeldWhileTheOwnProcessorIsDown() {
    bed.call("a", Bed.CHEAP, 2);
    bed.ended("a", 0, 2, Outcome.SKIPPED, Reason.PROCESSOR_FULL, 0);
    bed.call("b", Bed.DEAR, 3);
    assertEquals(1, bed.asked.of("send").size());
    bed.pass(600);
    bed.circuits(2, 20, 20);
    assertEquals(3, bed.asked.of("send").size());
  }

  @Test
  void aRedialIsBlockedBeforeFirstTriesOfItsClass() {
    for (int i = 0; i < 200; i++) {
      bed.circuits(2, 0, 20);
      bed.circuits(1, 0, 20);
      bed.circuits(3, 0, 20);
      bed.call("c" + i, i % 10 == 0 ? Bed.DEAR : Bed.CHEAP, 2);
      bed.pass(50);
    }
    bed.pass(4000);
    int first = 0;
    int again = 0;
    for (int free = 1; free <= 20; free++) {
      bed.circuits(2, free, 20);
      for (boolean redial : new boolean[] {false, true}) {
        String id = "f" + free + redial;
        bed.policy.onCall(
            bed.now, new CallPolicy.Call(id, 0, 3000, 1, id, 2, false, redial, false));
        if (bed.asked.sentTo(id).isEmpty()) {
          first = redial ? first : free;
          again = redial ? free : again;
        } else {
          bed.stands(id, 0, 40);
          bed.ended(id, 0, 2, Outcome.DONE, Reason.NONE);
        }
      }
    }
    assertTrue(first < again, first + " " + again);
  }

  @Test
  void redialsWaitBehindFirstTries() {
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 0, 20);
    }
    bed.policy.onCall(bed.now, new CallPolicy.Call("r", 0, 3000, 1, "n", 2, false, true, false));
    bed.call("a", Bed.CHEAP, 2);
    bed.circuits(2, 1, 20);
    assertEquals(1, bed.asked.sentTo("a").size());
    assertTrue(bed.asked.sentTo("r").isEmpty());
  }

  @Test
  void noMoreAttemptsThanAllowed() {
    bed.call("a", Bed.CHEAP, 2);
    for (int i = 0; i < bed.settings.maxAttempts(); i++) {
      assertEquals(i + 1, bed.asked.sentTo("a").size());
      bed.ended("a", i, 2, Outcome.ERROR, Reason.NONE, 20);
    }
    assertEquals(bed.settings.maxAttempts(), bed.asked.sentTo("a").size());
    assertEquals(1, bed.asked.answers("a").size());
  }

  @Test
  void everyCallGetsItsFinalAnswerInTime() {
    bed.call("a", Bed.CHEAP, 2);
    bed.pass(3000);
    assertEquals(1, bed.asked.answers("a").size());
    bed.ended("a", 0, 2, Outcome.CANCELLED, Reason.NONE);
    assertEquals(1, bed.asked.answers("a").size());
    assertEquals(1, bed.asked.sentTo("a").size());
  }

  @Test
  void aCallThatItsCallerLeftIsNotTouchedAgain() {
    bed.call("a", Bed.CHEAP, 2);
    bed.policy.onCallerAbandoned(bed.now, "a");
    bed.ended("a", 0, 2, Outcome.BUSY, Reason.NO_CIRCUIT);
    bed.pass(5000);
    assertTrue(bed.asked.answers("a").isEmpty());
    assertEquals(1, bed.asked.sentTo("a").size());
  }

  @Test
  void nothingGoesToADrainingOrGoneExchange() {
    bed.list(false, new Exchange("x2", 2, ExchangeState.DRAINING, 0));
    bed.call("a", Bed.DEAR, 2);
    bed.list(false, new Exchange("x2", 2, ExchangeState.GONE, 0));
    bed.call("b", Bed.DEAR, 2);
    bed.pass(3000);
    assertTrue(bed.asked.of("send").isEmpty());
    assertEquals(1, bed.asked.answers("a").size());
    assertEquals(1, bed.asked.answers("b").size());
  }

  @Test
  void aColdExchangeGetsThisControllersShareOfItsBudget() {
    for (int i = 0; i < 40; i++) {
      bed.call("w" + i, Bed.CHEAP, 1);
      bed.stands("w" + i, 0, 40);
      bed.ended("w" + i, 0, 1, Outcome.DONE, Reason.NONE);
    }
    bed.pass(2100);
    bed.list(false, Bed.entry(2, 2000));
    bed.circuits(2, 90, 90);
    int cold = 0;
    for (int i = 0; i < 40; i++) {
      bed.call("c" + i, Bed.CHEAP, 2);
      bed.stands("c" + i, 0, 40);
      cold += bed.asked.sentTo("c" + i).contains("x2") ? 1 : 0;
    }
    // 3 times a cold share of 0.3, of twice 20 calls a second, for 3 s, over 4 controllers.
    assertTrue(cold == 26 || cold == 27, "sent " + cold);
  }

  @Test
  void aThinGroupKeepsNoReserve() {
    bed.circuits(1, 1, 4);
    bed.circuits(3, 0, 4);
    bed.circuits(2, 0, 4);
    bed.call("a", Bed.CHEAP, 2);
    assertEquals(List.of("x1"), bed.asked.sentTo("a"));
  }

  @Test
  void theRoomierOfTheFitTandemsIsTaken() {
    bed.circuits(2, 0, 20);
    for (int i = 0; i < 5; i++) {
      bed.circuits(1, 5, 20);
      bed.circuits(3, 9, 20);
      bed.call("a" + i, Bed.CHEAP, 2);
      assertEquals(List.of("x3"), bed.asked.sentTo("a" + i));
      bed.ended("a" + i, 0, 3, Outcome.ERROR, Reason.NUMBER_BUSY, 20);
    }
  }

  /** Where many pairs have no group, a tandem that carried a call there is worth remembering. */
  @Test
  void aTandemThatCarriedIsTriedFirstUntilItTurnsBack() {
    bed.circuits(2, 0, 0);
    bed.circuits(1, 9, 20);
    bed.circuits(3, 0, 20);
    bed.call("a", Bed.CHEAP, 2);
    bed.stands("a", 0, 40);
    bed.circuits(1, 5, 20);
    bed.circuits(3, 9, 20);
    bed.call("b", Bed.CHEAP, 2);
    assertEquals(List.of("x1"), bed.asked.sentTo("b"));
    bed.ended("b", 0, 1, Outcome.BUSY, Reason.TURNED_BACK, 40);
    assertEquals(List.of("x1", "x3"), bed.asked.sentTo("b"));
  }

  @Test
  void aSilentExchangeIsTriedByOneCallAtATime() {
    for (int i = 0; i < 12; i++) {
      bed.call("c" + i, Bed.CHEAP, 2);
    }
    int sent = bed.asked.of("send").size();
    assertTrue(sent <= 4);
    bed.pass(1200);
    for (int i = 0; i < sent; i++) {
      bed.ended("c" + i, 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1200);
    }
    for (int i = 0; i < 12; i++) {
      bed.call("d" + i, Bed.CHEAP, 2);
    }
    bed.pass(600);
    for (int i = 0; i < 12; i++) {
      bed.call("e" + i, Bed.CHEAP, 2);
    }
    assertEquals(sent + 1, bed.asked.of("send").size());
  }

  /**
   * A pause that a rare caller never meets holds nobody back: it grows with the time between calls.
   */
  @Test
  void aFullProcessorIsLeftAloneForLongerWhenItStaysFull() {
    int answered = 0;
    for (int step = 0; step < 1000; step++) {
      if (step % 25 == 0) {
        bed.call("p" + step, Bed.CHEAP, 2);
      }
      bed.pass(50);
      for (; answered < bed.asked.of("send").size(); answered++) {
        String id = bed.asked.of("send").get(answered).call();
        int attempt = bed.asked.sentTo(id).size() - 1;
        bed.ended(id, attempt, 2, Outcome.BUSY, Reason.PROCESSOR_FULL, 40);
      }
    }
    assertTrue(answered >= 4 && answered <= 30, "answered " + answered);
  }

  /** Many controllers with a trial each push over what none of them would push over alone. */
  @Test
  void trialsOfManyControllersAreSpread() {
    int tried = 0;
    for (int seed = 1; seed <= 40; seed++) {
      Bed one = Bed.mesh(seed);
      for (int i = 0; i < 40; i++) {
        String id = "t" + i;
        one.call(id, Bed.CHEAP, 2);
        one.pass(1200);
        if (!one.asked.sentTo(id).isEmpty()) {
          one.ended(id, 0, 2, Outcome.TIMED_OUT, Reason.NONE, 1200);
          tried++;
        }
      }
    }
    assertTrue(tried > 0 && tried < 40 * 40 / 2, "tried " + tried);
  }

  @Test
  void badAnswersFromManyFarEndsInTurnAreLaidToTheOwnProcessor() {
    for (int far = 1; far <= 3; far++) {
      bed.call("a" + far, Bed.CHEAP, far);
    }
    bed.pass(1200);
    for (int far = 1; far <= 3; far++) {
      bed.ended("a" + far, 0, far, Outcome.TIMED_OUT, Reason.NONE, 1200);
    }
    int sent = bed.asked.of("send").size();
    bed.pass(600);
    for (int i = 0; i < 9; i++) {
      bed.call("b" + i, Bed.CHEAP, 1 + i % 3);
    }
    int tried = bed.asked.of("send").size() - sent;
    assertTrue(tried >= 1 && tried <= 3, "tried " + tried);
  }

  /** A controller that stood still finds old answers; the far end that gave them is not slow. */
  @Test
  void ownStallsAreNotChargedToFarEnds() {
    for (int round = 0; round < 8; round++) {
      bed.call("s" + round, Bed.CHEAP, 2);
      bed.now += 900;
      bed.stands("s" + round, 0, 900);
    }
    bed.pass(200);
    for (int i = 0; i < 4; i++) {
      bed.call("a" + i, Bed.CHEAP, 2);
      assertEquals(List.of("x2"), bed.asked.sentTo("a" + i));
    }
  }

  /** Of calls that lay unread those that can still make their aim go first, dearest first. */
  @Test
  void callsWhoseAimWentByInAStallGoLast() {
    bed.call("a", Bed.CHEAP, 2);
    bed.pass(200);
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 0, 20);
    }
    bed.now += 1500;
    bed.policy.onCall(bed.now, new Call("old", Bed.CHEAP, 1600, 1, "n", 2, false, false, false));
    bed.call("new", Bed.CHEAP, 2);
    bed.circuits(2, 1, 20);
    assertEquals(List.of("x2"), bed.asked.sentTo("new"));
    assertTrue(bed.asked.sentTo("old").isEmpty());
  }

  @Test
  void aCallNearTheEndOfItsAimIsNoTrial() {
    aSilentExchangeIsTriedByOneCallAtATime();
    int sent = bed.asked.of("send").size();
    String trial = bed.asked.of("send").get(sent - 1).call();
    bed.pass(900);
    bed.ended(trial, 0, 2, Outcome.BUSY, Reason.NO_CIRCUIT, 900);
    assertEquals(sent, bed.asked.of("send").size());
  }

  @Test
  void whenAllFarEndsLookSlowFewSetUpsAreOutButNeverNone() {
    for (int round = 0; round < 12; round++) {
      for (int far = 1; far <= 3; far++) {
        bed.call("r" + round + far, Bed.CHEAP, far);
      }
      bed.pass(1150);
      for (var send : bed.asked.of("send")) {
        if (send.call().startsWith("r" + round)) {
          bed.stands(send.call(), 0, 1150);
        }
      }
    }
    int sent = bed.asked.of("send").size();
    for (int i = 0; i < 10; i++) {
      bed.call("z" + i, Bed.CHEAP, 1 + i % 3);
      bed.pass(300);
      bed.circuits(1, 20, 20);
    }
    int tried = bed.asked.of("send").size() - sent;
    assertTrue(tried == 1, "tried " + tried);
  }

  @Test
  void noTandemThroughSlowProcessors() {
    for (int round = 0; round < 6; round++) {
      bed.call("r" + round, Bed.CHEAP, 1);
      bed.pass(700);
      bed.stands("r" + round, 0, 700);
    }
    bed.circuits(2, 0, 20);
    for (int i = 0; i < 8; i++) {
      bed.call("a" + i, Bed.CHEAP, 2);
      assertFalse(bed.asked.sentTo("a" + i).contains("x1"));
    }
  }

  @Test
  void aCrowdedNumberIsLeftAloneButForSingleTrials() {
    for (int i = 0; i < 5; i++) {
      bed.policy.onCall(
          bed.now, new CallPolicy.Call("h" + i, 0, 3000, 1, "hot", 2, false, false, false));
      if (i == 0) {
        bed.ended("h0", 0, 2, Outcome.ERROR, Reason.NUMBER_BUSY, 40);
      }
    }
    assertEquals(1, bed.asked.of("send").size());
    assertEquals(5, bed.asked.of("refuse").size());
  }

  @Test
  void overflowThatIsCarriedKeepsTheGroupOpen() {
    var closed = Bed.mesh();
    for (Bed each : List.of(bed, closed)) {
      boolean carried = each == bed;
      for (int i = 0; i < 200; i++) {
        each.circuits(2, 0, 20);
        each.circuits(1, carried ? 20 : 0, 20);
        each.circuits(3, carried ? 20 : 0, 20);
        each.call("c" + i, i % 10 == 0 ? Bed.DEAR : Bed.CHEAP, 2);
        if (carried) {
          each.stands("c" + i, 0, 40);
        }
        each.pass(50);
      }
      each.pass(2000);
      each.circuits(2, 1, 20);
      each.call("last", Bed.CHEAP, 2);
    }
    assertEquals(List.of("x2"), bed.asked.sentTo("last"));
    assertEquals(List.of("refuse"), closed.asked.answers("last"));
  }

  @Test
  void unusableSettingsAreNamedWithTheirValue() {
    var error =
        assertThrows(
            IllegalArgumentException.class,
            () ->
                new Settings(
                    Layout.MESH,
                    0,
                    0,
                    List.of(),
                    5,
                    4,
                    true,
                    false,
                    false,
                    0,
                    false,
                    1,
                    1,
                    1,
                    1,
                    1,
                    1));
    assertTrue(error.getMessage().contains("instances=0"));
  }

  @Test
  void poolsUseOnlyThePoolsOfTheClass() {
    var open = new CallPolicy.CallClass(1, 0, 1000, 6000, 1, 9000, List.of(1, 3));
    Settings s = Bed.settings(Layout.POOLS, -1);
    var pools =
        new Bed(
            new Settings(
                s.layout(),
                -1,
                4,
                List.of(open),
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
                3000));
    pools.list(true, Bed.entry(1, 0), Bed.entry(2, 0), Bed.entry(3, 0));
    pools.circuits(1, 0, 20);
    pools.circuits(2, 20, 20);
    pools.circuits(3, 20, 20);
    pools.call("a", 0, 1);
    assertEquals(List.of("x3"), pools.asked.sentTo("a"));
  }

  @Test
  void anEventLooksAtNoMoreWaitingCallsThanMayLeave() {
    Bed bed = Bed.mesh();
    for (int i = 0; i < 400; i++) {
      bed.call("c" + i, Bed.CHEAP, 1 + i % 3);
    }
    long walked = bed.policy.waitingCallsExamined;
    for (int i = 0; i < 50; i++) {
      bed.circuits(1, i % 2 == 0 ? 10 : 20, 20);
    }
    assertTrue(
        bed.policy.waitingCallsExamined - walked <= 2 * 50,
        "looked at " + (bed.policy.waitingCallsExamined - walked));
  }
}
