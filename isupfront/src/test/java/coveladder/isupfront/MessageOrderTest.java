package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Forces orders of messages, closes and signals that docs/races.md lists and no other test does.
 */
class MessageOrderTest {
  private FrontEndHarness harness;
  private FrontEndHarness.FakeConnection caller;
  private FrontEndHarness.FakeConnection toSwitch;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    caller = harness.connectCaller();
    toSwitch = harness.connectionTo(2);
  }

  private static byte[] test() {
    return CallerCodec.encode(
        CallerMessage.withCause(CallerMessage.TEST, FrontEndHarness.callId(0), 0));
  }

  private static byte[] resume(int id) {
    return FrontEndHarness.setUp(id, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1");
  }

  private static PlatformSettings withJournalAt(int port) {
    String config = new String(FrontEndHarness.CONFIG, StandardCharsets.UTF_8);
    String moved = config.replace("8500", Integer.toString(port));
    return PlatformSettings.read(moved.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aReleaseOnAnotherConnectionDoesNotGiveAPendingCallUp() {
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(FrontEndHarness.release(7));
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
  }

  @Test
  void aGiveUpInPiecesAfterTheAnswerReleasesTheCall() {
    caller.deliver(FrontEndHarness.setUp(7));
    byte[] release = FrontEndHarness.release(7);
    caller.deliver(java.util.Arrays.copyOf(release, 5));
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    toSwitch.takeSent();
    caller.deliver(java.util.Arrays.copyOfRange(release, 5, release.length));
    assertEquals(List.of("9 7answer", "16 7"), caller.takeSent());
    assertEquals(List.of("CLOSE 7 16"), toSwitch.takeSent());
  }

  @Test
  void eachTestIsAnsweredAndFailsOnceTerminationIsRequested() {
    caller.deliver(test());
    caller.deliver(test());
    harness.frontEnd.terminate();
    caller.deliver(test());
    assertEquals(List.of("53 0 cause 1", "53 0 cause 1", "53 0 cause 0"), caller.takeSent());
  }

  @Test
  void aSecondRequestToTerminateDoesNotProlongTheShutdown() {
    harness.frontEnd.terminate();
    harness.clock.advance(2_500);
    harness.frontEnd.terminate();
    harness.clock.advance(1_000);
    assertTrue(harness.frontEnd.isTerminated());
  }

  @Test
  void aCallNamedDuringTerminationIsResumedAndReleased() {
    harness.frontEnd.terminate();
    harness.clock.advance(1_500);
    caller.deliver(resume(7));
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  @Test
  void aNewConfigurationWhileTheJournalIsDownMovesTheNextAttempt() {
    harness.connectionTo(8500).lose(Loss.TURNED_AWAY);
    harness.frontEnd.reconfigure(withJournalAt(8600));
    harness.frontEnd.reconfigure(withJournalAt(8700));
    harness.clock.advance(300);
    assertEquals(null, harness.connectionTo(8500));
    assertEquals(null, harness.connectionTo(8600));
    assertEquals(List.of("tail 1"), harness.connectionTo(8700).takeSent());
  }

  @Test
  void whatTheOldJournalConnectionStillBringsAfterAMoveIsIgnored() {
    FrontEndHarness.FakeConnection old = harness.connectionTo(8500);
    harness.frontEnd.reconfigure(withJournalAt(8600));
    harness.clock.advance(1);
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s9"));
    old.deliver("1");
    assertEquals(List.of(), caller.takeSent());
    harness.connectionTo(8600).deliver("1");
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  @Test
  void aReleaseReadInTheTurnInWhichItsConnectionEndsReachesTheSwitch() {
    caller.deliver(resume(7));
    caller.deliverWithoutTurn(FrontEndHarness.release(7));
    caller.lose(Loss.CLOSED);
    harness.clock.advance(1);
    assertEquals(List.of("CLOSE 7 16"), toSwitch.takeSent());
  }

  /** A set-up sent again under its id left 2 ms after the first copy was given up. */
  @Test
  void aSetUpSentAgainAfterItsConnectionWasCutWaitsForTheGuardTime() {
    caller.deliver(FrontEndHarness.setUp(7));
    assertEquals(List.of("OPEN 7 voice offer7"), toSwitch.takeSent());
    caller.lose(Loss.CLOSED);
    harness.clock.advance(2);
    assertEquals(List.of("CLOSE 7 16"), toSwitch.takeSent());
    FrontEndHarness.FakeConnection again = harness.connectCaller();
    again.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(297);
    assertEquals(List.of(), toSwitch.takeSent());
    assertEquals(List.of(), again.takeSent());
    harness.clock.advance(2);
    assertEquals(List.of("OPEN 7 voice offer7"), toSwitch.takeSent());
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), again.takeSent());
  }

  @Test
  void aSetUpSentAgainInTheTurnOfTheCutIsServedToo() {
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection again = harness.connectCaller();
    caller.lose(Loss.CLOSED);
    again.deliverWithoutTurn(FrontEndHarness.setUp(7));
    harness.clock.advance(301);
    assertEquals(
        List.of("OPEN 7 voice offer7", "CLOSE 7 16", "OPEN 7 voice offer7"), toSwitch.takeSent());
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), again.takeSent());
  }

  @Test
  void aSetUpThatIsGivenUpWhileItIsHeldIsNeverSent() {
    caller.deliver(FrontEndHarness.setUp(7));
    caller.lose(Loss.CLOSED);
    harness.clock.advance(2);
    toSwitch.takeSent();
    FrontEndHarness.FakeConnection again = harness.connectCaller();
    again.deliver(FrontEndHarness.setUp(7));
    again.deliver(FrontEndHarness.release(7));
    harness.clock.advance(1_000);
    assertEquals(List.of(), toSwitch.takeSent());
    assertEquals(List.of("16 7"), again.takeSent());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }
}
