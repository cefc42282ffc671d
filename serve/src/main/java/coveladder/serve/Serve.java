package coveladder.serve;

import coveladder.NestedThresholdPolicy;
import coveladder.isupfront.IsupFront;
import coveladder.isupfront.Limits;
import coveladder.isupfront.PlatformSettings;
import coveladder.net.EventLoop;
import coveladder.net.Sockets;
import coveladder.net.Streams;
import coveladder.wire.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * `coveladder serve`: one call controller on the users' platform, in the foreground, told all by
 * the file that RELAY_CONFIG names. Loads nothing that it does not need.
 */
public final class Serve {
  private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
  private static final int HUP = 1;
  private static final int QUEUE = 8_192;
  private static final int WAITING = 1 << 19;
  private static final double CONNECT_WITHIN = 500;
  private static final double TELL_EVERY = 5_000;
  private static final int USABLE_TRIES = 20;
  private static final long USABLE_AGAIN = 100;

  private final Path file;
  private final EventLoop loop;
  private final IsupFront front;
  private final SocketWires wires;
  private final Reloads reloads = new Reloads(this::reload);
  private final CountDownLatch ended = new CountDownLatch(1);

  private Serve(Path file, PlatformSettings settings) throws IOException {
    this.file = file;
    this.loop = new EventLoop("controller", LoopClock.unixOrigin(), QUEUE);
    Limits limits = Limits.within(settings.descriptors(), settings.policy().controllerCount());
    this.wires = new SocketWires(Sockets.streamsOnly(1), loop, bounds(settings, limits));
    this.front =
        new IsupFront(
            settings,
            limits,
            wires,
            new LoopClock(loop),
            deeds -> new NestedThresholdPolicy(settings.policy(), settings.seed(), deeds));
  }

  private static Streams.Limits bounds(PlatformSettings settings, Limits limits) {
    int accepted = limits.callerLinks() + 8;
    return new Streams.Limits(settings.descriptors(), accepted, WAITING, CONNECT_WITHIN);
  }

  /** Runs the command and exits: 0 ended as told, 2 wrongly asked. */
  public static void main(String[] arguments) {
    System.exit(run(System.getenv("RELAY_CONFIG")));
  }

  /** Serves until told to end; the exit status. */
  public static int run(String config) {
    if (config == null || config.isEmpty()) {
      LOG.error("RELAY_CONFIG is not set, expected the path of a configuration file");
      return 2;
    }
    try {
      Path file = Path.of(config);
      PlatformSettings settings = PlatformSettings.read(Files.readAllBytes(file));
      new Serve(file, settings).serve(settings);
      return 0;
    } catch (WireException | IOException e) {
      LOG.error("{}: {}", config, e.getMessage());
      return 2;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private void serve(PlatformSettings settings) throws IOException, InterruptedException {
    Signals.setHandler("TERM", () -> loop.execute(this::terminate));
    Signals.setHandler("HUP", reloads::ask);
    if (Signals.isIgnored(HUP)) {
      LOG.warn("SIGHUP was set to be ignored before the start: no new configuration will be read");
    }
    loop.after(0, front::start);
    loop.after(TELL_EVERY, this::tell);
    wires.listen(
        new InetSocketAddress(settings.listen().host(), settings.listen().port()), front::accepted);
    loop.start();
    LOG.info(
        "{} serves at {}:{}", settings.name(), settings.listen().host(), settings.listen().port());
    ended.await();
    loop.close();
  }

  private void terminate() {
    LOG.info("told to end; {}", front.state());
    reloads.end();
    front.terminate();
    awaitEnd();
  }

  private void awaitEnd() {
    if (front.ended()) {
      LOG.info("ends; {}; {}", front.state(), front.counters().news());
      ended.countDown();
    } else {
      loop.after(20, this::awaitEnd);
    }
  }

  /** Reads the file again; it may be half written, so an unusable one is read some times more. */
  private void reload() throws InterruptedException {
    String problem = "";
    for (int i = 0; i < USABLE_TRIES; i++) {
      try {
        PlatformSettings settings = PlatformSettings.read(Files.readAllBytes(file));
        loop.execute(() -> front.reconfigure(settings));
        LOG.info("configuration read again; journal service at {}", settings.journal());
        return;
      } catch (WireException | IOException e) {
        problem = e.getMessage();
      }
      Thread.sleep(USABLE_AGAIN);
    }
    LOG.error("the configuration stays as it was; {}: {}", file, problem);
  }

  private void tell() {
    String news = front.counters().news();
    LOG.info(
        "{}; faults {}{}", front.state(), loop.failedTasks(), news.isEmpty() ? "" : "; " + news);
    loop.after(TELL_EVERY, this::tell);
  }
}
