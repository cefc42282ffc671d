package coveladder;

import static coveladder.PolicyFixture.LOW_WORTH;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Load reports whose figures were damaged on the way. */
class SpoiltReportTest {
  /** Time for a handful of events, far below the time that a caller waits. */
  private static final Duration SHORT = Duration.ofMillis(500);

  private static final double RECOMPUTE_MILLIS = 2_000;

  private final PolicyFixture fixture = PolicyFixture.mesh();

  private void report(double free, double size) {
    fixture.policy.onLoadReport(
        fixture.now, new CallPolicy.LoadReport("x2", true, 0, PolicyFixture.load(free, size)));
  }

  private void assertSentDirectly(String id) {
    fixture.offerCall(id, LOW_WORTH, 2);
    assertEquals(List.of("x2"), fixture.actions.exchangesTried(id));
  }

  /** Guards against a size of 1e9 that ended the process for want of memory (review/6). */
  @ParameterizedTest
  @ValueSource(doubles = {0, 1, 9, 200, 4_096, 5e5, 1e6, 1e9, 1e300})
  void oneSpoiltSizeNeitherHoldsThePolicyNorTurnsCallsAway(double spoilt) {
    assertSentDirectly("a");
    fixture.establish("a", 0, 20);
    report(19, spoilt);
    assertTimeoutPreemptively(SHORT, () -> fixture.advanceClock(RECOMPUTE_MILLIS));
    assertSentDirectly("b");
    fixture.establish("b", 0, 20);
    report(18, 20);
    fixture.advanceClock(RECOMPUTE_MILLIS);
    for (int i = 0; i < 5; i++) {
      assertSentDirectly("c" + i);
      fixture.establish("c" + i, 0, 20);
    }
  }

  /** Guards against a number of free circuits above the size that hid a full group. */
  @ParameterizedTest
  @CsvSource({"21, 20", "1e300, 20"})
  void moreFreeCircuitsThanThereAreCountAsAllOfThem(double free, double size) {
    report(free, size);
    for (int i = 0; i < 20; i++) {
      fixture.offerCall("a" + i, LOW_WORTH, 2);
      fixture.establish("a" + i, 0, 20);
      fixture.advanceClock(1);
    }
    fixture.offerCall("b", LOW_WORTH, 2);
    assertEquals(0, fixture.actions.exchangesTried("b").stream().filter("x2"::equals).count());
  }

  /** Guards against estimates made from one spoilt size, and those that a spoilt first one left. */
  @Test
  void aFarSizeEntersEstimatesOnceConfirmedAndEndsTheEarlierOnes() {
    ReportedGroupSize size = new ReportedGroupSize();
    size.report(4_000);
    assertTrue(size.isConfirmed());
    assertFalse(size.report(20));
    assertFalse(size.isConfirmed());
    assertTrue(size.report(21));
    assertTrue(size.isConfirmed());
    assertFalse(size.report(959));
    assertFalse(size.report(20));
    assertTrue(size.isConfirmed());
  }
}
