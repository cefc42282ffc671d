package coveladder.core;

import coveladder.CallPolicy.Load;
import java.util.HashMap;
import java.util.Map;

/**
 * The latest load report of each exchange, used until its validity expires (RFC 7339 section 4.3).
 * A figure that was not reported or is no longer valid is NaN.
 */
public final class LoadReports {
  private final Map<String, Report> latest = new HashMap<>();

  /**
   * Load figures that an exchange reported.
   *
   * @param requestedReduction share of set-ups that senders are asked not to send; NaN if not
   *     reported
   * @param maxSetupRate set-ups per second that it can accept; NaN if not reported
   * @param utilization share of time that its processor is busy; NaN if not reported
   * @param queued messages that wait for its processor; NaN if not reported
   * @param sequence orders the reports of one exchange
   * @param validUntil clock at which the report expires, ms
   */
  public record Report(
      double requestedReduction,
      double maxSetupRate,
      double utilization,
      double queued,
      double sequence,
      double validUntil) {}

  /** Stores a report unless a newer one of the same exchange is present. */
  public void update(String exchange, Report report) {
    Report previous = latest.get(exchange);
    if (previous == null || report.sequence() >= previous.sequence()) {
      latest.put(exchange, report);
    }
  }

  /**
   * The load figures of an exchange known at a time.
   *
   * @param group the circuit group toward the exchange; null if none is known
   */
  public Load load(String exchange, CircuitGroups.Group group, double now) {
    Report report = latest.get(exchange);
    boolean valid = report != null && now < report.validUntil();
    return new Load(
        group == null ? Double.NaN : group.free(),
        group == null ? Double.NaN : group.size(),
        Double.NaN,
        valid ? report.queued() : Double.NaN,
        valid ? report.utilization() : Double.NaN,
        Double.NaN,
        valid ? report.maxSetupRate() : Double.NaN,
        valid ? report.requestedReduction() : Double.NaN);
  }
}
