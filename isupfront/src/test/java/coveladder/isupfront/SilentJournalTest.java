package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A journal service that falls silent with its connection open and cannot be reached anew. */
class SilentJournalTest {
  private static final int JOURNAL_PORT = 8500;

  /** Longest time until an attempt follows one that failed. */
  private static final double MAX_RETRY_MILLIS = 250;

  private FrontEndHarness harness;
  private FakeConnection silent;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    silent = harness.connectionTo(JOURNAL_PORT);
    silent.establish();
    silent.deliver("1");
    harness.clock.advance(1_650);
  }

  private FakeConnection newest() {
    return harness.connectionTo(JOURNAL_PORT);
  }

  /** Guards against a drain heard late, as a silent connection counted as one in use (review/8). */
  @ParameterizedTest
  @EnumSource(
      value = Loss.class,
      names = {"TURNED_AWAY", "NOT_MADE"})
  void anAttemptThatFailsIsRepeatedSoonWhileTheServiceIsSilent(Loss loss) {
    for (int i = 0; i < 12; i++) {
      FakeConnection attempt = newest();
      assertNotSame(silent, attempt, "attempt " + i);
      attempt.lose(loss);
      harness.clock.advance(MAX_RETRY_MILLIS);
    }
    assertFalse(silent.closed);
    newest().establish();
    newest().deliver(FrontEndHarness.journalEvent(2, "s1", 2, "terminating", 0));
    assertTrue(harness.frontEnd.stateSummary().contains("journal position 2"));
    assertTrue(silent.closed);
  }

  /** Guards against a service that is asked without end while it cannot answer. */
  @Test
  void attemptsAreAtMostFiveTheSecondInTheLongRun() {
    int before = harness.connections.size();
    for (int i = 0; i < 1_000; i++) {
      if (newest() != silent) {
        newest().lose(Loss.TURNED_AWAY);
      }
      harness.clock.advance(10);
    }
    int attempts = harness.connections.size() - before;
    assertTrue(attempts >= 30 && attempts <= 55, attempts + " attempts");
  }

  /** Guards against a drain heard late, as a connection made meanwhile was forgotten as well. */
  @Test
  void aServiceThatTakesAConnectionAndForgetsItIsAskedAgainLateInTheFourSeconds() {
    FakeConnection forgotten = newest();
    forgotten.establish();
    harness.clock.advance(1_750);
    assertEquals(forgotten, newest());
    harness.clock.advance(300);
    assertNotSame(forgotten, newest());
  }

  /** A service that takes the connection and answers late is not asked again at once. */
  @Test
  void aConnectionThatIsMadeHasTimeToBringALine() {
    FakeConnection second = newest();
    second.establish();
    harness.clock.advance(1_000);
    assertEquals(List.of("tail 1"), second.takeSent());
    assertEquals(second, newest());
  }
}
