package coveladder.rehearsal;

import coveladder.sip.Transport;
import coveladder.standin.PlannedCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/** Draws the calls of a day: Poisson arrivals, uneven destinations, classes by share, surges. */
public final class LoadGenerator {
  private final FleetConfig plan;
  private final SplittableRandom random;
  private final List<Surge> surges = new ArrayList<>();
  private final double[][] pull;

  /**
   * A time of more calls than usual.
   *
   * @param fromMillis its begin, ms
   * @param toMillis its end, ms
   * @param rateMultiple how many times the usual
   * @param originExchange the exchange whose callers call more; -1: all
   * @param congestedNumber number that they all call at exchange 0; null: as usual
   */
  public record Surge(
      double fromMillis,
      double toMillis,
      double rateMultiple,
      int originExchange,
      String congestedNumber) {}

  /** Makes a source of calls. */
  public LoadGenerator(FleetConfig plan, long seed) {
    this.plan = plan;
    this.random = new SplittableRandom(seed);
    this.pull = new double[plan.exchangeCount()][plan.exchangeCount()];
    for (double[] row : pull) {
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

  /** Draws the calls from the beginning to a clock time, in their order. */
  public List<PlannedCall> generateUntil(double end) {
    List<PlannedCall> calls = new ArrayList<>();
    double most = surges.stream().mapToDouble(Surge::rateMultiple).max().orElse(1);
    double rate = plan.exchangeCount() * plan.callsPerSecond() * Math.max(1, most) / 1000;
    double at = 500;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / rate;
      if (at >= end) {
        return calls;
      }
      int from = random.nextInt(plan.exchangeCount());
      double times = times(at, from);
      if (random.nextDouble() < times / Math.max(1, most)) {
        calls.add(call(calls.size(), at, from));
      }
    }
  }

  private double times(double at, int from) {
    double times = 1;
    for (Surge surge : surges) {
      boolean now = at >= surge.fromMillis() && at < surge.toMillis();
      if (now && (surge.originExchange() < 0 || surge.originExchange() == from)) {
        times = Math.max(times, surge.rateMultiple());
      }
    }
    return times;
  }

  private PlannedCall call(int index, double at, int from) {
    FleetConfig.CallClassConfig kind = kind();
    String crowd = crowd(at);
    boolean joins = crowd != null && from != 0 && random.nextDouble() < 0.4;
    int to = joins ? 0 : destination(from);
    String number =
        joins ? crowd : "555" + String.format(Locale.ROOT, "%04d", random.nextInt(9000) + 1000);
    String session = String.format(Locale.ROOT, "%016x%08x", random.nextLong(), index);
    return new PlannedCall(
        at,
        session,
        from,
        Fleet.domain(to),
        number,
        kind.priority(),
        random.nextBoolean() ? Transport.UDP : Transport.TCP,
        kind.patienceMillis(),
        hold(kind),
        2);
  }

  /** Exponential, cut off so that every day comes to its end. */
  private double hold(FleetConfig.CallClassConfig kind) {
    double drawn = -Math.log(1 - random.nextDouble()) * kind.holdMillis();
    return Math.max(50, Math.min(drawn, 2.5 * kind.holdMillis()));
  }

  private String crowd(double at) {
    for (Surge surge : surges) {
      if (surge.congestedNumber() != null && at >= surge.fromMillis() && at < surge.toMillis()) {
        return surge.congestedNumber();
      }
    }
    return null;
  }

  private FleetConfig.CallClassConfig kind() {
    double draw = random.nextDouble();
    for (FleetConfig.CallClassConfig kind : plan.callClasses()) {
      draw -= kind.trafficShare();
      if (draw < 0) {
        return kind;
      }
    }
    return plan.callClasses().get(0);
  }

  private int destination(int from) {
    double sum = 0;
    for (int i = 0; i < pull.length; i++) {
      sum += i == from ? 0 : pull[from][i];
    }
    double draw = random.nextDouble() * sum;
    int last = from;
    for (int i = 0; i < pull.length; i++) {
      if (i != from) {
        last = i;
        draw -= pull[from][i];
        if (draw < 0) {
          return i;
        }
      }
    }
    return last;
  }
}
