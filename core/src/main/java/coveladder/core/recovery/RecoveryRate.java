package coveladder.core.recovery;

/**
 * The rate at which recovery may send. It starts at its budget. While the local processor is cold,
 * that is, has started recently and lacks its full capacity, recovery gets only the share of the
 * budget that matches the processor's capacity. Each time that processor rejects something, the
 * rate is halved, down to a tenth of the budget, and then grows back. A region whose exchanges all
 * restart together thus neither overloads processors that have just started nor takes their
 * capacity from new calls.
 */
public final class RecoveryRate {
  /** Share of the budget below which the rate is not reduced by rejections. */
  private static final double MIN_BUDGET_SHARE = 0.1;

  /** Time in which the rate would grow from zero to its whole budget, ms. */
  private static final double FULL_REGROWTH_MILLIS = 10_000;

  private final Budget budget;
  private final double coldShare;
  private final double rampTimeMillis;

  /** Share of the budget that was available at {@code changedAt}; it grows back from then on. */
  private double budgetShare = 1;

  /** Clock of the last rejection, ms; 0 before the first. */
  private double changedAt;

  /**
   * The limits of recovery traffic.
   *
   * @param callsPerSecond calls per second that are cancelled, answered again or verified
   * @param verifyDelayMillis time from the start until the first call is verified, ms: peers may be
   *     restarting, too
   */
  public record Budget(double callsPerSecond, double verifyDelayMillis) {
    /** Checks that the values are in range. */
    public Budget {
      if (!(callsPerSecond > 0) || !(verifyDelayMillis >= 0)) {
        throw new IllegalArgumentException(
            "unusable recovery budget "
                + callsPerSecond
                + " calls per second after "
                + verifyDelayMillis
                + " ms");
      }
    }
  }

  /**
   * Creates a rate.
   *
   * @param coldShare share of its capacity at which a processor starts
   * @param rampTimeMillis time from its start until a processor has its full capacity, ms
   */
  public RecoveryRate(Budget budget, double coldShare, double rampTimeMillis) {
    this.budget = budget;
    this.coldShare = coldShare;
    this.rampTimeMillis = rampTimeMillis;
  }

  /** Time until the first established call is verified, ms. */
  double verifyDelayMillis() {
    return budget.verifyDelayMillis();
  }

  /** The local processor rejected something: halves the rate. */
  public void rejectedByProcessor(double now) {
    budgetShare = Math.max(MIN_BUDGET_SHARE, budgetShare(now) / 2);
    changedAt = now;
  }

  private double budgetShare(double now) {
    return Math.min(1, budgetShare + (now - changedAt) / FULL_REGROWTH_MILLIS);
  }

  /**
   * The interval between two calls, ms.
   *
   * @param startedAt clock at which the local processor started, ms; 0: long ago
   */
  double intervalMillis(double now, double startedAt) {
    return 1000 / (budget.callsPerSecond() * budgetShare(now) * capacityShare(now, startedAt));
  }

  private double capacityShare(double now, double startedAt) {
    if (startedAt <= 0 || rampTimeMillis <= 0 || now - startedAt >= rampTimeMillis) {
      return 1;
    }
    return coldShare + (1 - coldShare) * Math.max(0, now - startedAt) / rampTimeMillis;
  }
}
