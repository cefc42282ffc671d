package coveladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.soak.Observation.CallerConnected;
import coveladder.soak.Observation.CallerConnectionEnded;
import coveladder.soak.Observation.CallerRead;
import coveladder.soak.Observation.CallerWrote;
import coveladder.soak.Observation.Change;
import coveladder.soak.Observation.ProcessChanged;
import coveladder.soak.Observation.SwitchConnectionEnded;
import coveladder.soak.Observation.SwitchEnded;
import coveladder.soak.Observation.SwitchRead;
import coveladder.soak.Observation.SwitchTold;
import coveladder.soak.Observation.SwitchWrote;
import coveladder.soak.Violation.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** For each rule, a mutation of a recording without fault is found by the checker. */
class RuleCheckerTest {
  private static final double START = 1e12;
  private static final String CALL = "00000000000000c1";
  private static final String AT = "dest:1;width:1;at:s1";

  private final SoakSettings settings = SoakSettings.draw(new Random(1));
  private final List<Observation> recording = new ArrayList<>();

  private void add(Observation observation) {
    recording.add(observation);
  }

  private void callerWrote(double at, CallerMessage message) {
    add(new CallerWrote(START + at, 0, 1, false, message));
  }

  private void callerRead(double at, CallerMessage message) {
    add(new CallerRead(START + at, 0, 1, false, message));
  }

  private void switchRead(double at, SwitchLine line) {
    add(new SwitchRead(START + at, 0, 7, "s1", line));
  }

  private void switchWrote(double at, SwitchLine line) {
    add(new SwitchWrote(START + at, 0, 7, "s1", line));
  }

  private static CallerMessage setUp(String figures) {
    return new CallerMessage(
        CallerMessage.SET_UP,
        CALL,
        Map.of(
            CallerMessage.CLASS, "voice".getBytes(),
            CallerMessage.LEFT, "1000".getBytes(),
            CallerMessage.NUMBER, "77".getBytes(),
            CallerMessage.FIGURES, figures.getBytes(),
            CallerMessage.DESCRIPTION, "offer".getBytes()));
  }

  private static CallerMessage answer(String description) {
    return new CallerMessage(
        CallerMessage.ANSWER, CALL, Map.of(CallerMessage.DESCRIPTION, description.getBytes()));
  }

  private static CallerMessage release() {
    return CallerMessage.withCause(CallerMessage.RELEASE, CALL, 16);
  }

  private static SwitchLine open(String number) {
    return new SwitchLine(
        SwitchLine.OPEN, CALL, Map.of("class", "voice", "key", number), -1, "offer");
  }

  private static SwitchLine ready() {
    return new SwitchLine(SwitchLine.READY, CALL, Map.of(), -1, "made");
  }

  private static SwitchLine close() {
    return SwitchLine.withCause(SwitchLine.CLOSE, CALL, 16, Map.of());
  }

  private void started(double at) {
    add(new ProcessChanged(START + at, 0, Change.STARTED));
    add(new ProcessChanged(START + at + 500, 0, Change.READY));
    add(new CallerConnected(START + at + 600, 0, 1, false));
    add(new SwitchTold(START + at, 0, "s1", "in_service", 0));
  }

