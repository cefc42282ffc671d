package coveladder.net;

/**
 * Limits of a node's sockets.
 *
 * @param maxHeadBytes maximum size of a message's start line and header fields, bytes
 * @param maxBodyBytes maximum size of a message body, bytes
 * @param maxConnections maximum number of stream connections
 * @param maxQueuedBytes maximum number of unsent bytes for one peer; above it, the peer is
 *     disconnected
 * @param connectTimeoutMillis time allowed to establish a connection, ms
 * @param pingIntervalMillis time between keep-alive pings on outbound connections, ms
 */
public record SocketLimits(
    int maxHeadBytes,
    int maxBodyBytes,
    int maxConnections,
    int maxQueuedBytes,
    double connectTimeoutMillis,
    double pingIntervalMillis) {
  /** Default limits, sufficient for a large controller. */
  public static final SocketLimits DEFAULTS =
      new SocketLimits(16_384, 65_536, 20_000, 4 << 20, 500, 30_000);

  /** Checks that all limits are above zero. */
  public SocketLimits {
    boolean usable =
        maxHeadBytes > 0 && maxBodyBytes > 0 && maxConnections > 0 && maxQueuedBytes > 0;
    if (!usable || !(connectTimeoutMillis > 0) || !(pingIntervalMillis > 0)) {
      throw new IllegalArgumentException("socket limits must be above zero");
    }
  }
}
