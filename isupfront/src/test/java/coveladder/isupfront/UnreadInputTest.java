package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Set-ups of clients that have sent more than was read: a give-up or a close may be behind them.
 */
class UnreadInputTest {
  private static final double GUARD_MILLIS = 300;

  private FrontEndHarness harness;
  private ScriptedPolicy policy;
  private FakeConnection caller;
  private FakeConnection toSwitch;

  @BeforeEach
  void setUpHarness() {
    harness =
        new FrontEndHarness(actions -> policy = new ScriptedPolicy(actions))
            .openSwitchConnections();
    caller = harness.connectCaller();
    toSwitch = harness.connectionTo(2);
    toSwitch.takeSent();
    policy.takeEvents();
  }

  /** Guards against set-ups that are sent on after their client has closed its connection. */
  @Test
  void aSetUpWhoseClientHasClosedBehindItIsNeverSent() {
    caller.unread = true;
    for (int id = 20; id < 60; id++) {
      caller.deliver(FrontEndHarness.setUp(id));
    }
    harness.clock.advance(200);
    caller.lose(Loss.CLOSED);
    harness.clock.advance(1_000);
    assertEquals(List.of(), toSwitch.takeSent());
    assertTrue(policy.takeEvents().stream().noneMatch(event -> event.startsWith("call")));
    assertEquals(0, harness.frontEnd.pendingOctets());
  }

  @Test
  void aSetUpIsSentOnceTheInputBehindItIsRead() {
    caller.unread = true;
    caller.deliver(FrontEndHarness.setUp(7));
    assertEquals(List.of(), toSwitch.takeSent());
    caller.unread = false;
    harness.clock.advance(10);
    assertEquals(List.of("OPEN 7 voice offer7"), toSwitch.takeSent());
  }

  /** Guards against a client that sends without end and so keeps its set-ups waiting for ever. */
  @Test
  void aSetUpIsRefusedWhenTheInputBehindItIsNotReadInTime() {
    caller.unread = true;
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(510);
    assertEquals(List.of("12 7 cause 42"), caller.takeSent());
    caller.unread = false;
    harness.clock.advance(1_000);
    assertEquals(List.of(), toSwitch.takeSent());
    assertEquals(0, harness.frontEnd.pendingOctets());
  }

  /** Guards against kept set-ups that a client takes back without end. */
  @Test
  void aSetUpTakenBackWhileItWaitsIsForgotten() {
    caller.unread = true;
    caller.deliver(FrontEndHarness.setUp(7));
    caller.deliver(FrontEndHarness.release(7));
    caller.unread = false;
    harness.clock.advance(GUARD_MILLIS);
    assertEquals(List.of(), toSwitch.takeSent());
    assertEquals(0, harness.frontEnd.pendingOctets());
  }

  /** Guards against an attempt that begins late, after its client has closed its connection. */
  @Test
  void anAttemptThatWaitedForItsConnectionIsNotSentBehindUnreadInput() {
    toSwitch.lose(Loss.CLOSED);
    caller.deliver(FrontEndHarness.setUp(7));
    caller.unread = true;
    harness.clock.advance(200);
    harness.connectionTo(2).establish();
    harness.connectionTo(2).takeSent();
    harness.clock.advance(50);
    caller.lose(Loss.CLOSED);
    harness.clock.advance(500);
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
  }

  @Test
  void anAttemptIsRefusedWhenTheInputOfItsCallerIsNotReadInTime() {
    toSwitch.lose(Loss.CLOSED);
    caller.deliver(FrontEndHarness.setUp(7));
    caller.unread = true;
    harness.clock.advance(200);
    harness.connectionTo(2).establish();
    harness.clock.advance(110);
    assertEquals(List.of("12 7 cause 42"), caller.takeSent());
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
  }

  /** Guards against a set-up that has no answer when the process ends. */
  @Test
  void aSetUpThatWaitsIsAnsweredAtTheEndOfTheShutdown() {
    FrontEndHarness shortDeadlines =
        new FrontEndHarness(
            ScriptedPolicy::new,
            Limits.forDescriptors(256, 3),
            config -> config.replace("\"giveUp\":9000", "\"giveUp\":600"));
    shortDeadlines.openSwitchConnections();
    FakeConnection client = shortDeadlines.connectCaller();
    shortDeadlines.frontEnd.terminate();
    shortDeadlines.clock.advance(350);
    client.unread = true;
    client.deliver(FrontEndHarness.setUp(7, CallerMessage.LEFT, "500"));
    shortDeadlines.clock.advance(400);
    assertEquals(List.of("12 7 cause 42"), client.takeSent());
  }
}
