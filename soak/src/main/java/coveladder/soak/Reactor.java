package coveladder.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** One thread with sockets and timers, on which all stand-ins of a soak run. */
final class Reactor implements AutoCloseable {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int BACKLOG = 1_024;

  /** Connections after which a backlog of 1 takes no further one. */
  private static final int FILLED_BACKLOG = 2;

  private static final double MAX_WAIT_MILLIS = 20;

  private final Selector selector;
  private final long originNanos = System.nanoTime() - System.currentTimeMillis() * 1_000_000L;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nextSequence;

  /** A task and its time; those of the same time run in the order in which they were set. */
  private record Task(double timeMillis, long sequence, Runnable action)
      implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Double.compare(timeMillis, other.timeMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** A listening socket. */
  interface Listener {
    /** Stops listening: later connections are refused. */
    void close();
  }

  Reactor() throws IOException {
    selector = Selector.open();
  }

  /** Returns the Unix clock, ms. */
  double now() {
    return (System.nanoTime() - originNanos) / NANOS_PER_MILLI;
  }

  void schedule(double delayMillis, Runnable action) {
    tasks.add(new Task(now() + delayMillis, nextSequence++, action));
  }

  /** Runs until a time of the clock. */
  void runUntil(double timeMillis) throws IOException {
    while (now() < timeMillis) {
      Task next = tasks.peek();
      double untilNext = next == null ? MAX_WAIT_MILLIS : next.timeMillis() - now();
      if (untilNext > 0) {
        selector.select(Math.max(1, (long) Math.min(untilNext, MAX_WAIT_MILLIS)));
      } else {
        selector.selectNow();
      }
      handleReadyKeys();
      runDueTasks();
    }
  }

  private void runDueTasks() {
    double now = now();
    while (!tasks.isEmpty() && tasks.peek().timeMillis() <= now) {
      tasks.poll().action().run();
    }
  }

  private void handleReadyKeys() throws IOException {
    for (SelectionKey key : selector.selectedKeys()) {
      if (!key.isValid()) {
        continue;
      }
      if (key.attachment() instanceof Endpoint endpoint) {
        endpoint.handleReady(key);
      } else {
        accept(key);
      }
    }
    selector.selectedKeys().clear();
  }

  @SuppressWarnings("unchecked")
  private void accept(SelectionKey key) throws IOException {
    SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
    if (channel != null) {
      Endpoint endpoint = new Endpoint(channel, selector);
      ((Consumer<Endpoint>) key.attachment()).accept(endpoint);
    }
  }

  /** Accepts connections at an address. */
  Listener listen(InetSocketAddress address, Consumer<Endpoint> acceptor) {
    try {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
      server.configureBlocking(false);
      server.bind(address, BACKLOG);
      server.register(selector, SelectionKey.OP_ACCEPT, acceptor);
      return () -> closeListening(server);
    } catch (IOException e) {
      throw new IllegalStateException(address + " cannot be bound: " + e.getMessage(), e);
    }
  }

  /** Listens at an address so that connections to it never come up. */
  Listener listenWithoutAnswer(InetSocketAddress address) {
    try {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(address, 1);
      List<SocketChannel> fillers = new ArrayList<>();
      for (int i = 0; i < FILLED_BACKLOG; i++) {
        fillers.add(SocketChannel.open(address));
      }
      return () -> {
        closeQuietly(server);
        fillers.forEach(Reactor::closeQuietly);
      };
    } catch (IOException e) {
      throw new IllegalStateException(address + " cannot be bound: " + e.getMessage(), e);
    }
  }

  /** Closes a listening socket; its port is free only once the selector has dropped its key. */
  private void closeListening(ServerSocketChannel server) {
    closeQuietly(server);
    try {
      selector.selectNow();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void closeQuietly(java.io.Closeable channel) {
    try {
      channel.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts to connect. */
  Endpoint connect(InetSocketAddress address) throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    boolean connected = channel.connect(address);
    return new Endpoint(channel, selector, connected);
  }

  @Override
  public void close() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }
}
