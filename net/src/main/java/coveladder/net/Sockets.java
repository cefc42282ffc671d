package coveladder.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
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
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** The Grizzly transports of a process; all nodes of the process share their selector threads. */
public final class Sockets implements AutoCloseable {
  private static final int MAX_DATAGRAM_BYTES = 65_536;

  /**
   * Maximum number of bytes read from a stream at a time. Connections are read in turn: what one
   * read brings is the work that a connection can cause before the others get theirs.
   */
  private static final int STREAM_READ_BYTES = 8_192;

  /** Maximum number of connections that wait to be accepted by the process. */
  private static final int ACCEPT_BACKLOG = 4_096;

  private final List<Thread> selectorThreads = new CopyOnWriteArrayList<>();
  private final TCPNIOTransport tcp;
  private final UDPNIOTransport udp;

  /**
   * Starts the TCP and UDP transports.
   *
   * @param selectorThreads number of selector threads of each transport
   */
  public Sockets(int selectorThreads) throws IOException {
    this(selectorThreads, true);
  }

  /**
   * Starts the TCP transport only; datagrams are neither sent nor received.
   *
   * @param selectorThreads number of selector threads
   */
  public static Sockets streamsOnly(int selectorThreads) throws IOException {
    return new Sockets(selectorThreads, false);
  }

  private Sockets(int selectorThreadCount, boolean datagrams) throws IOException {
    tcp =
        TCPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorThreadPoolConfig(selectorThreadPool("tcp", selectorThreadCount))
            .setReadBufferSize(STREAM_READ_BYTES)
            .setReuseAddress(true)
            .setTcpNoDelay(true)
            .setServerConnectionBackLog(ACCEPT_BACKLOG)
            .setSelectorRunnersCount(selectorThreadCount)
            .build();
    tcp.start();
    udp = datagrams ? startUdp(selectorThreadCount) : null;
  }

  /**
   * Returns the configuration of a pool whose threads are recorded. Its size is fixed: none of its
   * threads ends for want of work.
   */
  private ThreadPoolConfig selectorThreadPool(String protocol, int size) {
    ThreadFactory factory =
        task -> {
          String name = "selector-" + protocol + "-" + selectorThreads.size();
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          selectorThreads.add(thread);
          return thread;
        };
    return ThreadPoolConfig.defaultConfig()
        .copy()
        .setCorePoolSize(size)
        .setMaxPoolSize(size)
        .setThreadFactory(factory);
  }

  /** Returns the number of selector threads that were started. */
  int startedSelectorThreads() {
    return selectorThreads.size();
  }

  /** Returns whether all selector threads that were started run. */
  public boolean isAlive() {
    return selectorThreads.stream().allMatch(Thread::isAlive);
  }

  private UDPNIOTransport startUdp(int selectorThreadCount) throws IOException {
    UDPNIOTransport transport =
        UDPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorThreadPoolConfig(selectorThreadPool("udp", selectorThreadCount))
            .setReadBufferSize(MAX_DATAGRAM_BYTES)
            .setSelectorRunnersCount(selectorThreadCount)
            .build();
    transport.start();
    return transport;
  }

  static FilterChain chain(org.glassfish.grizzly.filterchain.Filter last) {
    return FilterChainBuilder.stateless().add(new TransportFilter()).add(last).build();
  }

  /** Returns the bytes that were read and releases their buffer. */
  static byte[] consume(FilterChainContext context) {
    Buffer buffer = context.getMessage();
    byte[] octets = new byte[buffer.remaining()];
    buffer.get(octets);
    buffer.tryDispose();
    return octets;
  }

  Connection<SocketAddress> listen(FilterChain chain, InetSocketAddress address)
      throws IOException {
    return TCPNIOBindingHandler.builder(tcp).processor(chain).build().bind(address, ACCEPT_BACKLOG);
  }

  Connection<SocketAddress> bind(FilterChain chain, InetSocketAddress address) throws IOException {
    return UDPNIOBindingHandler.builder(udp).processor(chain).build().bind(address);
  }

  /**
   * Starts to connect; cancelling the result closes the socket, so that it never comes up. The
   * selector thread may read from the connection before this method returns: it is prepared before
   * the attempt begins, and reported as completed before anything is read from it.
   *
   * @param preparation called with the connection before the attempt begins
   * @param completion called with the result on a selector thread, or on this one if the attempt
   *     fails at once
   */
  @SuppressWarnings("rawtypes")
  Future<Connection> connect(
      FilterChain chain,
      InetSocketAddress to,
      Consumer<Connection> preparation,
      CompletionHandler<Connection> completion) {
    Connector connector = new Connector(tcp, preparation);
    connector.setProcessor(chain);
    return connector.start(to, completion);
  }

  /** Starts one attempt to connect. */
  @SuppressWarnings("rawtypes")
  private static final class Connector extends TCPNIOConnectorHandler {
    private final Consumer<Connection> preparation;

    Connector(TCPNIOTransport transport, Consumer<Connection> preparation) {
      super(transport);
      this.preparation = preparation;
    }

    @Override
    protected void preConfigure(Connection connection) {
      super.preConfigure(connection);
      preparation.accept(connection);
    }

    Future<Connection> start(InetSocketAddress to, CompletionHandler<Connection> completion) {
      return connectAsync(to, null, completion, /* needFuture= */ true);
    }
  }

  /** Returns the transport of the streams, for tests that force an order of events. */
  TCPNIOTransport streamTransport() {
    return tcp;
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
