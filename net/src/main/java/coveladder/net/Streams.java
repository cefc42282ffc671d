package coveladder.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The stream connections of one node, whatever is spoken on them: made, taken, bounded, closed and
 * reset. All but {@link Listener#read} happens in the thread of the event loop.
 */
public final class Streams {
  private static final Attribute<Stream> STREAM =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("coveladder.stream");

  private final Sockets sockets;
  private final EventLoop loop;
  private final Limits bounds;
  private final Listener user;
  private final FilterChain chain = Sockets.chain(new StreamFilter());
  private final Set<Stream> held = new LinkedHashSet<>();
  private final Map<Connection<SocketAddress>, Stream> byConnection = new IdentityHashMap<>();
  private final AtomicInteger taken = new AtomicInteger();
  private final AtomicLong waiting = new AtomicLong();
  private Connection<SocketAddress> listening;

  /**
   * Bounds of a node's connections.
   *
   * @param maxConnections most connections in all
   * @param maxAccepted most connections taken from others; one more is closed as it comes
   * @param maxQueuedBytes most octets that wait to be written to one; eight times as much to all
   * @param connectTimeoutMillis time for a connection to be made, ms
   */
  public record Limits(
      int maxConnections, int maxAccepted, int maxQueuedBytes, double connectTimeoutMillis) {}

  /** Why a connection is no more. */
  public enum Loss {
    /** It was closed or broke. */
    CLOSED,
    /** The other end turned it away: nothing listens there. */
    TURNED_AWAY,
    /** It was not made in time, or there was no room for it. */
    NOT_MADE
  }

  /** Hears of the connections. */
  public interface Listener {
    /** Another node connects, in the selector's thread, before anything else of the stream. */
    default void accepting(Stream stream) {}

    /** Another node connected. */
    void accepted(Stream stream);

    /**
     * Whether the coming and the going of connections that others make are told before timers and
     * ordinary tasks; what they bring must then be handed over by {@link
     * EventLoop#executePrioritized}.
     */
    default boolean prioritizesAccepted() {
      return false;
    }

    /** An own connection is made; what waited for it has left. */
    default void connected(Stream stream) {}

    /** A connection is no more, without this node's doing. */
    void lost(Stream stream, Loss loss);

    /**
     * Octets came, in the selector's thread; what is to happen goes to the loop.
     *
     * @param arrived clock at the read, ms
     */
    void read(Stream stream, byte[] octets, double arrived);
  }

  /** Makes the connections of a node; none yet. */
  public Streams(Sockets sockets, EventLoop loop, Limits bounds, Listener user) {
    this.sockets = sockets;
    this.loop = loop;
    this.bounds = bounds;
    this.user = user;
  }

  /** Takes connections at an address; the port that was bound. */
  public int listen(InetSocketAddress address) throws IOException {
    listening = sockets.listen(chain, address);
    return ((InetSocketAddress) listening.getLocalAddress()).getPort();
  }

  /** Takes no more connections. */
  public void stopListening() {
    if (listening != null) {
      listening.terminateSilently();
      listening = null;
    }
  }

  /** Whether a connection is held still. */
  public boolean contains(Stream stream) {
    return held.contains(stream);
  }

  /** Connections held, those being made included. */
  public int size() {
    return held.size();
  }

  /** All connections held. */
  public List<Stream> all() {
    return new ArrayList<>(held);
  }

  /** Begins to connect; what comes of it is told later, also where there is no room. */
  public Stream connect(InetSocketAddress to) {
    Stream stream = new Stream(to, true, bounds.maxQueuedBytes(), waiting);
    held.add(stream);
    if (held.size() > bounds.maxConnections() || to.isUnresolved()) {
      loop.after(0, () -> drop(stream, Loss.NOT_MADE));
      return stream;
    }
    loop.after(bounds.connectTimeoutMillis(), () -> notMade(stream, Loss.NOT_MADE));
    sockets.connect(chain, to, new Connecting(stream));
    return stream;
  }

  /** Closes once what waits has left; nothing more is told of it. */
  public void close(Stream stream) {
    forget(stream);
    stream.closeWhenSent();
  }

  /** Closes with a reset; nothing more is told of it. */
  public void reset(Stream stream) {
    forget(stream);
    stream.abort();
  }

  private void notMade(Stream stream, Loss loss) {
    if (!stream.open()) {
      drop(stream, loss);
    }
  }

  private void drop(Stream stream, Loss loss) {
    if (forget(stream)) {
      user.lost(stream, loss);
    }
  }

  private boolean forget(Stream stream) {
    if (stream.open()) {
      byConnection.remove(stream.connection());
    }
    stream.forget();
    return held.remove(stream);
  }

  /** Hears of a connection being made, in a selector's thread. */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private final class Connecting extends EmptyCompletionHandler<Connection> {
    private final Stream stream;

    Connecting(Stream stream) {
      this.stream = stream;
    }

    @Override
    public void completed(Connection made) {
      STREAM.set(made, stream);
      loop.execute(() -> made(stream, made));
    }

    @Override
    public void failed(Throwable cause) {
      boolean turnedAway = cause instanceof ConnectException;
      loop.execute(() -> notMade(stream, turnedAway ? Loss.TURNED_AWAY : Loss.NOT_MADE));
    }
  }

  private void made(Stream stream, Connection<SocketAddress> made) {
    if (!held.contains(stream)) {
      made.terminateSilently();
      return;
    }
    byConnection.put(made, stream);
    stream.opened(made);
    user.connected(stream);
    if (!made.isOpen()) {
      drop(stream, Loss.CLOSED);
    }
  }

  private void accepted(Stream stream, Connection<SocketAddress> made) {
    if (held.size() >= bounds.maxConnections()) {
      made.terminateSilently();
      return;
    }
    held.add(stream);
    byConnection.put(made, stream);
    stream.opened(made);
    user.accepted(stream);
  }

  private void closed(Connection<SocketAddress> connection) {
    Stream stream = byConnection.get(connection);
    if (stream != null) {
      drop(stream, Loss.CLOSED);
    }
  }

  @SuppressWarnings("unchecked")
  private static Connection<SocketAddress> connection(FilterChainContext context) {
    return context.getConnection();
  }

  /** In the selectors' threads: hands over what comes. */
  private final class StreamFilter extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      if (taken.incrementAndGet() > bounds.maxAccepted()) {
        taken.decrementAndGet();
        connection.terminateSilently();
        return context.getInvokeAction();
      }
      InetSocketAddress from = (InetSocketAddress) connection.getPeerAddress();
      Stream stream = new Stream(from, false, bounds.maxQueuedBytes(), waiting);
      STREAM.set(connection, stream);
      user.accepting(stream);
      hand(stream, () -> accepted(stream, connection));
      return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
      double arrived = loop.now();
      Connection<SocketAddress> connection = connection(context);
      byte[] octets = Sockets.octets(context);
      Stream stream = STREAM.get(connection);
      if (stream != null) {
        user.read(stream, octets, arrived);
      }
      return context.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      Stream stream = STREAM.get(connection);
      if (stream != null && !stream.outbound()) {
        taken.decrementAndGet();
      }
      hand(stream, () -> closed(connection));
      return context.getInvokeAction();
    }

    private void hand(Stream stream, Runnable task) {
      if (stream != null && !stream.outbound() && user.prioritizesAccepted()) {
        loop.executePrioritized(task);
      } else {
        loop.execute(task);
      }
    }
  }
}
