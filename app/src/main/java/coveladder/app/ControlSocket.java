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
 * The administrative interface of a running controller: a Unix domain socket in its state folder
 * that only the controller's user may open. A connection carries one command line and the lines of
 * its answer, and is then closed.
 */
final class ControlSocket implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControlSocket.class);

  /** Longest path of the socket; a socket address holds 108 bytes on Linux. */
  private static final int MAX_PATH_CHARS = 100;

  private static final int READ_BUFFER_CHARS = 4_096;
  private static final int MAX_CONCURRENT_COMMANDS = 4;

  /** Time after which a connection is closed, even during a command, s. */
  private static final long CONNECTION_TIMEOUT_SECONDS = 60;

  private final Path socketPath;
  private final ServerSocketChannel server;
  private final Map<String, CommandHandler> handlers = new ConcurrentHashMap<>();

  /** Has one thread more than {@link #MAX_CONCURRENT_COMMANDS}, for the time-outs. */
  private final ScheduledExecutorService executor =
      Executors.newScheduledThreadPool(MAX_CONCURRENT_COMMANDS + 1);

  private volatile boolean open = true;

  /** Executes one command. */
  interface CommandHandler {
    /**
     * Executes the command.
     *
     * @param answers receives the lines of the answer
     */
    void carryOut(PrintWriter answers) throws InterruptedException;
  }

  /** Listens in a state folder, which this process has locked. */
  ControlSocket(Path folder) throws IOException {
    socketPath = socketPath(folder);
    Files.deleteIfExists(socketPath);
    server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(socketPath), MAX_CONCURRENT_COMMANDS);
    Files.setPosixFilePermissions(socketPath, PosixFilePermissions.fromString("rw-------"));
    Thread thread = new Thread(this::accept, "control");
    thread.setDaemon(true);
    thread.start();
  }

  /** The path of the socket in a state folder. */
  static Path socketPath(Path folder) throws IOException {
    Path path = folder.toAbsolutePath().resolve("control");
    if (path.toString().length() > MAX_PATH_CHARS) {
      throw new IOException(
          "state folder " + folder + " has a name too long for its control socket");
    }
    return path;
  }

  /** Registers the handler of a command. */
  void registerHandler(String name, CommandHandler handler) {
    handlers.put(name, handler);
  }

  private void accept() {
    while (open) {
      try {
        SocketChannel client = server.accept();
        ScheduledFuture<?> timeout =
            executor.schedule(() -> close(client), CONNECTION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        executor.execute(() -> handleConnection(client, timeout));
      } catch (IOException e) {
        open = false;
      }
    }
  }

  private void handleConnection(SocketChannel client, ScheduledFuture<?> timeout) {
    try (client;
        BufferedReader in =
            new BufferedReader(
                Channels.newReader(client, StandardCharsets.UTF_8), READ_BUFFER_CHARS);
        PrintWriter answers =
            new PrintWriter(Channels.newWriter(client, StandardCharsets.UTF_8), true)) {
      String line = in.readLine();
      CommandHandler handler = line == null ? null : handlers.get(line.trim());
      if (handler == null) {
        answers.println("unknown order; there are " + String.join(", ", handlers.keySet()));
      } else {
        handler.carryOut(answers);
      }
    } catch (IOException e) {
      LOG.debug("a control connection broke", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      timeout.cancel(false);
    }
  }

  private static void close(SocketChannel client) {
    try {
      client.close();
    } catch (IOException e) {
      LOG.debug("a control connection did not close", e);
    }
  }

  /** Accepts no more commands; those in progress continue. */
  @Override
  public void close() {
    open = false;
    try {
      server.close();
      Files.deleteIfExists(socketPath);
    } catch (IOException e) {
      LOG.debug("the control socket did not close", e);
    }
    executor.shutdown();
  }

  /** A connection to the controller that uses a state folder. */
  static final class Connection implements AutoCloseable {
    private final SocketChannel channel;
    private final BufferedReader in;

    private Connection(SocketChannel channel) {
      this.channel = channel;
      this.in =
          new BufferedReader(
              new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8));
    }

    /** Connects and sends one command; returns null if no controller uses the folder. */
    static Connection send(Path folder, String command) throws IOException {
      if (!Files.exists(socketPath(folder))) {
        return null;
      }
      SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
      try {
        channel.connect(UnixDomainSocketAddress.of(socketPath(folder)));
      } catch (IOException e) {
        channel.close();
        return null;
      }
      PrintWriter out = new PrintWriter(Channels.newWriter(channel, StandardCharsets.UTF_8), true);
      out.println(command);
      return new Connection(channel);
    }

    /** Returns the next line of the answer; null at its end. */
    String readLine() throws IOException {
      return in.readLine();
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
