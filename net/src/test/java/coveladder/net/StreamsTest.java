package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections whatever is spoken on them. */
class StreamsTest {
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
  private Sockets sockets;
  private EventLoop loop;
  private Streams streams;
  private volatile Stream last;

  /** Writes down what is heard. */
  private final class User implements Streams.Listener {
    @Override
    public boolean prioritizesAccepted() {
      return true;
    }

    @Override
    public void accepted(Stream stream) {
      last = stream;
      heard.add("accepted");
    }

    @Override
    public void connected(Stream stream) {
      heard.add("connected");
    }

    @Override
    public void lost(Stream stream, Streams.Loss loss) {
      heard.add("lost " + loss);
    }

    @Override
    public void read(Stream stream, byte[] octets, double arrived) {
      heard.add("read " + new String(octets, StandardCharsets.UTF_8));
    }
  }

  @BeforeEach
  void start() throws IOException {
    sockets = Sockets.streamsOnly(1);
    loop = new EventLoop("test", System.nanoTime(), 100);
    streams = new Streams(sockets, loop, new Streams.Limits(3, 2, 1_000, 5_000), new User());
    loop.start();
  }

  @AfterEach
  void stop() {
    streams.stopListening();
    loop.close();
    sockets.close();
  }

  private String next() throws InterruptedException {
    return heard.poll(10, TimeUnit.SECONDS);
  }

  @Test
  void connectionsAreTakenReadAndLost() throws Exception {
    int port = streams.listen(new InetSocketAddress(HERE, 0));
    try (Socket socket = new Socket(HERE, port)) {
      assertEquals("accepted", next());
      socket.getOutputStream().write("hello".getBytes(StandardCharsets.UTF_8));
      assertEquals("read hello", next());
    }
    assertEquals("lost CLOSED", next());
  }

  @Test
  void oneMoreThanTheBoundIsClosedAsItComesAndRoomIsFoundAgain() throws Exception {
    int port = streams.listen(new InetSocketAddress(HERE, 0));
    try (Socket one = new Socket(HERE, port);
        Socket two = new Socket(HERE, port)) {
      assertEquals("accepted", next());
      assertEquals("accepted", next());
      try (Socket three = new Socket(HERE, port)) {
        assertEquals(-1, three.getInputStream().read());
      }
      assertTrue(two.isConnected());
      one.shutdownOutput();
      assertEquals("lost CLOSED", next());
      try (Socket four = new Socket(HERE, port)) {
        assertEquals("accepted", next());
        assertTrue(four.isConnected());
      }
    }
  }

  @Test
  void aConnectionTurnedAwayIsToldAsSuch() throws Exception {
    int free;
    try (ServerSocket gone = new ServerSocket(0, 1, HERE)) {
      free = gone.getLocalPort();
    }
    loop.put(() -> streams.connect(new InetSocketAddress(HERE, free)));
    assertEquals("lost TURNED_AWAY", next());
  }

  @Test
  void whatWaitsForAConnectionLeavesWithItAndACloseComesAfter() throws Exception {
    try (ServerSocket far = new ServerSocket(0, 1, HERE)) {
      loop.put(
          () -> {
            Stream stream = streams.connect(new InetSocketAddress(HERE, far.getLocalPort()));
            assertTrue(stream.send("early".getBytes(StandardCharsets.UTF_8)));
            heard.add("too much " + !stream.send(new byte[1_000]));
          });
      assertEquals("too much true", next());
      try (Socket taken = far.accept()) {
        assertEquals("connected", next());
        assertEquals("early", new String(taken.getInputStream().readNBytes(5)));
      }
      assertEquals("lost CLOSED", next());
    }
  }

  /** Holds the loop until it is let go. */
  private CountDownLatch held() throws InterruptedException {
    CountDownLatch go = new CountDownLatch(1);
    CountDownLatch holds = new CountDownLatch(1);
    loop.put(
        () -> {
          holds.countDown();
          try {
            go.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    holds.await();
    return go;
  }

  @Test
  void urgentNewsIsHeardBeforeWhatWaitedLonger() throws Exception {
    CountDownLatch go = held();
    loop.put(() -> heard.add("call"));
    loop.executePrioritized(() -> heard.add("left"));
    loop.executeUrgent(() -> heard.add("drain"));
    go.countDown();
    assertEquals("drain", next());
    assertEquals("left", next());
    assertEquals("call", next());
  }

  @Test
  void whatWasSaidIsHeardBeforeATimerThatIsDue() throws Exception {
    CountDownLatch set = new CountDownLatch(1);
    CountDownLatch said = new CountDownLatch(1);
    loop.put(
        () -> {
          loop.after(0, () -> heard.add("timer"));
          set.countDown();
          try {
            said.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    set.await();
    loop.executePrioritized(() -> heard.add("left"));
    said.countDown();
    assertEquals("left", next());
    assertEquals("timer", next());
  }

  /** One who closes, half-closes or resets while the loop is busy is known to have gone at once. */
  private void gone(Action ends) throws Exception {
    int port = streams.listen(new InetSocketAddress(HERE, 0));
    try (Socket socket = new Socket(HERE, port)) {
      assertEquals("accepted", next());
      CountDownLatch go = held();
      loop.put(() -> heard.add("sent on"));
      ends.on(socket);
      while (loop.queuedTasks() < 2) {
        Thread.onSpinWait();
      }
      go.countDown();
      assertEquals("lost CLOSED", next());
      assertEquals("sent on", next());
    }
  }

  /** What one end does. */
  private interface Action {
    void on(Socket socket) throws IOException;
  }

  @Test
  @Timeout(30)
  void oneWhoClosedIsGoneBeforeWhatWaitedLonger() throws Exception {
    gone(Socket::close);
  }

  @Test
  @Timeout(30)
  void oneWhoHalfClosedIsGoneBeforeWhatWaitedLonger() throws Exception {
    gone(Socket::shutdownOutput);
  }

  @Test
  @Timeout(30)
  void oneWhoResetIsGoneBeforeWhatWaitedLonger() throws Exception {
    gone(
        socket -> {
          socket.setSoLinger(true, 0);
          socket.close();
        });
  }

  @Test
  void answersLeaveBeforeTheCloseThatFollowsThem() throws Exception {
    int port = streams.listen(new InetSocketAddress(HERE, 0));
    try (Socket socket = new Socket(HERE, port)) {
      assertEquals("accepted", next());
      loop.put(
          () -> {
            last.send("bye".getBytes(StandardCharsets.UTF_8));
            streams.close(last);
          });
      assertEquals("bye", new String(socket.getInputStream().readAllBytes()));
    }
  }
}
