package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls from end to end, with a policy that sends each to s1 and refuses what came to nothing. */
class CallsTest {
  private Script script;
  private Bed bed;
  private Bed.FakeWire caller;

  @BeforeEach
  void begin() {
    bed = new Bed(deeds -> script = new Script(deeds)).open();
    caller = bed.caller();
    script.news();
  }

  private void standing(int id) {
    caller.feed(Bed.setUp(id));
    bed.to(2).feed(Bed.ready(id, "answer"));
    caller.news();
    bed.to(2).news();
    script.news();
  }

  @Test
  void aCallStandsAndEnds() {
    caller.feed(Bed.setUp(7));
    assertEquals(List.of("OPEN 7 voice offer7"), bed.to(2).news());
    bed.to(2).feed("{\"msg\":\"trying\",\"sid\":\"" + Bed.id(7) + "\",\"attrs\":{}}");
    bed.to(2).feed(Bed.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.news());
    bed.to(2).feed(Bed.close(7, 16, "\"load\":\"x0:4;x1:30\""));
    assertEquals(List.of("12 7 cause 16"), caller.news());
    assertEquals(List.of("call 7 3000", "stands 7", "ended 7 DONE NONE last"), script.news());
    assertEquals(0, bed.front.controller().callCount());
  }

  @ParameterizedTest
  @CsvSource({
    "34, all_trunks_busy, BUSY NO_CIRCUIT, 34",
    "34, via_said_no, BUSY TURNED_BACK, 34",
    "34, cpu_full, BUSY PROCESSOR_FULL, 42",
    "34, far_cpu_full, BUSY FULL_BEYOND, 42",
    "47, '', ERROR NONE, 34",
    "17, number_busy, ERROR NUMBER_BUSY, 34",
    "102, cpu_full, SKIPPED PROCESSOR_FULL, 42",
    "41, '', RESET NONE, 34",
    "99, '', RESET NONE, 34"
  })
  void theEndOfASetUpIsToldAsItIs(int code, String note, String outcome, int cause) {
    caller.feed(Bed.setUp(7));
    bed.to(2).feed(Bed.close(7, code, "\"note\":\"" + note + "\""));
    assertEquals(List.of("call 7 3000", "ended 7 " + outcome), script.news());
    assertEquals(List.of("12 7 cause " + cause + " wait 250"), caller.news());
  }

