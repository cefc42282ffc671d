package coveladder.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.nio.transport.UDPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** The Grizzly transports of a process; all its nodes share their selector threads. */
public final class Sockets implements AutoCloseable {
  private static final int DATAGRAM = 65_536;
  private static final int BACKLOG = 4_096;

  private final TCPNIOTransport tcp;
  private final UDPNIOTransport udp;

  /** Starts the transports with so many selector threads each. */
  public Sockets(int selectors) throws IOException {
    this(selectors, true);
  }

  /** Starts a transport for streams alone; no datagrams are sent or taken. */
  public static Sockets streamsOnly(int selectors) throws IOException {
    return new Sockets(selectors, false);
  }

  private Sockets(int selectors, boolean datagrams) throws IOException {
    tcp =
        TCPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setReuseAddress(true)
            .setTcpNoDelay(true)
            .setServerConnectionBackLog(BACKLOG)
            .setSelectorRunnersCount(selectors)
            .build();
    tcp.start();
    udp = datagrams ? datagrams(selectors) : null;
  }

  private static UDPNIOTransport datagrams(int selectors) throws IOException {
    UDPNIOTransport made =
        UDPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setReadBufferSize(DATAGRAM)
            .setSelectorRunnersCount(selectors)
            .build();
    made.start();
    return made;
  }

  static FilterChain chain(org.glassfish.grizzly.filterchain.Filter last) {
    return FilterChainBuilder.stateless().add(new TransportFilter()).add(last).build();
  }

  /** What was read; its buffer is given back. */
  static byte[] octets(FilterChainContext context) {
    Buffer buffer = context.getMessage();
    byte[] octets = new byte[buffer.remaining()];
    buffer.get(octets);
    buffer.tryDispose();
    return octets;
  }

  Connection<SocketAddress> listen(FilterChain chain, InetSocketAddress address)
      throws IOException {
    return TCPNIOBindingHandler.builder(tcp).processor(chain).build().bind(address, BACKLOG);
  }

  Connection<SocketAddress> bind(FilterChain chain, InetSocketAddress address) throws IOException {
    return UDPNIOBindingHandler.builder(udp).processor(chain).build().bind(address);
  }

  @SuppressWarnings("rawtypes")
  void connect(FilterChain chain, InetSocketAddress to, CompletionHandler<Connection> done) {
    TCPNIOConnectorHandler.builder(tcp).processor(chain).build().connect(to, null, done);
  }

  @Override
  public void close() {
    try {
      tcp.shutdownNow();
      if (udp != null) {
        udp.shutdownNow();
      }
    } catch (IOException e) {
      throw new IllegalStateException("transports did not stop: " + e.getMessage(), e);
    }
  }
}
