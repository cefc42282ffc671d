package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.NIOChannelDistributor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests connection handling independent of the protocol, and the task order of the loop. */
class StreamsTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Time in which an idle selector thread surely reads what has arrived, ms. */
  private static final long SELECTOR_TURN_MILLIS = 300;

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private Sockets sockets;
  private EventLoop loop;
  private Streams streams;
  private volatile Stream lastAccepted;

  /** Records the events of the connections. */
  private class RecordingListener implements Streams.Listener {
    @Override
    public boolean prioritizesAccepted() {
      return true;
    }

    @Override
    public void accepted(Stream stream) {
      lastAccepted = stream;
      events.add("accepted");
    }

    @Override
    public void connected(Stream stream) {
      events.add("connected");
    }

    @Override
    public void lost(Stream stream, Streams.Loss loss) {
      events.add("lost " + loss);
    }

    @Override
    public void read(Stream stream, byte[] octets, double arrivedMillis) {
      events.add("read " + new String(octets, StandardCharsets.UTF_8));
    }
  }

  @BeforeEach
  void start() throws IOException {
    sockets = Sockets.streamsOnly(1);
    loop = new EventLoop("test", System.nanoTime(), 100);
    streams =
        new Streams(sockets, loop, new Streams.Limits(3, 2, 1_000, 5_000), new RecordingListener());
    loop.start();
  }

  @AfterEach
  void stop() {
    streams.stopListening();
    loop.close();
    sockets.close();
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(10, TimeUnit.SECONDS);
  }

  @Test
  void acceptReadAndCloseAreReported() throws Exception {
    int port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
    try (Socket socket = new Socket(LOOPBACK, port)) {
      assertEquals("accepted", nextEvent());
      socket.getOutputStream().write("hello".getBytes(StandardCharsets.UTF_8));
      assertEquals("read hello", nextEvent());
    }
    assertEquals("lost CLOSED", nextEvent());
  }

  @Test
  void connectionAboveLimitIsClosedAndFreedSlotIsReused() throws Exception {
    int port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
    try (Socket one = new Socket(LOOPBACK, port);
        Socket two = new Socket(LOOPBACK, port)) {
      assertEquals("accepted", nextEvent());
      assertEquals("accepted", nextEvent());
      try (Socket three = new Socket(LOOPBACK, port)) {
        assertEquals(-1, three.getInputStream().read());
      }
      assertTrue(two.isConnected());
      one.shutdownOutput();
      assertEquals("lost CLOSED", nextEvent());
      try (Socket four = new Socket(LOOPBACK, port)) {
        assertEquals("accepted", nextEvent());
        assertTrue(four.isConnected());
      }
    }
  }

  @Test
  void refusedConnectionIsReported() throws Exception {
    int closedPort;
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      closedPort = server.getLocalPort();
    }
    loop.put(() -> streams.connect(new InetSocketAddress(LOOPBACK, closedPort), null));
    assertEquals("lost TURNED_AWAY", nextEvent());
  }

  @Test
  void queuedBytesAreSentOnConnectBeforeClose() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      loop.put(
          () -> {
            Stream stream =
                streams.connect(new InetSocketAddress(LOOPBACK, server.getLocalPort()), null);
            assertTrue(stream.send("early".getBytes(StandardCharsets.UTF_8)));
            events.add("send rejected " + !stream.send(new byte[1_000]));
          });
      assertEquals("send rejected true", nextEvent());
      try (Socket accepted = server.accept()) {
        assertEquals("connected", nextEvent());
        assertEquals("early", new String(accepted.getInputStream().readNBytes(5)));
      }
      assertEquals("lost CLOSED", nextEvent());
    }
  }

  /** The peer would write to a connection that this side has given up, and nobody would read. */
  @Test
  @Timeout(30)
  void aConnectionThatWasNotMadeInTimeDoesNotComeUpLater() throws Exception {
    Streams.Limits limits = new Streams.Limits(3, 2, 1_000, 200);
    Streams impatient = new Streams(sockets, loop, limits, new RecordingListener());
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK);
        Socket first = new Socket(LOOPBACK, server.getLocalPort());
        Socket second = new Socket(LOOPBACK, server.getLocalPort())) {
      loop.put(
          () -> impatient.connect(new InetSocketAddress(LOOPBACK, server.getLocalPort()), null));
      assertEquals("lost NOT_MADE", nextEvent());
      assertEquals(first.getLocalPort(), acceptPort(server));
      assertEquals(second.getLocalPort(), acceptPort(server));
      server.setSoTimeout(4_000);
      assertThrows(SocketTimeoutException.class, () -> acceptPort(server));
    }
  }

  private static int acceptPort(ServerSocket server) throws IOException {
    try (Socket accepted = server.accept()) {
      return accepted.getPort();
    }
  }

  /** Blocks the loop until the returned latch is counted down. */
  private CountDownLatch blockLoop() throws InterruptedException {
    CountDownLatch unblock = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    loop.put(
        () -> {
          blocked.countDown();
          try {
            unblock.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    blocked.await();
    return unblock;
  }

  @Test
  void urgentTasksRunBeforeEarlierTasks() throws Exception {
    CountDownLatch unblock = blockLoop();
    loop.put(() -> events.add("ordinary"));
    loop.executePrioritized(() -> events.add("prioritized"));
    loop.executeUrgent(() -> events.add("urgent"));
    unblock.countDown();
    assertEquals("urgent", nextEvent());
    assertEquals("prioritized", nextEvent());
    assertEquals("ordinary", nextEvent());
  }

  @Test
  void prioritizedTaskRunsBeforeDueTimer() throws Exception {
    CountDownLatch timerSet = new CountDownLatch(1);
    CountDownLatch taskQueued = new CountDownLatch(1);
    loop.put(
        () -> {
          loop.after(0, () -> events.add("timer"));
          timerSet.countDown();
          try {
            taskQueued.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    timerSet.await();
    loop.executePrioritized(() -> events.add("prioritized"));
    taskQueued.countDown();
    assertEquals("prioritized", nextEvent());
    assertEquals("timer", nextEvent());
  }

  /**
   * Checks that a peer that closes, half-closes or resets while the loop is busy is reported as
   * lost before a task that was queued earlier.
   */
  private void assertLossPrecedesQueuedTask(SocketAction termination) throws Exception {
    int port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
    try (Socket socket = new Socket(LOOPBACK, port)) {
      assertEquals("accepted", nextEvent());
      CountDownLatch unblock = blockLoop();
      loop.put(() -> events.add("queued task"));
      termination.on(socket);
      while (loop.queuedTasks() < 2) {
        Thread.onSpinWait();
      }
      unblock.countDown();
      assertEquals("lost CLOSED", nextEvent());
      assertEquals("queued task", nextEvent());
    }
  }

  /** An action on the socket of the peer. */
  private interface SocketAction {
    void on(Socket socket) throws IOException;
  }

  @Test
  @Timeout(30)
  void closePrecedesEarlierTask() throws Exception {
    assertLossPrecedesQueuedTask(Socket::close);
  }

  @Test
  @Timeout(30)
  void halfClosePrecedesEarlierTask() throws Exception {
    assertLossPrecedesQueuedTask(Socket::shutdownOutput);
  }

  @Test
  @Timeout(30)
  void resetPrecedesEarlierTask() throws Exception {
    assertLossPrecedesQueuedTask(
        socket -> {
          socket.setSoLinger(true, 0);
          socket.close();
        });
  }

  @Test
  void queuedBytesAreSentBeforeClose() throws Exception {
    int port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
    try (Socket socket = new Socket(LOOPBACK, port)) {
      assertEquals("accepted", nextEvent());
      loop.put(
          () -> {
            lastAccepted.send("bye".getBytes(StandardCharsets.UTF_8));
            streams.close(lastAccepted);
          });
      assertEquals("bye", new String(socket.getInputStream().readAllBytes()));
    }
  }

  /** Spare threads of the pool ended after 30 s without work, and the process with them. */
  @Test
  void thePoolOfSelectorThreadsHasNoSpareThreads() throws Exception {
    int port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
    for (int i = 0; i < 50; i++) {
      try (Socket socket = new Socket(LOOPBACK, port)) {
        assertEquals("accepted", nextEvent());
        socket.shutdownOutput();
        assertEquals("lost CLOSED", nextEvent());
      }
    }
    assertEquals(1, sockets.startedSelectorThreads());
    Sockets both = new Sockets(2);
    assertEquals(4, both.startedSelectorThreads());
    both.close();
  }

  @Test
  void aSelectorThreadThatHasEndedIsReported() throws Exception {
    Sockets other = Sockets.streamsOnly(1);
    assertTrue(other.isAlive());
    other.close();
    for (int i = 0; i < 1_000 && other.isAlive(); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertFalse(other.isAlive());
  }

  /** Messages of a few bytes, queued for a peer that does not read, took many times their bytes. */
  @Test
  void theMemoryOfSmallMessagesThatWaitIsBounded() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      InetSocketAddress address = new InetSocketAddress(LOOPBACK, server.getLocalPort());
      loop.put(
          () -> {
            Stream stream = streams.connect(address, null);
            int accepted = 0;
            while (stream.send(new byte[1])) {
              accepted++;
            }
            events.add("accepted " + accepted);
          });
      assertEquals("accepted " + 1_000 / (Stream.MESSAGE_OVERHEAD_BYTES + 1), nextEvent());
    }
  }

  /** Each refused message stayed counted, until no stream could have two messages queued. */
  @Test
  void aMessageThatIsNotQueuedIsNotCounted() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      InetSocketAddress address = new InetSocketAddress(LOOPBACK, server.getLocalPort());
      loop.put(
          () -> {
            Stream stream = streams.connect(address, null);
            for (int i = 0; i < 20; i++) {
              stream.send(new byte[1_000]);
            }
            boolean first = stream.send(new byte[1]);
            boolean second = stream.send(new byte[1]);
            events.add("queued " + first + " " + second);
          });
      assertEquals("queued true true", nextEvent());
    }
  }

  /** Releases were lost: what a switch wrote first on a new connection was read by nobody. */
  @Test
  @Timeout(30)
  void whatThePeerWritesFirstIsReadAfterTheConnectionIsReported() throws Exception {
    RecordingListener inOrder =
        new RecordingListener() {
          @Override
          public void read(Stream stream, byte[] octets, double arrivedMillis) {
            String text = new String(octets, StandardCharsets.UTF_8);
            loop.execute(() -> events.add("read " + text + " for " + stream.attachment()));
          }
        };
    Streams outbound = new Streams(sockets, loop, new Streams.Limits(3, 2, 1_000, 5_000), inOrder);
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      server.setSoTimeout(10_000);
      InetSocketAddress address = new InetSocketAddress(LOOPBACK, server.getLocalPort());
      CountDownLatch written = new CountDownLatch(1);
      waitAfterRegistration(written);
      loop.put(() -> outbound.connect(address, "attached"));
      try (Socket accepted = server.accept()) {
        accepted.getOutputStream().write("first".getBytes(StandardCharsets.UTF_8));
        TimeUnit.MILLISECONDS.sleep(SELECTOR_TURN_MILLIS);
        written.countDown();
        assertEquals("connected", nextEvent());
        assertEquals("read first for attached", nextEvent());
        assertEquals(0, outbound.discardedBytes());
      }
    }
  }

  /**
   * Holds each thread that starts to connect, after its connection was registered with the selector
   * thread, until a latch is counted down: the selector thread is first with all that follows.
   */
  private void waitAfterRegistration(CountDownLatch until) {
    NIOChannelDistributor distributor = sockets.streamTransport().getNIOChannelDistributor();
    InvocationHandler waiting =
        (proxy, method, arguments) -> {
          Object result = method.invoke(distributor, arguments);
          assertTrue(until.await(10, TimeUnit.SECONDS));
          return result;
        };
    Class<?>[] types = {NIOChannelDistributor.class};
    sockets
        .streamTransport()
        .setNIOChannelDistributor(
            (NIOChannelDistributor)
                Proxy.newProxyInstance(getClass().getClassLoader(), types, waiting));
  }
}
