package coveladder.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one controller until SIGTERM. */
@Command(
    name = "run",
    description = "Run a controller in the foreground until SIGTERM; SIGHUP reloads its settings.")
final class RunCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(RunCommand.class);

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "settings, a KDL document")
  private Path config;

  @Override
  public Integer call() throws Exception {
    Settings settings = SettingsFile.read(config);
    LogLevel.set(settings.logLevel());
    Daemon daemon = new Daemon(settings);
    CountDownLatch done = new CountDownLatch(1);
    Signals.on("HUP", () -> reload(daemon));
    Thread end = new Thread(() -> end(daemon, done), "end");
    Runtime.getRuntime().addShutdownHook(end);
    done.await();
    return 0;
  }

  private static void end(Daemon daemon, CountDownLatch done) {
    try {
      daemon.shutDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    done.countDown();
  }

  /** A file that cannot be used changes nothing. */
  private void reload(Daemon daemon) {
    try {
      daemon.reload(SettingsFile.read(config));
    } catch (IOException | SettingsFile.Unusable e) {
      LOG.error("settings not reloaded: {}", e.getMessage());
    }
  }
}
