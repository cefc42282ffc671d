package coveladder.net;

/**
 * Bounds of a node's sockets.
 *
 * @param headBytes most octets of a message's start line and header fields
 * @param bodyBytes most octets of a body
 * @param connections most stream connections
 * @param waitingBytes most octets that wait to be written to one peer; beyond, it is let go
 * @param connectWithin time for a connection to be made, ms
 * @param pingEvery time between keep-alive pings on own connections, ms
 */
public record SocketLimits(
    int headBytes,
    int bodyBytes,
    int connections,
    int waitingBytes,
    double connectWithin,
    double pingEvery) {
  /** Bounds that a large controller can live with. */
  public static final SocketLimits USUAL =
      new SocketLimits(16_384, 65_536, 20_000, 4 << 20, 500, 30_000);

  /** Checks the figures. */
  public SocketLimits {
    boolean usable = headBytes > 0 && bodyBytes > 0 && connections > 0 && waitingBytes > 0;
    if (!usable || !(connectWithin > 0) || !(pingEvery > 0)) {
      throw new IllegalArgumentException("socket bounds must be above nought");
    }
  }
}
