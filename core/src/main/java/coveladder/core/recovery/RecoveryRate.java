package coveladder.core.recovery;

/**
 * How fast recovery may send. It begins at its budget; while the own processor is cold it gets the
 * share of the budget that such a processor can do, and each time that processor turns something
 * away it halves, down to a tenth, and grows back. So a region that comes back together neither
 * pushes over what has just started nor takes the processors from new calls.
 */
public final class RecoveryRate {
  private static final double LEAST = 0.1;
  private static final double REGROWTH = 10_000;

  private final Budget budget;
  private final double coldFrom;
  private final double coldRamp;
  private double allowed = 1;
  private double changedAt;

  /**
   * How much recovery may send.
   *
   * @param callsPerSecond calls a second that are called off, answered again or asked after
   * @param verifyDelayMillis time until the first is asked after, ms: peers come back too
   */
  public record Budget(double callsPerSecond, double verifyDelayMillis) {
    /** Checks the figures. */
    public Budget {
      if (!(callsPerSecond > 0) || !(verifyDelayMillis >= 0)) {
        throw new IllegalArgumentException(
            "unusable recovery budget "
                + callsPerSecond
                + " a second after "
                + verifyDelayMillis
                + " ms");
      }
    }
  }

  /**
   * Makes a pace.
   *
   * @param coldFrom share of its work that a processor can do right after its start
   * @param coldRamp time until it can do all of it, ms
   */
  public RecoveryRate(Budget budget, double coldFrom, double coldRamp) {
    this.budget = budget;
    this.coldFrom = coldFrom;
    this.coldRamp = coldRamp;
  }

  /** Time until the first standing call is asked after, ms. */
  double firstAfter() {
    return budget.verifyDelayMillis();
  }

  /** The own processor turned something away. */
  public void rejectedByProcessor(double now) {
    allowed = Math.max(LEAST, allowed(now) / 2);
    changedAt = now;
  }

  private double allowed(double now) {
    return Math.min(1, allowed + (now - changedAt) / REGROWTH);
  }

  /**
   * Time from one call to the next, ms.
   *
   * @param started when the own processor started, clock ms; 0 where it has been warm for long
   */
  double gap(double now, double started) {
    return 1000 / (budget.callsPerSecond() * allowed(now) * warmth(now, started));
  }

  private double warmth(double now, double started) {
    if (started <= 0 || coldRamp <= 0 || now - started >= coldRamp) {
      return 1;
    }
    return coldFrom + (1 - coldFrom) * Math.max(0, now - started) / coldRamp;
  }
}
