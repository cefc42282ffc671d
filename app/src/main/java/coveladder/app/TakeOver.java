package coveladder.app;

import static net.logstash.logback.argument.StructuredArguments.kv;

import coveladder.store.DiskStore;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes over the calls of a running controller, for an upgrade. This process has started and read
 * its settings before the other one releases its sockets and its state folder.
 */
final class TakeOver {
  private static final Logger LOG = LoggerFactory.getLogger(TakeOver.class);
  private static final long RETRY_INTERVAL_NANOS = 2_000_000;
  private static final long START_TIMEOUT_NANOS = 10_000_000_000L;

  private TakeOver() {}

  /** Starts a controller in place of the one, if any, that uses the same state folder. */
  static Daemon startInPlace(Settings settings)
      throws IOException, DiskStore.UnusableFolderException {
    warmUp(settings);
    long releasedNanos = requestHandOver(settings);
    if (releasedNanos == 0) {
      LOG.info("no controller has the state folder; this is a plain start");
      return new Daemon(settings);
    }
    Daemon daemon = startWithRetries(settings);
    double pauseMillis = (System.nanoTime() - releasedNanos) / 1e6;
    LOG.info("took over", kv("listeningPauseMillis", Math.round(pauseMillis * 10) / 10.0));
    return daemon;
  }

  /**
   * Starts and closes a controller on other ports and with an empty state folder, so that the
   * classes are loaded before the running controller stops listening.
   */
  private static void warmUp(Settings settings)
      throws IOException, DiskStore.UnusableFolderException {
    Path folder = Files.createTempDirectory("coveladder-warm");
    LogLevel.set("error");
    try (DatagramSocket unusedSocket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      new Daemon(settings.forWarmUp(folder, unusedSocket.getLocalPort())).close();
    } finally {
      LogLevel.set(settings.logLevel());
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
      }
      Files.delete(folder);
    }
  }

  /**
   * Asks the running controller to hand over and returns the time at which it closed its sockets,
   * ns by {@link System#nanoTime}, which is common to the processes of a host; 0 if no controller
   * is running.
   */
  private static long requestHandOver(Settings settings) throws IOException {
    try (ControlSocket.Connection connection =
        ControlSocket.Connection.send(settings.state().folder(), "hand-over")) {
      String answer = connection == null ? null : connection.readLine();
      while (answer != null) {
        if (answer.startsWith("released ")) {
          return Long.parseLong(answer.substring(9));
        }
        answer = connection.readLine();
      }
      return 0;
    }
  }

  /** Retries until the state folder is free: the other process may still be closing its file. */
  private static Daemon startWithRetries(Settings settings)
      throws IOException, DiskStore.UnusableFolderException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT_NANOS;
    while (true) {
      try {
        return new Daemon(settings);
      } catch (DiskStore.UnusableFolderException e) {
        if (System.nanoTime() > deadlineNanos) {
          throw e;
        }
        LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
      }
    }
  }
}
