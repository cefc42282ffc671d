package coveladder.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/** A stream connection, being established or open, with the bytes queued for it. */
public final class Stream {
  /** Memory of a queued message besides its bytes: buffer, write record and completion handler. */
  static final int MESSAGE_OVERHEAD_BYTES = 256;

  /** Limit on the queued bytes of all streams together, in multiples of the limit of one. */
  private static final long TOTAL_LIMIT_FACTOR = 8;

  private final InetSocketAddress remote;
  private final boolean outbound;
  private final int maxQueuedBytes;
  private final AtomicLong totalQueuedBytes;
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final StreamInput input;

  /** Whether the peer has ended the connection, as seen by the selector thread. */
  private volatile boolean inputEnded;

  private volatile Connection<SocketAddress> connection;
  private Future<?> connectAttempt;
  private Object attachment;
  private boolean closeRequested;

  /** Whether the connection must be closed as soon as it is established. */
  private volatile boolean closedBeforeOpen;

  /**
   * Creates a stream that has no connection yet.
   *
   * @param outbound whether this node initiates the connection
   * @param maxQueuedBytes maximum memory of queued messages, bytes, {@link #MESSAGE_OVERHEAD_BYTES}
   *     for each included; eight times as much for all streams together
   * @param totalQueuedBytes counter of the bytes queued on all streams of the node
   * @param totalWaitingBytes counter of the bytes read on all streams that wait for the event loop
   */
  Stream(
      InetSocketAddress remote,
      boolean outbound,
      int maxQueuedBytes,
      AtomicLong totalQueuedBytes,
      AtomicLong totalWaitingBytes) {
    this.remote = remote;
    this.outbound = outbound;
    this.maxQueuedBytes = maxQueuedBytes;
    this.totalQueuedBytes = totalQueuedBytes;
    this.input = new StreamInput(this, totalWaitingBytes);
  }

  /** Returns the address of the peer. */
  public InetSocketAddress remote() {
    return remote;
  }

  /** Returns whether this node initiated the connection. */
  public boolean outbound() {
    return outbound;
  }

  /** Returns whether the connection was established. */
  public boolean isOpen() {
    return connection != null;
  }

  /** Returns the object that the listener attached, or null. */
  public Object attachment() {
    return attachment;
  }

  /** Attaches an object of the listener. */
  public void attachment(Object newAttachment) {
    attachment = newAttachment;
  }

  Connection<SocketAddress> connection() {
    return connection;
  }

  /** Sets the attempt to connect that is in progress. */
  void connecting(Future<?> attempt) {
    connectAttempt = attempt;
  }

  /** Ends the attempt to connect: a connection that came up later would be taken by nobody. */
  void cancelConnecting() {
    if (connectAttempt != null) {
      connectAttempt.cancel(true);
    }
  }

  /** Records the established connection and writes the bytes queued for it. */
  void opened(Connection<SocketAddress> newConnection) {
    connection = newConnection;
    while (!unsent.isEmpty()) {
      transmit(unsent.poll());
    }
    if (closedBeforeOpen) {
      connection.terminateSilently();
    }
  }

  /**
   * Sends bytes, or queues them until the connection is established.
   *
   * @return false if too many bytes are queued on this stream, or on all streams together while
   *     this one has other bytes queued
   */
  public boolean send(byte[] octets) {
    int cost = cost(octets);
    long streamBytes = queuedBytes.addAndGet(cost);
    long totalBytes = totalQueuedBytes.addAndGet(cost);
    if (streamBytes > maxQueuedBytes
        || totalBytes > TOTAL_LIMIT_FACTOR * maxQueuedBytes && streamBytes > cost) {
      releaseQueued(cost);
      return false;
    }
    if (connection == null) {
      unsent.add(octets);
    } else {
      transmit(octets);
    }
    return true;
  }

  /** Returns the memory that a message takes while it is queued, bytes. */
  private static int cost(byte[] octets) {
    return octets.length + MESSAGE_OVERHEAD_BYTES;
  }

  private void transmit(byte[] octets) {
    int cost = cost(octets);
    Buffer buffer = Buffers.wrap(connection.getMemoryManager(), octets);
    connection.write(
        buffer,
        new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
          @Override
          public void completed(WriteResult<Buffer, SocketAddress> result) {
            releaseQueued(cost);
          }

          @Override
          public void failed(Throwable cause) {
            releaseQueued(cost);
          }

          @Override
          public void cancelled() {
            releaseQueued(cost);
          }
        });
  }

  /** Subtracts bytes that are no longer queued, whether written or discarded. */
  private void releaseQueued(int cost) {
    totalQueuedBytes.addAndGet(-cost);
    if (queuedBytes.addAndGet(-cost) == 0 && closeRequested) {
      close();
    }
  }

  /** Returns the input that was read and waits for the event loop. */
  public StreamInput input() {
    return input;
  }

  /** Reads nothing more from the connection until it is resumed, on the selector thread. */
  void suspendReading() {
    setReading(false);
  }

  /** Reads from the connection again; from any thread. */
  void resumeReading() {
    setReading(true);
  }

  private void setReading(boolean enabled) {
    if (!(connection instanceof NIOConnection nio) || !nio.isOpen()) {
      return;
    }
    try {
      if (enabled) {
        nio.enableIOEvent(IOEvent.READ);
      } else {
        nio.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      // The connection has ended: nothing is read from it any more.
      close();
    }
  }

  /** Records that the peer has ended the connection: nothing comes behind what was read. */
  void inputEnded() {
    inputEnded = true;
  }

  /**
   * Returns whether bytes, or the end of the connection, have arrived that were not passed to the
   * listener yet, as far as this can be seen without reading.
   */
  public boolean hasUnreadInput() {
    return inputEnded || input.hasWaiting() || unreadBytesInSocket() > 0;
  }

  private int unreadBytesInSocket() {
    if (connection instanceof NIOConnection nio
        && nio.getChannel() instanceof SocketChannel channel) {
      try {
        return channel.socket().getInputStream().available();
      } catch (IOException e) {
        // The connection has ended: nothing more is read from it.
        return 0;
      }
    }
    return 0;
  }

  /** Closes the connection once all queued bytes are written. */
  void closeWhenSent() {
    closeRequested = true;
    if (queuedBytes.get() == 0) {
      close();
    }
  }

  /** Discards the bytes that waited for the connection to be established. */
  void discardUnsent() {
    while (!unsent.isEmpty()) {
      releaseQueued(cost(unsent.poll()));
    }
  }

  /** Closes the connection at once, or as soon as it is established; from any thread. */
  void close() {
    closedBeforeOpen = true;
    Connection<SocketAddress> established = connection;
    if (established != null) {
      established.terminateSilently();
    }
  }

  /** Closes the connection with a reset, as a host does that lost its state. */
  void reset() {
    if (connection instanceof NIOConnection nio
        && nio.getChannel() instanceof SocketChannel channel) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // The channel is closed already: there is nothing left to reset.
        return;
      }
    }
    close();
  }
}
