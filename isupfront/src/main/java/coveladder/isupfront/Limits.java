package coveladder.isupfront;

/**
 * Bounds that protect the process. None of them decides on a call that is within them.
 *
 * @param maxMessageBytes most octets of a message or line
 * @param maxCallerConnections most connections of callers
 * @param maxPendingCalls most calls without a final answer
 * @param maxTrackedCalls most calls that stand
 * @param callerSilenceMillis a caller's connection on which nothing whole came for so long is
 *     closed, ms
 * @param maxUnusableMessages a caller's connection is closed after so many messages that cannot be
 *     used
 * @param maxConnectionsPerSwitch most connections to one switch
 * @param partialLineMillis a connection within a message for so long is of no further use, ms
 * @param switchSilenceMillis a switch that was not heard for so long and cannot be reached is gone,
 *     ms
 */
public record Limits(
    int maxMessageBytes,
    int maxCallerConnections,
    int maxPendingCalls,
    int maxTrackedCalls,
    double callerSilenceMillis,
    int maxUnusableMessages,
    int maxConnectionsPerSwitch,
    double partialLineMillis,
    double switchSilenceMillis) {
  /** Descriptors kept for the process, the listening socket, the journal and accepting. */
  private static final int KEPT = 64;

  /** The platform wants what ended unseen released within 8 s of its end, ms. */
  private static final double UNHEARD = 7_000;

  /** Bounds within so many descriptors, for a list of so many switches. */
  public static Limits forDescriptors(int descriptors, int switches) {
    int links = 3;
    int callers = Math.max(16, descriptors - KEPT - links * (switches + 4));
    return new Limits(16_384, callers, 3_000, 12_000, 2_000, 20, links, 300, UNHEARD);
  }
}
