package coveladder.core;

/**
 * Checks each set-up just before it is sent: its call must have neither a final answer nor another
 * attempt, the guard time must be over, and the exchange must be in service or within the grace
 * period of its drain. The policy observes these rules by itself; the guard protects against a
 * fault in the policy or in its driver. A suppressed set-up ends as skipped and is counted.
 */
public final class AttemptGuard {
  private final double guardTimeMillis;
  private final double drainGraceMillis;
  private long suppressed;

  /**
   * Creates a guard.
   *
   * @param guardTimeMillis minimum time between a time-out, reset or cancel and the call's next
   *     set-up, ms
   * @param drainGraceMillis time after the notice of a drain within which set-ups may still be
   *     sent, ms
   */
  public AttemptGuard(double guardTimeMillis, double drainGraceMillis) {
    this.guardTimeMillis = guardTimeMillis;
    this.drainGraceMillis = drainGraceMillis;
  }

  /**
   * Whether a set-up of the call may be sent now; counts it as suppressed if not.
   *
   * @param closedSince clock at which the next exchange was reported as closed, ms; infinite if it
   *     is in service
   */
  public boolean permits(TrackedCall call, double closedSince, double now) {
    boolean permitted =
        !call.isAnswered()
            && call.currentAttempt() == null
            && now - call.lastUncertainEnd() >= guardTimeMillis
            && withinDrainGrace(closedSince, now);
    suppressed += permitted ? 0 : 1;
    return permitted;
  }

  /**
   * Whether set-ups may still be sent to an exchange.
   *
   * @param closedSince clock at which it was reported as closed, ms; infinite if it is in service
   */
  public boolean withinDrainGrace(double closedSince, double now) {
    return now - closedSince <= drainGraceMillis;
  }

  /** Number of set-ups suppressed so far; each indicates a fault. */
  public long suppressed() {
    return suppressed;
  }
}
