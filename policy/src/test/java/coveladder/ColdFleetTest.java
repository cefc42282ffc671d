package coveladder;

import static coveladder.PolicyFixture.LOW_WORTH;
import static coveladder.PolicyFixture.inServiceExchange;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against overload of a processor that has just started: all controllers together must stay
 * within the budget of each window, apart from random variation, although each knows only its own
 * calls.
 */
class ColdFleetTest {
  /** Number of seeds for each of the two variants: without and with restarts of controllers. */
  private static final int SEEDS = 5;

  private static final double WARM_UP_MILLIS = 10_500;
  private static final double STEP_MILLIS = 100;

  /** Utilization of a warm processor; the controllers do not know it. */
  private static final double WARM_UTILIZATION = 0.8;

  private SplittableRandom random;
  private Settings settings;
  private double meanCallsPerSecond;
  private int nextCallNumber;

  /** A controller and the times of its set-ups to the cold processor, which is exchange 2. */
  private final class Controller {
    private final PolicyFixture fixture;
    private final double callsPerSecond;
    private final List<Double> sendTimes = new ArrayList<>();

    Controller(double startTime, double callsPerSecond, double exchangeStartedAt) {
      this.fixture = new PolicyFixture(settings, random.nextLong(), startTime);
      this.callsPerSecond = callsPerSecond;
      fixture.updateDirectory(
          true,
          inServiceExchange(1, 0),
          inServiceExchange(2, exchangeStartedAt),
          inServiceExchange(3, 0));
    }

    /** Offers the calls of one step, half of them to exchange 2 on average, and ends them. */
    void step() {
      int recordedBefore = fixture.actions.recorded.size();
      double expectedCalls = callsPerSecond * STEP_MILLIS / 1000;
      for (double remaining = expectedCalls; random.nextDouble() < remaining; remaining--) {
        fixture.offerCall("c" + nextCallNumber++, LOW_WORTH, random.nextBoolean() ? 2 : 1);
      }
      fixture.advanceClock(STEP_MILLIS);
      for (var action :
          List.copyOf(
              fixture.actions.recorded.subList(recordedBefore, fixture.actions.recorded.size()))) {
        if (action.type().equals("send")) {
          if (action.exchange().equals("x2")) {
            sendTimes.add(fixture.now);
          }
          fixture.establish(action.call(), 0, 40);
          fixture.endAttempt(
              action.call(),
              0,
              Integer.parseInt(action.exchange().substring(1)),
              Outcome.DONE,
              Reason.NONE);
        }
      }
    }
  }

  private static Settings settings(
      int controllerCount, double coldShare, double coldMultiple, double coldWindow) {
    Settings base = PolicyFixture.settings(Layout.MESH, 0);
    return new Settings(
        base.layout(),
        /* localExchange= */ 0,
        controllerCount,
        base.classes(),
        /* clockResolution= */ 5,
        /* maxAttempts= */ 4,
        /* mayCancel= */ true,
        /* mayProbe= */ false,
        /* mayBroadcast= */ false,
        /* maxRetryAfter= */ 0,
        /* directoryOnRequest= */ false,
        /* guardTime= */ 300,
        /* retransmitAfter= */ 800,
        coldShare,
        /* rampTime= */ 10_000,
        coldMultiple,
        coldWindow);
  }

  /** Creates the controllers: one in five has three times the mean call rate, the others half. */
  private List<Controller> createFleet() {
    List<Controller> fleet = new ArrayList<>();
    for (int i = 0; i < settings.controllerCount(); i++) {
      double rateFactor = i % 5 == 0 ? 3 : 0.5;
      fleet.add(new Controller(20_000, meanCallsPerSecond * rateFactor, 0));
    }
    return fleet;
  }

  /**
   * Returns the times of all set-ups to the cold processor during its ramp time.
   *
   * @param restartControllers whether 70 % of the controllers restart 3 s after the processor
   */
  private List<Double> sendTimesDuringRamp(boolean restartControllers) {
    List<Controller> fleet = createFleet();
    for (double time = 0; time < WARM_UP_MILLIS; time += STEP_MILLIS) {
      fleet.forEach(Controller::step);
    }
    double exchangeStartedAt = fleet.get(0).fixture.now;
    fleet.forEach(
        controller ->
            controller.fixture.updateDirectory(false, inServiceExchange(2, exchangeStartedAt)));
    List<Double> sendTimes = new ArrayList<>();
    for (double time = 0; time < settings.rampTime(); time += STEP_MILLIS) {
      if (restartControllers && time == 3_000) {
        for (int i = 0; i < fleet.size() * 7 / 10; i++) {
          sendTimes.addAll(fleet.get(i).sendTimes);
          fleet.set(
              i,
              new Controller(
                  exchangeStartedAt + time, fleet.get(i).callsPerSecond, exchangeStartedAt));
        }
      }
      fleet.forEach(Controller::step);
    }
    fleet.forEach(controller -> sendTimes.addAll(controller.sendTimes));
    sendTimes.removeIf(
        time -> time <= exchangeStartedAt || time >= exchangeStartedAt + settings.rampTime());
    return sendTimes;
  }

  @ParameterizedTest
  @CsvSource({
    "8, 2, 0.3, 3, 3000", "30, 2, 0.3, 3, 3000", "60, 2, 0.3, 3, 3000",
    "8, 1, 0.4, 2, 1000", "30, 1, 0.3, 2, 1000", "60, 0.7, 0.3, 2, 1000"
  })
  void allControllersTogetherStayWithinTheBudgetOfEachWindow(
      int controllerCount,
      double callsPerSecond,
      double coldShare,
      double coldMultiple,
      double coldWindow) {
    settings = settings(controllerCount, coldShare, coldMultiple, coldWindow);
    meanCallsPerSecond = callsPerSecond;
    // Warm capacity in set-ups per second: two set-ups per call, divided by the utilization.
    double budget =
        coldMultiple * coldShare * 2 * callsPerSecond / WARM_UTILIZATION * coldWindow / 1000;
    // Margin for chance: two standard deviations of a Poisson count, and two set-ups.
    double maxPerWindow = budget + 2 * Math.sqrt(budget) + 2;
    int totalSent = 0;
    for (int seed = 0; seed < 2 * SEEDS; seed++) {
      random = new SplittableRandom(seed);
      List<Double> sendTimes = sendTimesDuringRamp(seed % 2 == 1);
      for (double end : sendTimes) {
        long inWindow =
            sendTimes.stream().filter(sentAt -> sentAt > end - coldWindow && sentAt <= end).count();
        assertTrue(
            inWindow <= maxPerWindow,
            "seed " + seed + ": " + inWindow + " set-ups, at most " + maxPerWindow);
      }
      totalSent += sendTimes.size();
    }
    assertTrue(
        totalSent >= 2 * SEEDS * settings.rampTime() / coldWindow * budget / 4,
        "too few set-ups: " + totalSent);
  }
}
