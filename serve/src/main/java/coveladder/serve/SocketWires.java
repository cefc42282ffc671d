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
 * Implements the connections of the protocol front end on sockets. Bytes that were read are handed
 * to the event loop; a budget limits those that wait for it.
 */
final class SocketWires implements Transport, Streams.Listener {
  /** Maximum number of bytes that were read and wait for the event loop. */
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  private final EventLoop loop;
  private final Streams streams;
  private final ByteBudget unreadBudget = new ByteBudget(MAX_UNREAD_BYTES);
  private Function<Connection, ConnectionListener> acceptor = wire -> null;

  SocketWires(Sockets sockets, EventLoop loop, Streams.Limits limits) {
    this.loop = loop;
    this.streams = new Streams(sockets, loop, limits, this);
  }

  /**
   * Accepts the connections of callers at an address.
   *
   * @param newAcceptor called with each accepted connection; returns the receiver of its events
   */
  void listen(InetSocketAddress address, Function<Connection, ConnectionListener> newAcceptor)
      throws IOException {
    acceptor = newAcceptor;
    streams.listen(address);
  }

  /** A stream behind the interface of the front end. */
  private final class SocketWire implements Connection {
    private final Stream stream;

    SocketWire(Stream stream) {
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
  public Connection connect(String host, int port, ConnectionListener user) {
    Stream stream = streams.connect(new InetSocketAddress(host, port));
    stream.attachment(user);
    return new SocketWire(stream);
  }

  @Override
  public void stopListening() {
    streams.stopListening();
  }

  private static ConnectionListener user(Stream stream) {
    return (ConnectionListener) stream.attachment();
  }

  @Override
  public boolean prioritizesAccepted() {
    return true;
  }

  @Override
  public void accepted(Stream stream) {
    stream.attachment(acceptor.apply(new SocketWire(stream)));
  }

  @Override
  public void connected(Stream stream) {
    user(stream).opened();
  }

  @Override
  public void lost(Stream stream, Streams.Loss loss) {
    user(stream).lost(Loss.valueOf(loss.name()));
  }

  @Override
  public void read(Stream stream, byte[] octets, double arrivedMillis) {
    if (!unreadBudget.acquire(octets.length)) {
      return;
    }
    Runnable deliver =
        () -> {
          unreadBudget.release(octets.length);
          if (streams.contains(stream)) {
            user(stream).received(octets, arrivedMillis);
          }
        };
    if (!stream.outbound()) {
      loop.executePrioritized(deliver);
    } else if (stream.attachment() instanceof ConnectionListener wireUser && wireUser.urgent()) {
      loop.executeUrgent(deliver);
    } else {
      loop.execute(deliver);
    }
  }
}
