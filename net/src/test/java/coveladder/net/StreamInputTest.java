package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Input of streams that the event loop does not take, or takes in parts. */
class StreamInputTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int MANY_BYTES = 1 << 20;
  private static final long TIMEOUT_MILLIS = 10_000;

  /** Time in which far more would be read than may wait. */
  private static final long SETTLE_MILLIS = 200;

  private final LinkedBlockingQueue<Stream> accepted = new LinkedBlockingQueue<>();
  private Sockets sockets;
  private EventLoop loop;
  private Streams streams;
  private int port;

  /** Keeps what is read in the stream's input. */
  private final class KeepingListener implements Streams.Listener {
    @Override
    public void accepted(Stream stream) {
      accepted.add(stream);
    }

    @Override
    public void lost(Stream stream, Streams.Loss loss) {}

    @Override
    public void read(Stream stream, byte[] octets, double arrivedMillis) {
      stream.input().add(octets, arrivedMillis);
    }
  }

  @BeforeEach
  void start() throws IOException {
    sockets = Sockets.streamsOnly(1);
    loop = new EventLoop("test", System.nanoTime(), 100);
    Streams.Limits limits = new Streams.Limits(10, 10, 1_000, 5_000);
    streams = new Streams(sockets, loop, limits, new KeepingListener());
    loop.start();
    port = streams.listen(new InetSocketAddress(LOOPBACK, 0));
  }

  @AfterEach
  void stop() {
    streams.stopListening();
    loop.close();
    sockets.close();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "not in time");
      Thread.sleep(1);
    }
  }

  /** Takes input as it comes: it counts as waiting just before it can be taken. */
  private static StreamInput.Part takeNext(Stream stream, int maxBytes)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    StreamInput.Part part = stream.input().take(maxBytes);
    while (part == null) {
      assertTrue(System.nanoTime() < end, "not in time");
      Thread.sleep(1);
      part = stream.input().take(maxBytes);
    }
    return part;
  }

  private Stream nextAccepted() throws InterruptedException {
    return accepted.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static void writeInBackground(Socket socket, byte[] octets) {
    Thread writer =
        new Thread(
            () -> {
              try {
                socket.getOutputStream().write(octets);
              } catch (IOException e) {
                // The test has ended.
              }
            });
    writer.setDaemon(true);
    writer.start();
  }

  /** Guards against input that fills the memory, or holds up others, as one peer sends much. */
  @Test
  void aStreamWhoseInputWaitsIsNotReadAndHoldsUpNoOther() throws Exception {
    try (Socket fast = new Socket(LOOPBACK, port);
        Socket other = new Socket(LOOPBACK, port)) {
      Stream first = nextAccepted();
      Stream second = nextAccepted();
      byte[] octets = new byte[MANY_BYTES];
      for (int i = 0; i < octets.length; i++) {
        octets[i] = (byte) (i / 7);
      }
      writeInBackground(fast, octets);
      await(first::hasUnreadInput);
      other.getOutputStream().write(5);
      assertEquals(5, takeNext(second, 100).octets()[0]);
      Thread.sleep(SETTLE_MILLIS);
      int waiting = first.input().waitingBytes();
      assertTrue(waiting < 2 * StreamInput.SUSPEND_BYTES, waiting + " bytes wait");
      int received = 0;
      while (received < MANY_BYTES) {
        for (byte octet : takeNext(first, 1_000).octets()) {
          assertEquals(octets[received++], octet);
        }
      }
      assertFalse(first.input().hasWaiting());
    }
  }

  /** Guards against the end of a connection that is behind input and therefore not known. */
  @Test
  void inputThatIsNotTakenIsKnownAsUnread() throws Exception {
    try (Socket peer = new Socket(LOOPBACK, port)) {
      Stream stream = nextAccepted();
      assertFalse(stream.hasUnreadInput());
      peer.getOutputStream().write(new byte[100]);
      await(stream::hasUnreadInput);
      assertEquals(60, takeNext(stream, 60).octets().length);
      assertTrue(stream.hasUnreadInput());
      assertTrue(stream.input().visitAgain());
      assertEquals(40, stream.input().take(60).octets().length);
      assertFalse(stream.hasUnreadInput());
      assertFalse(stream.input().visitAgain());
      peer.shutdownOutput();
      await(stream::hasUnreadInput);
    }
  }
}
