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
 * The program as a process of its own, with a switch, a journal service and a caller on sockets.
 */
@Timeout(60)
class ServeTest {
  private static final String ID = "9b1f03aa5c7e2d41";

  @TempDir private Path folder;

  @Test
  void itServesCallsFollowsANewConfigurationAndEndsWhenTold() throws Exception {
    List<String> options =
        List.of("-cp", System.getProperty("java.class.path"), "coveladder.serve.Serve", "serve");
    try (LoopbackPlatform platform =
            new LoopbackPlatform(folder, LoopbackPlatform.command(options));
        ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertEquals("tail 1", platform.asked());
      String open = platform.setUp(ID);
      assertTrue(open.contains("\"sid\":\"" + ID + "\"") && open.contains("\"text\":\"offer\""));
      CallerMessage answer = platform.answer(ID, "made");
      assertEquals(CallerMessage.ANSWER, answer.type());
      assertEquals("made", answer.text(CallerMessage.DESCRIPTION));
      assertEquals(16, platform.close(ID, 16).cause());
      platform.configure(moved.getLocalPort());
      signal(platform.process(), "HUP");
      moved.setSoTimeout(20_000);
      try (Socket again = moved.accept()) {
        assertEquals("tail 1", LoopbackPlatform.reader(again).readLine());
      }
      signal(platform.process(), "TERM");
      assertTrue(platform.process().waitFor(20, TimeUnit.SECONDS));
      assertEquals(0, platform.process().exitValue());
    }
  }

  /** As the deploy file starts it: a parent that ignores SIGHUP, as nohup does, changes nothing. */
  @Test
  void aNewConfigurationIsReadAlsoWhereTheParentIgnoresItsSignal() throws Exception {
    String deploy = Files.readString(Path.of("..", "deploy", "balancer.toml"));
    String run = deploy.lines().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
    String starter = run.substring(run.indexOf("exec"), run.indexOf("java "));
    String classes = System.getProperty("java.class.path");
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String line =
        "trap '' HUP; " + starter + java + " -cp '" + classes + "' coveladder.serve.Serve serve";
    try (LoopbackPlatform platform = new LoopbackPlatform(folder, List.of("sh", "-c", line));
        ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertEquals("tail 1", platform.asked());
      platform.configure(moved.getLocalPort());
      signal(platform.process(), "HUP");
      moved.setSoTimeout(20_000);
      try (Socket again = moved.accept()) {
        assertEquals("tail 1", LoopbackPlatform.reader(again).readLine());
      }
    }
  }

  private static void signal(Process process, String name) throws Exception {
    String pid = Long.toString(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }
}
