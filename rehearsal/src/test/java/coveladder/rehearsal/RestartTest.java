package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.core.recovery.SavedCall.Phase;
import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One controller that is killed around a call, between a caller and a switch played by hand. */
class RestartTest {
  private final ControllerBed bed = new ControllerBed(Transport.UDP, true);

  private void standing() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.stand(bed.attempts().get(0), "c1");
    bed.run(100);
    bed.disk.flush();
  }

  @Test
  void aCallThatStandsSurvivesAndItsCallerReleasesIt() {
    standing();
    String tag = bed.callerTag();
    bed.restart(300);
    assertEquals(1, bed.front.controller().callCount());
    bed.fromCaller("BYE", "c1", 2, tag);
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
    assertTrue(bed.ownSwitch.last("BYE").field("To").endsWith("tag=far"));
    assertEquals(0, bed.front.controller().callCount());
    assertEquals(List.of("200"), bed.finals());
  }

  @Test
  void aCallThatStandsSurvivesAndItsCalleeReleasesIt() {
    standing();
    RawNode.Read attempt = bed.attempts().get(0);
    bed.restart(300);
    bed.ownSwitch.send(
        bed.place,
        "BYE sip:x SIP/2.0\r\nVia: SIP/2.0/UDP 192.0.2.9;branch=z9hG4bKb\r\nFrom: "
            + attempt.field("To")
            + ";tag=far\r\nTo: "
            + attempt.field("From")
            + "\r\nCall-ID: "
            + attempt.field("Call-ID")
            + "\r\nCSeq: 1 BYE\r\n\r\n");
    bed.run(50);
    assertEquals(1, bed.caller.all("BYE").size());
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void aReinviteGoesThroughAfterARestart() {
    standing();
    String tag = bed.callerTag();
    bed.restart(300);
    bed.fromCaller("INVITE", "c1", 2, tag);
    bed.run(20);
    RawNode.Read again = bed.ownSwitch.last("INVITE");
    assertTrue(again.field("To").endsWith("tag=far"));
    bed.ownSwitch.answer(again, "200 OK", "", "");
    bed.run(20);
    assertEquals("2 INVITE", bed.caller.last("SIP/2.0 200").field("CSeq"));
  }

  @Test
  void aSetUpCutShortIsCalledOffAndItsCallerAnsweredOnce() {
    String invite = bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.ownSwitch.answer(attempt, "100 Trying", "", "");
    bed.run(5);
    bed.restart(100);
    assertEquals(1, bed.front.recovery().recoveredCalls(Phase.SETTING_UP));
    bed.caller.send(bed.place, invite);
    bed.run(50);
    assertEquals(List.of("503"), bed.finals());
    RawNode.Read cancel = bed.ownSwitch.last("CANCEL");
    assertEquals(attempt.field("Via"), cancel.field("Via"));
    bed.ownSwitch.answer(cancel, "200 OK", "", "");
    bed.ownSwitch.answer(attempt, "487 Over", "t", "");
    bed.run(50);
    assertTrue(bed.front.recovery().isComplete());
    assertEquals(1, bed.attempts().size());
    assertEquals(0, bed.front.controller().callCount());
  }

  @Test
  void a200ThatCameWhileNobodyListenedIsReleased() {
    bed.invite("c1", 4);
    bed.run(20);
    RawNode.Read attempt = bed.attempts().get(0);
    bed.restart(100);
    bed.run(20);
    bed.ownSwitch.answer(attempt, "200 OK", "far", "");
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
    bed.ownSwitch.answer(bed.ownSwitch.last("BYE"), "200 OK", "", "");
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("ACK").size());
    assertEquals(List.of("503"), bed.finals());
  }

  /** The clock stands an hour before the crash: the caller cannot be known to wait still. */
  @Test
  void withTheClockSetBackNoCallerIsAnsweredLate() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.clockStep = -3_600_000;
    bed.restart(10_000);
    bed.run(100);
    assertEquals(List.of(), bed.finals());
    assertEquals(1, bed.ownSwitch.all("CANCEL").size());
  }

  @Test
  void theSameCallerDialsAgainWhileItsOldCallIsRecovered() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.restart(100);
    bed.invite("c2", 4);
    bed.run(20);
    assertEquals(List.of("503"), bed.finals());
    assertEquals(2, bed.attempts().size());
    bed.ownSwitch.answer(bed.ownSwitch.last("CANCEL"), "200 OK", "", "");
    bed.ownSwitch.answer(bed.attempts().get(0), "487 Over", "t", "");
    bed.run(50);
    bed.stand(bed.attempts().get(1), "c2");
    assertEquals(List.of("503", "200"), bed.finals());
    assertEquals(1, bed.front.controller().callCount());
  }

  @Test
  void anInviteThatComesAgainIsNoSecondCallHoweverLongRecoveryTakes() {
    String invite = bed.invite("c1", 4);
    bed.run(20);
    bed.restart(10);
    for (int i = 0; i < 5; i++) {
      bed.caller.send(bed.place, invite);
      bed.run(5);
    }
    assertEquals(1, bed.attempts().size());
    assertEquals(List.of("503"), bed.finals());
  }

  /** Both ends are starting too: each is asked three times before the call is let go. */
  @Test
  void endsThatCannotBeReachedAreAskedAgainAndThenReleased() {
    standing();
    bed.world.setReachable("switch", false);
    bed.restart(300);
    bed.run(60_000);
    assertEquals(1, bed.front.controller().callCount());
    bed.run(80_000);
    assertEquals(0, bed.front.controller().callCount());
    assertTrue(!bed.caller.all("BYE").isEmpty());
  }

  @Test
  void aSessionTimerThatRanBeforeTheRestartRunsOn() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "200 OK", "far", "Session-Expires: 90\r\n");
    bed.run(10);
    bed.fromCaller("ACK", "c1", 1, bed.callerTag());
    bed.run(100);
    bed.disk.flush();
    bed.restart(300);
    RawNode.Read asked = answerAll("OPTIONS", 85_000);
    assertTrue(asked != null);
    assertEquals(1, bed.front.controller().callCount());
    bed.run(10_000);
    assertEquals(0, bed.front.controller().callCount());
  }

  /** Both ends say that they hold the call; the last request that was answered. */
  private RawNode.Read answerAll(String method, double lasts) {
    bed.run(1_000);
    RawNode.Read far = bed.ownSwitch.last(method);
    bed.ownSwitch.answer(far, "200 OK", "", "");
    bed.caller.answer(bed.caller.last(method), "200 OK", "", "");
    bed.run(lasts);
    return far;
  }

  @Test
  void killedBetweenTheWriteAndOurAnswerTheCallStands() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "200 OK", "far", "");
    bed.run(1 + ControllerBed.SYNC / 2);
    assertEquals(List.of(), bed.finals());
    bed.disk.flush();
    bed.restart(100);
    bed.run(20);
    assertEquals(List.of("200"), bed.finals());
    bed.fromCaller("ACK", "c1", 1, bed.callerTag());
    bed.run(20_000);
    assertEquals(1, bed.front.controller().callCount());
  }

  @Test
  void killedBeforeTheWriteOfTheAttemptNothingIsKnownAndNothingLeft() {
    bed.invite("c1", 4);
    bed.run(1 + ControllerBed.SYNC / 2);
    bed.restart(100);
    bed.run(100);
    assertEquals(0, bed.attempts().size());
    assertEquals(0, bed.front.recovery().recoveredCalls(Phase.SETTING_UP));
    assertEquals(List.of(), bed.finals());
  }

  @Test
  void aFinalAnswerOnItsWayIsTheSameAfterwards() {
    bed.invite("c1", 4);
    bed.run(20);
    bed.ownSwitch.answer(bed.attempts().get(0), "404 No", "t", "");
    bed.run(1 + ControllerBed.SYNC / 2);
    bed.disk.flush();
    bed.restart(100);
    bed.run(50);
    assertEquals(List.of("404"), bed.finals());
  }

  @Test
  void aCallWhoseFarEndLeftMeanwhileIsFoundAndReleased() {
    standing();
    bed.restart(300);
    bed.run(150);
    RawNode.Read asked = bed.ownSwitch.last("OPTIONS");
    assertTrue(asked.field("To").endsWith("tag=far"));
    bed.ownSwitch.answer(asked, "481 Gone", "", "");
    bed.run(50);
    assertEquals(0, bed.front.controller().callCount());
    assertEquals(1, bed.caller.all("BYE").size());
  }

  @Test
  void killedTwiceDuringRecoveryItStillStands() {
    standing();
    String tag = bed.callerTag();
    bed.restart(50);
    bed.restart(50);
    bed.restart(50);
    assertEquals(1, bed.front.controller().callCount());
    bed.fromCaller("BYE", "c1", 2, tag);
    bed.run(50);
    assertEquals(1, bed.ownSwitch.all("BYE").size());
  }
}
