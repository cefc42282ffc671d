package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.sip.Hop;
import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Crossing, retransmitted, late and malformed messages around one controller. */
class HardCasesTest {
  private static final String NO_CIRCUIT_REASON = "Reason: Q.850;cause=34\r\n";
  private static final String TURNED_BACK_REASON = "Reason: Q.850;cause=34;location=TN\r\n";

  private final ControllerHarness harness = new ControllerHarness(Transport.UDP);

  @Test
  void anInviteRetransmittedAfterReroutingMakesNoSecondCall() {
    String invite = harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "503 No", "t", NO_CIRCUIT_REASON);
    harness.runFor(20);
    int attempts = harness.attempts().size();
    assertTrue(attempts >= 2, "rerouted");
    harness.caller.send(harness.controllerAddress, invite);
    harness.runFor(200);
    assertEquals(attempts, harness.attempts().size());
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  /** The retransmissions get the same final answer or none. */
  @Test
  void anInviteRetransmittedAfterTheFinalAnswerMakesNoSecondCall() {
    String invite = harness.invite("c1", 2);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "404 No", "t", "");
    harness.runFor(20);
    harness.sendFromCaller("ACK", "c1", 1, harness.callerTag());
    for (double wait : new double[] {100, 4_000, 33_000, 300_000}) {
      harness.runFor(wait);
      harness.caller.send(harness.controllerAddress, invite);
    }
    harness.runFor(1_000);
    assertEquals(List.of("404"), harness.finalAnswers());
    assertEquals(1, harness.attempts().size());
    assertEquals(0, harness.frontEnd.callCount());
  }

  @Test
  void anInviteRetransmittedLongAfterAnswerMakesNoSecondCall() {
    String invite = harness.invite("c1", 4);
    harness.runFor(20);
    harness.establish(harness.attempts().get(0), "c1");
    harness.runFor(40_000);
    harness.caller.send(harness.controllerAddress, invite);
    harness.runFor(1_000);
    assertEquals(1, harness.attempts().size());
    assertEquals(List.of("200"), harness.finalAnswers());
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  @Test
  void aRetryAfterAResetWaitsForTheGuardTime() {
    ControllerHarness tcp = new ControllerHarness(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.runFor(20);
    double reset = tcp.network.now();
    tcp.network.resetConnections("switch");
    tcp.runFor(900);
    assertEquals(2, tcp.attempts().size());
    double gap = tcp.attempts().get(1).receivedAt() - reset;
    assertTrue(gap >= FleetConfig.GUARD_TIME_MILLIS, "sent again after " + gap);
  }

  @Test
  void aLate200ToAResetAttemptIsReleased() {
    ControllerHarness tcp = new ControllerHarness(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.runFor(20);
    RawNode.Message attempt = tcp.attempts().get(0);
    tcp.network.resetConnections("switch");
    tcp.runFor(20);
    RawNode.Message received =
        new RawNode.Message(0, tcp.controllerAddress.withTransport(Transport.TCP), attempt.text());
    tcp.localSwitch.respond(received, "200 OK", "remote", "");
    tcp.runFor(50);
    assertEquals(1, tcp.localSwitch.receivedStartingWith("BYE").size());
    tcp.localSwitch.respond(tcp.localSwitch.lastStartingWith("BYE"), "200 OK", "", "");
    tcp.runFor(50);
    assertEquals(1, tcp.localSwitch.receivedStartingWith("ACK").size());
    assertEquals(List.of(), tcp.finalAnswers());
  }

  @Test
  void aConnectionResetKeepsEstablishedCalls() {
    ControllerHarness tcp = new ControllerHarness(Transport.TCP);
    tcp.invite("c1", 4);
    tcp.runFor(20);
    tcp.establish(tcp.attempts().get(0), "c1");
    tcp.network.resetConnections("switch");
    tcp.runFor(500);
    assertEquals(1, tcp.frontEnd.controller().callCount());
    tcp.sendFromCaller("BYE", "c1", 2, tcp.callerTag());
    tcp.runFor(50);
    assertEquals(1, tcp.localSwitch.receivedStartingWith("BYE").size());
    assertEquals(0, tcp.frontEnd.controller().callCount());
  }

  @Test
  void a200ThatCrossesTheCancelIsReleased() {
    harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.localSwitch.respond(attempt, "100 Trying", "", "");
    harness.runFor(5);
    harness.sendFromCaller("CANCEL", "c1", 1, "");
    harness.runFor(5);
    assertEquals(1, harness.localSwitch.receivedStartingWith("CANCEL").size());
    harness.localSwitch.respond(attempt, "200 OK", "remote", "");
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
    harness.localSwitch.respond(harness.localSwitch.lastStartingWith("BYE"), "200 OK", "", "");
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("ACK").size());
    assertEquals(List.of("487"), harness.finalAnswers());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void a200AfterPatienceEndedIsReleasedWithoutASecondFinalAnswer() {
    harness.invite("c1", 2);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.localSwitch.respond(attempt, "100 Trying", "", "");
    harness.runFor(2_100);
    assertEquals(1, harness.finalAnswers().size());
    assertTrue(harness.localSwitch.receivedStartingWith("CANCEL").size() >= 1);
    harness.localSwitch.respond(attempt, "200 OK", "remote", "");
    harness.runFor(100);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
    assertEquals(1, harness.finalAnswers().size());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void aSecond200FromAForkIsReleased() {
    harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.establish(attempt, "c1");
    harness.localSwitch.respond(attempt, "200 OK", "other", "");
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
    assertTrue(harness.localSwitch.lastStartingWith("BYE").header("To").endsWith("tag=other"));
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  @Test
  void aCancelBeforeAnyResponseIsAnsweredAndForwardedLater() {
    harness.invite("c1", 4);
    harness.sendFromCaller("CANCEL", "c1", 1, "");
    harness.runFor(20);
    assertEquals(List.of("487"), harness.finalAnswers());
    assertEquals(0, harness.localSwitch.receivedStartingWith("CANCEL").size());
    harness.localSwitch.respond(harness.attempts().get(0), "180 Ringing", "t", "");
    harness.runFor(20);
    assertEquals(1, harness.localSwitch.receivedStartingWith("CANCEL").size());
  }

  @Test
  void aByeOnAnEarlyDialogEndsTheCall() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "180 Ringing", "t", "");
    harness.runFor(20);
    harness.sendFromCaller("BYE", "c1", 2, harness.callerTag());
    harness.runFor(20);
    assertEquals(List.of("487"), harness.finalAnswers());
    assertEquals(1, harness.localSwitch.receivedStartingWith("CANCEL").size());
  }

  @Test
  void aReinviteDuringSetUpIsRejectedWithRetryAfter() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "180 Ringing", "t", "");
    harness.runFor(20);
    harness.sendFromCaller("INVITE", "c1", 2, harness.callerTag());
    harness.runFor(20);
    assertEquals("1", harness.caller.lastStartingWith("SIP/2.0 500").header("Retry-After"));
    assertEquals(1, harness.attempts().size());
  }

  @Test
  void aReinviteOfAnEstablishedCallIsForwardedBothWays() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.establish(harness.attempts().get(0), "c1");
    String tag = harness.callerTag();
    harness.sendFromCaller("INVITE", "c1", 2, tag);
    harness.runFor(20);
    RawNode.Message reinvite = harness.localSwitch.lastStartingWith("INVITE");
    assertTrue(reinvite.header("To").endsWith("tag=remote"));
    harness.localSwitch.respond(reinvite, "200 OK", "", "");
    harness.runFor(20);
    assertEquals("2 INVITE", harness.caller.lastStartingWith("SIP/2.0 200").header("CSeq"));
    harness.sendFromCaller("ACK", "c1", 2, tag);
    harness.runFor(20);
    assertEquals(2, harness.localSwitch.receivedStartingWith("ACK").size());
    harness.sendFromCaller("INFO", "c1", 3, tag);
    harness.runFor(20);
    harness.localSwitch.respond(harness.localSwitch.lastStartingWith("INFO"), "200 OK", "", "");
    harness.runFor(20);
    assertEquals("3 INFO", harness.caller.lastStartingWith("SIP/2.0 200").header("CSeq"));
  }

  @Test
  void aReliableProvisionalResponseAndItsPrackAreForwarded() {
    harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.localSwitch.respond(
        attempt, "183 Progress", "remote", "Require: 100rel\r\nRSeq: 777\r\n");
    harness.runFor(20);
    assertEquals("1", harness.caller.lastStartingWith("SIP/2.0 183").header("RSeq"));
    harness.caller.send(
        harness.controllerAddress,
        "PRACK sip:x SIP/2.0\r\nVia: SIP/2.0/UDP "
            + harness.caller.host.localHop(Transport.UDP).host()
            + ":5060;branch=z9hG4bKp\r\nFrom: <sip:m@h>;tag=m\r\nTo: <sip:5551234@x1.example>;tag="
            + harness.callerTag()
            + "\r\nCall-ID: c1\r\nCSeq: 2 PRACK\r\nRAck: 1 1 INVITE\r\n\r\n");
    harness.runFor(20);
    RawNode.Message prack = harness.localSwitch.lastStartingWith("PRACK");
    assertEquals("777 1 INVITE", prack.header("RAck"));
    harness.localSwitch.respond(prack, "200 OK", "", "");
    harness.runFor(20);
    assertEquals("2 PRACK", harness.caller.lastStartingWith("SIP/2.0 200").header("CSeq"));
  }

  @Test
  void aCallIsRemovedThoughTheCancelIsNeverAnswered() {
    harness.invite("c1", 2);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "100 Trying", "", "");
    harness.runFor(2_100);
    assertEquals(1, harness.finalAnswers().size());
    assertEquals(1, harness.attempts().size());
    harness.runFor(31_000);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.runFor(3_000);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertEquals(1, harness.attempts().size());
  }

  @Test
  void malformedMessagesAndForeignResponsesAreIgnored() {
    harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    Hop address = harness.controllerAddress;
    harness.localSwitch.send(address, "\u0000\u0001\u0002");
    harness.localSwitch.send(address, "SIP/2.0 200 OK\r\n\r\n");
    String ok = attempt.text().replaceFirst("INVITE [^\r]*", "SIP/2.0 200 OK");
    harness.localSwitch.send(address, ok.replaceFirst("Call-ID: ", "Call-ID: x"));
    harness.localSwitch.send(address, ok.replaceFirst("branch=z9hG4bK", "branch=z9hG4bKx"));
    harness.localSwitch.send(address, ok.replaceFirst("UDP [0-9.]*", "UDP 192.0.2.1"));
    harness.runFor(50);
    assertEquals(List.of(), harness.finalAnswers());
    harness.establish(attempt, "c1");
    assertEquals(List.of("200"), harness.finalAnswers());
  }

  @Test
  void patienceThatEndsAroundTheAnswerGivesOneFinalAnswer() {
    for (double before = 0; before <= 40; before += 0.5) {
      ControllerHarness single = new ControllerHarness(Transport.UDP);
      single.invite("c1", 2);
      single.runFor(20);
      RawNode.Message attempt = single.attempts().get(0);
      single.localSwitch.respond(attempt, "100 Trying", "", "");
      // The INVITE arrives after 1 ms, and 20 ms have already passed.
      single.runFor(1 + 2_000 - 20 - before);
      single.localSwitch.respond(attempt, "200 OK", "remote", "");
      single.runFor(100);
      assertEquals(1, single.finalAnswers().size(), "answer " + before + " ms before the end");
    }
  }

  @Test
  void aFinalResponseOfTheCalleeIsForwarded() {
    harness.invite("c1", 4);
    harness.runFor(20);
    String challenge = "Proxy-Authenticate: Digest realm=\"x\", nonce=\"n\"\r\n";
    harness.localSwitch.respond(harness.attempts().get(0), "407 Proxy Auth", "t", challenge);
    harness.runFor(20);
    RawNode.Message answer = harness.caller.lastStartingWith("SIP/2.0 407");
    assertEquals("Digest realm=\"x\", nonce=\"n\"", answer.header("Proxy-Authenticate"));
    assertEquals(1, harness.attempts().size());
  }

  /** The call is not tried more often than the policy decides. */
  @Test
  void aCallTurnedBackByATandemMakesAtMostTwoAttempts() {
    harness
        .frontEnd
        .controller()
        .circuitsReported(1, /* free= */ 0, /* size= */ 20, /* version= */ 2);
    harness.invite("c1", 4);
    for (int i = 0; i < 8; i++) {
      harness.runFor(20);
      for (RawNode.Message attempt : harness.attempts()) {
        harness.localSwitch.respond(attempt, "503 Back", "t", TURNED_BACK_REASON);
      }
    }
    harness.runFor(4_000);
    assertTrue(harness.attempts().size() <= 2, "attempts " + harness.attempts().size());
    assertEquals(List.of("503"), harness.finalAnswers());
  }

  @Test
  void aFrozenControllerMakesNoAttemptForExpiredCalls() {
    harness.network.freeze("controller", 2_500);
    harness.invite("c1", 2);
    harness.runFor(3_000);
    assertEquals(0, harness.attempts().size());
    assertEquals(1, harness.finalAnswers().size());
  }

  @Test
  void callsAboveTheMaximumGetRetryAfter() {
    for (int i = 0; i < 51; i++) {
      harness.invite("c" + i, 4);
    }
    harness.runFor(10);
    assertEquals("1", harness.caller.lastStartingWith("SIP/2.0 503").header("Retry-After"));
    assertEquals(50, harness.frontEnd.callCount());
  }

  @Test
  void anUnrefreshedSessionIsReleasedOnBothSides() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(
        harness.attempts().get(0), "200 OK", "remote", "Session-Expires: 90;refresher=uas\r\n");
    harness.runFor(10);
    harness.sendFromCaller("ACK", "c1", 1, harness.callerTag());
    harness.runFor(89_000);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.runFor(2_000);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertEquals(
        1,
        harness.localSwitch.receivedStartingWith("BYE").stream()
            .map(message -> message.header("CSeq"))
            .distinct()
            .count());
    assertTrue(harness.caller.receivedStartingWith("BYE").size() >= 1);
  }
}
