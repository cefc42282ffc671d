package coveladder.net;

/**
 * Bounds of a node's sockets.
 *
 * @param maxHeadBytes most octets of a message's start line and header fields
 * @param maxBodyBytes most octets of a body
 * @param maxConnections most stream connections
 * @param maxQueuedBytes most octets that wait to be written to one peer; beyond, it is let go
 * @param connectTimeoutMillis time for a connection to be made, ms
 * @param pingIntervalMillis time between keep-alive pings on own connections, ms
 */
public record SocketLimits(
    int maxHeadBytes,
    int maxBodyBytes,
    int maxConnections,
    int maxQueuedBytes,
    double connectTimeoutMillis,
    double pingIntervalMillis) {
  /** Bounds that a large controller can live with. */
  public static final SocketLimits DEFAULTS =
      new SocketLimits(16_384, 65_536, 20_000, 4 << 20, 500, 30_000);

  /** Checks the figures. */
  public SocketLimits {
    boolean usable =
        maxHeadBytes > 0 && maxBodyBytes > 0 && maxConnections > 0 && maxQueuedBytes > 0;
    if (!usable || !(connectTimeoutMillis > 0) || !(pingIntervalMillis > 0)) {
      throw new IllegalArgumentException("socket bounds must be above nought");
    }
  }
}
