package coveladder.sip;

import java.util.Locale;

/** A transport of RFC 3261 section 18. */
public enum Transport {
  /** Datagrams: no order, no delivery assured, one message each. */
  UDP,
  /** Streams: ordered, framed by Content-Length. */
  TCP;

  /** Whether messages are neither lost nor reordered, so that no request is repeated. */
  public boolean isReliable() {
    return this == TCP;
  }

  /** Reads the name as Via and URIs write it, in any case; null where it is none of ours. */
  public static Transport fromName(String text) {
    for (Transport transport : values()) {
      if (transport.name().equals(text.toUpperCase(Locale.ROOT))) {
        return transport;
      }
    }
    return null;
  }
}