  /** A call that is set up at 1,000, answered at 1,100 and not over yet. */
  private void established() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    switchRead(1_005, open("77"));
    switchWrote(1_090, ready());
    callerRead(1_100, answer("made"));
  }

  private Set<Rule> rulesBroken() {
    add(new SwitchTold(START + 60_000, 0, "s-end", "in_service", 0));
    Set<Rule> rules = new TreeSet<>();
    new RuleChecker(settings, recording).check().forEach(v -> rules.add(v.rule()));
    return rules;
  }

  private void assertBroken(Rule rule) {
    Set<Rule> rules = rulesBroken();
    assertTrue(rules.contains(rule), rules.toString());
  }

  @Test
  void aRecordingWithoutFaultBreaksNoRule() {
    established();
    switchWrote(3_000, close());
    callerRead(3_010, release());
    assertEquals(Set.of(), rulesBroken());
  }

  /** An answer is lost with its connection, its call is released there and set up again. */
  private void establishedAtTheSecondAttempt() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    switchRead(1_005, open("77"));
    switchWrote(1_010, ready());
    add(new SwitchConnectionEnded(START + 1_020, 0, 7, "s1"));
    switchRead(1_030, close());
    switchRead(1_400, open("77"));
    switchWrote(1_410, ready());
    callerRead(1_420, answer("made"));
  }

  @Test
  void theEndOfAnAttemptWhoseAnswerWasLostIsNotThatOfTheCall() {
    establishedAtTheSecondAttempt();
    switchWrote(20_000, close());
    callerRead(20_010, release());
    assertEquals(Set.of(), rulesBroken());
  }

  @Test
  void aMissingReleaseAfterASecondAttemptIsFound() {
    establishedAtTheSecondAttempt();
    switchWrote(3_000, close());
    assertBroken(Rule.RELEASE);
  }

  @Test
  void aMissingAnswerIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    assertBroken(Rule.LOST);
  }

  @Test
  void aCloseWithoutAnAnswerIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    add(new CallerConnectionEnded(START + 1_400, 0, 1, true));
    assertBroken(Rule.LOST);
  }

  @Test
  void aRequestThatTheKillFindsUnansweredIsFound() {
    started(0);
    add(new ProcessChanged(START + 1_000, 0, Change.TERMINATION_REQUESTED));
    callerWrote(1_900, setUp("dest:1"));
    add(new ProcessChanged(START + 2_000, 0, Change.KILLED));
    assertBroken(Rule.LOST);
  }

  @Test
  void aSecondAnswerIsFound() {
    established();
    callerRead(1_200, answer("made"));
    assertBroken(Rule.SECOND_ANSWER);
  }

  @Test
  void anAnswerThatNoSwitchGaveIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    callerRead(1_100, answer("made up"));
    assertBroken(Rule.FALSE_ANSWER);
  }

  @Test
  void aSecondAttemptIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    switchRead(1_005, open("77"));
    add(new SwitchRead(START + 1_050, 0, 8, "s2", open("77")));
    assertBroken(Rule.DUPLICATE);
  }

  @Test
  void anAttemptWithinTheGuardIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    switchRead(1_005, open("77"));
    add(new SwitchConnectionEnded(START + 1_050, 0, 7, "s1"));
    add(new SwitchRead(START + 1_100, 0, 8, "s2", open("77")));
    assertBroken(Rule.GUARD);
  }

  @Test
  void aSetUpAfterTheDrainGraceIsFound() {
    started(0);
    add(new SwitchTold(START + 100, 0, "s1", "terminating", 0));
    callerWrote(2_000, setUp("dest:1"));
    switchRead(2_005, open("77"));
    assertBroken(Rule.DRAIN);
  }

  @Test
  void anOverloadedColdSwitchIsFound() {
    started(0);
    add(new SwitchTold(START + 100, 0, "s1", "in_service", START + 100));
    callerWrote(1_000, setUp("dest:1"));
    for (int i = 0; i < 5_000; i++) {
      switchRead(1_005 + i * 0.01, open("77"));
    }
    assertBroken(Rule.COLD);
  }

  @Test
  void aReleaseThatNeverReachesTheCallerIsFound() {
    established();
    switchWrote(3_000, close());
    assertBroken(Rule.RELEASE);
  }

  /** The incident: the release was written to the new process before the call was named. */
  @Test
  void aReleaseBeforeTheCallIsNamedThatNeverReachesTheCallerIsFound() {
    established();
    add(new ProcessChanged(START + 5_000, 0, Change.KILLED));
    started(5_600);
    switchWrote(5_941, close());
    callerWrote(6_286, setUp(AT));
    assertBroken(Rule.RELEASE);
  }

  @Test
  void theCallsOfASwitchThatEndedAreOwedARelease() {
    established();
    add(new SwitchEnded(START + 3_000, 0, "s1"));
    assertBroken(Rule.RELEASE);
  }

  @Test
  void aCallLeftStandingAtItsSwitchIsFound() {
    established();
    callerWrote(3_000, release());
    assertBroken(Rule.LEFT_STANDING);
  }

  @Test
  void aCallNamedAfterItsCallersReleaseAndLeftStandingIsFound() {
    established();
    add(new ProcessChanged(START + 5_000, 0, Change.KILLED));
    started(5_600);
    callerWrote(6_200, release());
    callerWrote(6_286, setUp(AT));
    assertBroken(Rule.LEFT_STANDING);
  }

  @Test
  void anAttemptAfterTheCallerHasGoneIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    callerWrote(1_010, release());
    switchRead(1_300, open("77"));
    assertBroken(Rule.CALLER_GONE);
  }

  @Test
  void aChangedOrInventedSetUpIsFound() {
    started(0);
    callerWrote(1_000, setUp("dest:1"));
    switchRead(1_005, open("78"));
    assertBroken(Rule.INVENTED);
  }

  @Test
  void aDisruptiveClientThatIsLeftAloneIsFound() {
    started(0);
    add(new CallerConnected(START + 1_000, 0, 9, true));
    assertBroken(Rule.DISRUPTIVE);
  }

  @Test
  void aDisruptiveClientThatIsServedIsFound() {
    started(0);
    add(new CallerConnected(START + 1_000, 0, 9, true));
    add(new CallerRead(START + 1_100, 0, 9, true, answer("made")));
    assertBroken(Rule.DISRUPTIVE);
  }

  @Test
  void aCrashIsFound() {
    started(0);
    add(new ProcessChanged(START + 4_000, 0, Change.CRASHED));
    assertBroken(Rule.CRASH);
  }

  @Test
  void aProcessThatIsNeverReadyIsFound() {
    add(new ProcessChanged(START, 0, Change.STARTED));
    assertBroken(Rule.READY);
  }
}
