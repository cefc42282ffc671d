package coveladder.serve;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Socket addresses without name look-ups, which would hold the event loop for seconds. */
final class NumericAddress {
  private static final Pattern IPV4 =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");

  private static final String LOOPBACK_NAME = "localhost";
  private static final String LOOPBACK_ADDRESS = "127.0.0.1";

  private NumericAddress() {}

  /**
   * Returns the address of a host and port.
   *
   * @param host an IP address, or the name of the loopback interface
   * @return the address; unresolved if the host is neither
   */
  static InetSocketAddress of(String host, int port) {
    if (host.equals(LOOPBACK_NAME)) {
      return new InetSocketAddress(LOOPBACK_ADDRESS, port);
    }
    boolean numeric = IPV4.matcher(host).matches() || host.indexOf(':') >= 0;
    return numeric
        ? new InetSocketAddress(host, port)
        : InetSocketAddress.createUnresolved(host, port);
  }
}
