package coveladder.core;

/**
 * The last look at a set-up before it leaves: whether it would break a rule whatever asked for it.
 * The module keeps the rules by itself; this guards against a fault in it or in the driver. A
 * set-up held back here ends as skipped, and is counted.
 */
public final class AttemptGuard {
  private final double guard;
  private final double grace;
  private long suppressed;

  /**
   * Makes the guard.
   *
   * @param guard wait after a time-out, reset or cancel before the call is sent again, ms
   * @param grace time after word of a drain within which sends must cease, ms
   */
  public AttemptGuard(double guard, double grace) {
    this.guard = guard;
    this.grace = grace;
  }

  /** Whether the set-up may leave now. */
  public boolean permits(TrackedCall call, double closedSince, double now) {
    boolean permitted =
        !call.isAnswered()
            && call.current() == null
            && now - call.lastUnsure() >= guard
            && withinDrainGrace(closedSince, now);
    suppressed += permitted ? 0 : 1;
    return permitted;
  }

  /** Whether something new may still go to an exchange that was told as closed then, if ever. */
  public boolean withinDrainGrace(double closedSince, double now) {
    return now - closedSince <= grace;
  }

  /** Set-ups held back so far; any is a fault. */
  public long suppressed() {
    return suppressed;
  }
}
