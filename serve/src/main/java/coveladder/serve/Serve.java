package coveladder.serve;

import coveladder.NestedThresholdPolicy;
import coveladder.isupfront.IsupFrontEnd;
import coveladder.isupfront.Limits;
import coveladder.isupfront.PlatformSettings;
import coveladder.net.EventLoop;
import coveladder.net.FatalErrorHandler;
import coveladder.net.Sockets;
import coveladder.net.Streams;
import coveladder.wire.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The command {@code coveladder serve}: runs one call controller on the users' platform in the
 * foreground, configured by the file that RELAY_CONFIG names. It loads only the classes that it
 * needs.
 */
public final class Serve {
  private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

  /** Number of the signal HUP. */
  private static final int HUP_NUMBER = 1;

  /** Maximum number of tasks queued for the event loop. */
  private static final int QUEUE_CAPACITY = 8_192;

  /** Maximum number of bytes queued on one connection. */
  private static final int MAX_QUEUED_BYTES = 1 << 19;

  private static final double CONNECT_TIMEOUT_MILLIS = 500;

  /** Interval at which the threads of the process are checked, ms. */
  private static final long THREAD_CHECK_INTERVAL_MILLIS = 200;

  private static final double STATE_LOG_INTERVAL_MILLIS = 5_000;

  /** Maximum number of times that an unusable configuration file is read. */
  private static final int MAX_RELOAD_ATTEMPTS = 20;

  /** Delay before an unusable configuration file is read again, ms. */
  private static final long RELOAD_RETRY_MILLIS = 100;

  private final Path configurationFile;
  private final EventLoop loop;
  private final EventLogger eventLogger = new EventLogger(LOG::info);
  private final IsupFrontEnd frontEnd;
  private final Sockets sockets;
  private final SocketTransport transport;
  private final ConfigurationReloader reloader = new ConfigurationReloader(this::reload);
  private final CountDownLatch terminated = new CountDownLatch(1);

  private Serve(Path configurationFile, PlatformSettings settings) throws IOException {
    this.configurationFile = configurationFile;
    this.loop = new EventLoop("controller", LoopClock.unixEpochNanos(), QUEUE_CAPACITY);
    Limits limits =
        Limits.forDescriptors(
            settings.maxDescriptors(), settings.policySettings().controllerCount());
    this.sockets = Sockets.streamsOnly(1);
    this.transport = new SocketTransport(sockets, loop, streamLimits(settings, limits));
    this.frontEnd =
        new IsupFrontEnd(
            settings,
            limits,
            transport,
            new LoopClock(loop),
            eventLogger,
            actions ->
                new NestedThresholdPolicy(settings.policySettings(), settings.seed(), actions));
  }

  /**
   * Returns the limits of the sockets. They allow a few more accepted connections than the front
   * end keeps, since it closes one only after a new one was accepted.
   */
  private static Streams.Limits streamLimits(PlatformSettings settings, Limits limits) {
    int maxAccepted = limits.maxCallerConnections() + 8;
    return new Streams.Limits(
        settings.maxDescriptors() - Limits.PROCESS_DESCRIPTORS,
        maxAccepted,
        MAX_QUEUED_BYTES,
        CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Runs the command and exits: 0 ended on request, 2 unusable configuration, {@link
   * FatalErrorHandler#EXIT_STATUS} a thread met an error.
   */
  public static void main(String[] arguments) {
    FatalErrorHandler.install();
    System.exit(run(System.getenv("RELAY_CONFIG")));
  }

  /**
   * Serves until the process is asked to end.
   *
   * @param configurationPath path of the configuration file
   * @return the exit status: 0 ended on request, 2 unusable configuration
   */
  public static int run(String configurationPath) {
    if (configurationPath == null || configurationPath.isEmpty()) {
      LOG.error("RELAY_CONFIG is not set, expected the path of a configuration file");
      return 2;
    }
    try {
      Path configurationFile = Path.of(configurationPath);
      PlatformSettings settings = PlatformSettings.read(Files.readAllBytes(configurationFile));
      new Serve(configurationFile, settings).serve(settings);
      return 0;
    } catch (WireException | IOException e) {
      LOG.error("{}: {}", configurationPath, e.getMessage());
      return 2;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private void serve(PlatformSettings settings) throws IOException, InterruptedException {
    Signals.setHandler("TERM", () -> loop.execute(this::terminate));
    Signals.setHandler("HUP", reloader::requestReload);
    if (Signals.isIgnored(HUP_NUMBER)) {
      LOG.warn("SIGHUP was set to be ignored before the start: no new configuration will be read");
    }
    loop.after(0, frontEnd::start);
    loop.after(STATE_LOG_INTERVAL_MILLIS, this::logState);
    transport.listen(
        new InetSocketAddress(settings.listenAddress().host(), settings.listenAddress().port()),
        frontEnd::acceptCaller);
    loop.start();
    LOG.info(
        "{} listening on {}:{}",
        settings.name(),
        settings.listenAddress().host(),
        settings.listenAddress().port());
    awaitEnd();
    loop.close();
  }

  /**
   * Waits until the process may end.
   *
   * @throws Error if a thread has ended without which calls are neither read nor answered
   */
  private void awaitEnd() throws InterruptedException {
    while (!terminated.await(THREAD_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
      if (!loop.isAlive() || !sockets.isAlive()) {
        throw new Error("the event loop or a selector thread has ended");
      }
    }
  }

  private void terminate() {
    LOG.info("terminating; {}", frontEnd.stateSummary());
    reloader.stop();
    frontEnd.terminate();
    awaitTermination();
  }

  /** Checks every 20 ms whether the front end has terminated, and then lets the process end. */
  private void awaitTermination() {
    if (frontEnd.isTerminated()) {
      LOG.info("terminated; {}; {}", frontEnd.stateSummary(), frontEnd.counters().takeChanges());
      terminated.countDown();
    } else {
      loop.after(20, this::awaitTermination);
    }
  }

  /** Reloads the file; it may be only partly written, so an unusable file is read again. */
  private void reload() throws InterruptedException {
    String problem = "";
    for (int attempt = 0; attempt < MAX_RELOAD_ATTEMPTS; attempt++) {
      try {
        PlatformSettings settings = PlatformSettings.read(Files.readAllBytes(configurationFile));
        loop.execute(() -> frontEnd.reconfigure(settings));
        LOG.info("configuration read again; journal service at {}", settings.journalAddress());
        return;
      } catch (WireException | IOException e) {
        problem = e.getMessage();
      }
      Thread.sleep(RELOAD_RETRY_MILLIS);
    }
    LOG.error("the configuration stays as it was; {}: {}", configurationFile, problem);
  }

  private void logState() {
    String changedCounters = frontEnd.counters().takeChanges();
    StringBuilder line = new StringBuilder();
    EventLogger.appendTime(line, loop.now());
    line.append(' ').append(frontEnd.stateSummary());
    line.append("; faults ").append(loop.failedTasks());
    line.append("; octets discarded ").append(transport.discardedBytes());
    line.append("; lines left out ").append(eventLogger.takeSuppressedLines());
    line.append(changedCounters.isEmpty() ? "" : "; ").append(changedCounters);
    LOG.info(line.toString());
    loop.after(STATE_LOG_INTERVAL_MILLIS, this::logState);
  }
}
