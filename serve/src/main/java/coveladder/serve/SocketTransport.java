package coveladder.serve;

import coveladder.isupfront.Transport;
import coveladder.net.EventLoop;
import coveladder.net.Sockets;
import coveladder.net.Stream;
import coveladder.net.StreamInput;
import coveladder.net.Streams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * Implements the front end's transport on sockets. Bytes that were read are handed to the event
 * loop in parts, a part of each stream at a time; a stream is not read while much of it waits.
 *
 * <p>The first part of what callers sent, and their closes, are processed before timers and other
 * tasks, so that no call is sent on whose caller has released it or disconnected; what is behind
 * the first part is known as unread input. Updates of the exchange directory are processed before
 * both.
 */
final class SocketTransport implements Transport, Streams.Listener {
  /** Maximum number of bytes passed to a listener before other streams have their turn. */
  private static final int MAX_PART_BYTES = 1_024;

  private final EventLoop loop;
  private final Streams streams;
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
    public boolean hasUnreadInput() {
      return stream.hasUnreadInput();
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
    StreamInput input = stream.input();
    for (StreamInput.Part part = input.take(Integer.MAX_VALUE);
        part != null;
        part = input.take(Integer.MAX_VALUE)) {
      listener(stream).received(part.octets(), part.arrivedMillis());
    }
    // The constants of both enums have the same names.
    listener(stream).lost(Loss.valueOf(loss.name()));
  }

  @Override
  public void read(Stream stream, byte[] octets, double arrivedMillis) {
    if (!stream.input().add(octets, arrivedMillis)) {
      return;
    }
    Runnable visit = () -> deliver(stream);
    if (!stream.outbound()) {
      loop.executePrioritized(visit);
    } else if (stream.attachment() instanceof ConnectionListener listener && listener.urgent()) {
      loop.executeUrgent(visit);
    } else {
      loop.execute(visit);
    }
  }

  /**
   * Passes a part of what waits on a stream to its listener. The rest follows after the input of
   * the streams that have less waiting, and after timers and tasks that are due.
   */
  private void deliver(Stream stream) {
    StreamInput input = stream.input();
    if (!streams.contains(stream)) {
      streams.countDiscarded(input.discard());
    }
    StreamInput.Part part = input.take(MAX_PART_BYTES);
    if (part != null) {
      listener(stream).received(part.octets(), part.arrivedMillis());
    }
    if (input.visitAgain()) {
      loop.after(0, () -> deliver(stream));
    }
  }
}
