package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;

import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Set-ups that come again under their id after their client has left. */
class RepeatedIdTest {
  private static final String SAFE = "safe";
  private static final String UNSAFE = "unsafe";

  private static FrontEndHarness harness(String repeat) {
    return new FrontEndHarness(
            ScriptedPolicy::new,
            Limits.forDescriptors(256, 3),
            config ->
                config.replace(
                    "\"lateValue\":0.25}", "\"lateValue\":0.25,\"repeat\":\"" + repeat + "\"}"))
        .openSwitchConnections();
  }

  private static List<String> answersToTheSecondSetUp(FrontEndHarness harness, double laterMillis) {
    harness.clock.advance(laterMillis);
    FakeConnection again = harness.connectCaller();
    harness.connectionTo(2).takeSent();
    again.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(300);
    return again.takeSent();
  }

  /** Guards against a set-up that runs twice, as its client left and sent it again. */
  @ParameterizedTest
  @ValueSource(doubles = {1, 200, 1_000, 20_000})
  void aSetUpThatMayHaveRunAndMayNotBeRepeatedFails(double laterMillis) {
    FrontEndHarness harness = harness(UNSAFE);
    FakeConnection first = harness.connectCaller();
    first.deliver(FrontEndHarness.setUp(7));
    first.lose(Loss.CLOSED);
    assertEquals(List.of("12 7 cause 41"), answersToTheSecondSetUp(harness, laterMillis));
  }

  /** Guards against a call that runs twice, as it has ended before its client sent it again. */
  @Test
  void aCallThatHasEndedAndMayNotBeRepeatedFails() {
    FrontEndHarness harness = harness(UNSAFE);
    FakeConnection first = harness.connectCaller();
    first.deliver(FrontEndHarness.setUp(7));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(7, "answer"));
    first.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("12 7 cause 41"), answersToTheSecondSetUp(harness, 1_000));
  }

  @Test
  void aSetUpThatMayBeRepeatedIsServedAgain() {
    FrontEndHarness harness = harness(SAFE);
    FakeConnection first = harness.connectCaller();
    first.deliver(FrontEndHarness.setUp(7));
    first.lose(Loss.CLOSED);
    assertEquals(List.of(), answersToTheSecondSetUp(harness, 1_000));
    assertEquals(List.of("OPEN 7 voice offer7"), harness.connectionTo(2).takeSent());
  }

  @Test
  void aSetUpThatNeverLeftIsServedAgain() {
    FrontEndHarness harness = harness(UNSAFE);
    FakeConnection first = harness.connectCaller();
    first.unread = true;
    first.deliver(FrontEndHarness.setUp(7));
    first.lose(Loss.CLOSED);
    assertEquals(List.of(), answersToTheSecondSetUp(harness, 1));
    assertEquals(List.of("OPEN 7 voice offer7"), harness.connectionTo(2).takeSent());
  }
}
