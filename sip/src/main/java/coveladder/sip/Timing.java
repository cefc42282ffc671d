package coveladder.sip;

/**
 * The timer values of RFC 3261 section 17.1.1.1, in milliseconds.
 *
 * @param t1 estimate of the round-trip time; first retransmission interval, ms
 * @param t2 maximum retransmission interval, ms
 * @param t4 maximum time that a message stays in the network, ms
 */
public record Timing(double t1, double t2, double t4) {
  /** The default values of the RFC. */
  public static final Timing STANDARD = new Timing(500, 4000, 5000);

  /** Checks the values. */
  public Timing {
    if (!(t1 > 0 && t2 >= t1 && t4 > 0)) {
      throw new IllegalArgumentException(
          "invalid timer values t1=" + t1 + " t2=" + t2 + " t4=" + t4);
    }
  }

  /** 64*T1, the duration of timers B, D, F, H, J, L and M, in milliseconds. */
  public double transactionTimeout() {
    return 64 * t1;
  }
}
