package coveladder.soak;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One non-blocking TCP connection. */
final class Endpoint {
  private static final int READ_BYTES = 65_536;

  private final SocketChannel channel;
  private final SelectionKey key;
  private final ArrayDeque<ByteBuffer> unwritten = new ArrayDeque<>();
  private Handler handler = new Handler() {};
  private boolean connected;
  private boolean closeWhenWritten;
  private boolean closed;

  /** Receives the events of a connection. */
  interface Handler {
    /** The connection was established. */
    default void opened() {}

    /** Octets arrived. */
    default void received(byte[] octets) {}

    /** The connection was refused, or closed or reset by the remote end. */
    default void closed() {}
  }

  /** Wraps an accepted connection. */
  Endpoint(SocketChannel channel, Selector selector) throws IOException {
    this(channel, selector, true);
  }

  Endpoint(SocketChannel channel, Selector selector, boolean connected) throws IOException {
    this.channel = channel;
    this.connected = connected;
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
    key.attach(this);
  }

  void setHandler(Handler newHandler) {
    handler = newHandler;
  }

  boolean isOpen() {
    return connected && !closed;
  }

  void handleReady(SelectionKey ready) {
    try {
      if (ready.isConnectable() && channel.finishConnect()) {
        connected = true;
        updateInterest();
        handler.opened();
      }
      if (!closed && ready.isReadable()) {
        read();
      }
      if (!closed && ready.isWritable()) {
        write();
      }
    } catch (IOException e) {
      fail();
    }
  }

  private void read() throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
    int count = channel.read(buffer);
    if (count < 0) {
      fail();
    } else if (count > 0) {
      byte[] octets = new byte[count];
      buffer.flip().get(octets);
      handler.received(octets);
    }
  }

  private void fail() {
    if (!closed) {
      closeChannel();
      handler.closed();
    }
  }

  /** Sends octets. */
  void send(byte[] octets) {
    if (closed) {
      return;
    }
    unwritten.add(ByteBuffer.wrap(octets));
    if (connected) {
      try {
        write();
      } catch (IOException e) {
        fail();
      }
    }
  }

  private void write() throws IOException {
    while (!unwritten.isEmpty()) {
      channel.write(unwritten.peek());
      if (unwritten.peek().hasRemaining()) {
        break;
      }
      unwritten.poll();
    }
    if (unwritten.isEmpty() && closeWhenWritten) {
      closeChannel();
    } else {
      updateInterest();
    }
  }

  private void updateInterest() {
    key.interestOps(SelectionKey.OP_READ | (unwritten.isEmpty() ? 0 : SelectionKey.OP_WRITE));
  }

  /** Closes the connection once all octets are written; its handler gets no more events. */
  void close() {
    handler = new Handler() {};
    closeWhenWritten = true;
    if (unwritten.isEmpty()) {
      closeChannel();
    }
  }

  /** Resets the connection; its handler gets no more events. */
  void reset() {
    handler = new Handler() {};
    try {
      if (!closed) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException e) {
      // It is closed already: there is nothing left to reset.
    }
    closeChannel();
  }

  private void closeChannel() {
    closed = true;
    try {
      channel.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
