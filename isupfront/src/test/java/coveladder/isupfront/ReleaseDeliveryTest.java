package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;

import coveladder.isup.CallerMessage;
import coveladder.isupfront.FrontEndHarness.FakeConnection;
import coveladder.isupfront.Transport.Loss;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Releases of calls whose connection has ended, beside clients that are not their callers. */
class ReleaseDeliveryTest {
  private FrontEndHarness harness;
  private FakeConnection caller;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    caller = harness.connectCaller();
  }

  private void establish(FakeConnection connection, int id) {
    connection.deliver(FrontEndHarness.setUp(id));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(id, "answer"));
    connection.takeSent();
  }

  private void endCallWithoutConnection() {
    establish(caller, 7);
    caller.lose(Loss.CLOSED);
    harness.clock.advance(1_000);
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
  }

  private static long releasesOfCallSeven(FakeConnection connection) {
    return connection.takeSent().stream().filter("12 7 cause 16"::equals).count();
  }

  /** Guards against a release that goes to a client taking back its set-ups alone (review/9). */
  @Test
  void aReleaseOfferedToAClientThatTakesItsSetUpsBackReachesItsCallerToo() {
    endCallWithoutConnection();
    FakeConnection bad = harness.connectCaller();
    for (int id = 20; id < 50; id++) {
      bad.deliver(FrontEndHarness.setUp(id));
      bad.deliver(FrontEndHarness.release(id));
    }
    harness.clock.advance(2_000);
    FakeConnection own = harness.connectCaller();
    own.deliver(FrontEndHarness.setUp(8));
    assertEquals(1, releasesOfCallSeven(own));
    harness.connectionTo(2).deliver(FrontEndHarness.ready(8, "answer"));
    harness.clock.advance(10_000);
    assertEquals(0, releasesOfCallSeven(own));
  }

  /** Guards against a release that goes to a client which only named calls. */
  @Test
  void aReleaseGoesToAnsweredCallsBeforeNamedOnes() {
    FakeConnection regular = harness.connectCaller();
    establish(regular, 8);
    FakeConnection bad = harness.connectCaller();
    for (int id = 20; id < 50; id++) {
      bad.deliver(FrontEndHarness.setUp(id, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s1"));
    }
    endCallWithoutConnection();
    assertEquals(1, releasesOfCallSeven(regular));
    harness.clock.advance(10_000);
    assertEquals(0, releasesOfCallSeven(regular));
  }

  /** Guards against a release that reaches one of several clients, not its own. */
  @Test
  void aReleaseReachesEachConnectionWithCallsWithinASecond() {
    FakeConnection one = harness.connectCaller();
    establish(one, 20);
    FakeConnection other = harness.connectCaller();
    establish(other, 21);
    establish(other, 22);
    endCallWithoutConnection();
    harness.clock.advance(900);
    assertEquals(1, releasesOfCallSeven(one));
    assertEquals(1, releasesOfCallSeven(other));
  }

  /** Guards against releases that are kept for ever, or sent after their time. */
  @Test
  void aReleaseThatWentToARegularClientWaitsForEightSeconds() {
    establish(harness.connectCaller(), 20);
    endCallWithoutConnection();
    harness.clock.advance(8_200);
    FakeConnection late = harness.connectCaller();
    late.deliver(FrontEndHarness.setUp(21));
    harness.clock.advance(1_000);
    assertEquals(0, releasesOfCallSeven(late));
    assertEquals(0, harness.frontEnd.waitingReleases());
  }
}
