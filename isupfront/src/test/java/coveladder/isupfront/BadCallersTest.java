package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy;
import coveladder.NestedThresholdPolicy;
import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that callers which misuse the protocol are refused and do not affect others. */
class BadCallersTest {
  private ScriptedPolicy policy;
  private FrontEndHarness harness;
  private FrontEndHarness.FakeConnection caller;

  /**
   * Creates a harness with low limits, such as 4 caller connections, 5 pending calls and 3 unusable
   * set-ups for each connection.
   */
  @BeforeEach
  void setUpHarness() {
    harness =
        new FrontEndHarness(
                actions -> policy = new ScriptedPolicy(actions),
                new Limits(16_384, 4, 5, 60_000, 6, 2_000, 3, 3, 30, 300, 6_000))
            .openSwitchConnections();
    caller = harness.connectCaller();
    policy.takeEvents();
  }

  @ParameterizedTest
  @CsvSource(
      value = {
        "16|no such class",
        "16|NULL",
        "17|NULL",
        "17|soon",
        "17|-1",
        "17|0",
        "17|NaN",
        "17|1e99",
        "21|NULL",
        "21|dest",
        "21|dest:x;width:1",
        "21|dest:-2;width:1",
        "21|dest:77;width:1",
        "21|dest:1;width:0",
        "21|dest:1;width:4",
        "21|dest:1;width:99999999999",
        "21|dest:1;dest:1"
      },
      delimiter = '|',
      nullValues = "NULL")
  void refusesAnUnusableSetUpWithoutReportingIt(int code, String value) {
    caller.deliver(FrontEndHarness.setUp(7, code, value));
    assertEquals(List.of("12 7 cause 111"), caller.takeSent());
    assertEquals(List.of(), policy.takeEvents());
    assertFalse(caller.closed);
  }

  @Test
  void refusesASetUpWithoutAnId() {
    caller.deliver(FrontEndHarness.setUp(0));
    assertEquals(List.of("12 0 cause 111"), caller.takeSent());
  }

  @Test
  void refusesADescriptionThatIsNotUtf8() {
    byte[] setUp = FrontEndHarness.setUp(7);
    setUp[setUp.length - 1] = (byte) 0xff;
    caller.deliver(setUp);
    assertEquals(List.of("12 7 cause 111"), caller.takeSent());
  }

  @Test
  void invalidOctetsCloseOnlyTheirConnection() {
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    FrontEndHarness.FakeConnection connection = harness.connectionTo(2);
    regular.deliver(FrontEndHarness.setUp(8));
    caller.deliver(FrontEndHarness.setUp(7));
    caller.deliver("GET / HTTP/1.1\r\n".getBytes());
    assertTrue(caller.closed);
    assertEquals(
        List.of("call 8 3000", "call 7 3000", "abandoned 7"), policy.takeEvents().subList(0, 3));
    connection.deliver(FrontEndHarness.ready(8, "answer"));
    assertEquals(List.of("9 8answer"), regular.takeSent());
  }

