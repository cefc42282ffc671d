package coveladder.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The command line by which the deploy file starts a controller. */
final class RunLine {
  /** Root of the repository, in which the command runs. */
  static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private RunLine() {}

  /** Returns the command of the line {@code run} in deploy/balancer.toml. */
  static List<String> command() throws IOException {
    String deployFile = Files.readString(ROOT.resolve("deploy/balancer.toml"));
    String line =
        deployFile.lines().filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
    String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    return List.of("/bin/sh", "-c", command);
  }
}
