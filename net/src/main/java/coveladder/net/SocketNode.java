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
 * One SIP element on sockets: UDP and TCP on the same port, connections that are used again and
 * made anew, all in the thread of its event loop.
 */
public final class SocketNode implements SipHost, AutoCloseable {
  private static final int BIND_TRIES = 50;
  private static final byte[] PING = {'\r', '\n', '\r', '\n'};
  private static final byte[] PONG = {'\r', '\n'};

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketLimits limits;
  private final SplittableRandom random;
  private final Streams streams;
  private final FilterChain datagrams = Sockets.chain(new DatagramFilter());
  private final Map<Hop, Stream> peers = new HashMap<>();
  private final String host;
  private int port;
  private Connection<SocketAddress> bound;
  private volatile SipNode node;
  private long overflowDisconnects;

  /**
   * Binds a node.
   *
   * @param port the port for UDP and TCP; 0 for any that is free for both
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
            new StreamUser());
    bind();
  }

  private void bind() throws IOException {
    IOException last = null;
    for (int i = 0; i < BIND_TRIES && bound == null; i++) {
      try {
        int chosen = streams.listen(new InetSocketAddress(host, port));
        bound = sockets.bind(datagrams, new InetSocketAddress(host, chosen));
        port = chosen;
      } catch (IOException e) {
        last = e;
        streams.stopListening();
        if (port != 0) {
          break;
        }
      }
    }
    if (bound == null) {
      throw new IOException("cannot bind " + host + ":" + port + ": " + last.getMessage(), last);
    }
  }

  /** Puts the element on its sockets and begins, on the loop's thread. */
  public void start(SipNode element) {
    loop.offer(
        () -> {
          node = element;
          element.start();
          loop.after(limits.pingIntervalMillis(), this::pingAll);
        });
  }

  /** The port. */
  public int port() {
    return port;
  }

  /** Peers let go as too much waited for them. */
  public long overflowDisconnects() {
    return overflowDisconnects;
  }

  /** Stream connections held. */
  public int connectionCount() {
    return peers.size();
  }

  // ---- As a host ----------------------------------------------------------------------------

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Timer after(double delay, Runnable task) {
    return loop.after(delay, task)::cancel;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public Hop local(Transport transport) {
    return new Hop(transport, host, port);
  }

  @Override
  public void send(Hop to, byte[] message) {
    if (to.transport() == Transport.TCP) {
      sendStream(to, message);
    } else if (bound != null) {
      sendDatagram(to, message);
    }
  }

  private void sendDatagram(Hop to, byte[] message) {
    InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
    if (!address.isUnresolved()) {
      Buffer buffer = Buffers.wrap(bound.getMemoryManager(), message);
      bound.write(address, buffer, null);
    }
  }

  private void sendStream(Hop to, byte[] message) {
    Stream peer = peers.get(to);
    if (peer == null) {
      peer = connect(to);
    }
    if (peer != null && !peer.send(message)) {
      overflowDisconnects++;
      abort(peer);
    }
  }

  /** Begins to connect; null where there is no room for one more connection. */
  private Stream connect(Hop to) {
    InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
    if (bound == null || peers.size() >= limits.maxConnections() || address.isUnresolved()) {
      loop.after(0, () -> tellFailed(to, Failure.REFUSED));
      return null;
    }
    Stream peer = streams.connect(address);
    peer.attachment(new Framing(to));
    peers.put(to, peer);
    return peer;
  }

  private static Hop hop(Stream peer) {
    return ((Framing) peer.attachment()).hop;
  }

  private void abort(Stream peer) {
    streams.reset(peer);
    lost(peer, Failure.RESET);
  }

  private void lost(Stream peer, Failure failure) {
    if (peers.remove(hop(peer), peer)) {
      tellFailed(hop(peer), failure);
    }
  }

  private void tellFailed(Hop hop, Failure failure) {
    if (node != null) {
      node.failed(hop, failure);
    }
  }

  /** Keeps own connections alive and finds those whose other end is gone (RFC 5626). */
  private void pingAll() {
    for (Stream peer : streams.all()) {
      Framing framing = (Framing) peer.attachment();
      if (peer.outbound() && peer.open() && framing.pinged) {
        abort(peer);
      } else if (peer.outbound() && peer.open()) {
        framing.pinged = peer.send(PING);
      }
    }
    loop.after(limits.pingIntervalMillis(), this::pingAll);
  }

  // ---- Faults for rehearsals ----------------------------------------------------------------

  /** Resets all stream connections. On the loop's thread. */
  public void resetConnections() {
    streams.all().forEach(this::abort);
  }

  /** Takes the node off the network, or binds it again to its port. On the loop's thread. */
  public void setReachable(boolean on) throws IOException {
    if (!on) {
      streams.stopListening();
      if (bound != null) {
        bound.terminateSilently();
        bound = null;
      }
      resetConnections();
    } else if (bound == null) {
      bind();
    }
  }

  @Override
  public void close() {
    streams.stopListening();
    if (bound != null) {
      bound.terminateSilently();
    }
  }

  // ---- Filters, in the selectors' threads ---------------------------------------------------

  private static Hop hop(Transport transport, Object address) {
    InetSocketAddress socket = (InetSocketAddress) address;
    return new Hop(transport, socket.getAddress().getHostAddress(), socket.getPort());
  }

  private boolean deliver(Hop from, byte[] message, double arrived) {
    return loop.offer(
        () -> {
          if (node != null) {
            node.receive(from, message, arrived);
          }
        });
  }

  /** One datagram, one message. */
  private final class DatagramFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext context) {
      Hop from = hop(Transport.UDP, context.getAddress());
      deliver(from, Sockets.octets(context), loop.now());
      return context.getStopAction();
    }
  }

  /** What is kept with a stream: its hop, its framer, and whether a ping is out on it. */
  private final class Framing {
    final Hop hop;
    final StreamFramer framer = new StreamFramer(limits.maxHeadBytes(), limits.maxBodyBytes());
    boolean pinged;

    Framing(Hop hop) {
      this.hop = hop;
    }
  }

  /** Cuts streams into messages and tells of connections that come and go. */
  private final class StreamUser implements Streams.Listener {
    @Override
    public void accepted(Stream stream) {
      if (bound == null) {
        streams.reset(stream);
        return;
      }
      peers.put(hop(stream), stream);
    }

    @Override
    public void lost(Stream stream, Streams.Loss loss) {
      boolean broke = loss == Streams.Loss.CLOSED;
      SocketNode.this.lost(stream, broke ? Failure.RESET : Failure.REFUSED);
    }

    @Override
    public void accepting(Stream stream) {
      stream.attachment(new Framing(SocketNode.hop(Transport.TCP, stream.remote())));
    }

    @Override
    public void read(Stream stream, byte[] octets, double arrived) {
      Framing framing = (Framing) stream.attachment();
      if (octets.length <= PING.length) {
        loop.offer(() -> framing.pinged = false);
      }
      try {
        framing.framer.feed(
            octets,
            0,
            octets.length,
            message -> {
              if (!deliver(framing.hop, message, arrived)) {
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
