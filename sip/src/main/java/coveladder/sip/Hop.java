package coveladder.sip;

/**
 * Where a message goes or came from.
 *
 * @param transport the transport
 * @param host a host name or address; IPv6 without brackets
 * @param port its port; for a stream that came in, the peer's own port, which names the connection
 */
public record Hop(Transport transport, String host, int port) {

  /** The same place by another transport, as for a request too large for a datagram. */
  public Hop withTransport(Transport other) {
    return new Hop(other, host, port);
  }

  @Override
  public String toString() {
    return transport + ":" + host + ":" + port;
  }
}
