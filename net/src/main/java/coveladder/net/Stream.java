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
  private static final long TOGETHER = 8;

  private final InetSocketAddress remote;
  private final boolean outbound;
  private final int most;
  private final AtomicLong total;
  private final ArrayDeque<byte[]> early = new ArrayDeque<>();
  private final AtomicLong waiting = new AtomicLong();
  private Connection<SocketAddress> connection;
  private Object attachment;
  private boolean closing;

  /**
   * Makes a stream.
   *
   * @param own whether this node connects it
   * @param most most octets that wait to be written; eight times as much on all streams together
   * @param total octets that wait on all streams of the node
   */
  Stream(InetSocketAddress remote, boolean own, int most, AtomicLong total) {
    this.remote = remote;
    this.outbound = own;
    this.most = most;
    this.total = total;
  }

  /** The other end. */
  public InetSocketAddress remote() {
    return remote;
  }

  /** Whether this node connected it. */
  public boolean outbound() {
    return outbound;
  }

  /** Whether it was made. */
  public boolean open() {
    return connection != null;
  }

  /** What its user keeps with it. */
  public Object attachment() {
    return attachment;
  }

  /** Keeps something of its user with it. */
  public void attachment(Object kept) {
    attachment = kept;
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
    long own = waiting.addAndGet(octets.length);
    long all = total.addAndGet(octets.length);
    if (own > most || all > TOGETHER * most && own > octets.length) {
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
            left(octets.length);
          }

          @Override
          public void failed(Throwable cause) {
            left(octets.length);
          }

          @Override
          public void cancelled() {
            left(octets.length);
          }
        });
  }

  /** Octets wait no more, written or not. */
  private void left(int length) {
    total.addAndGet(-length);
    if (waiting.addAndGet(-length) == 0 && closing) {
      close();
    }
  }

  /** Closes once what waits has left. */
  void closeWhenSent() {
    closing = true;
    if (waiting.get() == 0) {
      close();
    }
  }

  /** It is held no more: what waited for it to be made never leaves. */
  void forget() {
    while (!early.isEmpty()) {
      left(early.poll().length);
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
