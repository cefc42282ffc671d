package coveladder.app;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A controller process on this host, which a rehearsal starts, kills and has taken over. */
final class ControllerProcess {
  private static final Pattern LISTENING_PAUSE =
      Pattern.compile("\"listeningPauseMillis\":([0-9.]+)");

  /** Interval at which the log of a starting process is read, ms. */
  private static final long POLL_INTERVAL_MILLIS = 5;

  /** Longest time for a process to start, and for an ended one to exit, ms. */
  private static final long START_OR_EXIT_TIMEOUT_MILLIS = 20_000;

  private final Path settingsFile;
  private final Path logBasePath;
  private Process process;
  private int launchCount;

  /**
   * Creates a controller that is not running yet.
   *
   * @param settingsFile its settings file
   * @param logBasePath path of its log files, without the number that each launch appends
   */
  ControllerProcess(Path settingsFile, Path logBasePath) {
    this.settingsFile = settingsFile;
    this.logBasePath = logBasePath;
  }

  /** Starts the process. */
  void launch() throws IOException {
    launch(List.of());
  }

  /** Waits until the controller listens. */
  void awaitReady() throws IOException, InterruptedException {
    awaitLine(logFile(launchCount), "controller runs");
  }

  /**
   * Starts a new process that takes over the calls of this one, and waits until this one has ended.
   * Returns how long neither of them was listening, ms.
   */
  double takeOver() throws IOException, InterruptedException {
    Process predecessor = process;
    launch(List.of("--take-over"));
    String line = awaitLine(logFile(launchCount), "took over");
    predecessor.waitFor(START_OR_EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    Matcher pause = LISTENING_PAUSE.matcher(line);
    return pause.find() ? Double.parseDouble(pause.group(1)) : Double.NaN;
  }

  /** Kills the process by SIGKILL and waits until it has ended. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(START_OR_EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Path logFile(int launchNumber) {
    return logBasePath.resolveSibling(logBasePath.getFileName() + "." + launchNumber);
  }

  private void launch(List<String> options) throws IOException {
    launchCount++;
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx192m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(List.of(Main.class.getName(), "run", "--config", settingsFile.toString()));
    command.addAll(options);
    File output = logFile(launchCount).toFile();
    process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
  }

  /** Waits for a message in a log and returns its line from the message to the end. */
  private String awaitLine(Path file, String message) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_OR_EXIT_TIMEOUT_MILLIS * 1_000_000;
    while (System.nanoTime() < deadlineNanos && process.isAlive()) {
      String content = Files.readString(file, StandardCharsets.UTF_8);
      int position = content.indexOf(message);
      if (position >= 0 && content.indexOf('\n', position) > 0) {
        return content.substring(position, content.indexOf('\n', position));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IOException("a controller did not start; its log: " + file);
  }

  /** Returns the errors and uncaught exceptions in the logs of all launches. */
  List<String> errors() throws IOException {
    List<String> errors = new ArrayList<>();
    for (int i = 1; i <= launchCount; i++) {
      for (String line : Files.readAllLines(logFile(i), StandardCharsets.UTF_8)) {
        boolean isError = line.contains("\"level\":\"ERROR\"") || line.startsWith("Exception");
        if (isError) {
          errors.add(line);
        }
      }
    }
    return errors;
  }
}
