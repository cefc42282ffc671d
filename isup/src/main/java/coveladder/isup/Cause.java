package coveladder.isup;

/** Cause values of Q.850 that the platform's parties use. */
public final class Cause {
  /** Normal clearing: the call came to its end, or a set-up is given up. */
  public static final int NORMAL_CLEARING = 16;

  /** User busy: the exchange answers an error. */
  public static final int USER_BUSY = 17;

  /** No circuit available. */
  public static final int NO_CIRCUIT = 34;

  /** Temporary failure: a set-up broke on its way, or a call was cut. */
  public static final int TEMPORARY_FAILURE = 41;

  /** Switching equipment congestion. */
  public static final int CONGESTION = 42;

  /** Resource unavailable, unspecified: the exchange answers an error. */
  public static final int UNAVAILABLE = 47;

  /** Recovery on timer expiry: the set-up never left. */
  public static final int TIMER_EXPIRY = 102;

  /** Protocol error, unspecified. */
  public static final int PROTOCOL_ERROR = 111;

  private Cause() {}
}
