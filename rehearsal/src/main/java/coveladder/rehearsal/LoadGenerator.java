package coveladder.rehearsal;

import coveladder.sip.Transport;
import coveladder.standin.PlannedCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Generates the calls of a scenario: Poisson arrivals, unevenly distributed destinations, call
 * classes by their traffic share, and surges.
 */
public final class LoadGenerator {
  private final FleetConfig config;
  private final SplittableRandom random;
  private final List<Surge> surges = new ArrayList<>();
  private final double[][] trafficWeights;

  /**
   * A period with more calls than usual.
   *
   * @param fromMillis start of the period, ms
   * @param toMillis end of the period, ms
   * @param rateMultiple multiple of the usual call rate
   * @param originExchange exchange whose callers call more often; -1: all
   * @param congestedNumber number at exchange 0 that 40% of the calls from other exchanges are made
   *     to; null: none
   */
  public record Surge(
      double fromMillis,
      double toMillis,
      double rateMultiple,
      int originExchange,
      String congestedNumber) {}

  /** Creates a generator; the same seed gives the same calls. */
  public LoadGenerator(FleetConfig config, long seed) {
    this.config = config;
    this.random = new SplittableRandom(seed);
    this.trafficWeights = new double[config.exchangeCount()][config.exchangeCount()];
    for (double[] row : trafficWeights) {
      for (int i = 0; i < row.length; i++) {
        row[i] = 0.6 + 0.8 * random.nextDouble();
      }
    }
  }

  /** Adds a surge. */
  public LoadGenerator addSurge(Surge surge) {
    surges.add(surge);
    return this;
  }

  /** Generates the calls from 500 ms after the start to a clock time, ordered by time. */
  public List<PlannedCall> generateUntil(double endMillis) {
    List<PlannedCall> calls = new ArrayList<>();
    double maxMultiple = surges.stream().mapToDouble(Surge::rateMultiple).max().orElse(1);
    double callsPerMilli =
        config.exchangeCount() * config.callsPerSecond() * Math.max(1, maxMultiple) / 1000;
    double time = 500;
    while (true) {
      time += -Math.log(1 - random.nextDouble()) / callsPerMilli;
      if (time >= endMillis) {
        return calls;
      }
      int origin = random.nextInt(config.exchangeCount());
      double multiple = rateMultiple(time, origin);
      if (random.nextDouble() < multiple / Math.max(1, maxMultiple)) {
        calls.add(drawCall(calls.size(), time, origin));
      }
    }
  }

  private double rateMultiple(double time, int origin) {
    double multiple = 1;
    for (Surge surge : surges) {
      boolean active = time >= surge.fromMillis() && time < surge.toMillis();
      if (active && (surge.originExchange() < 0 || surge.originExchange() == origin)) {
        multiple = Math.max(multiple, surge.rateMultiple());
      }
    }
    return multiple;
  }

  private PlannedCall drawCall(int index, double time, int origin) {
    FleetConfig.CallClassConfig callClass = drawCallClass();
    String congestedNumber = congestedNumber(time);
    boolean callsCongestedNumber =
        congestedNumber != null && origin != 0 && random.nextDouble() < 0.4;
    int destination = callsCongestedNumber ? 0 : drawDestination(origin);
    String number =
        callsCongestedNumber
            ? congestedNumber
            : "555" + String.format(Locale.ROOT, "%04d", random.nextInt(9000) + 1000);
    String sessionId = String.format(Locale.ROOT, "%016x%08x", random.nextLong(), index);
    return new PlannedCall(
        time,
        sessionId,
        origin,
        Fleet.domain(destination),
        number,
        callClass.priority(),
        random.nextBoolean() ? Transport.UDP : Transport.TCP,
        callClass.patienceMillis(),
        drawHold(callClass),
        /* maxRedials= */ 2);
  }

  /**
   * Exponential holding time, at least 50 ms; at most 2.5 times its mean, so that every scenario
   * ends.
   */
  private double drawHold(FleetConfig.CallClassConfig callClass) {
    double drawn = -Math.log(1 - random.nextDouble()) * callClass.holdMillis();
    return Math.max(50, Math.min(drawn, 2.5 * callClass.holdMillis()));
  }

  private String congestedNumber(double time) {
    for (Surge surge : surges) {
      if (surge.congestedNumber() != null
          && time >= surge.fromMillis()
          && time < surge.toMillis()) {
        return surge.congestedNumber();
      }
    }
    return null;
  }

  private FleetConfig.CallClassConfig drawCallClass() {
    double draw = random.nextDouble();
    for (FleetConfig.CallClassConfig callClass : config.callClasses()) {
      draw -= callClass.trafficShare();
      if (draw < 0) {
        return callClass;
      }
    }
    return config.callClasses().get(0);
  }

  private int drawDestination(int origin) {
    double sum = 0;
    for (int i = 0; i < trafficWeights.length; i++) {
      sum += i == origin ? 0 : trafficWeights[origin][i];
    }
    double draw = random.nextDouble() * sum;
    int last = origin;
    for (int i = 0; i < trafficWeights.length; i++) {
      if (i != origin) {
        last = i;
        draw -= trafficWeights[origin][i];
        if (draw < 0) {
          return i;
        }
      }
    }
    return last;
  }
}
