package coveladder;

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
 * A cold processor bears what the settings allow it in their window, and chance beside, from all
 * controllers together, each of which knows its own calls alone.
 */
class ColdFleetTest {
  private static final int SEEDS = 5;
  private static final double WARM_UP_MILLIS = 10_500;
  private static final double STEP_MILLIS = 100;

  /** Share of a warm processor that its work takes up; the controllers are not told. */
  private static final double WARM_UTILIZATION = 0.8;

  private SplittableRandom random;
  private Settings settings;
  private double meanCallsPerSecond;
  private int nextCallNumber;

  /** One controller, and what it has sent toward the cold processor, by clock. */
  private final class Controller {
    private final PolicyFixture fixture;
    private final double callsPerSecond;
    private final List<Double> sendTimes = new ArrayList<>();

    Controller(double now, double callsPerSecond, double startedAt) {
      this.fixture = new PolicyFixture(settings, random.nextLong(), now);
      this.callsPerSecond = callsPerSecond;
      fixture.updateDirectory(
          true,
          PolicyFixture.inServiceExchange(1, 0),
          PolicyFixture.inServiceExchange(2, startedAt),
          PolicyFixture.inServiceExchange(3, 0));
    }

    /** Calls come evenly drawn, half of them toward the cold processor. */
    void step() {
      int recordedBefore = fixture.actions.recorded.size();
      double expectedCalls = callsPerSecond * STEP_MILLIS / 1000;
      for (double remaining = expectedCalls; random.nextDouble() < remaining; remaining--) {
        fixture.offerCall(
            "c" + nextCallNumber++, PolicyFixture.LOW_WORTH, random.nextBoolean() ? 2 : 1);
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
        0,
        controllerCount,
        base.classes(),
        5,
        4,
        true,
        false,
        false,
        0,
        false,
        300,
        800,
        coldShare,
        10_000,
        coldMultiple,
        coldWindow);
  }

  /** Some controllers see several times the mean. */
  private List<Controller> createFleet() {
    List<Controller> fleet = new ArrayList<>();
    for (int i = 0; i < settings.controllerCount(); i++) {
      double shareOfMean = i % 5 == 0 ? 3 : 0.5;
      fleet.add(new Controller(20_000, meanCallsPerSecond * shareOfMean, 0));
    }
    return fleet;
  }

  private List<Double> sendTimesDuringRamp(boolean restartControllers) {
    List<Controller> fleet = createFleet();
    for (double time = 0; time < WARM_UP_MILLIS; time += STEP_MILLIS) {
      fleet.forEach(Controller::step);
    }
    double startedAt = fleet.get(0).fixture.now;
    fleet.forEach(
        controller ->
            controller.fixture.updateDirectory(
                false, PolicyFixture.inServiceExchange(2, startedAt)));
    List<Double> sendTimes = new ArrayList<>();
    for (double time = 0; time < settings.rampTime(); time += STEP_MILLIS) {
      if (restartControllers && time == 3_000) {
        for (int i = 0; i < fleet.size() * 7 / 10; i++) {
          sendTimes.addAll(fleet.get(i).sendTimes);
          fleet.set(i, new Controller(startedAt + time, fleet.get(i).callsPerSecond, startedAt));
        }
      }
      fleet.forEach(Controller::step);
    }
    fleet.forEach(controller -> sendTimes.addAll(controller.sendTimes));
    sendTimes.removeIf(time -> time <= startedAt || time >= startedAt + settings.rampTime());
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
    double budget =
        coldMultiple * coldShare * 2 * callsPerSecond / WARM_UTILIZATION * coldWindow / 1000;
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
        "few in all: " + totalSent);
  }
}
