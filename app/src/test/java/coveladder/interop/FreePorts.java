package coveladder.interop;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports for elements that listen on UDP and TCP at the same port. */
final class FreePorts {
  private static final int MAX_ATTEMPTS = 50;

  private FreePorts() {}

  /** Returns a port that is free for both UDP and TCP on the loopback interface. */
  static int next() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try (ServerSocket tcp = new ServerSocket(0, 1, loopback);
          DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), loopback)) {
        return udp.getLocalPort();
      } catch (BindException e) {
        // Taken for UDP: try another one.
      }
    }
    throw new IOException("no port is free for both UDP and TCP");
  }
}
