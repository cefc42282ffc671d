package coveladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What follows an attempt that may have run, by what the settings say of its class. */
class RepeatTest {
  private Bed bed;

  private void begin(double repeatFor, boolean anywhere) {
    CallClass kind = new CallClass(1, 0.25, 5000, 9000, 1, 10000, List.of(), repeatFor, anywhere);
    Settings one = Bed.settings(Layout.MESH, 0);
    bed =
        new Bed(
            new Settings(
                one.layout(),
                0,
                4,
                List.of(kind),
                5,
                4,
                true,
                false,
                false,
                2000,
                false,
                300,
                800,
                0.3,
                10000,
                3,
                3000));
    bed.list(true, Bed.entry(1, 0), Bed.entry(2, 0), Bed.entry(3, 0));
    for (int far = 1; far <= 3; far++) {
      bed.circuits(far, 20, 20);
    }
    bed.call("a", 0, 1);
  }

  private int sends() {
    return bed.asked.sentTo("a").size();
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"TIMED_OUT", "RESET", "CANCELLED", "ERROR"})
  void aCallThatMayNotBeRepeatedFailsAtOnceOnceItMayHaveRun(Outcome outcome) {
    begin(0, false);
    bed.ended("a", 0, 1, outcome, Reason.NONE);
    bed.pass(4000);
    assertEquals(1, sends());
    assertEquals(1, bed.asked.of("fail").size());
    assertTrue(bed.asked.of("refuse").isEmpty());
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"BUSY", "REFUSED", "SKIPPED"})
  void oneThatNeverRanMayBeSentAgainOrRefused(Outcome outcome) {
    begin(0, false);
    bed.ended("a", 0, 1, outcome, Reason.NONE);
    bed.pass(6000);
    assertTrue(sends() > 1 || bed.asked.of("refuse").size() == 1);
    assertTrue(bed.asked.of("fail").isEmpty() || sends() > 1);
  }

  @Test
  void aNumberThatIsBusyFailsACallThatMayNotBeRepeated() {
    begin(0, false);
    bed.ended("a", 0, 1, Outcome.ERROR, Reason.NUMBER_BUSY);
    assertEquals(1, bed.asked.of("fail").size());
  }

  @Test
  void aKeyedCallIsSentAgainWhileItsKeyHoldsAndWhereItHolds() {
    begin(1000, false);
    bed.pass(100);
    bed.ended("a", 0, 1, Outcome.RESET, Reason.NONE, 100);
    bed.pass(800);
    assertEquals(List.of("x1", "x1"), bed.asked.sentTo("a"));
    bed.ended("a", 1, 1, Outcome.RESET, Reason.NONE, 100);
    bed.pass(4000);
    assertEquals(2, sends());
    assertEquals(1, bed.asked.of("fail").size());
  }

  @Test
  void aSafeCallIsSentAgain() {
    begin(Double.POSITIVE_INFINITY, true);
    bed.ended("a", 0, 1, Outcome.RESET, Reason.NONE, 100);
    bed.pass(800);
    assertEquals(2, sends());
  }
}
