package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program as a separate process with a switch, a journal service and a caller on sockets.
 */
@Timeout(60)
class ServeTest {
  private static final String CALL_ID = "9b1f03aa5c7e2d41";

  @TempDir private Path folder;

  @Test
  void servesCallsFollowsANewConfigurationAndEndsOnSigterm() throws Exception {
    List<String> options =
        List.of("-cp", System.getProperty("java.class.path"), "coveladder.serve.Serve", "serve");
    try (LoopbackPlatform platform =
            new LoopbackPlatform(folder, LoopbackPlatform.command(options));
        ServerSocket newJournal = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertEquals("tail 1", platform.readJournalRequest());
      String open = platform.sendSetUp(CALL_ID);
      assertTrue(
          open.contains("\"sid\":\"" + CALL_ID + "\"") && open.contains("\"text\":\"offer\""));
      CallerMessage answer = platform.answerCall(CALL_ID, "made");
      assertEquals(CallerMessage.ANSWER, answer.type());
      assertEquals("made", answer.text(CallerMessage.DESCRIPTION));
      assertEquals(16, platform.releaseCall(CALL_ID, 16).cause());
      platform.writeConfiguration(newJournal.getLocalPort());
      signal(platform.process(), "HUP");
      newJournal.setSoTimeout(20_000);
      try (Socket journalConnection = newJournal.accept()) {
        assertEquals("tail 1", LoopbackPlatform.reader(journalConnection).readLine());
      }
      signal(platform.process(), "TERM");
      assertTrue(platform.process().waitFor(20, TimeUnit.SECONDS));
      assertEquals(0, platform.process().exitValue());
    }
  }

  /** The deploy file's launcher restores SIGHUP when the parent ignores it, as nohup does. */
  @Test
  void readsANewConfigurationEvenIfTheParentIgnoresSighup() throws Exception {
    String deployFile = Files.readString(Path.of("..", "deploy", "balancer.toml"));
    String runLine =
        deployFile.lines().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
    String launcher = runLine.substring(runLine.indexOf("exec"), runLine.indexOf("java "));
    String classes = System.getProperty("java.class.path");
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String line =
        "trap '' HUP; " + launcher + java + " -cp '" + classes + "' coveladder.serve.Serve serve";
    try (LoopbackPlatform platform = new LoopbackPlatform(folder, List.of("sh", "-c", line));
        ServerSocket newJournal = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertEquals("tail 1", platform.readJournalRequest());
      platform.writeConfiguration(newJournal.getLocalPort());
      signal(platform.process(), "HUP");
      newJournal.setSoTimeout(20_000);
      try (Socket journalConnection = newJournal.accept()) {
        assertEquals("tail 1", LoopbackPlatform.reader(journalConnection).readLine());
      }
    }
  }

  private static void signal(Process process, String name) throws Exception {
    String pid = Long.toString(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }
}
