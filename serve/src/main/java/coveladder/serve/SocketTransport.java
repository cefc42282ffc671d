package coveladder.serve;

import coveladder.isupfront.Transport;
import coveladder.net.ByteBudget;
import coveladder.net.EventLoop;
import coveladder.net.Sockets;
import coveladder.net.Stream;
import coveladder.net.Streams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * Implements the front end's transport on sockets. Bytes that were read are handed to the event
 * loop; budgets limit those that wait for it, and past them nothing is read.
 *
 * <p>Input and closes of callers are processed before timers and other tasks, so that no call is
 * sent on whose caller has released it or disconnected. Updates of the exchange directory are
 * processed before both.
 */
final class SocketTransport implements Transport, Streams.Listener {
  /**
   * Maximum number of bytes of callers that were read and wait for the event loop; some tens of
   * milliseconds of its work, however short the messages are.
   */
  private static final int MAX_PENDING_CALLER_BYTES = 1 << 16;

  /** Maximum number of bytes of switches and the journal service that wait for the event loop. */
  private static final int MAX_PENDING_PEER_BYTES = 1 << 18;

  /** Memory of a read besides its bytes. */
  private static final int READ_OVERHEAD_BYTES = 128;

  private final EventLoop loop;
  private final Streams streams;
  private final ByteBudget callerBudget = new ByteBudget(MAX_PENDING_CALLER_BYTES);
  private final ByteBudget peerBudget = new ByteBudget(MAX_PENDING_PEER_BYTES);
  private Function<Connection, ConnectionListener> acceptor = connection -> null;

  SocketTransport(Sockets sockets, EventLoop loop, Streams.Limits limits) {
    this.loop = loop;
    this.streams = new Streams(sockets, loop, limits, this);
  }

  /**
   * Accepts the connections of callers at an address.
   *
   * @param newAcceptor called with each accepted connection; returns the listener for its events
   */
  void listen(InetSocketAddress address, Function<Connection, ConnectionListener> newAcceptor)
      throws IOException {
    acceptor = newAcceptor;
    streams.listen(address);
  }

  /** A connection of the front end, carried by a stream. */
  private final class SocketConnection implements Connection {
    private final Stream stream;

    SocketConnection(Stream stream) {
      this.stream = stream;
    }

    @Override
    public boolean send(byte[] octets) {
      return stream.send(octets);
    }

    @Override
    public void close() {
      streams.close(stream);
    }

    @Override
    public void reset() {
      streams.reset(stream);
    }
  }

  @Override
  public Connection connect(String host, int port, ConnectionListener listener) {
    Stream stream = streams.connect(NumericAddress.of(host, port), listener);
    return new SocketConnection(stream);
  }

  /** Returns the number of octets that were read from connections closed by this side. */
  long discardedBytes() {
    return streams.discardedBytes();
  }

  @Override
  public void stopListening() {
    streams.stopListening();
  }

  private static ConnectionListener listener(Stream stream) {
    return (ConnectionListener) stream.attachment();
  }

  @Override
  public boolean prioritizesAccepted() {
    return true;
  }

  @Override
  public void accepted(Stream stream) {
    stream.attachment(acceptor.apply(new SocketConnection(stream)));
  }

  @Override
  public void connected(Stream stream) {
    listener(stream).opened();
  }

  @Override
  public void lost(Stream stream, Streams.Loss loss) {
    // The constants of both enums have the same names.
    listener(stream).lost(Loss.valueOf(loss.name()));
  }

  @Override
  public void read(Stream stream, byte[] octets, double arrivedMillis) {
    ByteBudget budget = stream.outbound() ? peerBudget : callerBudget;
    int cost = octets.length + READ_OVERHEAD_BYTES;
    if (!budget.acquire(cost)) {
      // The thread was interrupted while it waited for the budget.
      streams.countDiscarded(octets.length);
      return;
    }
    Runnable deliver =
        () -> {
          budget.release(cost);
          if (streams.contains(stream)) {
            listener(stream).received(octets, arrivedMillis);
          } else {
            streams.countDiscarded(octets.length);
          }
        };
    if (!stream.outbound()) {
      loop.executePrioritized(deliver);
    } else if (stream.attachment() instanceof ConnectionListener listener && listener.urgent()) {
      loop.executeUrgent(deliver);
    } else {
      loop.execute(deliver);
    }
  }
}
