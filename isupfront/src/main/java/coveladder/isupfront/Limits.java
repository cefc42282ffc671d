package coveladder.isupfront;

/**
 * Bounds that protect the process. None of them decides on a call that is within them.
 *
 * @param message most octets of a message or line
 * @param callerLinks most connections of callers
 * @param openCalls most calls without a final answer
 * @param standingCalls most calls that stand
 * @param silence a caller's connection on which nothing whole came for so long is closed, ms
 * @param unusable a caller's connection is closed after so many messages that cannot be used
 * @param switchLinks most connections to one switch
 * @param stuck a connection within a message for so long is of no further use, ms
 * @param unheard a switch that was not heard for so long and cannot be reached is gone, ms
 */
public record Limits(
    int message,
    int callerLinks,
    int openCalls,
    int standingCalls,
    double silence,
    int unusable,
    int switchLinks,
    double stuck,
    double unheard) {
  /** Descriptors kept for the process, the listening socket, the journal and accepting. */
  private static final int KEPT = 64;

  /** The platform wants what ended unseen released within 8 s of its end, ms. */
  private static final double UNHEARD = 7_000;

  /** Bounds within so many descriptors, for a list of so many switches. */
  public static Limits within(int descriptors, int switches) {
    int links = 3;
    int callers = Math.max(16, descriptors - KEPT - links * (switches + 4));
    return new Limits(16_384, callers, 3_000, 12_000, 2_000, 20, links, 300, UNHEARD);
  }
}
