package coveladder.app;

import coveladder.serve.Signals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a controller until SIGTERM or until its calls are taken over. */
@Command(
    name = "run",
    description = "Run a controller in the foreground until SIGTERM; SIGHUP reloads its settings.")
final class RunCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(RunCommand.class);

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "settings file, a KDL document")
  private Path config;

  @Option(
      names = "--take-over",
      description = "take over the calls of the running controller that uses the same state folder")
  private boolean takeOver;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Settings settings = SettingsFile.read(config);
    LogLevel.set(settings.logLevel());
    if (takeOver && settings.state() == null) {
      spec.commandLine().getErr().println("--take-over needs a state folder in the settings");
      return 2;
    }
    Daemon daemon = takeOver ? TakeOver.startInPlace(settings) : new Daemon(settings);
    Signals.setHandler("HUP", () -> reload(daemon));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "end"));
    daemon.awaitTermination();
    return 0;
  }

  private static void shutDown(Daemon daemon) {
    try {
      daemon.shutDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reloads the settings; an unusable file changes nothing. */
  private void reload(Daemon daemon) {
    try {
      daemon.reload(SettingsFile.read(config));
    } catch (IOException | SettingsFile.UnusableSettingsException e) {
      LOG.error("settings not reloaded: {}", e.getMessage());
    }
  }
}
