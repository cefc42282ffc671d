package coveladder.net;

import coveladder.sip.Hop;
import java.io.IOException;
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
final class Peer {
  private final Hop hop;
  private final boolean own;
  private final int most;
  private final ArrayDeque<byte[]> early = new ArrayDeque<>();
  private final AtomicLong waiting = new AtomicLong();
  private Connection<SocketAddress> connection;
  private boolean pinged;

  /** Makes a peer; own ones were connected by this node. */
  Peer(Hop hop, boolean own, int most) {
    this.hop = hop;
    this.own = own;
    this.most = most;
  }

  Hop hop() {
    return hop;
  }

  boolean own() {
    return own;
  }

  boolean open() {
    return connection != null;
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
  boolean send(byte[] octets) {
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
            waiting.addAndGet(-octets.length);
          }
        });
  }

  /** Whether a ping is out that was not answered. */
  boolean pinged() {
    return pinged;
  }

  void pinged(boolean out) {
    pinged = out;
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
