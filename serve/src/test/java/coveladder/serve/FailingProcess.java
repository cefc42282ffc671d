package coveladder.serve;

import coveladder.net.EventLoop;
import coveladder.net.FatalErrorHandler;
import coveladder.net.Sockets;
import coveladder.net.Stream;
import coveladder.net.Streams;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of which one thread meets an error; it would otherwise run for a minute. */
final class FailingProcess {
  private static final int BLOCK_BYTES = 1 << 20;

  private FailingProcess() {}

  public static void main(String[] arguments) throws Exception {
    FatalErrorHandler.install();
    EventLoop loop = new EventLoop("controller", System.nanoTime(), 100);
    loop.start();
    switch (arguments[0]) {
      case "loop" -> loop.execute(FailingProcess::fillHeap);
      case "selector" -> failOnRead(loop);
      case "unread log" -> failWithUnreadLog(loop);
      default -> throw new IllegalArgumentException(arguments[0]);
    }
    TimeUnit.MINUTES.sleep(1);
  }

  private static void fillHeap() {
    List<byte[]> blocks = new ArrayList<>();
    while (true) {
      blocks.add(new byte[BLOCK_BYTES]);
    }
  }

  private static void failOnRead(EventLoop loop) throws IOException {
    Streams.Listener listener =
        new Streams.Listener() {
          @Override
          public void accepted(Stream stream) {}

          @Override
          public void lost(Stream stream, Streams.Loss loss) {}

          @Override
          public void read(Stream stream, byte[] octets, double arrivedMillis) {
            throw new StackOverflowError();
          }
        };
    Streams.Limits limits = new Streams.Limits(3, 2, 1_000, 5_000);
    Streams streams = new Streams(Sockets.streamsOnly(1), loop, limits, listener);
    int port = streams.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.getOutputStream().write(1);
  }

  private static void failWithUnreadLog(EventLoop loop) throws InterruptedException {
    Thread writer =
        new Thread(
            () -> {
              while (true) {
                System.err.println("a line that nobody reads");
              }
            });
    writer.setDaemon(true);
    writer.start();
    TimeUnit.SECONDS.sleep(1);
    loop.execute(
        () -> {
          throw new AssertionError("with a full log");
        });
  }
}
