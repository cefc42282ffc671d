package coveladder.isupfront;

/**
 * Resource limits that protect the process. They do not affect calls within them.
 *
 * @param maxMessageBytes maximum length of a message or line, octets
 * @param maxCallerConnections maximum number of caller connections
 * @param maxPendingCalls maximum number of calls without a final answer
 * @param maxPendingOctets maximum memory of their set-ups, octets; see {@link SetUp#memoryOctets}
 * @param maxTrackedCalls number of pending and established calls at which no further call is
 *     resumed
 * @param callerSilenceMillis time after which a caller connection without pending calls is closed,
 *     ms: since an incomplete message began, or without a complete message if the connection never
 *     brought a test or an established call
 * @param maxUnusableMessages number of set-ups that are unusable or have the id of another call,
 *     after which a caller connection is closed
 * @param maxConnectionsPerSwitch maximum number of connections to one switch
 * @param maxSwitchConnections number of connections to all switches together from which each has
 *     fewer; it has at least one
 * @param partialLineMillis time without progress within a line after which a switch connection is
 *     reset, ms
 * @param switchSilenceMillis time without any sign of a switch after which it is declared gone, ms
 */
public record Limits(
    int maxMessageBytes,
    int maxCallerConnections,
    int maxPendingCalls,
    int maxPendingOctets,
    int maxTrackedCalls,
    double callerSilenceMillis,
    int maxUnusableMessages,
    int maxConnectionsPerSwitch,
    int maxSwitchConnections,
    double partialLineMillis,
    double switchSilenceMillis) {
  /**
   * Descriptors reserved for the process, the listening socket, the journal connection and
   * connections being accepted.
   */
  private static final int RESERVED_DESCRIPTORS = 64;

  /** Descriptors of the process that are no connections: files, selector, listening socket. */
  public static final int PROCESS_DESCRIPTORS = 32;

  /** A seventh of the heap of the run line; 2 KiB for each call at the maximum number of calls. */
  private static final int MAX_PENDING_OCTETS = 6 << 20;

  /**
   * Silence after which a switch is declared gone. The platform requires that calls which ended
   * unnoticed are released within 8 s of their end.
   */
  private static final double SWITCH_SILENCE_MILLIS = 7_000;

  /**
   * Creates limits that fit a number of file descriptors. Descriptors for the connections to four
   * further switches are left free, but at least 16 caller connections are allowed.
   *
   * @param descriptors maximum number of file descriptors of the process
   * @param switches number of switches in the exchange directory
   */
  public static Limits forDescriptors(int descriptors, int switches) {
    int connectionsPerSwitch = 3;
    int callerConnections =
        Math.max(16, descriptors - RESERVED_DESCRIPTORS - connectionsPerSwitch * (switches + 4));
    return new Limits(
        16_384,
        callerConnections,
        3_000,
        MAX_PENDING_OCTETS,
        12_000,
        2_000,
        20,
        connectionsPerSwitch,
        descriptors - RESERVED_DESCRIPTORS - callerConnections,
        300,
        SWITCH_SILENCE_MILLIS);
  }
}
