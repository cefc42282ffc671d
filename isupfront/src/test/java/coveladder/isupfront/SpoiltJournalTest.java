package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.Actions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Events of the journal service that were damaged on the way. */
class SpoiltJournalTest {
  private static final int JOURNAL_PORT = 8500;

  private FrontEndHarness harness;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(this::policy).openSwitchConnections();
  }

  private ScriptedPolicy policy(Actions actions) {
    return new ScriptedPolicy(actions);
  }

  private FrontEndHarness.FakeConnection journal() {
    return harness.connectionTo(JOURNAL_PORT);
  }

  /** Guards against an event that is counted as applied although it could not be read. */
  @ParameterizedTest
  @CsvSource({
    "terminating, terminaXing",
    "127.0.0.2:2, 127.0.0.2:99999",
    "\"cell\":1, \"cell\":9999999999",
    "startedAtMs\":0, startedAtMs\":1e99",
    "startedAtMs\":0, startedAtMs\":-5"
  })
  void aSpoiltEventIsAskedForAgainAndThenApplied(String good, String spoilt) {
    String event = FrontEndHarness.journalEvent(2, "s1", 2, "terminating", 0);
    assertTrue(event.contains(good));
    FrontEndHarness.FakeConnection first = journal();
    first.deliver(event.replace(good, spoilt));
    assertTrue(first.closed);
    assertEquals("tail 1", journal().takeSent().get(0));
    journal().deliver(event);
    assertTrue(harness.frontEnd.stateSummary().contains("journal position 2"));
    assertTrue(harness.connectionTo(2) != null && !harness.connectionTo(2).closed);
  }

  /** Guards against a loop of connections to a service whose event stays unreadable. */
  @Test
  void anEventThatStaysUnreadableIsAskedForAtAPace() {
    String event = FrontEndHarness.journalEvent(2, "s1", 2, "terminating", 0);
    event = event.replace("\"cell\":1", "\"cell\":\"x\"");
    int before = harness.connections.size();
    for (int i = 0; i < 100; i++) {
      if (journal() != null) {
        journal().deliver(event);
      }
      harness.clock.advance(10);
    }
    assertTrue(harness.connections.size() - before < 15);
    harness.clock.advance(250);
    assertFalse(journal().closed);
  }

  /** Guards against a start in the future, which would cut calls set up before it. */
  @Test
  void aStartInTheFutureIsIgnored() {
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    caller.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    long future = (long) harness.clock.now() + 3_600_000;
    journal().deliver(FrontEndHarness.journalEvent(2, "s1", 2, "in_service", future));
    assertTrue(harness.frontEnd.stateSummary().contains("established 1"));
    assertTrue(harness.frontEnd.stateSummary().contains("journal position 2"));
  }
}
