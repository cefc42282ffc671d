package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Switches that come up at the address, or under the id, of one that has gone. */
class SwitchIncarnationTest {
  private static final int JOURNAL_PORT = 8500;

  private FrontEndHarness harness;
  private FakeConnection caller;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    caller = harness.connectCaller();
  }

  private void establish(int id) {
    caller.deliver(FrontEndHarness.setUp(id));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(id, "answer"));
    caller.takeSent();
  }

  private void deliverEvent(int position, String id, String state, long startedAt) {
    harness
        .connectionTo(JOURNAL_PORT)
        .deliver(FrontEndHarness.journalEvent(position, id, 2, state, startedAt));
  }

  private long now() {
    return (long) harness.clock.now();
  }

  /**
   * Guards against calls of a vanished switch that stand as another has its address (review/10).
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 500})
  void aNewSwitchAtAnAddressEndsTheCallsOfTheEarlierOne(long startedBeforeMillis) {
    establish(7);
    harness.clock.advance(3_000);
    deliverEvent(2, "s9", "in_service", startedBeforeMillis == 0 ? 0 : now() - startedBeforeMillis);
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    assertNull(harness.frontEnd.controller().directory().byId("s1"));
  }

  /** Guards against set-ups that go to the new switch under the id of the earlier one. */
  @Test
  void theEarlierSwitchIsNotConnectedToAgain() {
    deliverEvent(2, "s9", "in_service", now() - 500);
    int connections = harness.connections.size();
    deliverEvent(3, "s1", "in_service", 0);
    deliverEvent(4, "s1", "terminating", 0);
    assertNull(harness.frontEnd.controller().directory().byId("s1"));
    assertEquals(connections, harness.connections.size());
    caller.deliver(FrontEndHarness.setUp(8));
    assertEquals(List.of("12 8 cause 34 wait 250"), caller.takeSent());
  }

  /** Guards against a call that a set-up to the earlier switch left standing at the new one. */
  @Test
  void setUpsThatReachedTheNewSwitchUnderTheEarlierIdAreReleasedThere() {
    FakeConnection old = harness.connectionTo(2);
    old.lose(Loss.CLOSED);
    harness.clock.advance(200);
    harness.connectionTo(2).establish();
    caller.deliver(FrontEndHarness.setUp(8));
    harness.connectionTo(2).takeSent();
    deliverEvent(2, "s9", "in_service", now() - 500);
    harness.connectionTo(2).establish();
    assertEquals(List.of("CLOSE 8 16"), harness.connectionTo(2).takeSent());
  }

  /** A switch that comes back at its address, later than the one in between, has it again. */
  @Test
  void aLaterStartAtTheSameAddressHasIt() {
    deliverEvent(2, "s9", "in_service", now() - 500);
    harness.clock.advance(1_000);
    deliverEvent(3, "s1", "in_service", now() - 100);
    assertNull(harness.frontEnd.controller().directory().byId("s9"));
    assertTrue(harness.frontEnd.controller().directory().byId("s1") != null);
  }

  /** Guards against a call that stands for ever, as it is named after its switch started again. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aCallNamedAfterItsSwitchStartedAgainIsReleased(boolean listedAsGoneBetween) {
    if (listedAsGoneBetween) {
      deliverEvent(2, "s1", "terminated", 0);
    }
    deliverEvent(listedAsGoneBetween ? 3 : 2, "s1", "in_service", now() - 100);
    caller.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
    assertTrue(harness.frontEnd.stateSummary().contains("established 0"));
  }
}
