package coveladder.net;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.SipParseException;
import coveladder.sip.StreamFramer;
import coveladder.sip.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Runs one SIP element on sockets: UDP and TCP on the same port. TCP connections are reused, and
 * re-established when needed. The element runs on the event loop thread.
 */
public final class SocketNode implements SipHost, AutoCloseable {
  /** Maximum number of attempts to find a port that is free for both TCP and UDP. */
  private static final int MAX_BIND_ATTEMPTS = 50;

  /** Maximum number of messages that wait for the element to be started. */
  private static final int MAX_EARLY_MESSAGES = 1_000;

  /** Keep-alive ping and pong (RFC 5626 section 3.5.1). */
  private static final byte[] PING = {'\r', '\n', '\r', '\n'};

  private static final byte[] PONG = {'\r', '\n'};

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketLimits limits;
  private final SplittableRandom random;
  private final Streams streams;
  private final FilterChain datagramChain = Sockets.chain(new DatagramFilter());
  private final Map<Hop, Stream> streamsByHop = new HashMap<>();

  /** Messages that were read before the element was started. */
  private final ArrayDeque<Runnable> earlyMessages = new ArrayDeque<>();

  private final String host;
  private int port;
  private Connection<SocketAddress> datagramConnection;
  private volatile SipNode node;
  private long overflowDisconnects;
  private long discardedMessages;

  /**
   * Binds a node.
   *
   * @param port the port for UDP and TCP; 0 selects one that is free for both
   * @param seed seed of the random numbers given to the element
   */
  public SocketNode(
      Sockets sockets, EventLoop loop, SocketLimits limits, String host, int port, long seed)
      throws IOException {
    this.sockets = sockets;
    this.loop = loop;
    this.limits = limits;
    this.host = host;
    this.port = port;
    this.random = new SplittableRandom(seed);
    this.streams =
        new Streams(
            sockets,
            loop,
            new Streams.Limits(
                limits.maxConnections(),
                limits.maxConnections(),
                limits.maxQueuedBytes(),
                limits.connectTimeoutMillis()),
            new StreamListener());
    bind();
  }

  private void bind() throws IOException {
    IOException lastError = null;
    for (int i = 0; i < MAX_BIND_ATTEMPTS && datagramConnection == null; i++) {
      try {
        int boundPort = streams.listen(new InetSocketAddress(host, port));
        datagramConnection = sockets.bind(datagramChain, new InetSocketAddress(host, boundPort));
        port = boundPort;
      } catch (IOException e) {
        lastError = e;
        streams.stopListening();
        if (port != 0) {
          break;
        }
      }
    }
    if (datagramConnection == null) {
      throw new IOException(
          "cannot bind " + host + ":" + port + ": " + lastError.getMessage(), lastError);
    }
  }

  /** Attaches the element to the sockets and starts it, on the event loop thread. */
  public void start(SipNode element) {
    loop.offer(
        () -> {
          node = element;
          element.start();
          earlyMessages.forEach(Runnable::run);
          earlyMessages.clear();
          loop.after(limits.pingIntervalMillis(), this::pingAll);
        });
  }

  /** Returns the port bound for UDP and TCP. */
  public int port() {
    return port;
  }

  /** Returns how often a peer was disconnected because too many bytes were queued for it. */
  public long overflowDisconnects() {
    return overflowDisconnects;
  }

  /** Returns how many messages were discarded as too many came before the element was started. */
  public long discardedMessages() {
    return discardedMessages;
  }

  /** Returns the number of stream connections, including those being established. */
  public int connectionCount() {
    return streamsByHop.size();
  }

