package coveladder.core;

import coveladder.CallPolicy.Load;
import java.util.HashMap;
import java.util.Map;

/**
 * The latest load figures of each exchange, each for as long as its report holds good (RFC 7339
 * section 4.3). Whatever is not told, or no longer holds, is NaN.
 */
public final class LoadReports {
  private final Map<String, Report> held = new HashMap<>();

  /**
   * Figures that an exchange reported.
   *
   * @param requestedReduction share of set-ups that senders should hold back; NaN if not told
   * @param maxSetupRate set-ups a second that it can take; NaN if not told
   * @param utilization busy share of its processor; NaN if not told
   * @param queued messages waiting there; NaN if not told
   * @param sequence order among reports of one exchange
   * @param validUntil clock until which it holds, ms
   */
  public record Report(
      double requestedReduction,
      double maxSetupRate,
      double utilization,
      double queued,
      double sequence,
      double validUntil) {}

  /** Takes a report in unless a newer one is held. */
  public void update(String exchange, Report report) {
    Report before = held.get(exchange);
    if (before == null || report.sequence() >= before.sequence()) {
      held.put(exchange, report);
    }
  }

  /** All that is known of the way to an exchange now. */
  public Load load(String exchange, CircuitGroups.Group group, double now) {
    Report report = held.get(exchange);
    boolean good = report != null && now < report.validUntil();
    return new Load(
        group == null ? Double.NaN : group.free(),
        group == null ? Double.NaN : group.size(),
        Double.NaN,
        good ? report.queued() : Double.NaN,
        good ? report.utilization() : Double.NaN,
        Double.NaN,
        good ? report.maxSetupRate() : Double.NaN,
        good ? report.requestedReduction() : Double.NaN);
  }
}
