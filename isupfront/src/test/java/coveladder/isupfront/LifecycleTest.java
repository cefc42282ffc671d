package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy;
import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import coveladder.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the start, the journal subscription, new configurations and the shutdown. */
class LifecycleTest {
  private ScriptedPolicy policy;
  private FrontEndHarness harness;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(actions -> policy = new ScriptedPolicy(actions));
    policy.takeEvents();
  }

  private static String journalEvent(int position, String id, String state) {
    return FrontEndHarness.journalEvent(position, id, 2, state, 0);
  }

  /** Returns the directory updates that the policy got since its events were last taken. */
  private List<String> takeDirectoryEvents() {
    return policy.takeEvents().stream().filter(event -> event.startsWith("directory")).toList();
  }

  private static byte[] testMessage() {
    return CallerCodec.encode(
        CallerMessage.withCause(CallerMessage.TEST, FrontEndHarness.callId(0), 0));
  }

  @Test
  void aTestPassesOnceTheStateOfAllGroupsIsKnown() {
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    caller.deliver(testMessage());
    harness.openSwitchConnections();
    caller.deliver(testMessage());
    assertEquals(List.of("53 0 cause 0", "53 0 cause 1"), caller.takeSent());
  }

  @Test
  void aTestPassesAfterAWhileIfTheStateOfAGroupStaysUnknown() {
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    harness.clock.advance(1_100);
    caller.deliver(testMessage());
    assertEquals(List.of("53 0 cause 1"), caller.takeSent());
  }

  /** A set-up that waited for a connection to a switch that left the list never ended. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aSetUpThatWaitsForAConnectionEndsWhenItsSwitchLeavesTheList(boolean moved) {
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    caller.deliver(FrontEndHarness.setUp(7));
    assertEquals(1, harness.frontEnd.outstandingAtSwitches());
    assertEquals(1, harness.frontEnd.controller().outstandingAttempts());
    policy.takeEvents();
    String event = journalEvent(2, "s1", moved ? "in_service" : "terminated");
    harness.connectionTo(8500).deliver(moved ? event.replace("127.0.0.2:2", "127.0.0.2:9") : event);
    harness.clock.advance(1);
    assertTrue(
        policy.takeEvents().contains("ended 7 REFUSED NONE"), "the attempt ends without effect");
    assertEquals(0, harness.frontEnd.outstandingAtSwitches());
    assertEquals(0, harness.frontEnd.controller().outstandingAttempts());
    assertEquals(List.of("12 7 cause 34 wait 250"), caller.takeSent());
  }

  @Test
  void appliesEventsOnceAndInOrder() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    assertEquals(List.of("tail 1"), journal.takeSent());
    journal.deliver(journalEvent(2, "s1", "terminating"));
    journal.deliver(journalEvent(2, "s1", "in_service"));
    journal.deliver("2");
    assertEquals(List.of("directory s1 DRAINING"), takeDirectoryEvents());
    journal.deliver(journalEvent(4, "s1", "terminated"));
    harness.clock.advance(50);
    assertTrue(journal.closed);
    assertEquals(List.of("tail 2"), harness.connectionTo(8500).takeSent());
    assertEquals(List.of(), takeDirectoryEvents());
  }

  @Test
  void subscribesAgainAtOnceAfterABreakWithinAnEvent() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    journal.deliver(journalEvent(2, "s1", "terminating").substring(0, 40).getBytes());
    journal.lose(Loss.CLOSED);
    harness.clock.advance(1);
    assertEquals(List.of("tail 1"), harness.connectionTo(8500).takeSent());
    harness.connectionTo(8500).deliver(journalEvent(2, "s1", "terminating"));
    assertEquals(List.of("directory s1 DRAINING"), takeDirectoryEvents());
  }

  @Test
  void subscribesAgainToASilentJournalService() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    harness.clock.advance(1_700);
    FrontEndHarness.FakeConnection second = harness.connectionTo(8500);
    assertNotSame(journal, second);
    assertEquals(List.of("tail 1"), second.takeSent());
    second.deliver(journalEvent(2, "s1", "terminating"));
    assertTrue(journal.closed);
    assertFalse(second.closed);
    journal.deliver(journalEvent(3, "s1", "in_service"));
    assertEquals(List.of("directory s1 DRAINING"), takeDirectoryEvents());
  }

  /** Each connection was reset after 1.5 s: a service whose lines took longer was never heard. */
  @ParameterizedTest
  @CsvSource({"500, 1", "1000, 1", "1900, 2", "4000, 3", "8000, 4"})
  void hearsASlowJournalServiceOnItsFirstConnection(double delayMillis, int connections) {
    FrontEndHarness.FakeConnection first = harness.connectionTo(8500);
    harness.clock.advance(delayMillis);
    assertEquals(connections, openJournalConnections().size());
    first.deliver(journalEvent(2, "s1", "terminating"));
    assertEquals(List.of("directory s1 DRAINING"), takeDirectoryEvents());
    assertEquals(List.of(first), openJournalConnections());
    for (int second = 0; second < 10; second++) {
      harness.clock.advance(1_000);
      first.deliver("2");
    }
    assertEquals(List.of(first), openJournalConnections());
    assertEquals(connections, journalConnections().size());
  }

  @Test
  void asksASilentJournalServiceAtABoundedRateOnABoundedNumberOfConnections() {
    harness.clock.advance(60_000);
    assertTrue(journalConnections().size() <= 22, "asked " + journalConnections().size());
    assertEquals(5, openJournalConnections().size());
  }

  /** Sets up a call on a new connection, on which nothing is left to be read. */
  private FrontEndHarness.FakeConnection establishCall() {
    harness.openSwitchConnections();
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    caller.takeSent();
    return caller;
  }

  /** After a stop of this process, peers whose octets were not read yet were taken as silent. */
  @Test
  void silenceDoesNotCountWhileThisProcessWasStopped() {
    FrontEndHarness.FakeConnection caller = establishCall();
    FrontEndHarness.FakeConnection switchConnection = harness.connectionTo(2);
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    harness.clock.stall(8_000);
    harness.clock.advance(250);
    switchConnection.deliver(FrontEndHarness.status(30));
    journal.deliver("1");
    harness.clock.advance(1_000);
    assertEquals(List.of(), caller.takeSent());
    assertFalse(caller.closed);
    assertFalse(switchConnection.closed);
    assertEquals(1, journalConnections().size());
  }

  @Test
  void aSwitchThatIsSilentSinceAStopOfThisProcessIsStillDeclaredGone() {
    FrontEndHarness.FakeConnection caller = establishCall();
    harness.clock.stall(8_000);
    harness.clock.advance(500);
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  /** Guards against calls cut at switches that had nothing to say before and during a stop. */
  @Test
  void aQuietSwitchThatAcceptsAConnectionAfterAStopKeepsItsCalls() {
    FrontEndHarness.FakeConnection caller = establishCall();
    FrontEndHarness.FakeConnection quiet = harness.connectionTo(2);
    harness.clock.advance(3_000);
    harness.clock.stall(4_800);
    harness.clock.advance(150);
    FrontEndHarness.FakeConnection check = harness.connectionTo(2);
    assertNotSame(quiet, check);
    check.establish();
    harness.clock.advance(3_000);
    assertEquals(List.of(), caller.takeSent());
  }

  /** Guards against more connections than there are descriptors while switches are replaced. */
  @Test
  void switchesShareTheDescriptorsWhileManyAreListed() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    placeCallsOverNewConnections(1);
    assertEquals(3, openConnectionsToFirstSwitch());
    for (int position = 2; position <= 74; position++) {
      int port = 10_000 + position;
      journal.deliver(
          FrontEndHarness.journalEvent(position, "x" + position, port, "in_service", 0));
    }
    placeCallsOverNewConnections(11);
    harness.clock.advance(1_500);
    assertEquals(1, openConnectionsToFirstSwitch());
  }

  private void placeCallsOverNewConnections(int firstId) {
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    for (int id = firstId; id < firstId + 10; id++) {
      harness.connections.stream()
          .filter(connection -> connection.port == 2 && !connection.closed)
          .forEach(FrontEndHarness.FakeConnection::establish);
      caller.deliver(FrontEndHarness.setUp(id));
    }
  }

  private long openConnectionsToFirstSwitch() {
    return harness.connections.stream().filter(to -> to.port == 2 && !to.closed).count();
  }

  /** A service that lists switches without end filled the heap. */
  @Test
  void theNumberOfListedSwitchesIsBounded() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    for (int position = 2; position <= 1_500; position++) {
      int port = 10_000 + position;
      journal.deliver(
          FrontEndHarness.journalEvent(position, "x" + position, port, "in_service", 0));
    }
    assertEquals(1_000, harness.frontEnd.controller().directory().entries().size());
    journal.deliver(journalEvent(1_501, "x2", "terminated"));
    journal.deliver(journalEvent(1_502, "y", "in_service"));
    assertEquals("y", harness.frontEnd.controller().directory().byId("y").id());
  }

  private List<FrontEndHarness.FakeConnection> journalConnections() {
    return harness.connections.stream().filter(connection -> connection.port == 8500).toList();
  }

  private List<FrontEndHarness.FakeConnection> openJournalConnections() {
    return journalConnections().stream().filter(connection -> !connection.closed).toList();
  }

  @Test
  void subscribesAgainIfAPositionShowsASkippedEvent() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    journal.deliver("3");
    harness.clock.advance(50);
    assertNotSame(journal, harness.connectionTo(8500));
  }

  @Test
  void aNewConfigurationMovesTheSubscriptionAndKeepsItsPosition() {
    FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
    journal.deliver(journalEvent(2, "s1", "terminating"));
    String movedConfig =
        new String(FrontEndHarness.CONFIG, StandardCharsets.UTF_8).replace("8500", "8600");
    harness.frontEnd.reconfigure(
        PlatformSettings.read(movedConfig.getBytes(StandardCharsets.UTF_8)));
    harness.clock.advance(1);
    assertTrue(journal.closed);
    assertEquals(List.of("tail 2"), harness.connectionTo(8600).takeSent());
  }

  @Test
  void sendsNoSetUpAfterTheDrainGrace() {
    harness.openSwitchConnections();
    harness.connectionTo(8500).deliver(journalEvent(2, "s1", "terminating"));
    harness.clock.advance(251);
    harness.connectCaller().deliver(FrontEndHarness.setUp(7));
    assertEquals(List.of(), harness.connectionTo(2).takeSent());
  }

  @Test
  void aNewSwitchAtTheSameAddressGetsNewConnections() {
    harness.openSwitchConnections();
    FrontEndHarness.FakeConnection old = harness.connectionTo(2);
    harness.connectionTo(8500).deliver(journalEvent(2, "s1", "terminated"));
    harness.connectionTo(8500).deliver(journalEvent(3, "s9", "in_service"));
    assertTrue(old.closed);
    assertNotSame(old, harness.connectionTo(2));
    old.lose(Loss.CLOSED);
    assertFalse(harness.connectionTo(2).closed);
  }

  @Test
  void onTerminationServesForAWhileThenAnswersAllCalls() {
    harness.openSwitchConnections();
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    caller.deliver(FrontEndHarness.setUp(6));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(6, "established"));
    harness.frontEnd.terminate();
    caller.deliver(testMessage());
    harness.clock.advance(1_400);
    harness.connectionTo(2).deliver(FrontEndHarness.status(20));
    harness.clock.advance(500);
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    caller.deliver(FrontEndHarness.setUp(8));
    assertEquals(List.of("9 6established", "53 0 cause 0", "9 7answer"), caller.takeSent());
    harness.clock.advance(300);
    caller.deliver(FrontEndHarness.setUp(9));
    assertEquals(List.of("12 9 cause 42"), caller.takeSent());
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    harness.clock.advance(950);
    assertEquals(List.of("12 7 cause 16", "12 8 cause 34 wait 250"), caller.takeSent());
    assertFalse(harness.frontEnd.isTerminated());
    harness.clock.advance(100);
    assertTrue(harness.frontEnd.isTerminated());
    assertEquals(1, harness.frontEnd.controller().callCount());
  }

  private FrontEndHarness withCallerTimeout(int callerTimeoutMillis) {
    return new FrontEndHarness(
        actions -> policy = new ScriptedPolicy(actions),
        Limits.forDescriptors(256, 3),
        config -> config.replace("\"giveUp\":9000", "\"giveUp\":" + callerTimeoutMillis));
  }

  /**
   * The platform kills the process no sooner than 0.7 s after the longest caller time-out, which
   * counts as 3 s at most.
   */
  @ParameterizedTest
  @CsvSource({"1500, 2200", "3000, 3700", "9000, 3700"})
  void answersAllCallsBeforeThePlatformMayKillTheProcess(int callerTimeoutMillis, int killMillis) {
    harness = withCallerTimeout(callerTimeoutMillis).openSwitchConnections();
    FrontEndHarness.FakeConnection connectedBefore = harness.connectCaller();
    connectedBefore.deliver(
        FrontEndHarness.setUp(1, CallerMessage.LEFT, Integer.toString(callerTimeoutMillis)));
    harness.frontEnd.terminate();
    double requestedAt = harness.clock.now();
    FrontEndHarness.FakeConnection connectedAfter = harness.connectCaller();
    connectedAfter.deliver(
        FrontEndHarness.setUp(2, CallerMessage.LEFT, Integer.toString(callerTimeoutMillis)));
    int id = 2;
    while (!harness.frontEnd.isTerminated() && harness.clock.now() - requestedAt < killMillis) {
      harness.clock.advance(50);
      if (!connectedAfter.closed) {
        connectedAfter.deliver(
            FrontEndHarness.setUp(
                ++id,
                CallerMessage.LEFT,
                Integer.toString(callerTimeoutMillis),
                21,
                "dest:1;transit:1"));
      }
    }
    assertTrue(
        harness.frontEnd.isTerminated(),
        "still running, ms after the request: " + (harness.clock.now() - requestedAt));
    assertTrue(
        harness.clock.now() - requestedAt <= killMillis - 400,
        "ended, ms after the request: " + (harness.clock.now() - requestedAt));
    assertEquals(1, connectedBefore.takeSent().size());
    assertEquals(id - 1, connectedAfter.takeSent().size());
    assertFalse(harness.listening);
    assertTrue(connectedAfter.closed && connectedBefore.closed);
    assertTrue(
        harness.connections.stream()
            .filter(connection -> connection.port == 2)
            .allMatch(connection -> connection.closed));
  }

  @ParameterizedTest
  @CsvSource({"safe, 42", "unsafe, 41"})
  void aPendingCallIsRefusedAtTheEndOnlyIfItsClassIsSafeToRepeat(String repeatRule, int cause) {
    String changedClass = "\"worth\":1,\"repeat\":\"" + repeatRule + "\",";
    harness =
        new FrontEndHarness(
                LongAttemptPolicy::new,
                Limits.forDescriptors(256, 3),
                config -> config.replace("\"worth\":1,", changedClass))
            .openSwitchConnections();
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    harness.frontEnd.terminate();
    harness.clock.advance(1_800);
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(1_300);
    assertEquals(List.of("12 7 cause " + cause), caller.takeSent());
  }

  /** Sends each call once, with a time limit beyond the end of the shutdown window. */
  private static final class LongAttemptPolicy extends ScriptedPolicy {
    LongAttemptPolicy(CallPolicy.Actions actions) {
      super(actions);
    }

    @Override
    public void onCall(double now, Call call) {
      actions.send(call.id(), "s1", 2_500);
    }
  }

  @Test
  void reportsTheSettingAndReasonOfAnUnusableConfiguration() {
    String validConfig = new String(FrontEndHarness.CONFIG, StandardCharsets.UTF_8);
    for (String[] change :
        new String[][] {
          {"127.0.0.1:2905", "nowhere", "listen=nowhere, expected host:port"},
          {"\"giveUp\":9000", "\"giveUp\":\"x\"", "giveUp=x"},
          {"\"giveUp\":9000,", "", "lacks classes.0.giveUp"},
          {"\"giveUp\":9000", "\"giveUp\":-1", "classes.0.giveUp=-1.0, expected 0.001 to"},
          {"\"aim\":1200", "\"aim\":1e300", "classes.0.aim=1.0E300, expected 0.001 to"},
          {"\"aim\":1200", "\"aim\":\"NaN\"", "classes.0.aim=NaN"},
          {"\"worth\":1", "\"worth\":-4", "classes.0.worth=-4.0, expected 0.0 to"},
          {"\"lateValue\":0.25", "\"lateValue\":2", "classes.0.lateValue=2.0, expected 0.0 to"},
          {"\"name\":\"wide\"", "\"name\":\"voice\"", "classes.1.name=voice, expected"},
          {"\"worth\":1,", "\"worth\":1,\"repeat\":\"twice\",", "classes.0.repeat=twice, expected"},
          {"[1,3]", "[1,0]", "channelsNeeded=1,0, expected numbers above 0"},
          {"\"instances\":3", "\"instances\":0", "instances=0, expected 1 to"},
          {"\"instances\":3", "\"instances\":9e9", "instances=9e9"},
          {"\"attemptsCap\":6", "\"attemptsCap\":-6", "attemptsCap=-6, expected 1 to"},
          {"\"coldFrom\":0.28", "\"coldFrom\":0", "rules.coldFrom=0.0, expected 0.001 to"},
          {"\"fall\":3000", "\"fall\":0", "rules.fall=0.0, expected 0.001 to"},
          {"\"drainGrace\":250", "\"drainGrace\":-1", "rules.drainGrace=-1.0, expected 0.0 to"},
          {"\"sockets\":256", "\"sockets\":3", "limits.sockets=3, expected 64 to"},
          {"\"resolution\":5", "\"resolution\":0", "resolution=0"},
          {"8c1f30d27a5be964", "seed", "seed=seed"}
        }) {
      byte[] changedConfig =
          validConfig.replace(change[0], change[1]).getBytes(StandardCharsets.UTF_8);
      WireException exception =
          assertThrows(WireException.class, () -> PlatformSettings.read(changedConfig));
      assertTrue(exception.getMessage().contains(change[2]), exception.getMessage());
      assertFalse(exception.getMessage().contains("\n"));
    }
    byte[] truncatedConfig =
        java.util.Arrays.copyOf(FrontEndHarness.CONFIG, FrontEndHarness.CONFIG.length / 2);
    assertThrows(WireException.class, () -> PlatformSettings.read(truncatedConfig));
  }

  /** A service that accepts connections and closes them at once must not be called in a loop. */
  @Test
  void aJournalThatClosesEachConnectionAtOnceIsCalledAtAPace() {
    harness.connectionTo(8500).deliver("1");
    harness.clock.advance(10);
    for (double elapsed = 0; elapsed < 5_000; elapsed += 10) {
      FrontEndHarness.FakeConnection journal = harness.connectionTo(8500);
      if (journal != null) {
        journal.establish();
        journal.lose(Loss.CLOSED);
      }
      harness.clock.advance(10);
    }
    long opened =
        harness.connections.stream().filter(connection -> connection.port == 8500).count();
    assertTrue(opened > 15 && opened < 40, "journal connections in 5 s: " + opened);
  }
}
