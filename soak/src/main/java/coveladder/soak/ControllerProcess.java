package coveladder.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/** The process of one controller, started by the run line of the deploy file. */
final class ControllerProcess {
  private final Path root;
  private final Path folder;
  private final String name;
  private Process process;

  ControllerProcess(Path root, Path folder, String name) {
    this.root = root;
    this.folder = folder;
    this.name = name;
  }

  /** Replaces the configuration file at once. */
  void writeConfiguration(String json) throws IOException {
    Path written = folder.resolve(name + ".tmp");
    Files.writeString(written, json);
    Files.move(written, configurationFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  private Path configurationFile() {
    return folder.resolve(name + ".json");
  }

  /** The file that holds what the process writes. */
  Path logFile() {
    return folder.resolve(name + ".log");
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(List.of("/bin/sh", "-c", runLine()));
    builder.directory(root.toFile());
    builder.environment().put("RELAY_CONFIG", configurationFile().toAbsolutePath().toString());
    builder.environment().put("RELAY_NAME", name);
    builder.redirectErrorStream(true);
    File log = logFile().toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  private String runLine() throws IOException {
    String deployFile = Files.readString(root.resolve("deploy/balancer.toml"));
    String line =
        deployFile.lines().filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  /** Sends a signal, such as TERM. */
  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process and waits for its end. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
