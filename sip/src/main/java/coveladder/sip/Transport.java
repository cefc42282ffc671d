package coveladder.sip;

import java.util.Locale;

/** A transport protocol (RFC 3261 section 18). */
public enum Transport {
  /** Datagrams of one message each; neither order nor delivery is guaranteed. */
  UDP,
  /** Ordered streams, in which messages are framed by Content-Length. */
  TCP;

  /** Whether messages are neither lost nor reordered, so that none need be retransmitted. */
  public boolean isReliable() {
    return this == TCP;
  }

  /**
   * Returns the transport of that name, in upper or lower case, as in Via and URIs; null if
   * unknown.
   */
  public static Transport fromName(String name) {
    for (Transport transport : values()) {
      if (transport.name().equals(name.toUpperCase(Locale.ROOT))) {
        return transport;
      }
    }
    return null;
  }
}
