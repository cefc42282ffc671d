package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.sip.Hop;
import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Crossing, repeated, late and broken signalling around one controller. */
class HardCasesTest {
  private static final String FULL = "Reason: Q.850;cause=34\r\n";
  private static final String BACK = "Reason: Q.850;cause=34;location=TN\r\n";

  private final ControllerBed bed = new ControllerBed(Transport.UDP);

  @Test
  void aRepeatAfterTheCallWasReroutedIsNoSecondCall() {
    String invite = bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "503 No", "t", FULL);
    bed.run(20);
    int attempts = bed.attempts().size();
    assertTrue(attempts >= 2, "rerouted");
    bed.caller.send(bed.place, invite);
    bed.run(200);
    assertEquals(attempts, bed.attempts().size());
    assertEquals(1, bed.front.controller().callCount());
  }

  @Test
  void aRepeatAfterTheFinalAnswerGetsTheSameAndLaterNothing() {
    String invite = bed.invite("c1", 2);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "404 No", "t", "");
    bed.run(20);
    bed.fromCaller("ACK", "c1", 1, bed.callerTag());
    for (double wait : new double[] {100, 4_000, 33_000, 300_000}) {
      bed.run(wait);
      bed.caller.send(bed.place, invite);
    }
    bed.run(1_000);
    assertEquals(List.of("404"), bed.finals());
    assertEquals(1, bed.attempts().size());
    assertEquals(0, bed.front.callCount());
  }

  @Test
  void aRepeatOfAnInviteThatStandsForLongIsNoSecondCall() {
    String invite = bed.invite("c1", 4);
    bed.run(20);
    bed.stand(bed.attempts().get(0), "c1");
    bed.run(40_000);
    bed.caller.send(bed.place, invite);
    bed.run(1_000);
    assertEquals(1, bed.attempts().size());
    assertEquals(List.of("200"), bed.finals());
    assertEquals(1, bed.front.controller().callCount());
  }

  @Test
  void aResetBetweenSendAndFirstAnswerKeepsTheGuard() {
    ControllerBed tcp = new ControllerBed(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.run(20);
    double reset = tcp.world.now();
    tcp.world.resetConnections("switch");
    tcp.run(900);
    assertEquals(2, tcp.attempts().size());
    double gap = tcp.attempts().get(1).at() - reset;
    assertTrue(gap >= FleetConfig.GUARD_TIME_MILLIS, "sent again after " + gap);
  }

  @Test
  void aLateAnswerOfAResetAttemptIsReleased() {
    ControllerBed tcp = new ControllerBed(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.run(20);
    RawNode.Read attempt = tcp.attempts().get(0);
    tcp.world.resetConnections("switch");
    tcp.run(20);
    RawNode.Read anew = new RawNode.Read(0, tcp.place.withTransport(Transport.TCP), attempt.text());
    tcp.ownSwitch.answer(anew, "200 OK", "far", "");
    tcp.run(50);
    assertEquals(1, tcp.ownSwitch.all("BYE").size());
    tcp.ownSwitch.answer(tcp.ownSwitch.last("BYE"), "200 OK", "", "");
    tcp.run(50);
    assertEquals(1, tcp.ownSwitch.all("ACK").size());
    assertEquals(List.of(), tcp.finals());
  }

  @Test
  void aResetOfTheOwnSwitchLeavesStandingCallsAlone() {
    ControllerBed tcp = new ControllerBed(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.run(20);
    tcp.stand(tcp.attempts().get(0), "c1");
    tcp.world.resetConnections("switch");
    tcp.run(500);
    assertEquals(1, tcp.front.controller().callCount());
    tcp.fromCaller("BYE", "c1", 2, tcp.callerTag());
    tcp.run(50);
    assertEquals(1, tcp.ownSwitch.all("BYE").size());
    assertEquals(0, tcp.front.controller().callCount());
  }

  @Test
  void a200ThatCrossesOurCancelIsReleased() {
    bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.ownSwitch.answer(attempt, "100 Trying", "", "");
    bed.run(5);
    bed.fromCaller("CANCEL", "c1", 1, "");
    bed.run(5);
    assertEquals(1, bed.ownSwitch.all("CANCEL").size());
    bed.ownSwitch.answer(attempt, "200 OK", "far", "");
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
    bed.ownSwitch.answer(bed.ownSwitch.last("BYE"), "200 OK", "", "");
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("ACK").size());
    assertEquals(List.of("487"), bed.finals());
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void a200OfAnAttemptGivenUpIsReleasedAndTheCallerHasItsAnswer() {
    bed.invite("c1", 2);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.ownSwitch.answer(attempt, "100 Trying", "", "");
    bed.run(2_100);
    assertEquals(1, bed.finals().size());
    assertTrue(bed.ownSwitch.all("CANCEL").size() >= 1);
    bed.ownSwitch.answer(attempt, "200 OK", "far", "");
    bed.run(100);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
    assertEquals(1, bed.finals().size());
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void aSecondAnswerByAForkIsReleased() {
    bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.stand(attempt, "c1");
    bed.ownSwitch.answer(attempt, "200 OK", "other", "");
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
    assertTrue(bed.ownSwitch.last("BYE").field("To").endsWith("tag=other"));
    assertEquals(1, bed.front.controller().callCount());
  }

  @Test
  void aCancelBeforeAny100IsAnsweredAndTheAttemptCalledOffLater() {
    bed.invite("c1", 4);
    bed.fromCaller("CANCEL", "c1", 1, "");
    bed.run(20);
    assertEquals(List.of("487"), bed.finals());
    assertEquals(0, bed.ownSwitch.all("CANCEL").size());
    bed.ownSwitch.answer(bed.attempts().get(0), "180 Ringing", "t", "");
    bed.run(20);
    assertEquals(1, bed.ownSwitch.all("CANCEL").size());
  }

  @Test
  void aByeOnAnEarlyDialogEndsTheCall() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "180 Ringing", "t", "");
    bed.run(20);
    bed.fromCaller("BYE", "c1", 2, bed.callerTag());
    bed.run(20);
    assertEquals(List.of("487"), bed.finals());
    assertEquals(1, bed.ownSwitch.all("CANCEL").size());
  }

  @Test
  void aReinviteWhileTheCallIsBeingSetUpIsPutOff() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "180 Ringing", "t", "");
    bed.run(20);
    bed.fromCaller("INVITE", "c1", 2, bed.callerTag());
    bed.run(20);
    assertEquals("1", bed.caller.last("SIP/2.0 500").field("Retry-After"));
    assertEquals(1, bed.attempts().size());
  }

  @Test
  void aReinviteOfAStandingCallGoesThroughAndBack() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.stand(bed.attempts().get(0), "c1");
    String tag = bed.callerTag();
    bed.fromCaller("INVITE", "c1", 2, tag);
    bed.run(20);
    RawNode.Read again = bed.ownSwitch.last("INVITE");
    assertTrue(again.field("To").endsWith("tag=far"));
    bed.ownSwitch.answer(again, "200 OK", "", "");
    bed.run(20);
    assertEquals("2 INVITE", bed.caller.last("SIP/2.0 200").field("CSeq"));
    bed.fromCaller("ACK", "c1", 2, tag);
    bed.run(20);
    assertEquals(2, bed.ownSwitch.all("ACK").size());
    bed.fromCaller("INFO", "c1", 3, tag);
    bed.run(20);
    bed.ownSwitch.answer(bed.ownSwitch.last("INFO"), "200 OK", "", "");
    bed.run(20);
    assertEquals("3 INFO", bed.caller.last("SIP/2.0 200").field("CSeq"));
  }

  @Test
  void aReliableProvisionalAnswerAndItsPrackPass() {
    bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.ownSwitch.answer(attempt, "183 Progress", "far", "Require: 100rel\r\nRSeq: 777\r\n");
    bed.run(20);
    assertEquals("1", bed.caller.last("SIP/2.0 183").field("RSeq"));
    bed.caller.send(
        bed.place,
        "PRACK sip:x SIP/2.0\r\nVia: SIP/2.0/UDP "
            + bed.caller.host.localHop(Transport.UDP).host()
            + ":5060;branch=z9hG4bKp\r\nFrom: <sip:m@h>;tag=m\r\nTo: <sip:5551234@x1.example>;tag="
            + bed.callerTag()
            + "\r\nCall-ID: c1\r\nCSeq: 2 PRACK\r\nRAck: 1 1 INVITE\r\n\r\n");
    bed.run(20);
    RawNode.Read prack = bed.ownSwitch.last("PRACK");
    assertEquals("777 1 INVITE", prack.field("RAck"));
    bed.ownSwitch.answer(prack, "200 OK", "", "");
    bed.run(20);
    assertEquals("2 PRACK", bed.caller.last("SIP/2.0 200").field("CSeq"));
  }

  @Test
  void aPeerThatNeverAnswersTheCancelHoldsUpNothing() {
    bed.invite("c1", 2);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "100 Trying", "", "");
    bed.run(2_100);
    assertEquals(1, bed.finals().size());
    assertEquals(1, bed.attempts().size());
    bed.run(31_000);
    assertEquals(1, bed.front.controller().callCount());
    bed.run(3_000);
    assertEquals(0, bed.front.controller().callCount());
    assertEquals(1, bed.attempts().size());
  }

  @Test
  void nonsenseAndAnswersOfOthersChangeNothing() {
    bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    Hop to = bed.place;
    bed.ownSwitch.send(to, "\u0000\u0001\u0002");
    bed.ownSwitch.send(to, "SIP/2.0 200 OK\r\n\r\n");
    String ok = attempt.text().replaceFirst("INVITE [^\r]*", "SIP/2.0 200 OK");
    bed.ownSwitch.send(to, ok.replaceFirst("Call-ID: ", "Call-ID: x"));
    bed.ownSwitch.send(to, ok.replaceFirst("branch=z9hG4bK", "branch=z9hG4bKx"));
    bed.ownSwitch.send(to, ok.replaceFirst("UDP [0-9.]*", "UDP 192.0.2.1"));
    bed.run(50);
    assertEquals(List.of(), bed.finals());
    bed.stand(attempt, "c1");
    assertEquals(List.of("200"), bed.finals());
  }

  @Test
  void patienceThatEndsWithTheAnswerGivesOneOutcome() {
    for (double before = 0; before <= 40; before += 0.5) {
      ControllerBed one = new ControllerBed(Transport.UDP);
      one.invite("c1", 2);
      one.run(20);
      RawNode.Read attempt = one.attempts().get(0);
      one.ownSwitch.answer(attempt, "100 Trying", "", "");
      one.run(1 + 2_000 - 20 - before);
      one.ownSwitch.answer(attempt, "200 OK", "far", "");
      one.run(100);
      assertEquals(1, one.finals().size(), "answer " + before + " ms before the end");
    }
  }

  @Test
  void aCalleesOwnAnswerPassesAsItIs() {
    bed.invite("c1", 4);
    bed.run(20);
    String challenge = "Proxy-Authenticate: Digest realm=\"x\", nonce=\"n\"\r\n";
    bed.ownSwitch.answer(bed.attempts().get(0), "407 Proxy Auth", "t", challenge);
    bed.run(20);
    RawNode.Read answer = bed.caller.last("SIP/2.0 407");
    assertEquals("Digest realm=\"x\", nonce=\"n\"", answer.field("Proxy-Authenticate"));
    assertEquals(1, bed.attempts().size());
  }

  @Test
  void aCallTurnedBackByATandemTriesNoMoreThanTheModuleSays() {
    bed.front.controller().circuitsReported(1, 0, 20, 2);
    bed.invite("c1", 4);
    for (int i = 0; i < 8; i++) {
      bed.run(20);
      for (RawNode.Read attempt : bed.attempts()) {
        bed.ownSwitch.answer(attempt, "503 Back", "t", BACK);
      }
    }
    bed.run(4_000);
    assertTrue(bed.attempts().size() <= 2, "attempts " + bed.attempts().size());
    assertEquals(List.of("503"), bed.finals());
  }

  @Test
  void aFrozenControllerDoesNotTakeCallsWhoseTimeIsUp() {
    bed.world.freeze("controller", 2_500);
    bed.invite("c1", 2);
    bed.run(3_000);
    assertEquals(0, bed.attempts().size());
    assertEquals(1, bed.finals().size());
  }

  @Test
  void tooManyCallsAreToldWhenToComeBack() {
    for (int i = 0; i < 51; i++) {
      bed.invite("c" + i, 4);
    }
    bed.run(10);
    assertEquals("1", bed.caller.last("SIP/2.0 503").field("Retry-After"));
    assertEquals(50, bed.front.callCount());
  }

  @Test
  void aSessionThatNobodyRefreshesIsReleasedOnBothSides() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(
        bed.attempts().get(0), "200 OK", "far", "Session-Expires: 90;refresher=uas\r\n");
    bed.run(10);
    bed.fromCaller("ACK", "c1", 1, bed.callerTag());
    bed.run(89_000);
    assertEquals(1, bed.front.controller().callCount());
    bed.run(2_000);
    assertEquals(0, bed.front.controller().callCount());
    assertEquals(1, bed.ownSwitch.all("BYE").stream().map(r -> r.field("CSeq")).distinct().count());
    assertTrue(bed.caller.all("BYE").size() >= 1);
  }
}
