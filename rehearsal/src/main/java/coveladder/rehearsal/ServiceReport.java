package coveladder.rehearsal;

import coveladder.standin.StandinCallers.CallResult;
import java.util.List;
import java.util.Locale;

/** Service by class: the worth of calls that stood in time and were not cut, over that offered. */
public final class ServiceReport {
  private final FleetConfig plan;
  private final List<CallResult> fates;

  /** Makes a report. */
  public ServiceReport(FleetConfig plan, List<CallResult> fates) {
    this.plan = plan;
    this.fates = fates;
  }

  /** Share of the worth offered that was served, all classes together; NaN without calls. */
  public double service() {
    double offered = 0;
    double served = 0;
    for (FleetConfig.CallClassConfig kind : plan.callClasses()) {
      List<CallResult> own = of(kind);
      offered += kind.worth() * own.size();
      served += kind.worth() * own.stream().mapToDouble(fate -> earned(kind, fate)).sum();
    }
    return served / offered;
  }

  /** Share of a class's calls, late ones by what they still earn. */
  public double service(FleetConfig.CallClassConfig kind) {
    List<CallResult> own = of(kind);
    return own.stream().mapToDouble(fate -> earned(kind, fate)).sum() / own.size();
  }

  private List<CallResult> of(FleetConfig.CallClassConfig kind) {
    return fates.stream().filter(f -> f.plannedCall().priority().equals(kind.priority())).toList();
  }

  private static double earned(FleetConfig.CallClassConfig kind, CallResult fate) {
    if (fate.establishedAfterMillis() < 0 || fate.disconnected()) {
      return 0;
    }
    return fate.establishedAfterMillis() <= kind.aimMillis() ? 1 : kind.lateWorth();
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    String head = "class             calls  in time    late     cut  not set up  service%n";
    out.append(String.format(Locale.ROOT, head));
    for (FleetConfig.CallClassConfig kind : plan.callClasses()) {
      List<CallResult> own = of(kind);
      long stood =
          own.stream().filter(f -> f.establishedAfterMillis() >= 0 && !f.disconnected()).count();
      long inTime = own.stream().filter(f -> earned(kind, f) == 1).count();
      long cut = own.stream().filter(CallResult::disconnected).count();
      out.append(
          String.format(
              Locale.ROOT,
              "%-15s %7d  %7d %7d %7d  %10d   %.3f%n",
              kind.name(),
              own.size(),
              inTime,
              stood - inTime,
              cut,
              own.size() - stood - cut,
              service(kind)));
    }
    return out.append(String.format(Locale.ROOT, "all by worth   %47s %.3f%n", "", service()))
        .toString();
  }
}