  @Test
  void whatTimedOutIsOverWithItsGiveUpAndItsLateAnswerIsReleased() {
    caller.feed(Bed.setUp(7));
    bed.to(2).news();
    bed.clock.advance(1_000);
    assertEquals(List.of("CLOSE 7 16"), bed.to(2).news());
    assertEquals(List.of("call 7 3000", "ended 7 TIMED_OUT NONE"), script.news());
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.news());
    bed.to(2).feed(Bed.ready(7, "late"));
    bed.to(2).feed(Bed.ready(7, "late"));
    assertEquals(List.of("CLOSE 7 16"), bed.to(2).news());
    assertEquals(List.of(), caller.news());
  }

  @Test
  void aSetUpThatWaitsForItsConnectionInVainNeverLeaves() {
    bed.to(2).lose(Loss.CLOSED);
    bed.clock.advance(60);
    caller.feed(Bed.setUp(7));
    bed.clock.advance(1_000);
    bed.to(2).open();
    assertEquals(List.of(), bed.to(2).news());
    assertEquals(List.of("call 7 3000", "ended 7 TIMED_OUT NONE"), script.news());
  }

  @Test
  void aRefusedConnectionProvesThatNothingRan() {
    bed.to(2).lose(Loss.CLOSED);
    bed.clock.advance(60);
    caller.feed(Bed.setUp(7));
    bed.to(2).lose(Loss.TURNED_AWAY);
    assertEquals(List.of("call 7 3000", "ended 7 REFUSED NONE"), script.news());
  }

  @Test
  void setUpsOnALostOrUnreadableConnectionAreResetOnce() {
    caller.feed(Bed.setUp(7));
    bed.to(2).lose(Loss.CLOSED);
    assertEquals(List.of("call 7 3000", "ended 7 RESET NONE"), script.news());
    bed.clock.advance(60);
    bed.to(2).open();
    caller.feed(Bed.setUp(8));
    Bed.FakeWire spoilt = bed.to(2);
    spoilt.feed("{\"msg\":\"ready\",\"sid\":\"" + Bed.id(8) + "\",\"text\":\"ha");
    assertTrue(spoilt.ended);
    assertEquals(List.of("call 8 3000", "ended 8 RESET NONE"), script.news());
    assertEquals(List.of("12 7 cause 34 wait 250", "12 8 cause 34 wait 250"), caller.news());
  }

  @Test
  void anAnswerThatStopsShortEndsItsConnectionSoon() {
    caller.feed(Bed.setUp(7));
    Bed.FakeWire wire = bed.to(2);
    wire.feed("{\"msg\":\"ready\",\"sid\":\"00".getBytes());
    bed.clock.advance(500);
    assertTrue(wire.ended);
    assertEquals(List.of("call 7 3000", "ended 7 RESET NONE"), script.news());
  }

  @Test
  void moreThanBelongsToAnAnswerIsPassedOver() {
    caller.feed(Bed.setUp(7));
    bed.to(2).feed(Bed.ready(99, "unknown"));
    bed.to(2).feed(Bed.ready(7, "answer"));
    bed.to(2).feed(Bed.ready(7, "copy"));
    assertEquals(List.of("9 7answer"), caller.news());
    assertEquals(List.of("OPEN 7 voice offer7"), bed.to(2).news());
  }

  @Test
  void anAnswerWithoutADescriptionIsPassedToNobody() {
    caller.feed(Bed.setUp(7));
    bed.to(2).feed("{\"msg\":\"ready\",\"sid\":\"" + Bed.id(7) + "\",\"attrs\":{}}");
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.news());
  }

  @Test
  void anAnswerFromAnotherSwitchIsNotTaken() {
    caller.feed(Bed.setUp(7));
    bed.to(3).feed(Bed.ready(7, "not mine"));
    assertEquals(List.of(), caller.news());
  }

  @Test
  void aCallerTakesBackOrGoesAway() {
    caller.feed(Bed.setUp(7));
    caller.feed(Bed.release(7));
    assertEquals(List.of("16 7"), caller.news());
    caller.feed(Bed.setUp(8));
    caller.lose(Loss.CLOSED);
    assertEquals(
        List.of("OPEN 7 voice offer7", "CLOSE 7 16", "OPEN 8 voice offer8", "CLOSE 8 16"),
        bed.to(2).news());
    bed.clock.advance(10);
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void aStandingCallEndsFromAnyConnection() {
    standing(7);
    caller.lose(Loss.CLOSED);
    Bed.FakeWire other = bed.caller();
    other.feed(Bed.release(7));
    assertEquals(List.of("CLOSE 7 16"), bed.to(2).news());
    assertEquals(List.of("ended 7 DONE NONE last"), script.news());
    bed.to(2).feed(Bed.close(7, 16, ""));
    assertEquals(List.of("16 7"), other.news());
  }

  @Test
  void aReleaseWaitsForAConnectionThatBringsCalls() {
    standing(7);
    caller.lose(Loss.CLOSED);
    bed.to(2).feed(Bed.close(7, 41, ""));
    Bed.FakeWire other = bed.caller();
    other.feed(CallerCodec.encode(CallerMessage.withCause(CallerMessage.TEST, Bed.id(0), 0)));
    assertEquals(List.of("53 0 cause 1"), other.news());
    other.feed(Bed.setUp(8));
    assertEquals(List.of("12 7 cause 41"), other.news());
  }

  @Test
  void aReleaseGoesWhereMostCallsStoodNotToOneWhoAskedOnce() {
    standing(7);
    Bed.FakeWire usual = bed.caller();
    for (int id = 20; id < 22; id++) {
      usual.feed(Bed.setUp(id));
      bed.to(2).feed(Bed.ready(id, "answer"));
    }
    usual.news();
    Bed.FakeWire once = bed.caller();
    once.feed(Bed.setUp(30));
    bed.to(2).feed(Bed.ready(30, "answer"));
    once.news();
    caller.lose(Loss.CLOSED);
    bed.to(2).feed(Bed.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), usual.news());
    assertEquals(List.of(), once.news());
  }

  @Test
  void aReleaseWrittenAsItsConnectionEndsIsWrittenAgain() {
    standing(7);
    bed.to(2).feed(Bed.close(7, 16, ""));
    bed.clock.advance(100);
    caller.lose(Loss.CLOSED);
    Bed.FakeWire other = bed.caller();
    other.feed(Bed.setUp(8));
    assertEquals(List.of("12 7 cause 16"), other.news());
  }

  @Test
  void aConnectionThatEndsIsReplacedWhereOthersAreOpenForTheReleasesThatWereOnIt() {
    Bed.FakeWire first = bed.to(2);
    standing(7);
    caller.feed(Bed.setUp(8));
    caller.feed(Bed.setUp(9));
    Bed.FakeWire second = bed.to(2);
    second.open();
    assertNotSame(first, second);
    first.feed("noise");
    bed.clock.advance(1);
    Bed.FakeWire third = bed.to(2);
    assertNotSame(second, third);
    third.open();
    caller.news();
    third.feed(Bed.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.news());
  }

  @Test
  void callsThatStandAlreadyAreTakenUpAndReleased() {
    caller.feed(Bed.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    caller.feed(Bed.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    assertEquals(List.of(), caller.news());
    bed.to(2).feed(Bed.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.news());
    caller.feed(Bed.setUp(8, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s9"));
    assertEquals(List.of("12 8 cause 41"), caller.news());
  }

  @Test
  void callsOfASwitchThatIsGoneAreReleased() {
    standing(7);
    bed.to(8500)
        .feed(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminated\"}]}}");
    assertEquals(List.of("12 7 cause 41"), caller.news());
  }

  private void turnAwayFor(double lasts) {
    if (bed.to(2) != null) {
      bed.to(2).lose(Loss.CLOSED);
    }
    for (double since = 0; since < lasts; since += 260) {
      bed.clock.advance(260);
      if (bed.to(2) != null) {
        bed.to(2).lose(Loss.TURNED_AWAY);
      }
    }
  }

  @Test
  void callsOfASwitchThatTurnsConnectionsAwayAreReleasedWithinEightSeconds() {
    standing(7);
    turnAwayFor(5_000);
    assertEquals(List.of(), caller.news());
    turnAwayFor(2_000);
    assertEquals(List.of("12 7 cause 41"), caller.news());
  }

  @Test
  void callsOfASwitchThatDrainsStandOnWhileItTurnsConnectionsAway() {
    standing(7);
    bed.to(8500)
        .feed(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminating\"}]}}");
    turnAwayFor(7_500);
    assertEquals(List.of(), caller.news());
    turnAwayFor(3_500);
    assertEquals(List.of("12 7 cause 41"), caller.news());
  }

  @Test
  void aMachineThatFellSilentIsFoundByANewConnectionAndGivenUpInTime() {
    standing(7);
    Bed.FakeWire silent = bed.to(2);
    double fellSilent = bed.clock.now();
    bed.clock.advance(4_800);
    assertNotSame(silent, bed.to(2));
    int tries = 0;
    while (caller.sent.isEmpty() && bed.clock.now() - fellSilent < 7_900) {
      Bed.FakeWire made = bed.to(2);
      if (made != null && made != silent) {
        made.lose(Loss.NOT_MADE);
        tries++;
      }
      bed.clock.advance(100);
    }
    assertEquals(List.of("12 7 cause 41"), caller.news());
    assertTrue(tries >= 3, "tries before it was given up: " + tries);
  }

  @Test
  void aSetUpWhoseGiveUpIsThereAlreadyNeverLeaves() {
    caller.feedTogether(Bed.setUp(7));
    caller.feedTogether(Bed.release(7));
    bed.clock.advance(1_000);
    assertEquals(List.of(), bed.to(2).news());
    assertEquals(List.of("16 7"), caller.news());
  }

  @Test
  void aSetUpWhoseCallerClosedAlreadyNeverLeaves() {
    caller.feedTogether(Bed.setUp(7));
    caller.lose(Loss.CLOSED);
    bed.clock.advance(1_000);
    assertEquals(List.of(), bed.to(2).news());
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void aSetUpThatWaitsForAConnectionNeverLeavesPastTheGraceOfItsExchange() {
    bed.to(2).lose(Loss.CLOSED);
    caller.feed(Bed.setUp(7));
    bed.to(8500)
        .feed(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminating\"}]}}");
    bed.clock.advance(400);
    bed.to(2).open();
    bed.clock.advance(1);
    assertEquals(List.of(), bed.to(2).news());
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.news());
  }

  @Test
  void aSetUpThatWaitsForAConnectionNeverLeavesOnceItsCallerIsGone() {
    bed.to(2).lose(Loss.CLOSED);
    caller.feed(Bed.setUp(7));
    caller.lose(Loss.CLOSED);
    bed.clock.advance(200);
    bed.to(2).open();
    bed.clock.advance(200);
    assertEquals(List.of(), bed.to(2).news());
  }

  @Test
  void aQuietSwitchInGoodOrderIsNotAskedForConnectionsOverAndOver() {
    standing(7);
    for (int i = 0; i < 600; i++) {
      int before = bed.connected.size();
      bed.clock.advance(100);
      bed.connected.stream().skip(before).forEach(Bed.FakeWire::open);
    }
    long made = bed.connected.stream().filter(w -> w.port == 2).count();
    assertTrue(made <= 1 + 60_000 / 3_500, "connections in a minute: " + made);
    assertEquals(List.of(), caller.news());
  }

  @Test
  void whatAllControllersDoAtOneMomentIsSpreadByTheirSeeds() {
    TreeSet<Double> again = new TreeSet<>();
    for (int i = 10; i < 30; i++) {
      String seed = "seed\":\"" + i;
      Bed one =
          new Bed(
                  Script::new,
                  Limits.forDescriptors(256, 3),
                  config -> config.replace("seed\":\"8c1f30d27a5be964", seed))
              .open();
      one.to(2).lose(Loss.CLOSED);
      double since = one.clock.now();
      while (one.to(2) == null) {
        one.clock.advance(1);
      }
      again.add(one.clock.now() - since);
    }
    assertTrue(again.size() >= 10 && again.last() - again.first() > 25, again.toString());
  }

  @Test
  void callsFromBeforeASwitchStartedAgainAreReleasedAndLaterOnesStand() {
    standing(7);
    double started = bed.clock.now() + 10;
    bed.clock.advance(20);
    standing(8);
    bed.to(8500)
        .feed(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"in_service\","
                + "\"startedAtMs\":"
                + Math.round(started)
                + "}]}}");
    assertEquals(List.of("12 7 cause 41"), caller.news());
    bed.to(2).feed(Bed.close(8, 16, ""));
    assertEquals(List.of("12 8 cause 16"), caller.news());
  }

  @Test
  void callsToTheOwnExchangeOrOneThatTheListLacksAreThePolicysMatter() {
    bed.to(8500)
        .feed(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":true,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"in_service\","
                + "\"startedAtMs\":0}]}}");
    script.news();
    caller.feed(Bed.setUp(7, CallerMessage.FIGURES, "dest:2;width:1;via:-1"));
    caller.feed(Bed.setUp(8, CallerMessage.FIGURES, "dest:0;width:1;via:-1"));
    assertEquals(List.of("call 7 3000", "call 8 3000"), script.news());
  }

  @Test
  void theTimeThatASetUpWaitedUnreadIsTheCallers() {
    byte[] setUp = Bed.setUp(7);
    caller.feed(Arrays.copyOf(setUp, setUp.length - 1));
    double arrived = bed.clock.now();
    bed.clock.stall(800);
    caller.feedAt(Arrays.copyOfRange(setUp, setUp.length - 1, setUp.length), arrived);
    assertEquals(List.of("call 7 2200"), script.news());
  }

  @Test
  void moreThanFourConnectionsAreNeverMadeToOneSwitch() {
    for (int i = 1; i <= 200; i++) {
      caller.feed(Bed.setUp(i));
      bed.connected.stream().filter(w -> w.port == 2 && !w.ended).forEach(Bed.FakeWire::open);
    }
    long made = bed.connected.stream().filter(w -> w.port == 2).count();
    assertEquals(3, made);
    assertFalse(bed.to(2).ended);
  }
}
