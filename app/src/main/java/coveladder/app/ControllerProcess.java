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
  private static final long POLL_INTERVAL_MILLIS = 5;
  private static final long START_TIMEOUT_MILLIS = 20_000;

  private final Path settings;
  private final Path log;
  private Process process;
  private int startCount;

  ControllerProcess(Path settings, Path log) {
    this.settings = settings;
    this.log = log;
  }

  /** Starts the process. */
  void launch() throws IOException {
    launch(List.of());
  }

  /** Waits until the controller listens. */
  void awaitReady() throws IOException, InterruptedException {
    awaitLine(log(startCount), "controller runs");
  }

  /**
   * Starts a new process that takes over the calls of this one, and waits until this one has ended.
   * Returns how long neither of them was listening, ms.
   */
  double takeOver() throws IOException, InterruptedException {
    Process predecessor = process;
    launch(List.of("--take-over"));
    String line = awaitLine(log(startCount), "took over");
    predecessor.waitFor(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    Matcher pause = LISTENING_PAUSE.matcher(line);
    return pause.find() ? Double.parseDouble(pause.group(1)) : Double.NaN;
  }

  /** Kills the process by SIGKILL and waits until it has ended. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Path log(int start) {
    return log.resolveSibling(log.getFileName() + "." + start);
  }

  private void launch(List<String> options) throws IOException {
    startCount++;
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx192m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(List.of(Main.class.getName(), "run", "--config", settings.toString()));
    command.addAll(options);
    File output = log(startCount).toFile();
    process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
  }

  /** Waits for a message in a log and returns the rest of its line, from the message on. */
  private String awaitLine(Path file, String message) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
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

  /** The errors and uncaught exceptions in the logs of all its starts. */
  List<String> errors() throws IOException {
    List<String> errors = new ArrayList<>();
    for (int i = 1; i <= startCount; i++) {
      for (String line : Files.readAllLines(log(i), StandardCharsets.UTF_8)) {
        boolean isError = line.contains("\"level\":\"ERROR\"") || line.startsWith("Exception");
        if (isError) {
          errors.add(line);
        }
      }
    }
    return errors;
  }
}
