package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.core.recovery.SavedCall.Phase;
import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A controller that is killed and restarted at various points of a call. */
class RestartTest {
  private final ControllerHarness harness = new ControllerHarness(Transport.UDP, true);

  private void establishCall() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.establish(harness.attempts().get(0), "c1");
    harness.runFor(100);
    harness.disk.flush();
  }

  @Test
  void theCallerCanReleaseAnEstablishedCallAfterARestart() {
    establishCall();
    String tag = harness.callerTag();
    harness.restart(300);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.sendFromCaller("BYE", "c1", 2, tag);
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
    assertTrue(harness.localSwitch.lastStartingWith("BYE").header("To").endsWith("tag=remote"));
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertEquals(List.of("200"), harness.finalAnswers());
  }

  @Test
  void theCalleeCanReleaseAnEstablishedCallAfterARestart() {
    establishCall();
    RawNode.Message attempt = harness.attempts().get(0);
    harness.restart(300);
    harness.localSwitch.send(
        harness.controllerAddress,
        "BYE sip:x SIP/2.0\r\nVia: SIP/2.0/UDP 192.0.2.9;branch=z9hG4bKb\r\nFrom: "
            + attempt.header("To")
            + ";tag=remote\r\nTo: "
            + attempt.header("From")
            + "\r\nCall-ID: "
            + attempt.header("Call-ID")
            + "\r\nCSeq: 1 BYE\r\n\r\n");
    harness.runFor(50);
    assertEquals(1, harness.caller.receivedStartingWith("BYE").size());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void aReinviteIsForwardedAfterARestart() {
    establishCall();
    String tag = harness.callerTag();
    harness.restart(300);
    harness.sendFromCaller("INVITE", "c1", 2, tag);
    harness.runFor(20);
    RawNode.Message reinvite = harness.localSwitch.lastStartingWith("INVITE");
    assertTrue(reinvite.header("To").endsWith("tag=remote"));
    harness.localSwitch.respond(reinvite, "200 OK", "", "");
    harness.runFor(20);
    assertEquals("2 INVITE", harness.caller.lastStartingWith("SIP/2.0 200").header("CSeq"));
  }

  @Test
  void anInterruptedSetUpIsCancelledAndItsCallerAnsweredOnce() {
    String invite = harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.localSwitch.respond(attempt, "100 Trying", "", "");
    harness.runFor(5);
    harness.restart(100);
    assertEquals(1, harness.frontEnd.recovery().recoveredCalls(Phase.SETTING_UP));
    harness.caller.send(harness.controllerAddress, invite);
    harness.runFor(50);
    assertEquals(List.of("503"), harness.finalAnswers());
    RawNode.Message cancel = harness.localSwitch.lastStartingWith("CANCEL");
    assertEquals(attempt.header("Via"), cancel.header("Via"));
    harness.localSwitch.respond(cancel, "200 OK", "", "");
    harness.localSwitch.respond(attempt, "487 Over", "t", "");
    harness.runFor(50);
    assertTrue(harness.frontEnd.recovery().isComplete());
    assertEquals(1, harness.attempts().size());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void a200ToAnAttemptFromBeforeTheRestartIsReleased() {
    harness.invite("c1", 4);
    harness.runFor(20);
    RawNode.Message attempt = harness.attempts().get(0);
    harness.restart(100);
    harness.runFor(20);
    harness.localSwitch.respond(attempt, "200 OK", "remote", "");
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
    harness.localSwitch.respond(harness.localSwitch.lastStartingWith("BYE"), "200 OK", "", "");
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("ACK").size());
    assertEquals(List.of("503"), harness.finalAnswers());
  }

  /** After the restart the clock is an hour behind: whether the caller still waits is unknown. */
  @Test
  void noCallerIsAnsweredIfTheClockWasSetBack() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.clockStepMillis = -3_600_000;
    harness.restart(10_000);
    harness.runFor(100);
    assertEquals(List.of(), harness.finalAnswers());
    assertEquals(1, harness.localSwitch.receivedStartingWith("CANCEL").size());
  }

  @Test
  void theCallerCanRedialWhileItsOldCallIsRecovered() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.restart(100);
    harness.invite("c2", 4);
    harness.runFor(20);
    assertEquals(List.of("503"), harness.finalAnswers());
    assertEquals(2, harness.attempts().size());
    harness.localSwitch.respond(harness.localSwitch.lastStartingWith("CANCEL"), "200 OK", "", "");
    harness.localSwitch.respond(harness.attempts().get(0), "487 Over", "t", "");
    harness.runFor(50);
    harness.establish(harness.attempts().get(1), "c2");
    assertEquals(List.of("503", "200"), harness.finalAnswers());
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  @Test
  void retransmittedInvitesDuringRecoveryMakeNoSecondCall() {
    String invite = harness.invite("c1", 4);
    harness.runFor(20);
    harness.restart(10);
    for (int i = 0; i < 5; i++) {
      harness.caller.send(harness.controllerAddress, invite);
      harness.runFor(5);
    }
    assertEquals(1, harness.attempts().size());
    assertEquals(List.of("503"), harness.finalAnswers());
  }

  /** Both ends may be restarting, too: each is asked three times before the call is released. */
  @Test
  void unreachableEndsAreVerifiedAgainAndThenReleased() {
    establishCall();
    harness.network.setReachable("switch", false);
    harness.restart(300);
    harness.runFor(60_000);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.runFor(80_000);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertTrue(!harness.caller.receivedStartingWith("BYE").isEmpty());
  }

  @Test
  void theSessionTimerContinuesAcrossARestart() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(
        harness.attempts().get(0), "200 OK", "remote", "Session-Expires: 90\r\n");
    harness.runFor(10);
    harness.sendFromCaller("ACK", "c1", 1, harness.callerTag());
    harness.runFor(100);
    harness.disk.flush();
    harness.restart(300);
    RawNode.Message verified = respondToBothEnds("OPTIONS", 85_000);
    assertTrue(verified != null);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.runFor(10_000);
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  /** Both ends confirm a request with 200; returns the one sent to the switch. */
  private RawNode.Message respondToBothEnds(String method, double durationMillis) {
    harness.runFor(1_000);
    RawNode.Message remoteRequest = harness.localSwitch.lastStartingWith(method);
    harness.localSwitch.respond(remoteRequest, "200 OK", "", "");
    harness.caller.respond(harness.caller.lastStartingWith(method), "200 OK", "", "");
    harness.runFor(durationMillis);
    return remoteRequest;
  }

  @Test
  void aCallStoredBeforeTheCrashButNotAnsweredIsEstablished() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "200 OK", "remote", "");
    harness.runFor(1 + ControllerHarness.SYNC_MILLIS / 2);
    assertEquals(List.of(), harness.finalAnswers());
    harness.disk.flush();
    harness.restart(100);
    harness.runFor(20);
    assertEquals(List.of("200"), harness.finalAnswers());
    harness.sendFromCaller("ACK", "c1", 1, harness.callerTag());
    harness.runFor(20_000);
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  @Test
  void aCrashBeforeTheAttemptIsStoredSendsNothing() {
    harness.invite("c1", 4);
    harness.runFor(1 + ControllerHarness.SYNC_MILLIS / 2);
    harness.restart(100);
    harness.runFor(100);
    assertEquals(0, harness.attempts().size());
    assertEquals(0, harness.frontEnd.recovery().recoveredCalls(Phase.SETTING_UP));
    assertEquals(List.of(), harness.finalAnswers());
  }

  @Test
  void aStoredFinalAnswerIsRepeatedAfterARestart() {
    harness.invite("c1", 4);
    harness.runFor(20);
    harness.localSwitch.respond(harness.attempts().get(0), "404 No", "t", "");
    harness.runFor(1 + ControllerHarness.SYNC_MILLIS / 2);
    harness.disk.flush();
    harness.restart(100);
    harness.runFor(50);
    assertEquals(List.of("404"), harness.finalAnswers());
  }

  @Test
  void aCallWhoseRemoteEndLeftIsReleasedAfterARestart() {
    establishCall();
    harness.restart(300);
    harness.runFor(150);
    RawNode.Message request = harness.localSwitch.lastStartingWith("OPTIONS");
    assertTrue(request.header("To").endsWith("tag=remote"));
    harness.localSwitch.respond(request, "481 Gone", "", "");
    harness.runFor(50);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertEquals(1, harness.caller.receivedStartingWith("BYE").size());
  }

  @Test
  void anEstablishedCallSurvivesCrashesDuringRecovery() {
    establishCall();
    String tag = harness.callerTag();
    harness.restart(50);
    harness.restart(50);
    harness.restart(50);
    assertEquals(1, harness.frontEnd.controller().callCount());
    harness.sendFromCaller("BYE", "c1", 2, tag);
    harness.runFor(50);
    assertEquals(1, harness.localSwitch.receivedStartingWith("BYE").size());
  }
}
