package coveladder.sip;

/**
 * The timer values of RFC 3261 section 17.1.1.1, in milliseconds.
 *
 * @param t1 estimate of a round trip; first gap between repeats
 * @param t2 longest gap between repeats
 * @param t4 longest time that a message stays in the network
 */
public record Timing(double t1, double t2, double t4) {
  /** The values of the RFC. */
  public static final Timing STANDARD = new Timing(500, 4000, 5000);

  /** Checks the figures. */
  public Timing {
    if (!(t1 > 0 && t2 >= t1 && t4 > 0)) {
      throw new IllegalArgumentException("unusable timers t1=" + t1 + " t2=" + t2 + " t4=" + t4);
    }
  }

  /** 64*T1: timers B, D, F, H, J, L and M. */
  public double transactionTimeout() {
    return 64 * t1;
  }
}