  // ---- SipHost ------------------------------------------------------------------------------

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Timer schedule(double delayMillis, Runnable task) {
    return loop.after(delayMillis, task)::cancel;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public Hop localHop(Transport transport) {
    return new Hop(transport, host, port);
  }

  @Override
  public void send(Hop to, byte[] message) {
    if (to.transport() == Transport.TCP) {
      sendStream(to, message);
    } else if (datagramConnection != null) {
      sendDatagram(to, message);
    }
  }

  private void sendDatagram(Hop to, byte[] message) {
    InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
    if (!address.isUnresolved()) {
      Buffer buffer = Buffers.wrap(datagramConnection.getMemoryManager(), message);
      datagramConnection.write(address, buffer, null);
    }
  }

  private void sendStream(Hop to, byte[] message) {
    Stream stream = streamsByHop.get(to);
    if (stream == null) {
      stream = connect(to);
    }
    if (stream != null && !stream.send(message)) {
      overflowDisconnects++;
      resetAndNotify(stream);
    }
  }

  /**
   * Starts to connect.
   *
   * @return null if the node is unbound, has too many connections or cannot resolve the host; the
   *     element is then notified of a refused connection
   */
  private Stream connect(Hop to) {
    InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
    if (datagramConnection == null
        || streamsByHop.size() >= limits.maxConnections()
        || address.isUnresolved()) {
      loop.after(0, () -> notifyFailed(to, Failure.REFUSED));
      return null;
    }
    Stream stream = streams.connect(address, new StreamState(to));
    streamsByHop.put(to, stream);
    return stream;
  }

  private static Hop hop(Stream stream) {
    return ((StreamState) stream.attachment()).hop;
  }

  private void resetAndNotify(Stream stream) {
    streams.reset(stream);
    lost(stream, Failure.RESET);
  }

  private void lost(Stream stream, Failure failure) {
    if (streamsByHop.remove(hop(stream), stream)) {
      notifyFailed(hop(stream), failure);
    }
  }

  private void notifyFailed(Hop hop, Failure failure) {
    if (node != null) {
      node.connectionFailed(hop, failure);
    }
  }

  /** Pings outbound connections and resets those that left the last ping unanswered (RFC 5626). */
  private void pingAll() {
    for (Stream stream : streams.all()) {
      StreamState state = (StreamState) stream.attachment();
      if (stream.outbound() && stream.isOpen() && state.awaitingPong) {
        resetAndNotify(stream);
      } else if (stream.outbound() && stream.isOpen()) {
        state.awaitingPong = stream.send(PING);
      }
    }
    loop.after(limits.pingIntervalMillis(), this::pingAll);
  }

  // ---- Fault injection for rehearsals -------------------------------------------------------

  /** Resets all stream connections, on the event loop thread. */
  public void resetConnections() {
    streams.all().forEach(this::resetAndNotify);
  }

  /** Unbinds the node from the network or binds it to its port again, on the event loop thread. */
  public void setReachable(boolean reachable) throws IOException {
    if (!reachable) {
      streams.stopListening();
      if (datagramConnection != null) {
        datagramConnection.terminateSilently();
        datagramConnection = null;
      }
      resetConnections();
    } else if (datagramConnection == null) {
      bind();
    }
  }

  @Override
  public void close() {
    streams.stopListening();
    if (datagramConnection != null) {
      datagramConnection.terminateSilently();
    }
  }

  // ---- Filters, on the selector threads -----------------------------------------------------

  private static Hop hop(Transport transport, Object address) {
    InetSocketAddress socketAddress = (InetSocketAddress) address;
    return new Hop(transport, socketAddress.getAddress().getHostAddress(), socketAddress.getPort());
  }

  private boolean deliver(Hop from, byte[] message, double arrivedMillis) {
    return loop.offer(() -> deliverOnceStarted(() -> node.receive(from, message, arrivedMillis)));
  }

  /** Delivers a message now, or when the element is started: the ports are open before. */
  private void deliverOnceStarted(Runnable delivery) {
    if (node != null) {
      delivery.run();
    } else if (earlyMessages.size() < MAX_EARLY_MESSAGES) {
      earlyMessages.add(delivery);
    } else {
      discardedMessages++;
    }
  }

  /** Delivers each datagram as one message. */
  private final class DatagramFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext context) {
      Hop from = hop(Transport.UDP, context.getAddress());
      deliver(from, Sockets.consume(context), loop.now());
      return context.getStopAction();
    }
  }

  /** State attached to a stream: its hop, its framer and whether a ping is outstanding. */
  private final class StreamState {
    final Hop hop;
    final StreamFramer framer = new StreamFramer(limits.maxHeadBytes(), limits.maxBodyBytes());
    volatile boolean awaitingPong;

    StreamState(Hop hop) {
      this.hop = hop;
    }
  }

  /** Splits streams into messages and tracks connections that are accepted or lost. */
  private final class StreamListener implements Streams.Listener {
    @Override
    public void accepted(Stream stream) {
      if (datagramConnection == null) {
        streams.reset(stream);
        return;
      }
      streamsByHop.put(hop(stream), stream);
    }

    @Override
    public void lost(Stream stream, Streams.Loss loss) {
      boolean closed = loss == Streams.Loss.CLOSED;
      SocketNode.this.lost(stream, closed ? Failure.RESET : Failure.REFUSED);
    }

    @Override
    public void accepting(Stream stream) {
      stream.attachment(new StreamState(SocketNode.hop(Transport.TCP, stream.remote())));
    }

    @Override
    public void read(Stream stream, byte[] octets, double arrivedMillis) {
      StreamState state = (StreamState) stream.attachment();
      // Input as short as a ping or pong counts as the answer to an outstanding ping.
      if (octets.length <= PING.length) {
        state.awaitingPong = false;
      }
      try {
        state.framer.feed(
            octets,
            0,
            octets.length,
            message -> {
              if (!deliver(state.hop, message, arrivedMillis)) {
                stream.close();
              }
            },
            () -> loop.offer(() -> stream.send(PONG)));
      } catch (SipParseException e) {
        stream.close();
      }
    }
  }
}
