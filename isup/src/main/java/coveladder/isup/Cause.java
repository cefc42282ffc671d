package coveladder.isup;

/** Cause values of ITU-T Q.850 that callers, controllers and switches use. */
public final class Cause {
  /** Normal clearing: the call ended normally, or its set-up was abandoned. */
  public static final int NORMAL_CLEARING = 16;

  /** User busy: the exchange answered with an error. */
  public static final int USER_BUSY = 17;

  /** No circuit available. */
  public static final int NO_CIRCUIT = 34;

  /** Temporary failure: a set-up failed on the way, or a call was disconnected. */
  public static final int TEMPORARY_FAILURE = 41;

  /** Switching equipment congestion. */
  public static final int CONGESTION = 42;

  /** Resource unavailable, unspecified: the exchange answered with an error. */
  public static final int UNAVAILABLE = 47;

  /** Recovery on timer expiry: the set-up was never sent. */
  public static final int TIMER_EXPIRY = 102;

  /** Protocol error, unspecified. */
  public static final int PROTOCOL_ERROR = 111;

  private Cause() {}
}
