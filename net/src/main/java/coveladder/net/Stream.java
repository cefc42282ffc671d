package coveladder.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/** One stream connection, being made or open, with what waits to be written to it. */
public final class Stream {
  private final InetSocketAddress remote;
  private final boolean own;
  private final int most;
  private final ArrayDeque<byte[]> early = new ArrayDeque<>();
  private final AtomicLong waiting = new AtomicLong();
  private Connection<SocketAddress> connection;
  private Object user;
  private boolean closing;

  /**
   * Makes a stream.
   *
   * @param own whether this node connects it
   * @param most most octets that wait to be written
   */
  Stream(InetSocketAddress remote, boolean own, int most) {
    this.remote = remote;
    this.own = own;
    this.most = most;
  }

  /** The other end. */
  public InetSocketAddress remote() {
    return remote;
  }

  /** Whether this node connected it. */
  public boolean own() {
    return own;
  }

  /** Whether it was made. */
  public boolean open() {
    return connection != null;
  }

  /** What its user keeps with it. */
  public Object user() {
    return user;
  }

  /** Keeps something of its user with it. */
  public void user(Object kept) {
    user = kept;
  }

  Connection<SocketAddress> connection() {
    return connection;
  }

  /** The connection is made: what waited leaves. */
  void opened(Connection<SocketAddress> made) {
    connection = made;
    while (!early.isEmpty()) {
      transmit(early.poll());
    }
  }

  /** Sends octets, or keeps them until the connection is made; false where too much waits. */
  public boolean send(byte[] octets) {
    if (waiting.addAndGet(octets.length) > most) {
      return false;
    }
    if (connection == null) {
      early.add(octets);
    } else {
      transmit(octets);
    }
    return true;
  }

  private void transmit(byte[] octets) {
    Buffer buffer = Buffers.wrap(connection.getMemoryManager(), octets);
    connection.write(
        buffer,
        new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
          @Override
          public void completed(WriteResult<Buffer, SocketAddress> result) {
            if (waiting.addAndGet(-octets.length) == 0 && closing) {
              close();
            }
          }
        });
  }

  /** Octets that wait to be written. */
  public long waiting() {
    return waiting.get();
  }

  /** Closes once what waits has left. */
  void closeWhenSent() {
    closing = true;
    if (waiting.get() == 0) {
      close();
    }
  }

  void close() {
    if (connection != null) {
      connection.terminateSilently();
    }
  }

  /** Closes with a reset, as a machine does that lost its state. */
  void abort() {
    if (connection instanceof NIOConnection nio && nio.getChannel() instanceof SocketChannel raw) {
      try {
        raw.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // The channel is closed already: there is nothing left to reset.
        return;
      }
    }
    close();
  }
}
