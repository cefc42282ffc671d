package coveladder;

import static coveladder.PolicyFixture.inServiceExchange;
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

/** Checks what follows a failed attempt, depending on the repeat settings of the call class. */
class RepeatTest {
  private PolicyFixture fixture;

  /** Offers call {@code a} to exchange 1; its class has the given repeat settings. */
  private void startCall(double repeatWindow, boolean repeatAnywhere) {
    CallClass callClass =
        new CallClass(1, 0.25, 5000, 9000, 1, 10000, List.of(), repeatWindow, repeatAnywhere);
    Settings base = PolicyFixture.settings(Layout.MESH, 0);
    fixture =
        new PolicyFixture(
            new Settings(
                base.layout(),
                /* localExchange= */ 0,
                /* controllerCount= */ 4,
                /* classes= */ List.of(callClass),
                /* clockResolution= */ 5,
                /* maxAttempts= */ 4,
                /* mayCancel= */ true,
                /* mayProbe= */ false,
                /* mayBroadcast= */ false,
                /* maxRetryAfter= */ 2000,
                /* directoryOnRequest= */ false,
                /* guardTime= */ 300,
                /* retransmitAfter= */ 800,
                /* coldShare= */ 0.3,
                /* rampTime= */ 10000,
                /* coldMultiple= */ 3,
                /* coldWindow= */ 3000));
    fixture.updateDirectory(
        true, inServiceExchange(1, 0), inServiceExchange(2, 0), inServiceExchange(3, 0));
    for (int exchange = 1; exchange <= 3; exchange++) {
      fixture.reportCircuits(exchange, 20, 20);
    }
    fixture.offerCall("a", 0, 1);
  }

  private int attempts() {
    return fixture.actions.exchangesTried("a").size();
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"TIMED_OUT", "RESET", "CANCELLED", "ERROR"})
  void anUnrepeatableCallFailsOnceAnAttemptMayHaveTakenEffect(Outcome outcome) {
    startCall(0, false);
    fixture.endAttempt("a", 0, 1, outcome, Reason.NONE);
    fixture.advanceClock(4000);
    assertEquals(1, attempts());
    assertEquals(1, fixture.actions.ofType("fail").size());
    assertTrue(fixture.actions.ofType("refuse").isEmpty());
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"BUSY", "REFUSED", "SKIPPED"})
  void anUnrepeatableCallIsResentOrRefusedAfterAnAttemptWithoutEffect(Outcome outcome) {
    startCall(0, false);
    fixture.endAttempt("a", 0, 1, outcome, Reason.NONE);
    fixture.advanceClock(6000);
    assertTrue(attempts() > 1 || fixture.actions.ofType("refuse").size() == 1);
    assertTrue(fixture.actions.ofType("fail").isEmpty() || attempts() > 1);
  }

  @Test
  void aBusyNumberFailsAnUnrepeatableCall() {
    startCall(0, false);
    fixture.endAttempt("a", 0, 1, Outcome.ERROR, Reason.NUMBER_BUSY);
    assertEquals(1, fixture.actions.ofType("fail").size());
  }

  @Test
  void aCallIsResentOnlyWithinItsRepeatWindowAndToTheSameExchange() {
    startCall(1000, false);
    fixture.advanceClock(100);
    fixture.endAttempt("a", 0, 1, Outcome.RESET, Reason.NONE, 100);
    fixture.advanceClock(800);
    assertEquals(List.of("x1", "x1"), fixture.actions.exchangesTried("a"));
    fixture.endAttempt("a", 1, 1, Outcome.RESET, Reason.NONE, 100);
    fixture.advanceClock(4000);
    assertEquals(2, attempts());
    assertEquals(1, fixture.actions.ofType("fail").size());
  }

  @Test
  void aCallThatIsSafeToRepeatIsResent() {
    startCall(Double.POSITIVE_INFINITY, true);
    fixture.endAttempt("a", 0, 1, Outcome.RESET, Reason.NONE, 100);
    fixture.advanceClock(800);
    assertEquals(2, attempts());
  }
}
