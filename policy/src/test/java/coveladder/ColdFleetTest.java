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
  private static final double WARM_UP = 10_500;
  private static final double STEP = 100;

  /** Share of a warm processor that its work takes up; the controllers are not told. */
  private static final double IN_USE = 0.8;

  private SplittableRandom random;
  private Settings settings;
  private double callsPerSecond;
  private int drawn;

  /** One controller, and what it has sent toward the cold processor, by clock. */
  private final class Controller {
    private final Bed bed;
    private final double rate;
    private final List<Double> sent = new ArrayList<>();

    Controller(double now, double rate, double coldSince) {
      this.bed = new Bed(settings, random.nextLong(), now);
      this.rate = rate;
      bed.list(true, Bed.entry(1, 0), Bed.entry(2, coldSince), Bed.entry(3, 0));
    }

    /** Calls come evenly drawn, half of them toward the cold processor. */
    void step() {
      int before = bed.asked.all.size();
      double expected = rate * STEP / 1000;
      for (double left = expected; random.nextDouble() < left; left--) {
        bed.call("c" + drawn++, Bed.CHEAP, random.nextBoolean() ? 2 : 1);
      }
      bed.pass(STEP);
      for (var action : List.copyOf(bed.asked.all.subList(before, bed.asked.all.size()))) {
        if (action.what().equals("send")) {
          if (action.exchange().equals("x2")) {
            sent.add(bed.now);
          }
          bed.stands(action.call(), 0, 40);
          bed.ended(
              action.call(),
              0,
              Integer.parseInt(action.exchange().substring(1)),
              Outcome.DONE,
              Reason.NONE);
        }
      }
    }
  }

  private static Settings settings(int controllers, double cold, double multiple, double window) {
    Settings one = Bed.settings(Layout.MESH, 0);
    return new Settings(
        one.layout(),
        0,
        controllers,
        one.classes(),
        5,
        4,
        true,
        false,
        false,
        0,
        false,
        300,
        800,
        cold,
        10_000,
        multiple,
        window);
  }

  /** Some controllers see several times the mean. */
  private List<Controller> fleet() {
    List<Controller> fleet = new ArrayList<>();
    for (int i = 0; i < settings.controllerCount(); i++) {
      double part = i % 5 == 0 ? 3 : 0.5;
      fleet.add(new Controller(20_000, callsPerSecond * part, 0));
    }
    return fleet;
  }

  private List<Double> sendsInRamp(boolean restarts) {
    List<Controller> fleet = fleet();
    for (double t = 0; t < WARM_UP; t += STEP) {
      fleet.forEach(Controller::step);
    }
    double start = fleet.get(0).bed.now;
    fleet.forEach(one -> one.bed.list(false, Bed.entry(2, start)));
    List<Double> sent = new ArrayList<>();
    for (double t = 0; t < settings.rampTime(); t += STEP) {
      if (restarts && t == 3_000) {
        for (int i = 0; i < fleet.size() * 7 / 10; i++) {
          sent.addAll(fleet.get(i).sent);
          fleet.set(i, new Controller(start + t, fleet.get(i).rate, start));
        }
      }
      fleet.forEach(Controller::step);
    }
    fleet.forEach(one -> sent.addAll(one.sent));
    sent.removeIf(t -> t <= start || t >= start + settings.rampTime());
    return sent;
  }

  @ParameterizedTest
  @CsvSource({
    "8, 2, 0.3, 3, 3000", "30, 2, 0.3, 3, 3000", "60, 2, 0.3, 3, 3000",
    "8, 1, 0.4, 2, 1000", "30, 1, 0.3, 2, 1000", "60, 0.7, 0.3, 2, 1000"
  })
  void allTogetherStayWithinTheBudgetOfEachWindow(
      int controllers, double rate, double cold, double multiple, double window) {
    settings = settings(controllers, cold, multiple, window);
    callsPerSecond = rate;
    double budget = multiple * cold * 2 * rate / IN_USE * window / 1000;
    double most = budget + 2 * Math.sqrt(budget) + 2;
    int all = 0;
    for (int seed = 0; seed < 2 * SEEDS; seed++) {
      random = new SplittableRandom(seed);
      List<Double> sent = sendsInRamp(seed % 2 == 1);
      for (double end : sent) {
        long inWindow = sent.stream().filter(t -> t > end - window && t <= end).count();
        assertTrue(
            inWindow <= most, "seed " + seed + ": " + inWindow + " set-ups, at most " + most);
      }
      all += sent.size();
    }
    assertTrue(all >= 2 * SEEDS * settings.rampTime() / window * budget / 4, "few in all: " + all);
  }
}
