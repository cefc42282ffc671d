package coveladder.rehearsal;

import coveladder.sip.Transport;
import coveladder.standin.PlannedCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/** Draws the calls of a day: Poisson arrivals, uneven destinations, classes by share, surges. */
public final class Load {
  private final FleetPlan plan;
  private final SplittableRandom random;
  private final List<Surge> surges = new ArrayList<>();
  private final double[][] pull;

  /**
   * A time of more calls than usual.
   *
   * @param from its begin, ms
   * @param to its end, ms
   * @param times how many times the usual
   * @param only the exchange whose callers call more; -1: all
   * @param number number that they all call at exchange 0; null: as usual
   */
  public record Surge(double from, double to, double times, int only, String number) {}

  /** Makes a source of calls. */
  public Load(FleetPlan plan, long seed) {
    this.plan = plan;
    this.random = new SplittableRandom(seed);
    this.pull = new double[plan.exchanges()][plan.exchanges()];
    for (double[] row : pull) {
      for (int i = 0; i < row.length; i++) {
        row[i] = 0.6 + 0.8 * random.nextDouble();
      }
    }
  }

  /** Adds a surge. */
  public Load surge(Surge surge) {
    surges.add(surge);
    return this;
  }

  /** Draws the calls from the beginning to a clock time, in their order. */
  public List<PlannedCall> until(double end) {
    List<PlannedCall> calls = new ArrayList<>();
    double most = surges.stream().mapToDouble(Surge::times).max().orElse(1);
    double rate = plan.exchanges() * plan.rate() * Math.max(1, most) / 1000;
    double at = 500;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / rate;
      if (at >= end) {
        return calls;
      }
      int from = random.nextInt(plan.exchanges());
      double times = times(at, from);
      if (random.nextDouble() < times / Math.max(1, most)) {
        calls.add(call(calls.size(), at, from));
      }
    }
  }

  private double times(double at, int from) {
    double times = 1;
    for (Surge surge : surges) {
      boolean now = at >= surge.from() && at < surge.to();
      if (now && (surge.only() < 0 || surge.only() == from)) {
        times = Math.max(times, surge.times());
      }
    }
    return times;
  }

  private PlannedCall call(int index, double at, int from) {
    FleetPlan.Kind kind = kind();
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
        kind.patience(),
        hold(kind),
        2);
  }

  /** Exponential, cut off so that every day comes to its end. */
  private double hold(FleetPlan.Kind kind) {
    double drawn = -Math.log(1 - random.nextDouble()) * kind.hold();
    return Math.max(50, Math.min(drawn, 2.5 * kind.hold()));
  }

  private String crowd(double at) {
    for (Surge surge : surges) {
      if (surge.number() != null && at >= surge.from() && at < surge.to()) {
        return surge.number();
      }
    }
    return null;
  }

  private FleetPlan.Kind kind() {
    double draw = random.nextDouble();
    for (FleetPlan.Kind kind : plan.kinds()) {
      draw -= kind.share();
      if (draw < 0) {
        return kind;
      }
    }
    return plan.kinds().get(0);
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
