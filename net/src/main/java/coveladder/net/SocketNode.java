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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
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
  private static final Attribute<StreamFramer> FRAMER =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("coveladder.framer");

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketLimits limits;
  private final SplittableRandom random;
  private final FilterChain streams = Sockets.chain(new StreamFilter());
  private final FilterChain datagrams = Sockets.chain(new DatagramFilter());
  private final Map<Hop, Peer> peers = new HashMap<>();
  private final Map<Connection<SocketAddress>, Peer> byConnection = new IdentityHashMap<>();
  private final String host;
  private int port;
  private Connection<SocketAddress> listening;
  private Connection<SocketAddress> bound;
  private volatile SipNode node;
  private long letGo;

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
    bind();
  }

  private void bind() throws IOException {
    IOException last = null;
    for (int i = 0; i < BIND_TRIES && bound == null; i++) {
      try {
        listening = sockets.listen(streams, new InetSocketAddress(host, port));
        int chosen = ((InetSocketAddress) listening.getLocalAddress()).getPort();
        bound = sockets.bind(datagrams, new InetSocketAddress(host, chosen));
        port = chosen;
      } catch (IOException e) {
        last = e;
        closeListening();
        if (port != 0) {
          break;
        }
      }
    }
    if (bound == null) {
      throw new IOException("cannot bind " + host + ":" + port + ": " + last.getMessage(), last);
    }
  }

  private void closeListening() {
    if (listening != null) {
      listening.terminateSilently();
      listening = null;
    }
  }

  /** Puts the element on its sockets and begins, on the loop's thread. */
  public void start(SipNode element) {
    loop.offer(
        () -> {
          node = element;
          element.start();
          loop.after(limits.pingEvery(), this::pingAll);
        });
  }

  /** The port. */
  public int port() {
    return port;
  }

  /** Peers let go as too much waited for them. */
  public long letGo() {
    return letGo;
  }

  /** Stream connections held. */
  public int connections() {
    return peers.size();
  }

  // ---- As a host ----------------------------------------------------------------------------

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Timer after(double delay, Runnable task) {
    return loop.after(delay, task);
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
    Peer peer = peers.get(to);
    if (peer == null) {
      peer = connect(to);
    }
    if (peer != null && !peer.send(message)) {
      letGo++;
      peer.abort();
      lost(peer, Failure.RESET);
    }
  }

  /** Begins to connect; null where there is no room for one more connection. */
  private Peer connect(Hop to) {
    InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
    if (bound == null || peers.size() >= limits.connections() || address.isUnresolved()) {
      loop.after(0, () -> tellFailed(to, Failure.REFUSED));
      return null;
    }
    Peer peer = new Peer(to, true, limits.waitingBytes());
    peers.put(to, peer);
    loop.after(limits.connectWithin(), () -> notConnected(peer));
    sockets.connect(streams, address, new Connecting(peer));
    return peer;
  }

  /** Hears of a connection being made, in a selector's thread. */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private final class Connecting extends EmptyCompletionHandler<Connection> {
    private final Peer peer;

    Connecting(Peer peer) {
      this.peer = peer;
    }

    @Override
    public void completed(Connection made) {
      if (!loop.offer(() -> connected(peer, made))) {
        made.terminateSilently();
      }
    }

    @Override
    public void failed(Throwable cause) {
      loop.offer(() -> notConnected(peer));
    }
  }

  private void connected(Peer peer, Connection<SocketAddress> made) {
    if (peers.get(peer.hop()) != peer) {
      made.terminateSilently();
    } else {
      byConnection.put(made, peer);
      peer.opened(made);
      if (!made.isOpen()) {
        lost(peer, Failure.RESET);
      }
    }
  }

  private void notConnected(Peer peer) {
    if (!peer.open()) {
      lost(peer, Failure.REFUSED);
    }
  }

  private void lost(Peer peer, Failure failure) {
    byConnection.remove(peer.connection());
    if (peers.remove(peer.hop(), peer)) {
      tellFailed(peer.hop(), failure);
    }
  }

  private void tellFailed(Hop hop, Failure failure) {
    if (node != null) {
      node.failed(hop, failure);
    }
  }

  /** Keeps own connections alive and finds those whose other end is gone (RFC 5626). */
  private void pingAll() {
    for (Peer peer : new ArrayList<>(peers.values())) {
      if (peer.own() && peer.open() && peer.pinged()) {
        peer.abort();
        lost(peer, Failure.RESET);
      } else if (peer.own() && peer.open()) {
        peer.pinged(peer.send(PING));
      }
    }
    loop.after(limits.pingEvery(), this::pingAll);
  }

  // ---- Faults for rehearsals ----------------------------------------------------------------

  /** Resets all stream connections. On the loop's thread. */
  public void resetConnections() {
    for (Peer peer : new ArrayList<>(peers.values())) {
      peer.abort();
      lost(peer, Failure.RESET);
    }
  }

  /** Takes the node off the network, or binds it again to its port. On the loop's thread. */
  public void reachable(boolean on) throws IOException {
    if (!on) {
      closeListening();
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
    closeListening();
    if (bound != null) {
      bound.terminateSilently();
    }
  }

  // ---- Filters, in the selectors' threads ---------------------------------------------------

  private static Hop hop(Transport transport, Object address) {
    InetSocketAddress socket = (InetSocketAddress) address;
    return new Hop(transport, socket.getAddress().getHostAddress(), socket.getPort());
  }

  private static byte[] octets(FilterChainContext context) {
    Buffer buffer = context.getMessage();
    byte[] octets = new byte[buffer.remaining()];
    buffer.get(octets);
    buffer.tryDispose();
    return octets;
  }

  @SuppressWarnings("unchecked")
  private static Connection<SocketAddress> connection(FilterChainContext context) {
    return context.getConnection();
  }

  private boolean deliver(Hop from, byte[] message) {
    double arrived = loop.now();
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
      deliver(from, octets(context));
      return context.getStopAction();
    }
  }

  /** Cuts streams into messages and tells of connections that come and go. */
  private final class StreamFilter extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      Hop from = hop(Transport.TCP, connection.getPeerAddress());
      if (!loop.offer(() -> accepted(from, connection))) {
        connection.terminateSilently();
      }
      return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      Hop from = hop(Transport.TCP, connection.getPeerAddress());
      byte[] octets = octets(context);
      if (octets.length <= PING.length) {
        loop.offer(() -> alive(from));
      }
      try {
        framer(connection)
            .feed(
                octets,
                0,
                octets.length,
                message -> {
                  if (!deliver(from, message)) {
                    connection.terminateSilently();
                  }
                },
                () -> loop.offer(() -> answerPing(from)));
      } catch (SipParseException e) {
        connection.terminateSilently();
      }
      return context.getStopAction();
    }

    private StreamFramer framer(Connection<SocketAddress> connection) {
      StreamFramer framer = FRAMER.get(connection);
      if (framer == null) {
        framer = new StreamFramer(limits.headBytes(), limits.bodyBytes());
        FRAMER.set(connection, framer);
      }
      return framer;
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      loop.offer(() -> closed(connection));
      return context.getInvokeAction();
    }
  }

  private void accepted(Hop from, Connection<SocketAddress> connection) {
    if (bound == null || peers.size() >= limits.connections()) {
      connection.terminateSilently();
      return;
    }
    Peer peer = new Peer(from, false, limits.waitingBytes());
    peers.put(from, peer);
    byConnection.put(connection, peer);
    peer.opened(connection);
  }

  private void answerPing(Hop from) {
    Peer peer = peers.get(from);
    if (peer != null) {
      peer.send(PONG);
    }
  }

  private void alive(Hop from) {
    Peer peer = peers.get(from);
    if (peer != null) {
      peer.pinged(false);
    }
  }

  private void closed(Connection<SocketAddress> connection) {
    Peer peer = byConnection.remove(connection);
    if (peer != null) {
      lost(peer, Failure.RESET);
    }
  }
}
