package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import coveladder.isupfront.FrontEndHarness.FakeConnection;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients and switches that name ever new calls, beside those that do as the protocol says. */
class FloodedMemoryTest {
  private FrontEndHarness harness;
  private FakeConnection bad;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    bad = harness.connectCaller();
  }

  private static byte[] named(int id, String exchange) {
    return FrontEndHarness.setUp(id, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:" + exchange);
  }

  /** Guards against ends told by switches that a client's releases of unknown ids push out. */
  @Test
  void releasesOfUnknownIdsDoNotPushOutWhatSwitchesTold() {
    harness.connectionTo(2).deliver(FrontEndHarness.close(7, 16, ""));
    for (int id = 100; id < 14_000; id++) {
      bad.deliver(FrontEndHarness.release(id));
    }
    FakeConnection caller = harness.connectCaller();
    caller.deliver(named(7, "s1"));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  /** Guards against a turn of the event loop that decides on thousands of calls. */
  @Test
  void callsNamedAtUnlistedSwitchesAreDecidedOnInSmallNumbers() {
    for (int id = 100; id < 1_100; id++) {
      bad.deliver(named(id, "s9"));
    }
    bad.takeSent();
    harness.connectionTo(8500).deliverWithoutTurn("1\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals(DeferredResumptions.MAX_TAKEN, bad.takeSent().size());
    harness.clock.advance(0);
    assertEquals(1_000 - DeferredResumptions.MAX_TAKEN, bad.takeSent().size());
  }

  /** Guards against a set-up whose thousands of figures take long to read. */
  @Test
  void aSetUpWithVeryManyFiguresCannotBeUsed() {
    StringBuilder figures = new StringBuilder("dest:1;width:1;via:-1");
    for (int i = 0; i < 2_000; i++) {
      figures.append(";f").append(i).append(":1");
    }
    bad.deliver(FrontEndHarness.setUp(7, CallerMessage.FIGURES, figures.toString()));
    assertEquals(List.of("12 7 cause 111"), bad.takeSent());
  }

  /** Guards against memory taken by ids that are none. */
  @Test
  void aReleaseOfWhatIsNoCallIdIsNotRemembered() {
    int kept = harness.frontEnd.keptEntries();
    String line =
        FrontEndHarness.close(7, 16, "").replace(FrontEndHarness.callId(7), "x".repeat(9));
    harness.connectionTo(2).deliver(line);
    harness.connectionTo(2).deliver(line.replace("xxxxxxxxx", "7".repeat(15_000)));
    assertEquals(kept, harness.frontEnd.keptEntries());
    assertTrue(harness.connectionTo(2) != null);
  }
}
