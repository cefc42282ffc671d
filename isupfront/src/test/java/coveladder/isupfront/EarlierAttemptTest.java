package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages of an earlier attempt of a call that arrive while a later one is out at that switch. */
class EarlierAttemptTest {
  private static final double GUARD_MILLIS = 300;

  private FrontEndHarness harness;
  private RetryingPolicy policy;
  private FakeConnection caller;

  /** Sends each call to s1, and again when an attempt has ended and the guard time is over. */
  private static final class RetryingPolicy extends ScriptedPolicy {
    double retryDelayMillis = GUARD_MILLIS;

    RetryingPolicy(Actions actions) {
      super(actions);
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      events.add("ended " + ended.outcome());
      if (!ended.callFinished()) {
        actions.startTimer(retryDelayMillis, Long.parseLong(ended.call(), 16));
      }
    }

    @Override
    public void onTimer(double now, long label) {
      actions.send(String.format("%016x", label), "s1", 1_000);
    }
  }

  @BeforeEach
  void setUpHarness() {
    harness =
        new FrontEndHarness(actions -> policy = new RetryingPolicy(actions))
            .openSwitchConnections();
    caller = harness.connectCaller();
    harness.connectionTo(2).takeSent();
    policy.takeEvents();
  }

  /** Returns the connection on which the second attempt is out; the first was lost with its own. */
  private FakeConnection secondAttemptAfterAReset() {
    FakeConnection first = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    first.lose(Loss.CLOSED);
    harness.clock.advance(GUARD_MILLIS);
    FakeConnection second = harness.connectionTo(2);
    assertNotSame(first, second);
    second.establish();
    assertEquals(List.of("CLOSE 7 16", "OPEN 7 voice offer7"), second.takeSent());
    assertTrue(policy.takeEvents().contains("ended RESET"));
    return second;
  }

  private FakeConnection secondAttemptAfterATimeOut() {
    FakeConnection connection = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    harness.clock.advance(500);
    connection.deliver(FrontEndHarness.status(30));
    harness.clock.advance(500 + GUARD_MILLIS);
    assertEquals(
        List.of("OPEN 7 voice offer7", "CLOSE 7 16", "OPEN 7 voice offer7"), connection.takeSent());
    assertTrue(policy.takeEvents().contains("ended TIMED_OUT"));
    return connection;
  }

  /** Guards against a third attempt while the second is out (review/7). */
  @Test
  void theEndOfAnEarlierCallDoesNotEndTheAttemptThatIsOut() {
    FakeConnection second = secondAttemptAfterAReset();
    second.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of(), policy.takeEvents());
    second.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
  }

  /** Guards against a third attempt while the second is out: it is given up first. */
  @ParameterizedTest
  @ValueSource(ints = {17, 34, 41, 47, 102, 3})
  void anAttemptIsGivenUpWhenItsEndMayBeThatOfAnEarlierOne(int cause) {
    FakeConnection second = secondAttemptAfterAReset();
    second.deliver(FrontEndHarness.close(7, cause, ""));
    assertEquals(List.of("CLOSE 7 16"), second.takeSent());
    assertEquals(List.of("ended RESET"), policy.takeEvents());
    harness.clock.advance(GUARD_MILLIS - 1);
    assertEquals(List.of(), second.takeSent());
  }

  /** Guards against a late refusal on the same connection that ends the next attempt. */
  @Test
  void aLateRefusalOfATimedOutAttemptGivesTheNextOneUp() {
    FakeConnection connection = secondAttemptAfterATimeOut();
    connection.deliver(FrontEndHarness.close(7, 34, ""));
    assertEquals(List.of("CLOSE 7 16"), connection.takeSent());
    assertEquals(List.of("ended RESET"), policy.takeEvents());
  }

  /** Guards against the second copy of a refusal that ends the next attempt. */
  @Test
  void aSecondCopyOfARefusalGivesTheNextAttemptUp() {
    policy.retryDelayMillis = 0;
    FakeConnection connection = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    connection.deliver(FrontEndHarness.close(7, 34, ""));
    policy.retryDelayMillis = GUARD_MILLIS;
    harness.clock.advance(1);
    connection.takeSent();
    connection.deliver(FrontEndHarness.close(7, 34, ""));
    assertEquals(List.of("CLOSE 7 16"), connection.takeSent());
  }

  /** A refusal long after the earlier one is that of the attempt that is out. */
  @Test
  void aRefusalOfALaterAttemptCountsAfterTheTimeOfSecondCopies() {
    FakeConnection connection = harness.connectionTo(2);
    caller.deliver(FrontEndHarness.setUp(7));
    connection.deliver(FrontEndHarness.close(7, 34, ""));
    harness.clock.advance(GUARD_MILLIS);
    connection.takeSent();
    policy.takeEvents();
    connection.deliver(FrontEndHarness.close(7, 34, ""));
    assertEquals(List.of(), connection.takeSent());
    assertEquals(List.of("ended BUSY"), policy.takeEvents());
  }

  /** Guards against a call that stands on at its switch when an earlier one's release ended it. */
  @Test
  void aCallEndedByAReleaseThatMayBeAnEarlierOnesIsReleasedAtItsSwitch() {
    FakeConnection second = secondAttemptAfterAReset();
    second.deliver(FrontEndHarness.ready(7, "answer"));
    caller.takeSent();
    second.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
    assertEquals(List.of("CLOSE 7 16"), second.takeSent());
  }
}
