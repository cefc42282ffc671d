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

/**
 * Tests calls from the caller to the switch, with a policy that sends each to s1 and refuses it if
 * that fails.
 */
class CallsTest {
  private ScriptedPolicy policy;
  private FrontEndHarness harness;
  private FrontEndHarness.FakeConnection caller;

  @BeforeEach
  void setUpHarness() {
    harness =
        new FrontEndHarness(actions -> policy = new ScriptedPolicy(actions))
            .openSwitchConnections();
    caller = harness.connectCaller();
    policy.takeEvents();
  }

  /** Establishes a call and discards the messages and events of its set-up. */
  private void establish(int id) {
    caller.deliver(FrontEndHarness.setUp(id));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(id, "answer"));
    caller.takeSent();
    harness.connectionTo(2).takeSent();
    policy.takeEvents();
  }

  @Test
  void establishesAndReleasesACall() {
    caller.deliver(FrontEndHarness.setUp(7));
    assertEquals(List.of("OPEN 7 voice offer7"), harness.connectionTo(2).takeSent());
    harness
        .connectionTo(2)
        .deliver("{\"msg\":\"trying\",\"sid\":\"" + FrontEndHarness.callId(7) + "\",\"attrs\":{}}");
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, "\"load\":\"x0:4;x1:30\""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
    assertEquals(
        List.of("call 7 3000", "established 7", "ended 7 DONE NONE last"), policy.takeEvents());
    assertEquals(0, harness.frontEnd.controller().callCount());
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
  void mapsTheCauseOfARefusedSetUp(int code, String note, String outcome, int cause) {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, code, "\"note\":\"" + note + "\""));
    assertEquals(List.of("call 7 3000", "ended 7 " + outcome), policy.takeEvents());
    assertEquals(List.of("12 7 cause " + cause + " wait 250"), caller.takeSent());
  }

  @Test
  void aTimedOutAttemptEndsAtOnceAndItsLateAnswerIsReleased() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).takeSent();
    harness.clock.advance(1_000);
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
    assertEquals(List.of("call 7 3000", "ended 7 TIMED_OUT NONE"), policy.takeEvents());
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "late"));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "late"));
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
    assertEquals(List.of(), caller.takeSent());
  }

  @Test
  void aSetUpThatTimesOutWaitingForItsConnectionIsNeverSent() {
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(60);
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(1_000);
    harness.connectionTo(2).establish();
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
    assertEquals(List.of("call 7 3000", "ended 7 TIMED_OUT NONE"), policy.takeEvents());
  }

  /** A refused connection proves that the set-up did not reach the switch. */
  @Test
  void aRefusedConnectionEndsTheAttemptAsRefused() {
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(60);
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).lose(Loss.TURNED_AWAY);
    assertEquals(List.of("call 7 3000", "ended 7 REFUSED NONE"), policy.takeEvents());
  }

  @Test
  void setUpsOnALostOrUnreadableConnectionEndAsResetOnce() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).lose(Loss.CLOSED);
    assertEquals(List.of("call 7 3000", "ended 7 RESET NONE"), policy.takeEvents());
    harness.clock.advance(60);
    harness.connectionTo(2).establish();
    caller.deliver(FrontEndHarness.setUp(8));
    FrontEndHarness.FakeConnection unreadable = harness.connectionTo(2);
    unreadable.deliver(
        "{\"msg\":\"ready\",\"sid\":\"" + FrontEndHarness.callId(8) + "\",\"text\":\"ha");
    assertTrue(unreadable.closed);
    assertEquals(List.of("call 8 3000", "ended 8 RESET NONE"), policy.takeEvents());
    assertEquals(List.of("12 7 cause 34 wait 250", "12 8 cause 34 wait 250"), caller.takeSent());
  }

  @Test
  void anIncompleteAnswerResetsItsConnection() {
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection connection = harness.connectionTo(2);
    connection.deliver("{\"msg\":\"ready\",\"sid\":\"00".getBytes());
    harness.clock.advance(500);
    assertTrue(connection.closed);
    assertEquals(List.of("call 7 3000", "ended 7 RESET NONE"), policy.takeEvents());
  }

  @Test
  void ignoresUnknownAndRepeatedAnswers() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(99, "unknown"));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "copy"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
    assertEquals(List.of("OPEN 7 voice offer7"), harness.connectionTo(2).takeSent());
  }

  @Test
  void anAnswerWithoutADescriptionIsNotForwarded() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness
        .connectionTo(2)
        .deliver("{\"msg\":\"ready\",\"sid\":\"" + FrontEndHarness.callId(7) + "\",\"attrs\":{}}");
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.takeSent());
  }

  @Test
  void ignoresAnAnswerFromAnotherSwitch() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(3).deliver(FrontEndHarness.ready(7, "not mine"));
    assertEquals(List.of(), caller.takeSent());
  }

  @Test
  void cancelsTheAttemptWhenTheCallerReleasesOrDisconnects() {
    caller.deliver(FrontEndHarness.setUp(7));
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("16 7"), caller.takeSent());
    caller.deliver(FrontEndHarness.setUp(8));
    caller.lose(Loss.CLOSED);
    assertEquals(
        List.of("OPEN 7 voice offer7", "CLOSE 7 16", "OPEN 8 voice offer8", "CLOSE 8 16"),
        harness.connectionTo(2).takeSent());
    harness.clock.advance(10);
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void anEstablishedCallCanBeReleasedOnAnyConnection() {
    establish(7);
    caller.lose(Loss.CLOSED);
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
    assertEquals(List.of("ended 7 DONE NONE last"), policy.takeEvents());
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("16 7"), other.takeSent());
  }

  @Test
  void aReleaseWaitsForAConnectionThatBringsASetUp() {
    establish(7);
    caller.lose(Loss.CLOSED);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 41, ""));
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(
        CallerCodec.encode(
            CallerMessage.withCause(CallerMessage.TEST, FrontEndHarness.callId(0), 0)));
    assertEquals(List.of("53 0 cause 1"), other.takeSent());
    other.deliver(FrontEndHarness.setUp(8));
    assertEquals(List.of("12 7 cause 41"), other.takeSent());
  }

  @Test
  void aReleaseIsSentOnTheConnectionWithTheMostEstablishedCalls() {
    establish(7);
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    for (int id = 20; id < 22; id++) {
      regular.deliver(FrontEndHarness.setUp(id));
      harness.connectionTo(2).deliver(FrontEndHarness.ready(id, "answer"));
    }
    regular.takeSent();
    FrontEndHarness.FakeConnection singleCall = harness.connectCaller();
    singleCall.deliver(FrontEndHarness.setUp(30));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(30, "answer"));
    singleCall.takeSent();
    caller.lose(Loss.CLOSED);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), regular.takeSent());
    assertEquals(List.of(), singleCall.takeSent());
  }

  @Test
  void aReleaseSentJustBeforeItsConnectionEndedIsSentAgain() {
    establish(7);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    harness.clock.advance(100);
    caller.lose(Loss.CLOSED);
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(FrontEndHarness.setUp(8));
    assertEquals(List.of("12 7 cause 16"), other.takeSent());
  }

  /**
   * Without a new connection, a release that was lost with its connection would never arrive: the
   * switch repeats it only on the next connection opened.
   */
  @Test
  void replacesALostSwitchConnectionEvenIfOthersAreOpen() {
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    establish(7);
    caller.deliver(FrontEndHarness.setUp(8));
    caller.deliver(FrontEndHarness.setUp(9));
    FrontEndHarness.FakeConnection second = harness.connectionTo(2);
    second.establish();
    assertNotSame(first, second);
    first.deliver("noise");
    harness.clock.advance(1);
    FrontEndHarness.FakeConnection third = harness.connectionTo(2);
    assertNotSame(second, third);
    third.establish();
    caller.takeSent();
    third.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  @Test
  void resumesEstablishedCallsAndReleasesThoseAtUnknownSwitches() {
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    assertEquals(List.of(), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
    caller.deliver(FrontEndHarness.setUp(8, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s9"));
    harness.connectionTo(8500).deliver("1");
    assertEquals(List.of("12 8 cause 41"), caller.takeSent());
  }

  @Test
  void releasesTheCallsOfATerminatedSwitch() {
    establish(7);
    harness
        .connectionTo(8500)
        .deliver(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminated\"}]}}");
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  /** Breaks the connection to the first switch and refuses all new ones for a time. */
  private void refuseConnectionsFor(double durationMillis) {
    if (harness.connectionTo(2) != null) {
      harness.connectionTo(2).lose(Loss.CLOSED);
    }
    for (double elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 260) {
      harness.clock.advance(260);
      if (harness.connectionTo(2) != null) {
        harness.connectionTo(2).lose(Loss.TURNED_AWAY);
      }
    }
  }

  @Test
  void releasesTheCallsOfASwitchThatRefusesConnectionsWithinEightSeconds() {
    establish(7);
    refuseConnectionsFor(5_000);
    assertEquals(List.of(), caller.takeSent());
    refuseConnectionsFor(2_000);
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  @Test
  void releasesTheCallsOfADrainingSwitchThatRefusesConnectionsWithinEightSeconds() {
    establish(7);
    harness
        .connectionTo(8500)
        .deliver(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminating\"}]}}");
    double endedAt = harness.clock.now();
    refuseConnectionsFor(7_000);
    assertEquals(List.of(), caller.takeSent(), "kept longer than those of a switch in service");
    while (caller.sent.isEmpty() && harness.clock.now() - endedAt < 9_000) {
      refuseConnectionsFor(10);
    }
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    assertTrue(harness.clock.now() - endedAt <= 8_050, "after " + (harness.clock.now() - endedAt));
  }

  @Test
  void releasesTheCallsOfASilentSwitchAfterCheckingItWithNewConnections() {
    establish(7);
    FrontEndHarness.FakeConnection silent = harness.connectionTo(2);
    double silentSince = harness.clock.now();
    harness.clock.advance(4_800);
    assertNotSame(silent, harness.connectionTo(2));
    int attempts = 0;
    while (caller.sent.isEmpty() && harness.clock.now() - silentSince < 7_900) {
      FrontEndHarness.FakeConnection opened = harness.connectionTo(2);
      if (opened != null && opened != silent) {
        opened.lose(Loss.NOT_MADE);
        attempts++;
      }
      harness.clock.advance(100);
    }
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    assertTrue(
        attempts >= 3, "connection attempts before the switch was declared gone: " + attempts);
  }

  @Test
  void aSetUpReleasedInTheSameTurnIsNeverSent() {
    caller.deliverWithoutTurn(FrontEndHarness.setUp(7));
    caller.deliverWithoutTurn(FrontEndHarness.release(7));
    harness.clock.advance(1_000);
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
    assertEquals(List.of("16 7"), caller.takeSent());
  }

  @Test
  void aSetUpWhoseCallerDisconnectsInTheSameTurnIsNeverSent() {
    caller.deliverWithoutTurn(FrontEndHarness.setUp(7));
    caller.lose(Loss.CLOSED);
    harness.clock.advance(1_000);
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
    assertEquals(0, harness.frontEnd.controller().callCount());
  }

  @Test
  void aSetUpThatWaitsForAConnectionIsNotSentAfterTheDrainGrace() {
    harness.connectionTo(2).lose(Loss.CLOSED);
    caller.deliver(FrontEndHarness.setUp(7));
    harness
        .connectionTo(8500)
        .deliver(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"terminating\"}]}}");
    harness.clock.advance(400);
    harness.connectionTo(2).establish();
    harness.clock.advance(1);
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.takeSent());
  }

  @Test
  void aSetUpThatWaitsForAConnectionIsNotSentOnceItsCallerDisconnected() {
    harness.connectionTo(2).lose(Loss.CLOSED);
    caller.deliver(FrontEndHarness.setUp(7));
    caller.lose(Loss.CLOSED);
    harness.clock.advance(200);
    harness.connectionTo(2).establish();
    harness.clock.advance(200);
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
  }

  /** A healthy switch without traffic must not be checked more often than every 3.5 s. */
  @Test
  void limitsTheCheckConnectionsToASilentHealthySwitch() {
    establish(7);
    for (int i = 0; i < 600; i++) {
      int before = harness.connections.size();
      harness.clock.advance(100);
      harness.connections.stream().skip(before).forEach(FrontEndHarness.FakeConnection::establish);
    }
    long opened = harness.connections.stream().filter(connection -> connection.port == 2).count();
    assertTrue(opened <= 1 + 60_000 / 3_500, "connections in a minute: " + opened);
    assertEquals(List.of(), caller.takeSent());
  }

  @Test
  void spreadsTheReconnectsOfAllControllersByTheirSeeds() {
    TreeSet<Double> reconnectDelays = new TreeSet<>();
    for (int i = 10; i < 30; i++) {
      String seed = "seed\":\"" + i;
      FrontEndHarness seeded =
          new FrontEndHarness(
                  ScriptedPolicy::new,
                  Limits.forDescriptors(256, 3),
                  config -> config.replace("seed\":\"8c1f30d27a5be964", seed))
              .openSwitchConnections();
      seeded.connectionTo(2).lose(Loss.CLOSED);
      double lostAt = seeded.clock.now();
      while (seeded.connectionTo(2) == null) {
        seeded.clock.advance(1);
      }
      reconnectDelays.add(seeded.clock.now() - lostAt);
    }
    assertTrue(
        reconnectDelays.size() >= 10 && reconnectDelays.last() - reconnectDelays.first() > 25,
        reconnectDelays.toString());
  }

  @Test
  void aSwitchRestartReleasesOnlyTheCallsEstablishedBeforeIt() {
    establish(7);
    double restartedAt = harness.clock.now() + 10;
    harness.clock.advance(20);
    establish(8);
    harness
        .connectionTo(8500)
        .deliver(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"in_service\","
                + "\"startedAtMs\":"
                + Math.round(restartedAt)
                + "}]}}");
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.close(8, 16, ""));
    assertEquals(List.of("12 8 cause 16"), caller.takeSent());
  }

  @Test
  void passesCallsToTheLocalOrAnUnlistedExchangeToThePolicy() {
    harness
        .connectionTo(8500)
        .deliver(
            "{\"pos\":2,\"hosts\":{\"generation\":2,\"reset\":true,\"instances\":[{\"instanceId\":"
                + "\"s1\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"in_service\","
                + "\"startedAtMs\":0}]}}");
    policy.takeEvents();
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, "dest:2;width:1;via:-1"));
    caller.deliver(FrontEndHarness.setUp(8, CallerMessage.FIGURES, "dest:0;width:1;via:-1"));
    assertEquals(List.of("call 7 3000", "call 8 3000"), policy.takeEvents());
  }

  @Test
  void subtractsTheTimeASetUpWaitedUnreadFromThePatience() {
    byte[] setUp = FrontEndHarness.setUp(7);
    caller.deliver(Arrays.copyOf(setUp, setUp.length - 1));
    double arrived = harness.clock.now();
    harness.clock.stall(800);
    caller.deliverReadAt(Arrays.copyOfRange(setUp, setUp.length - 1, setUp.length), arrived);
    assertEquals(List.of("call 7 2200"), policy.takeEvents());
  }

  @Test
  void opensAtMostThreeConnectionsToASwitch() {
    for (int i = 1; i <= 200; i++) {
      caller.deliver(FrontEndHarness.setUp(i));
      harness.connections.stream()
          .filter(connection -> connection.port == 2 && !connection.closed)
          .forEach(FrontEndHarness.FakeConnection::establish);
    }
    long opened = harness.connections.stream().filter(connection -> connection.port == 2).count();
    assertEquals(3, opened);
    assertFalse(harness.connectionTo(2).closed);
  }

  /** The log must tell why a call has its outcome, also when a message has no effect. */
  @Test
  void logsEachIgnoredMessageRefusalAndCloseWithItsReason() {
    harness.events.clear();
    harness.connectionTo(2).deliver(FrontEndHarness.ready(6, "unknown"));
    harness.connectionTo(2).deliver(FrontEndHarness.close(5, 16, ""));
    caller.deliver(FrontEndHarness.release(4));
    caller.deliver(FrontEndHarness.setUp(3, CallerMessage.CLASS, "none"));
    caller.lose(Loss.CLOSED);
    harness.connectionTo(2).lose(Loss.CLOSED);
    List<String> logged =
        harness.events.stream()
            .map(event -> (event.kind() + " " + event.call() + " " + event.peer()).strip())
            .toList();
    assertEquals(
        List.of(
            "IGNORED " + FrontEndHarness.callId(6) + " s1#1",
            "IGNORED " + FrontEndHarness.callId(5) + " s1#1",
            "IGNORED " + FrontEndHarness.callId(4) + " caller#1",
            "REFUSAL " + FrontEndHarness.callId(3) + " caller#1",
            "CLOSE  caller#1",
            "CLOSE  s1#1",
            "RETRY  s1"),
        logged);
    assertTrue(harness.events.stream().noneMatch(event -> event.reason().isEmpty()));
  }

  @Test
  void logsEachChangeOfACallsState() {
    harness.events.clear();
    establish(7);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(
        List.of(
            "accepted, 3000 ms left",
            "attempt 0 begins, for 1000 ms",
            "final answer STANDS after 0 ms",
            "released by the switch, cause 16",
            "release 16 sent",
            "attempt 0 ended: DONE NONE"),
        harness.events.stream().map(EventLog.Event::reason).toList());
  }

  /** Opens a second connection to the first switch and returns it. */
  private FrontEndHarness.FakeConnection openSecondConnection() {
    caller.deliver(FrontEndHarness.setUp(90));
    caller.deliver(FrontEndHarness.setUp(91));
    FrontEndHarness.FakeConnection second = harness.connectionTo(2);
    second.establish();
    return second;
  }

  @Test
  void aReleaseReadOnAnotherConnectionBeforeTheAnswerEndsTheCallAfterIt() {
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection second = openSecondConnection();
    caller.takeSent();
    second.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of(), caller.takeSent());
    first.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer", "12 7 cause 16"), caller.takeSent());
  }

  /** The release may be that of the earlier attempt, whose answer crossed its cancel. */
  @Test
  void aReleaseOfAnEarlierAttemptDoesNotEndTheCallOfALaterOne() {
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection second = openSecondConnection();
    harness.clock.advance(500);
    policy.actions.cancel(FrontEndHarness.callId(7), 0);
    harness.clock.advance(400);
    first.deliver(FrontEndHarness.status(30));
    first.takeSent();
    caller.deliver(FrontEndHarness.setUp(7));
    caller.takeSent();
    boolean sentOnFirst = first.takeSent().contains("OPEN 7 voice offer7");
    (sentOnFirst ? second : first).deliver(FrontEndHarness.close(7, 16, ""));
    (sentOnFirst ? first : second).deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
  }

  /** The switch may have written a release there, which it repeats on the next connection only. */
  @Test
  void replacesAConnectionThatWasResetAsUnresponsive() {
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    establish(7);
    harness.clock.advance(1);
    openSecondConnection();
    harness.clock.advance(1_200);
    assertTrue(first.closed);
    long open =
        harness.connections.stream()
            .filter(connection -> connection.port == 2 && !connection.closed)
            .count();
    assertEquals(2, open);
  }

  @Test
  void aReleaseSentJustBeforeTheSwitchConnectionEndedIsSentAgain() {
    establish(7);
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
    harness.clock.advance(100);
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(100);
    harness.connectionTo(2).establish();
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  @Test
  void aReleaseSentLongBeforeTheSwitchConnectionEndedIsNotSentAgain() {
    establish(7);
    caller.deliver(FrontEndHarness.release(7));
    harness.clock.advance(600);
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(100);
    harness.connectionTo(2).establish();
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
  }

  @Test
  void aReleaseOfALateAnswerSentJustBeforeTheConnectionEndedIsSentAgain() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(1_000);
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "late"));
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(100);
    harness.connectionTo(2).establish();
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  /** The later attempt has the same id: a release meant for the earlier one would end it. */
  @Test
  void aReleaseOfAnEarlierAttemptIsNotSentAgainWhileALaterOneIsOut() {
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection second = openSecondConnection();
    harness.clock.advance(1_000);
    first.deliver(FrontEndHarness.ready(7, "late"));
    second.takeSent();
    second.deliver(FrontEndHarness.status(30));
    for (int id = 80; id < 83; id++) {
      caller.deliver(FrontEndHarness.setUp(id));
    }
    caller.deliver(FrontEndHarness.setUp(7));
    boolean sentOnSecond = second.takeSent().contains("OPEN 7 voice offer7");
    FrontEndHarness.FakeConnection other = sentOnSecond ? second : first;
    first.lose(Loss.CLOSED);
    harness.clock.advance(50);
    assertTrue(sentOnSecond);
    assertFalse(other.takeSent().contains("CLOSE 7 16"));
  }

  /**
   * The switch may have answered on the connection that was lost, and nobody would end the call.
   */
  @Test
  void aSetUpLostWithItsConnectionIsReleasedOnTheNext() {
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).lose(Loss.CLOSED);
    harness.clock.advance(100);
    harness.connectionTo(2).establish();
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  @Test
  void theCallsOfASwitchDeclaredGoneAreReleasedThereWhenItIsReachedAgain() {
    establish(7);
    refuseConnectionsFor(7_500);
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    while (harness.connectionTo(2) == null) {
      harness.clock.advance(50);
    }
    harness.connectionTo(2).establish();
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  @Test
  void aReleaseWaitsForAtMostThirtySecondsForTheSwitch() {
    establish(7);
    establish(8);
    refuseConnectionsFor(1_000);
    caller.deliver(FrontEndHarness.release(7));
    refuseConnectionsFor(30_500);
    caller.deliver(FrontEndHarness.release(8));
    while (harness.connectionTo(2) == null) {
      harness.clock.advance(50);
    }
    harness.connectionTo(2).establish();
    assertFalse(harness.connectionTo(2).takeSent().contains("CLOSE 7 16"));
  }

  /** A switch that hangs reads what is sent to it, and no new connection may be opened for long. */
  @Test
  void aReleaseIsSentAtOnceToASwitchThatDoesNotRespond() {
    establish(7);
    harness.clock.advance(1);
    caller.deliver(FrontEndHarness.setUp(8));
    harness.clock.advance(1_001);
    harness.connectionTo(2).takeSent();
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(2).takeSent());
  }

  /** Ends a call 1.05 s ago; its caller's only open connection has not brought a call yet. */
  private FrontEndHarness.FakeConnection endACallWhoseCallerHasAnIdleConnectionOnly() {
    establish(7);
    FrontEndHarness.FakeConnection idle = harness.connectCaller();
    caller.lose(Loss.CLOSED);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    harness.clock.advance(1_050);
    return idle;
  }

  /** Its caller's only open connection is new and has not brought a call yet. */
  @Test
  void aReleaseReachesAnOpenConnectionThatHasBroughtNoCall() {
    FrontEndHarness.FakeConnection idle = endACallWhoseCallerHasAnIdleConnectionOnly();
    assertEquals(List.of("12 7 cause 16"), idle.takeSent());
  }

  /** A connection without calls may be that of a client that only tests. */
  @Test
  void aReleaseSentOnAConnectionWithoutCallsAlsoWaitsForOneThatBringsACall() {
    FrontEndHarness.FakeConnection idle = endACallWhoseCallerHasAnIdleConnectionOnly();
    assertEquals(List.of("12 7 cause 16"), idle.takeSent());
    idle.lose(Loss.CLOSED);
    harness.clock.advance(1_000);
    FrontEndHarness.FakeConnection second = harness.connectCaller();
    harness.clock.advance(1_000);
    assertEquals(List.of(), second.takeSent(), "offered once");
    second.deliver(FrontEndHarness.setUp(8));
    assertEquals(List.of("12 7 cause 16"), second.takeSent());
  }

  /** Releases on their way were lost when a set-up given up at once reset their connection. */
  @Test
  void aSetUpThatIsGivenUpAtOnceDoesNotResetItsConnection() {
    establish(7);
    FrontEndHarness.FakeConnection first = harness.connectionTo(2);
    harness.clock.advance(1);
    caller.deliver(FrontEndHarness.setUp(8));
    caller.deliver(FrontEndHarness.setUp(9));
    FrontEndHarness.FakeConnection second = harness.connectionTo(2);
    assertNotSame(first, second);
    second.establish();
    harness.clock.advance(5);
    caller.deliver(FrontEndHarness.release(8));
    caller.deliver(FrontEndHarness.release(9));
    caller.takeSent();
    harness.clock.advance(700);
    assertFalse(first.closed);
    first.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }
}
