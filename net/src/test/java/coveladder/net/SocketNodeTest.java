package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a node on real sockets of the loopback interface. */
class SocketNodeTest {
  private static final String HOST = "127.0.0.1";
  private static final SocketLimits LIMITS = new SocketLimits(2_000, 3_000, 3, 50_000, 400, 30_000);

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<Hop> sources = new LinkedBlockingQueue<>();
  private Sockets sockets;
  private EventLoop loop;
  private SocketNode node;

  @BeforeEach
  void start() throws IOException {
    sockets = new Sockets(1);
    loop = new EventLoop("test", System.nanoTime(), 1_000);
    node = new SocketNode(sockets, loop, LIMITS, HOST, 0, 1);
    loop.start();
    node.start(
        new SipNode() {
          @Override
          public void start() {
            events.add("started");
          }

          @Override
          public void receive(Hop from, byte[] message, double arrivedMillis) {
            sources.add(from);
            events.add(new String(message, StandardCharsets.ISO_8859_1));
          }

          @Override
          public void connectionFailed(Hop hop, Failure failure) {
            events.add(failure + " " + hop.port());
          }
        });
    assertEquals("started", nextEvent());
  }

  @AfterEach
  void stop() {
    node.close();
    loop.close();
    sockets.close();
  }

  private String nextEvent() {
    try {
      return events.poll(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  void udpAndTcpShareOnePort() throws IOException {
    try (DatagramSocket udp = new DatagramSocket();
        Socket tcp = new Socket(HOST, node.port())) {
      byte[] datagram = bytes("by datagram");
      InetAddress to = InetAddress.getByName(HOST);
      udp.send(new DatagramPacket(datagram, datagram.length, to, node.port()));
      assertEquals("by datagram", nextEvent());
      String message = "A b SIP/2.0\r\nl: 3\r\n\r\nxyz";
      tcp.getOutputStream().write(bytes(message));
      assertEquals(message, nextEvent());
    }
  }

  @Test
  void responsesUseTheConnectionOfTheRequest() throws Exception {
    try (Socket tcp = new Socket(HOST, node.port())) {
      tcp.getOutputStream().write(bytes("A b SIP/2.0\r\nl: 0\r\n\r\n"));
      assertNotNull(nextEvent());
      Hop from = sources.poll(10, TimeUnit.SECONDS);
      assertEquals(tcp.getLocalPort(), from.port());
      loop.offer(() -> node.send(from, bytes("answer")));
      assertArrayEquals(bytes("answer"), tcp.getInputStream().readNBytes(6));
    }
  }

  @Test
  void fragmentedMessagesAreReassembled() throws IOException {
    String message = "A b SIP/2.0\r\nContent-Length: 4\r\n\r\nbody";
    try (Socket tcp = new Socket(HOST, node.port())) {
      tcp.setTcpNoDelay(true);
      for (byte octet : bytes(message + message)) {
        tcp.getOutputStream().write(octet);
        tcp.getOutputStream().flush();
      }
      assertEquals(message, nextEvent());
      assertEquals(message, nextEvent());
    }
  }

  @Test
  void pingIsAnsweredByPong() throws IOException {
    try (Socket tcp = new Socket(HOST, node.port())) {
      tcp.getOutputStream().write(bytes("\r\n\r\n"));
      assertArrayEquals(bytes("\r\n"), tcp.getInputStream().readNBytes(2));
    }
  }

  @Test
  void refusedConnectionIsReported() throws IOException {
    int closedPort;
    try (ServerSocket server = new ServerSocket(0)) {
      closedPort = server.getLocalPort();
    }
    loop.offer(() -> node.send(new Hop(Transport.TCP, HOST, closedPort), bytes("x")));
    assertEquals("REFUSED " + closedPort, nextEvent());
  }

  @Test
  void resetIsReportedAndNextMessageReconnects() throws IOException {
    try (ServerSocket server = new ServerSocket(0)) {
      Hop to = new Hop(Transport.TCP, HOST, server.getLocalPort());
      loop.offer(() -> node.send(to, bytes("one")));
      try (Socket first = server.accept()) {
        assertArrayEquals(bytes("one"), first.getInputStream().readNBytes(3));
        first.setSoLinger(true, 0);
      }
      assertEquals("RESET " + to.port(), nextEvent());
      loop.offer(() -> node.send(to, bytes("two")));
      try (Socket second = server.accept()) {
        assertArrayEquals(bytes("two"), second.getInputStream().readNBytes(3));
      }
    }
  }

  @Test
  void peerThatDoesNotReadIsDisconnectedAtQueueLimit() throws IOException {
    try (ServerSocket server = new ServerSocket(0)) {
      Hop to = new Hop(Transport.TCP, HOST, server.getLocalPort());
      byte[] message = new byte[40_000];
      for (int i = 0; i < 900; i++) {
        loop.offer(() -> node.send(to, message));
        if (node.overflowDisconnects() > 0) {
          break;
        }
      }
      assertEquals("RESET " + to.port(), nextEvent());
    }
  }

  @Test
  void connectionAboveLimitIsClosed() throws IOException {
    Socket[] open = new Socket[LIMITS.maxConnections()];
    for (int i = 0; i < open.length; i++) {
      open[i] = new Socket(HOST, node.port());
      open[i].getOutputStream().write(bytes("A b SIP/2.0\r\nl: 0\r\n\r\n"));
      assertNotNull(nextEvent());
    }
    try (Socket extra = new Socket(HOST, node.port())) {
      assertConnectionClosed(extra.getInputStream());
    }
    for (Socket socket : open) {
      socket.close();
    }
  }

  @Test
  void oversizedHeaderClosesConnection() throws IOException {
    try (Socket tcp = new Socket(HOST, node.port())) {
      tcp.getOutputStream().write(new byte[LIMITS.maxHeadBytes() + 10]);
      assertConnectionClosed(tcp.getInputStream());
    }
  }

  /** The selector reads the message before the loop has accepted the connection. */
  @Test
  @Timeout(30)
  void malformedMessageReadBeforeTheLoopAcceptsItsConnectionClosesIt() throws Exception {
    CountDownLatch unblock = new CountDownLatch(1);
    loop.put(() -> awaitUninterruptibly(unblock));
    try (Socket tcp = new Socket(HOST, node.port())) {
      tcp.getOutputStream().write(new byte[LIMITS.maxHeadBytes() + 10]);
      tcp.setSoTimeout(10_000);
      Thread.sleep(300);
      unblock.countDown();
      assertConnectionClosed(tcp.getInputStream());
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void assertConnectionClosed(InputStream in) {
    int read;
    try {
      read = in.read();
    } catch (SocketTimeoutException e) {
      read = 0;
    } catch (IOException e) {
      read = -1;
    }
    assertEquals(-1, read);
  }

  @Test
  void bindErrorNamesThePort() {
    IOException error =
        assertThrows(
            IOException.class, () -> new SocketNode(sockets, loop, LIMITS, HOST, node.port(), 1));
    assertEquals(true, error.getMessage().contains(Integer.toString(node.port())));
  }

  /** A request that came between the opening of the ports and the start was never answered. */
  @Test
  void messagesReadBeforeTheStartAreDeliveredAfterIt() throws Exception {
    try (SocketNode early = new SocketNode(sockets, loop, LIMITS, HOST, 0, 1);
        Socket tcp = new Socket(HOST, early.port())) {
      String message = "A b SIP/2.0\r\nl: 3\r\n\r\nxyz";
      tcp.getOutputStream().write(bytes(message));
      TimeUnit.MILLISECONDS.sleep(300);
      BlockingQueue<String> received = new LinkedBlockingQueue<>();
      early.start(
          new SipNode() {
            @Override
            public void start() {
              received.add("started");
            }

            @Override
            public void receive(Hop from, byte[] octets, double arrivedMillis) {
              received.add(new String(octets, StandardCharsets.ISO_8859_1));
            }

            @Override
            public void connectionFailed(Hop hop, Failure failure) {}
          });
      assertEquals("started", received.poll(10, TimeUnit.SECONDS));
      assertEquals(message, received.poll(10, TimeUnit.SECONDS));
    }
  }
}
