package coveladder.isupfront;

/**
 * Judges from what a switch sends and how it treats new connections whether it can be reached. All
 * times are clock values in ms.
 */
final class SwitchReachability {
  /**
   * Minimum silence of a switch in use before a new connection is opened to check that it is
   * reachable; the spread adds up to a third. With little traffic a healthy switch is silent for
   * seconds, and all controllers check it: with a shorter time, checks made up half of its
   * connections.
   */
  private static final double SILENCE_CHECK_MILLIS = 3_500;

  /**
   * Time over which a switch in service must refuse connections to be considered down. Usually the
   * exchange directory reports the end earlier; callers must be told within 8 s of it.
   */
  private static final double REFUSING_LIMIT_MILLIS = 6_000;

  /**
   * The same limit for a draining switch, which refuses connections while its established calls
   * continue until it stops. Callers must be told within 8 s of the end of such a call as well.
   */
  private static final double DRAINING_REFUSING_LIMIT_MILLIS = 7_500;

  private final double silenceLimitMillis;
  private final double silenceCheckMillis;

  /**
   * Clock at which the switch last sent octets or accepted a connection; at first, that at which
   * this object was created.
   */
  private double lastHeardAt;

  /** Clock of the first refused connection since one was last established; NaN if there is none. */
  private double refusingSince = Double.NaN;

  /**
   * Creates the record of a switch that counts as heard now.
   *
   * @param silenceLimitMillis time without any sign of the switch after which it cannot be reached
   * @param spread number from 0 to 1 that spreads the checks of all controllers over time
   */
  SwitchReachability(double now, double silenceLimitMillis, double spread) {
    this.lastHeardAt = now;
    this.silenceLimitMillis = silenceLimitMillis;
    this.silenceCheckMillis = SILENCE_CHECK_MILLIS * (1 + spread / 3);
  }

  /** Records that the switch sent octets or accepted a connection. */
  void heard(double receivedAt) {
    lastHeardAt = Math.max(lastHeardAt, receivedAt);
  }

  /** Records that a connection was established. */
  void connected(double now) {
    refusingSince = Double.NaN;
    heard(now);
  }

  /** Records that a connection was refused. */
  void refused(double now) {
    if (Double.isNaN(refusingSince)) {
      refusingSince = now;
    }
  }

  /** Whether the switch has been silent for so long that a new connection should check it. */
  boolean needsCheck(double now) {
    return now - lastHeardAt > silenceCheckMillis;
  }

  /** Whether the switch has refused all connections, or given no sign at all, for too long. */
  boolean isLost(double now, boolean draining) {
    if (Double.isNaN(refusingSince)) {
      return now - lastHeardAt > silenceLimitMillis;
    }
    double limitMillis = draining ? DRAINING_REFUSING_LIMIT_MILLIS : REFUSING_LIMIT_MILLIS;
    return now - refusingSince > limitMillis;
  }
}
