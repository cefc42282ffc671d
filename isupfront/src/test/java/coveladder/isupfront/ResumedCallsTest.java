package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests orders of messages about calls that callers name as established. */
class ResumedCallsTest {
  private FrontEndHarness harness;
  private FrontEndHarness.FakeConnection caller;
  private FrontEndHarness.FakeConnection toSwitch;

  @BeforeEach
  void setUpHarness() {
    harness = new FrontEndHarness(ScriptedPolicy::new).openSwitchConnections();
    caller = harness.connectCaller();
    toSwitch = harness.connectionTo(2);
  }

  private static byte[] resume(int id, String exchange) {
    return FrontEndHarness.setUp(id, CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:" + exchange);
  }

  private void assertNothingIsTracked() {
    assertEquals(0, harness.frontEnd.controller().callCount());
    assertTrue(harness.frontEnd.stateSummary().contains("established 0"));
  }

  @ParameterizedTest
  @CsvSource({"16, 16", "41, 41", "31, 41"})
  void aSwitchReleaseBeforeTheResumptionIsPassedOnAfterIt(int cause, int causeForCaller) {
    toSwitch.deliver(FrontEndHarness.close(7, cause, ""));
    harness.clock.advance(2_000);
    caller.deliver(resume(7, "s1"));
    assertEquals(List.of("12 7 cause " + causeForCaller), caller.takeSent());
    assertNothingIsTracked();
  }

  @Test
  void aCallerReleaseBeforeTheResumptionIsPassedOnAfterIt() {
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("16 7"), other.takeSent());
    caller.deliver(resume(7, "s1"));
    assertEquals(List.of("CLOSE 7 16"), toSwitch.takeSent());
    assertEquals(List.of(), caller.takeSent());
    assertNothingIsTracked();
    caller.deliver(resume(7, "s1"));
    assertEquals(List.of(), toSwitch.takeSent());
  }

  @Test
  void releasesOfBothSidesBeforeTheResumptionEndTheCallWithoutAMessage() {
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    caller.deliver(FrontEndHarness.release(7));
    caller.takeSent();
    caller.deliver(resume(7, "s1"));
    assertEquals(List.of(), caller.takeSent());
    assertEquals(List.of(), toSwitch.takeSent());
    assertNothingIsTracked();
  }

  /** The caller's word that a call is established crosses the release on another connection. */
  @Test
  void aResumptionJustAfterTheEndIsAnsweredWithTheReleaseAgain() {
    caller.deliver(resume(7, "s1"));
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(resume(7, "s1"));
    assertEquals(List.of("12 7 cause 16"), other.takeSent());
    assertNothingIsTracked();
  }

  @Test
  void aResumptionJustAfterTheCallersReleaseDoesNotBringTheCallBack() {
    caller.deliver(resume(7, "s1"));
    caller.deliver(FrontEndHarness.release(7));
    assertEquals(List.of("CLOSE 7 16"), toSwitch.takeSent());
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(resume(7, "s1"));
    assertEquals(List.of(), other.takeSent());
    assertEquals(List.of(), toSwitch.takeSent());
    assertNothingIsTracked();
  }

