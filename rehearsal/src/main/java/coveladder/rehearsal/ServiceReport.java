package coveladder.rehearsal;

import coveladder.standin.StandinCallers.CallResult;
import java.util.List;
import java.util.Locale;

/**
 * The service by call class: the worth earned by calls that were established and not disconnected,
 * divided by the worth of all calls.
 */
public final class ServiceReport {
  private final FleetConfig config;
  private final List<CallResult> callResults;

  /** Creates a report. */
  public ServiceReport(FleetConfig config, List<CallResult> callResults) {
    this.config = config;
    this.callResults = callResults;
  }

  /** Earned share of the worth of all calls of all classes; NaN without calls. */
  public double service() {
    double offered = 0;
    double served = 0;
    for (FleetConfig.CallClassConfig callClass : config.callClasses()) {
      List<CallResult> results = resultsOf(callClass);
      offered += callClass.worth() * results.size();
      served +=
          callClass.worth()
              * results.stream().mapToDouble(result -> earnedShare(callClass, result)).sum();
    }
    return served / offered;
  }

  /** Earned share of the worth of a class's calls; calls established late earn less. */
  public double service(FleetConfig.CallClassConfig callClass) {
    List<CallResult> results = resultsOf(callClass);
    return results.stream().mapToDouble(result -> earnedShare(callClass, result)).sum()
        / results.size();
  }

  private List<CallResult> resultsOf(FleetConfig.CallClassConfig callClass) {
    return callResults.stream()
        .filter(result -> result.plannedCall().priority().equals(callClass.priority()))
        .toList();
  }

  private static double earnedShare(FleetConfig.CallClassConfig callClass, CallResult result) {
    if (result.establishedAfterMillis() < 0 || result.disconnected()) {
      return 0;
    }
    return result.establishedAfterMillis() <= callClass.aimMillis() ? 1 : callClass.lateWorth();
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    String header = "class             calls  in time    late     cut  not set up  service%n";
    out.append(String.format(Locale.ROOT, header));
    for (FleetConfig.CallClassConfig callClass : config.callClasses()) {
      List<CallResult> results = resultsOf(callClass);
      long established =
          results.stream()
              .filter(result -> result.establishedAfterMillis() >= 0 && !result.disconnected())
              .count();
      long inTime = results.stream().filter(result -> earnedShare(callClass, result) == 1).count();
      long disconnected = results.stream().filter(CallResult::disconnected).count();
      out.append(
          String.format(
              Locale.ROOT,
              "%-15s %7d  %7d %7d %7d  %10d   %.3f%n",
              callClass.name(),
              results.size(),
              inTime,
              established - inTime,
              disconnected,
              results.size() - established - disconnected,
              service(callClass)));
    }
    return out.append(String.format(Locale.ROOT, "all by worth   %47s %.3f%n", "", service()))
        .toString();
  }
}
