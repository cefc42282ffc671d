package coveladder.serve;

import coveladder.isup.MalformedException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Creates the class-data archive (JEP 350) during the build: runs a controller for a few calls and
 * lets the virtual machine archive the classes that it loaded, so that later starts are faster.
 */
final class ClassArchive {
  private static final int TRAINING_CALLS = 50;

  private ClassArchive() {}

  /**
   * Creates the archive.
   *
   * @param arguments path of the jar to run and path of the archive to write, relative to the
   *     working directory
   */
  public static void main(String[] arguments) throws Exception {
    String jar = arguments[0];
    String archive = arguments[1];
    Files.deleteIfExists(Path.of(archive));
    Path folder = Files.createTempDirectory("class-archive");
    try {
      train(folder, jar, archive);
    } catch (IOException | MalformedException e) {
      System.err.println("no class archive, starts will be slower: " + e.getMessage());
    } finally {
      Files.deleteIfExists(folder.resolve("config.json"));
      Files.deleteIfExists(folder);
    }
  }

  private static void train(Path folder, String jar, String archive)
      throws IOException, MalformedException, InterruptedException {
    List<String> options =
        List.of("-XX:+UseSerialGC", "-XX:ArchiveClassesAtExit=" + archive, "-jar", jar, "serve");
    try (LoopbackPlatform platform =
        new LoopbackPlatform(folder, LoopbackPlatform.command(options))) {
      for (int callNumber = 1; callNumber <= TRAINING_CALLS; callNumber++) {
        String id = String.format("%016x", callNumber);
        platform.sendSetUp(id);
        platform.answerCall(id, "made");
        platform.releaseCall(id, 16);
      }
      platform.process().destroy();
      platform.process().waitFor(30, TimeUnit.SECONDS);
    }
  }
}
