package coveladder.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where staff speak to a running controller: a Unix domain socket in its state folder that only its
 * own user may open. One line is one order; what is answered ends with the connection.
 */
final class ControlSocket implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControlSocket.class);
  private static final int LONGEST = 100;
  private static final int LINE = 4_096;
  private static final int AT_A_TIME = 4;
  private static final long LASTS = 60;

  private final Path place;
  private final ServerSocketChannel server;
  private final Map<String, Order> orders = new ConcurrentHashMap<>();
  private final ScheduledExecutorService pool = Executors.newScheduledThreadPool(AT_A_TIME + 1);
  private volatile boolean open = true;

  /** Carries out one order and prints what comes of it. */
  interface Order {
    /** Does it. */
    void carryOut(PrintWriter answers) throws InterruptedException;
  }

  /** Listens in a folder, which this process has to itself. */
  ControlSocket(Path folder) throws IOException {
    place = place(folder);
    Files.deleteIfExists(place);
    server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(place), AT_A_TIME);
    Files.setPosixFilePermissions(place, PosixFilePermissions.fromString("rw-------"));
    Thread thread = new Thread(this::accept, "control");
    thread.setDaemon(true);
    thread.start();
  }

  static Path place(Path folder) throws IOException {
    Path place = folder.toAbsolutePath().resolve("control");
    if (place.toString().length() > LONGEST) {
      throw new IOException(
          "state folder " + folder + " has a name too long for its control socket");
    }
    return place;
  }

  /** Names what carries out an order. */
  void serve(String name, Order order) {
    orders.put(name, order);
  }

  private void accept() {
    while (open) {
      try {
        SocketChannel caller = server.accept();
        ScheduledFuture<?> bound = pool.schedule(() -> close(caller), LASTS, TimeUnit.SECONDS);
        pool.execute(() -> serve(caller, bound));
      } catch (IOException e) {
        open = false;
      }
    }
  }

  private void serve(SocketChannel caller, ScheduledFuture<?> bound) {
    try (caller;
        BufferedReader in =
            new BufferedReader(Channels.newReader(caller, StandardCharsets.UTF_8), LINE);
        PrintWriter answers =
            new PrintWriter(Channels.newWriter(caller, StandardCharsets.UTF_8), true)) {
      String line = in.readLine();
      Order order = line == null ? null : orders.get(line.trim());
      if (order == null) {
        answers.println("unknown order; there are " + String.join(", ", orders.keySet()));
      } else {
        order.carryOut(answers);
      }
    } catch (IOException e) {
      LOG.debug("a control connection broke", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      bound.cancel(false);
    }
  }

  private static void close(SocketChannel caller) {
    try {
      caller.close();
    } catch (IOException e) {
      LOG.debug("a control connection did not close", e);
    }
  }

  /** Takes no more orders; one that is being carried out goes on. */
  @Override
  public void close() {
    open = false;
    try {
      server.close();
      Files.deleteIfExists(place);
    } catch (IOException e) {
      LOG.debug("the control socket did not close", e);
    }
    pool.shutdown();
  }

  /** A connection to the controller that has a folder. */
  static final class Line implements AutoCloseable {
    private final SocketChannel channel;
    private final BufferedReader in;

    private Line(SocketChannel channel) {
      this.channel = channel;
      this.in =
          new BufferedReader(
              new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8));
    }

    /** Gives one order; null where no controller has the folder. */
    static Line give(Path folder, String order) throws IOException {
      if (!Files.exists(place(folder))) {
        return null;
      }
      SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
      try {
        channel.connect(UnixDomainSocketAddress.of(place(folder)));
      } catch (IOException e) {
        channel.close();
        return null;
      }
      PrintWriter out = new PrintWriter(Channels.newWriter(channel, StandardCharsets.UTF_8), true);
      out.println(order);
      return new Line(channel);
    }

    /** The next line of the answer; null at its end. */
    String next() throws IOException {
      return in.readLine();
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