  /** A connection that was cut off stays open and silent; its caller names the call on another. */
  @Test
  void aCallNamedOnAnotherConnectionIsReleasedThere() {
    caller.deliver(FrontEndHarness.setUp(7));
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    caller.takeSent();
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(resume(7, "s1"));
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), other.takeSent());
    assertEquals(List.of(), caller.takeSent());
  }

  @Test
  void aPendingCallNamedOnAnotherConnectionIsAnsweredOnItsOwn() {
    caller.deliver(FrontEndHarness.setUp(7));
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(resume(7, "s1"));
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
    assertEquals(List.of(), other.takeSent());
  }

  @Test
  void aRepeatedReleaseFromTheSwitchDoesNotReachTheCallerTwice() {
    caller.deliver(resume(7, "s1"));
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  @Test
  void aNewSetUpWithTheIdOfAnEarlierReleaseIsServed() {
    caller.deliver(FrontEndHarness.release(7));
    caller.takeSent();
    caller.deliver(FrontEndHarness.setUp(7));
    toSwitch.deliver(FrontEndHarness.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), caller.takeSent());
  }

  /** A controller is ready after 30 s at the latest; only then do callers name their calls. */
  @Test
  void anEarlyReleaseIsKeptForThirtySecondsAndNotLonger() {
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    toSwitch.deliver(FrontEndHarness.close(8, 16, ""));
    harness.clock.advance(29_900);
    FrontEndHarness.FakeConnection late = harness.connectCaller();
    late.deliver(resume(7, "s1"));
    assertEquals(List.of("12 7 cause 16"), late.takeSent());
    harness.clock.advance(200);
    late.deliver(resume(8, "s1"));
    assertEquals(List.of(), late.takeSent());
  }

  @Test
  void theNumberOfEarlyReleasesIsBounded() {
    EndedCalls ends = new EndedCalls(harness.clock, 100);
    for (int i = 0; i < 1_000; i++) {
      ends.remember(Integer.toString(i), EndedCalls.ReleasedBy.CALLER, 16);
    }
    assertEquals(100, ends.size());
    assertEquals(EndedCalls.ReleasedBy.CALLER, ends.find("999").releasedBy());
    assertEquals(null, ends.find("0"));
    harness.clock.advance(EndedCalls.RETENTION_MILLIS + 1);
    ends.remember("x", EndedCalls.ReleasedBy.SWITCH, 16);
    assertEquals(1, ends.size());
  }

  @Test
  void aLostCallerConnectionDoesNotDropAnEarlyRelease() {
    toSwitch.deliver(FrontEndHarness.close(7, 16, ""));
    caller.lose(Loss.CLOSED);
    FrontEndHarness.FakeConnection other = harness.connectCaller();
    other.deliver(resume(7, "s1"));
    assertEquals(List.of("12 7 cause 16"), other.takeSent());
  }

  private static String directoryEvent(int position, String state) {
    return "{\"pos\":"
        + position
        + ",\"hosts\":{\"generation\":"
        + position
        + ",\"reset\":false,\"instances\":[{\"instanceId\":\"s9\","
        + "\"hostPort\":\"127.0.0.2:9\",\"cell\":1,\"lifecycle\":\""
        + state
        + "\",\"startedAtMs\":0}]}}";
  }

  @Test
  void aCallNamedBeforeItsSwitchIsListedIsResumedOnceItIs() {
    caller.deliver(resume(7, "s9"));
    assertEquals(List.of(), caller.takeSent());
    harness.connectionTo(8500).deliver(directoryEvent(2, "in_service"));
    harness.connectionTo(8500).deliver("2");
    harness.connectionTo(9).establish();
    assertEquals(List.of(), caller.takeSent());
    harness.connectionTo(9).deliver(FrontEndHarness.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  @Test
  void aReleaseByTheNewSwitchWhileItsCallWaitsIsPassedOn() {
    caller.deliver(resume(7, "s9"));
    harness.connectionTo(8500).deliver(directoryEvent(2, "in_service"));
    harness.connectionTo(9).establish();
    harness.connectionTo(9).deliver(FrontEndHarness.close(7, 16, ""));
    harness.connectionTo(8500).deliver("2");
    assertEquals(List.of("12 7 cause 16"), caller.takeSent());
  }

  @Test
  void aCallerReleaseWhileItsCallWaitsIsPassedOnToTheNewSwitch() {
    caller.deliver(resume(7, "s9"));
    caller.deliver(FrontEndHarness.release(7));
    harness.connectionTo(8500).deliver(directoryEvent(2, "in_service"));
    harness.connectionTo(8500).deliver("2");
    harness.connectionTo(9).establish();
    assertEquals(List.of("16 7"), caller.takeSent());
    assertEquals(List.of("CLOSE 7 16"), harness.connectionTo(9).takeSent());
    assertNothingIsTracked();
  }

  @Test
  void aCallAtASwitchThatIsGoneIsReleasedAtOnce() {
    harness.connectionTo(8500).deliver(directoryEvent(2, "in_service"));
    harness.connectionTo(8500).deliver(directoryEvent(3, "terminated"));
    caller.deliver(resume(7, "s9"));
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  /** What a journal service that broke off has to tell counts as told after 4 s. */
  @Test
  void aCallAtAnUnknownSwitchIsReleasedWithinFourSecondsWithoutAJournal() {
    harness.connectionTo(8500).lose(Loss.CLOSED);
    caller.deliver(resume(7, "s9"));
    harness.clock.advance(3_900);
    assertEquals(List.of(), caller.takeSent());
    harness.clock.advance(200);
    assertEquals(List.of("12 7 cause 41"), caller.takeSent());
  }

  @Test
  void theNumberOfWaitingCallsIsBounded() {
    DeferredResumptions waiting = new DeferredResumptions(harness.clock, 0);
    assertFalse(
        waiting.add(null, new SetUp("7", 0, "", 0, "", "", 0, 1, false, false, false, "s9")));
    assertEquals(0, waiting.size());
  }

  @Test
  void aCallResumedAfterItsConnectionEndedIsReleasedOnAnother() {
    FrontEndHarness.FakeConnection regular = harness.connectCaller();
    regular.deliver(resume(6, "s1"));
    caller.deliver(resume(7, "s9"));
    caller.deliver(resume(8, "s9"));
    caller.deliver(resume(9, "s9"));
    caller.lose(Loss.CLOSED);
    harness.connectionTo(8500).deliver("1");
    assertEquals(List.of("12 7 cause 41", "12 8 cause 41", "12 9 cause 41"), regular.takeSent());
  }
}
