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
 * Manages the stream connections of one node, independent of their protocol: connects, accepts,
 * limits, closes and resets them. Everything runs on the event loop thread, except {@link
 * Listener#accepting}, {@link Listener#read} and {@link Listener#prioritizesAccepted}.
 */
public final class Streams {
  private static final Attribute<Stream> STREAM =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("coveladder.stream");

  private final Sockets sockets;
  private final EventLoop loop;
  private final Limits limits;
  private final Listener listener;
  private final FilterChain chain = Sockets.chain(new StreamFilter());
  private final Set<Stream> streams = new LinkedHashSet<>();
  private final Map<Connection<SocketAddress>, Stream> streamsByConnection =
      new IdentityHashMap<>();
  private final AtomicInteger inboundCount = new AtomicInteger();
  private final AtomicLong totalQueuedBytes = new AtomicLong();
  private final AtomicLong totalWaitingBytes = new AtomicLong();
  private final AtomicLong discardedBytes = new AtomicLong();
  private Connection<SocketAddress> serverConnection;

  /**
   * Limits of a node's connections.
   *
   * @param maxConnections maximum number of connections, inbound and outbound
   * @param maxAccepted maximum number of inbound connections; further ones are closed at once
   * @param maxQueuedBytes maximum memory of the messages queued on one stream, bytes; eight times
   *     as much on all streams together
   * @param connectTimeoutMillis time allowed to establish a connection, ms
   */
  public record Limits(
      int maxConnections, int maxAccepted, int maxQueuedBytes, double connectTimeoutMillis) {}

  /** Reason why a connection was lost. */
  public enum Loss {
    /** The connection was closed or reset. */
    CLOSED,
    /** The peer refused the connection: nothing listens at its address. */
    TURNED_AWAY,
    /** The connection was not established in time, or the limit on connections was reached. */
    NOT_MADE
  }

  /** Receives the events of the connections. */
  public interface Listener {
    /** A peer is connecting; called on a selector thread, before any other event of the stream. */
    default void accepting(Stream stream) {}

    /** A connection from a peer was accepted. */
    void accepted(Stream stream);

    /**
     * Returns whether the accepting and closing of inbound connections are reported before timers
     * and ordinary tasks. Bytes read from them must then be submitted by {@link
     * EventLoop#executePrioritized}.
     */
    default boolean prioritizesAccepted() {
      return false;
    }

    /** An outbound connection was established, and the bytes queued for it were passed on. */
    default void connected(Stream stream) {}

    /** A connection was lost without having been closed or reset by this node. */
    void lost(Stream stream, Loss loss);

    /**
     * Bytes were read; called on a selector thread. Processing must be submitted to the event loop.
     *
     * @param arrivedMillis event loop clock at the read, ms
     */
    void read(Stream stream, byte[] octets, double arrivedMillis);
  }

  /** Creates a manager without connections. */
  public Streams(Sockets sockets, EventLoop loop, Limits limits, Listener listener) {
    this.sockets = sockets;
    this.loop = loop;
    this.limits = limits;
    this.listener = listener;
  }

  /**
   * Accepts connections at an address.
   *
   * @return the port that was bound
   */
  public int listen(InetSocketAddress address) throws IOException {
    serverConnection = sockets.listen(chain, address);
    return ((InetSocketAddress) serverConnection.getLocalAddress()).getPort();
  }

  /** Stops accepting connections. */
  public void stopListening() {
    if (serverConnection != null) {
      serverConnection.terminateSilently();
      serverConnection = null;
    }
  }

  /**
   * Counts bytes that were read from a connection but not passed on, as this node had closed it;
   * from any thread.
   */
  public void countDiscarded(int length) {
    discardedBytes.addAndGet(length);
  }

  /** Returns the number of bytes that were read and discarded so far. */
  public long discardedBytes() {
    return discardedBytes.get();
  }

  /** Returns whether a connection is still managed here. */
  public boolean contains(Stream stream) {
    return streams.contains(stream);
  }

  /** Returns the number of connections, including those being established. */
  public int size() {
    return streams.size();
  }

  /** Returns a copy of the list of connections, including those being established. */
  public List<Stream> all() {
    return new ArrayList<>(streams);
  }

  /**
   * Starts to connect; the listener gets the result later, even if the limit is reached.
   *
   * @param attachment object of the listener, attached before anything is read from the connection
   */
  public Stream connect(InetSocketAddress to, Object attachment) {
    Stream stream = newStream(to, true);
    stream.attachment(attachment);
    streams.add(stream);
    if (streams.size() > limits.maxConnections() || to.isUnresolved()) {
      loop.after(0, () -> drop(stream, Loss.NOT_MADE));
      return stream;
    }
    loop.after(limits.connectTimeoutMillis(), () -> dropIfNotOpen(stream, Loss.NOT_MADE));
    stream.connecting(
        sockets.connect(
            chain, to, connection -> STREAM.set(connection, stream), new ConnectHandler(stream)));
    return stream;
  }

  private Stream newStream(InetSocketAddress remote, boolean outbound) {
    return new Stream(
        remote, outbound, limits.maxQueuedBytes(), totalQueuedBytes, totalWaitingBytes);
  }

  /** Closes a connection once its queued bytes are written, without notifying the listener. */
  public void close(Stream stream) {
    remove(stream);
    stream.closeWhenSent();
  }

  /** Resets a connection without notifying the listener. */
  public void reset(Stream stream) {
    remove(stream);
    stream.reset();
  }

  private void dropIfNotOpen(Stream stream, Loss loss) {
    if (!stream.isOpen()) {
      drop(stream, loss);
    }
  }

  private void drop(Stream stream, Loss loss) {
    if (remove(stream)) {
      listener.lost(stream, loss);
    }
  }

  private boolean remove(Stream stream) {
    if (stream.isOpen()) {
      streamsByConnection.remove(stream.connection());
    } else {
      stream.cancelConnecting();
    }
    stream.discardUnsent();
    return streams.remove(stream);
  }

  /** Reports the result of a connection attempt, on a selector thread. */
  @SuppressWarnings({"rawtypes", "unchecked"})
  private final class ConnectHandler extends EmptyCompletionHandler<Connection> {
    private final Stream stream;

    ConnectHandler(Stream stream) {
      this.stream = stream;
    }

    @Override
    public void completed(Connection connection) {
      loop.execute(() -> connected(stream, connection));
    }

    @Override
    public void failed(Throwable cause) {
      boolean refused = cause instanceof ConnectException;
      loop.execute(() -> dropIfNotOpen(stream, refused ? Loss.TURNED_AWAY : Loss.NOT_MADE));
    }
  }

  private void connected(Stream stream, Connection<SocketAddress> connection) {
    if (!streams.contains(stream)) {
      connection.terminateSilently();
      return;
    }
    streamsByConnection.put(connection, stream);
    stream.opened(connection);
    listener.connected(stream);
    if (!connection.isOpen()) {
      drop(stream, Loss.CLOSED);
    }
  }

  private void accepted(Stream stream, Connection<SocketAddress> connection) {
    if (streams.size() >= limits.maxConnections()) {
      connection.terminateSilently();
      return;
    }
    streams.add(stream);
    streamsByConnection.put(connection, stream);
    stream.opened(connection);
    listener.accepted(stream);
  }

  private void closed(Connection<SocketAddress> connection) {
    Stream stream = streamsByConnection.get(connection);
    if (stream != null) {
      drop(stream, Loss.CLOSED);
    }
  }

  @SuppressWarnings("unchecked")
  private static Connection<SocketAddress> connection(FilterChainContext context) {
    return context.getConnection();
  }

  /** Handles an event of a connection on a selector thread. */
  private interface SelectorTask {
    NextAction run();
  }

  /** Runs a task; Grizzly logs the errors that its filters throw, and goes on without them. */
  private static NextAction reportingErrors(SelectorTask task) {
    try {
      return task.run();
    } catch (Error e) {
      throw FatalErrorHandler.report(e);
    }
  }

  /** Passes inbound events on; runs on the selector threads. */
  private final class StreamFilter extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext context) {
      return reportingErrors(() -> accept(context));
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
      return reportingErrors(() -> read(context));
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
      return reportingErrors(() -> close(context));
    }

    private NextAction accept(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      if (inboundCount.incrementAndGet() > limits.maxAccepted()) {
        inboundCount.decrementAndGet();
        connection.terminateSilently();
        return context.getInvokeAction();
      }
      InetSocketAddress remote = (InetSocketAddress) connection.getPeerAddress();
      Stream stream = newStream(remote, false);
      STREAM.set(connection, stream);
      listener.accepting(stream);
      dispatch(stream, () -> accepted(stream, connection));
      return context.getInvokeAction();
    }

    private NextAction read(FilterChainContext context) {
      double arrivedMillis = loop.now();
      Connection<SocketAddress> connection = connection(context);
      byte[] octets = Sockets.consume(context);
      Stream stream = STREAM.get(connection);
      if (stream == null) {
        countDiscarded(octets.length);
      } else {
        listener.read(stream, octets, arrivedMillis);
      }
      return context.getStopAction();
    }

    private NextAction close(FilterChainContext context) {
      Connection<SocketAddress> connection = connection(context);
      Stream stream = STREAM.get(connection);
      if (stream != null) {
        stream.inputEnded();
      }
      if (stream != null && !stream.outbound()) {
        inboundCount.decrementAndGet();
      }
      dispatch(stream, () -> closed(connection));
      return context.getInvokeAction();
    }

    private void dispatch(Stream stream, Runnable task) {
      if (stream != null && !stream.outbound() && listener.prioritizesAccepted()) {
        loop.executePrioritized(task);
      } else {
        loop.execute(task);
      }
    }
  }
}