  @Test
  void aDuplicateOnTheSameConnectionGetsOneReleaseForBoth() {
    caller.deliver(FrontEndHarness.setUp(7));
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.DESCRIPTION, "another"));
    assertEquals(List.of("12 7 cause 111"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of(), caller.takeSent());
  }

  @Test
  void aDuplicateOnAnotherConnectionIsRefusedAndTheFirstCallContinues() {
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    regular.deliver(FrontEndHarness.setUp(7));
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.DESCRIPTION, "another"));
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("12 7 cause 111", "16 7"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), regular.takeSent());
  }

  @Test
  void aReleaseOfARefusedDuplicateDoesNotEndTheEstablishedCall() {
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    regular.deliver(FrontEndHarness.setUp(7));
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.DESCRIPTION, "another"));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("9 7answer"), regular.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), regular.takeSent());
  }

  @Test
  void closesAConnectionAfterRepeatedUnusableSetUps() {
    for (int i = 0; i < 3; i++) {
      caller.deliver(FrontEndHarness.setUp(7, CallerMessage.CLASS, "no such class"));
    }
    assertEquals(3, caller.takeSent().size());
    assertTrue(caller.closed);
  }

  @Test
  void closesSilentConnectionsAndThoseWithAnIncompleteMessage() {
    FrontEndHarness.FakeConnection incomplete = harness.connectCaller();
    incomplete.deliver(Arrays.copyOf(FrontEndHarness.setUp(7), 20));
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    regular.deliver(FrontEndHarness.setUp(8));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(8, "answer"));
    harness.clock.advance(2_300);
    assertTrue(caller.closed);
    assertTrue(incomplete.closed);
    assertFalse(regular.closed);
  }

  @Test
  void closesTheLongestSilentConnectionAtTheLimit() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(10);
    FrontEndHarness.FakeConnection silent = harness.connectCaller();
    harness.clock.advance(10);
    for (int i = 0; i < 3; i++) {
      assertFalse(harness.connectCaller().closed);
    }
    assertTrue(silent.closed);
    assertFalse(caller.closed);
  }

  @Test
  void keepsAConnectionWithEstablishedCallsAtTheLimit() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    for (int i = 0; i < 20; i++) {
      harness.clock.advance(10);
      harness
          .connectCaller()
          .deliver(CallerCodec.encode(CallerMessage.withCause(52, FrontEndHarness.callId(0), 0)));
    }
    assertFalse(caller.closed);
  }

  @Test
  void abandonedCallsLeaveNoState() {
    for (int i = 1; i <= 300; i++) {
      caller.deliver(FrontEndHarness.setUp(i));
    }
    assertEquals(
        295, caller.takeSent().stream().filter(message -> message.endsWith("cause 42")).count());
    for (int i = 1; i <= 300; i++) {
      caller.deliver(FrontEndHarness.release(i));
    }
    harness.clock.advance(10);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertEquals(300, caller.takeSent().size());
  }

  @Test
  void closedConnectionsLeaveNoState() {
    for (int i = 1; i <= 500; i++) {
      FrontEndHarness.FakeConnection connection = harness.connectCaller();
      connection.deliver(FrontEndHarness.setUp(i));
      connection.lose(Loss.CLOSED);
    }
    harness.clock.advance(100);
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertTrue(
        harness.frontEnd.stateSummary().contains("caller connections 1,"),
        harness.frontEnd.stateSummary());
  }

  private void establish(int id) {
    caller.deliver(FrontEndHarness.setUp(id));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(id, "answer"));
    caller.takeSent();
  }

  /** A connection that rested since its last call must not be closed between two pieces. */
  @Test
  void aMessageInTwoPiecesAfterALongRestIsServed() {
    establish(7);
    harness.clock.advance(3_000);
    byte[] setUp = FrontEndHarness.setUp(8);
    caller.deliver(Arrays.copyOf(setUp, 10));
    harness.clock.advance(300);
    assertFalse(caller.closed);
    caller.deliver(Arrays.copyOfRange(setUp, 10, setUp.length));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(8, "answer"));
    assertEquals(List.of("9 8answer"), caller.takeSent());
  }

  @Test
  void aSlowlyWrittenMessageDoesNotEndThePendingCallsOfItsConnection() {
    harness =
        new FrontEndHarness(
                ScriptedPolicy::new, new Limits(16_384, 4, 5, 60_000, 6, 500, 3, 3, 30, 300, 6_000))
            .openSwitchConnections();
    caller = harness.connectCaller();
    caller.deliver(FrontEndHarness.setUp(7));
    byte[] setUp = FrontEndHarness.setUp(8);
    for (int i = 0; i < 8; i++) {
      caller.deliver(new byte[] {setUp[i]});
      harness.clock.advance(110);
    }
    assertFalse(caller.closed);
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
  }

  @Test
  void aMessageThatIsNeverCompletedEndsItsConnection() {
    establish(7);
    caller.deliver(Arrays.copyOf(FrontEndHarness.setUp(8), 10));
    harness.clock.advance(1_900);
    assertFalse(caller.closed);
    harness.clock.advance(300);
    assertTrue(caller.closed);
  }

  @Test
  void aSlowlyWrittenMessageOnAUsedConnectionIsServed() {
    establish(7);
    byte[] setUp = FrontEndHarness.setUp(8);
    int piece = setUp.length / 4;
    for (int i = 0; i < 4; i++) {
      harness.clock.advance(900);
      caller.deliver(Arrays.copyOfRange(setUp, i * piece, i < 3 ? (i + 1) * piece : setUp.length));
    }
    assertFalse(caller.closed);
    harness.connectionTo(2).deliver(FrontEndHarness.ready(8, "answer"));
    assertEquals(List.of("9 8answer"), caller.takeSent());
  }

  @Test
  void aSlowlyWrittenFirstMessageEndsItsConnection() {
    FrontEndHarness.FakeConnection slow = harness.connectCaller();
    byte[] setUp = FrontEndHarness.setUp(8);
    for (int i = 0; i < 5; i++) {
      slow.deliver(new byte[] {setUp[i]});
      harness.clock.advance(500);
    }
    assertTrue(slow.closed);
  }

  /**
   * The input of a connection that is to be closed for room has arrived, but waits for the loop.
   */
  @Test
  void aSetUpReadBeforeItsConnectionIsClosedForRoomIsServed() {
    FrontEndHarness.FakeConnection silent = harness.connectCaller();
    harness.clock.advance(10);
    for (int i = 0; i < 2; i++) {
      harness.connectCaller();
    }
    establish(7);
    harness.connectCallerWithoutTurn();
    silent.deliverWithoutTurn(FrontEndHarness.setUp(8));
    harness.clock.advance(0);
    harness.connectionTo(2).deliver(FrontEndHarness.ready(8, "answer"));
    assertFalse(silent.closed);
    assertEquals(List.of("9 8answer"), silent.takeSent());
  }

  @Test
  void aCallThatCannotBeResumedForWantOfRoomIsReleasedOnBothSides() {
    for (int id = 1; id <= 7; id++) {
      caller.deliver(FrontEndHarness.setUp(id, CallerMessage.FIGURES, "dest:1;width:1;at:s1"));
    }
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  /** Each refused set-up left timers until its caller's time was over, and the heap filled. */
  @Test
  void setUpsThatAreRefusedAtOnceLeaveNoTimers() {
    FrontEndHarness served =
        new FrontEndHarness(actions -> new NestedThresholdPolicy(policySettings(), 1, actions))
            .openSwitchConnections();
    served.connectionTo(3).deliver(FrontEndHarness.status(0));
    FrontEndHarness.FakeConnection busy = served.connectCaller();
    long timersBefore = served.clock.pendingTasks();
    for (int id = 1; id <= 1_000; id++) {
      busy.deliver(FrontEndHarness.setUp(id, 21, "dest:2;width:1;via:1;transit:1"));
    }
    assertEquals(1_000, busy.takeSent().size());
    assertEquals(timersBefore, served.clock.pendingTasks());
    assertEquals(0, served.frontEnd.controller().callCount());
  }

  /** Pending set-ups were bounded in number only: 1,500 of 16 KB filled the heap. */
  @Test
  void largeSetUpsBeyondTheMemoryOfPendingCallsAreRefusedAtOnce() {
    String large = "x".repeat(16_000);
    caller.deliver(FrontEndHarness.setUp(1, 31, large));
    assertEquals(List.of(), caller.takeSent());
    caller.deliver(FrontEndHarness.setUp(2, 31, large));
    assertEquals(List.of("12 2 cause 42"), caller.takeSent());
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(FrontEndHarness.setUp(3));
    other.deliver(FrontEndHarness.setUp(4, 31, "y".repeat(12_000)));
    assertEquals(List.of(), other.takeSent());
    caller.deliver(FrontEndHarness.release(1));
    caller.takeSent();
    caller.deliver(FrontEndHarness.setUp(5, 31, large));
    assertEquals(List.of(), caller.takeSent(), "the memory of a call that ended is free again");
  }

  @Test
  void theMemoryOfPendingCallsIsFreedHoweverTheyEnd() {
    String large = "x".repeat(16_000);
    for (int id = 1; id <= 40; id += 4) {
      caller.deliver(FrontEndHarness.setUp(id, 31, large));
      policy.actions.refuse(FrontEndHarness.callId(id), 0);
      caller.deliver(FrontEndHarness.setUp(id + 1, 31, large));
      caller.deliver(FrontEndHarness.release(id + 1));
      caller.deliver(FrontEndHarness.setUp(id + 2, 31, large));
      harness.clock.advance(1_100);
      FrontEndHarness.FakeConnection closing = harness.connectCaller();
      closing.deliver(FrontEndHarness.setUp(id + 3, 31, large));
      closing.lose(Loss.CLOSED);
    }
    List<String> sent = caller.takeSent();
    assertFalse(sent.stream().anyMatch(message -> message.endsWith("cause 42")), sent.toString());
    assertEquals(0, harness.frontEnd.pendingOctets());
  }

  @Test
  void aSwitchIdThatNoSwitchCanHaveIsRefused() {
    caller.deliver(FrontEndHarness.setUp(7, 21, "at:" + "s".repeat(65)));
    assertEquals(List.of("12 7 cause 111"), caller.takeSent());
  }

  /** What was kept for a limited time stayed until more of its kind came. */
  @Test
  void whatIsKeptForMessagesThatMayComeIsForgottenInTime() {
    FrontEndHarness served = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    FrontEndHarness.FakeConnection connection = served.connectCaller();
    for (int id = 1; id <= 50; id++) {
      connection.deliver(FrontEndHarness.setUp(id));
      connection.deliver(FrontEndHarness.release(id));
      connection.deliver(FrontEndHarness.release(1_000 + id));
      served.connectionTo(3).deliver(FrontEndHarness.close(2_000 + id, 16, ""));
    }
    assertTrue(served.frontEnd.keptEntries() >= 150, "kept: " + served.frontEnd.keptEntries());
    served.clock.advance(31_000);
    assertEquals(0, served.frontEnd.keptEntries());
  }

  private static CallPolicy.Settings policySettings() {
    return PlatformSettings.read(FrontEndHarness.CONFIG).policySettings();
  }
}
