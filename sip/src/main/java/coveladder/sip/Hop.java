package coveladder.sip;

/**
 * The destination or source of a message.
 *
 * @param transport the transport
 * @param host the host name or address; IPv6 without brackets
 * @param port the port; for an incoming stream connection, the peer's source port, which identifies
 *     the connection
 */
public record Hop(Transport transport, String host, int port) {

  /**
   * Returns the same host and port with another transport, for example for a request that is too
   * large for a datagram.
   */
  public Hop withTransport(Transport newTransport) {
    return new Hop(newTransport, host, port);
  }

  @Override
  public String toString() {
    return transport + ":" + host + ":" + port;
  }
}
