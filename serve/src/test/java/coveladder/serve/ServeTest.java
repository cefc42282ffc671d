package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The program as a process of its own, with a switch, a journal service and a caller on sockets.
 */
@Timeout(60)
class ServeTest {
  private static final String ID = "9b1f03aa5c7e2d41";
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();

  @TempDir private Path folder;
  private ServerSocket farSwitch;
  private ServerSocket journal;
  private int port;
  private Process process;

  @BeforeEach
  void begin() throws IOException {
    farSwitch = new ServerSocket(0, 50, HERE);
    journal = new ServerSocket(0, 50, HERE);
    try (ServerSocket free = new ServerSocket(0, 50, HERE)) {
      port = free.getLocalPort();
    }
    Files.writeString(folder.resolve("config.json"), config(journal.getLocalPort()));
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "coveladder.serve.Serve");
    builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
    process = builder.redirectErrorStream(true).start();
  }

  @AfterEach
  void end() throws IOException {
    process.destroyForcibly();
    farSwitch.close();
    journal.close();
  }

  private String config(int journalPort) {
    return """
    {"name":"n0","listen":"127.0.0.1:%d","seed":"1","journal":"127.0.0.1:%d",
     "limits":{"sockets":256},"known":{"pos":1,"entries":[{"pos":1,"hosts":{"generation":1,
      "reset":true,"instances":[{"instanceId":"s1","hostPort":"127.0.0.1:%d","cell":1,
      "lifecycle":"in_service","startedAtMs":0}]}}]},
     "settings":{"classes":[{"name":"voice","aim":1200,"giveUp":9000}],
      "familyInfo":{"selfNo":0},"instances":2,"permissions":{"attemptsCap":6,"cancel":true},
      "rules":{"drainGrace":250}}}
    """
        .formatted(port, journalPort, farSwitch.getLocalPort());
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void say(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private static CallerMessage hear(Socket socket) throws Exception {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return CallerCodec.decode(in.readNBytes(in.readUnsignedShort()));
  }

  private static byte[] setUp() {
    Map<Integer, byte[]> with = new LinkedHashMap<>();
    with.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.LEFT, "5000".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.FIGURES, "dest:1;width:1".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.DESCRIPTION, "offer".getBytes(StandardCharsets.UTF_8));
    return CallerCodec.encode(new CallerMessage(CallerMessage.SET_UP, ID, with));
  }

  @Test
  void itServesACallFollowsANewConfigurationAndEndsWhenTold() throws Exception {
    try (Socket events = journal.accept();
        Socket toSwitch = farSwitch.accept();
        Socket caller = new Socket(HERE, port)) {
      assertEquals("tail 1", reader(events).readLine());
      say(toSwitch, "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:9;size:9\"}}");
      caller.getOutputStream().write(setUp());
      String open = reader(toSwitch).readLine();
      assertTrue(open.contains("\"sid\":\"" + ID + "\"") && open.contains("\"text\":\"offer\""));
      say(toSwitch, "{\"msg\":\"ready\",\"sid\":\"" + ID + "\",\"attrs\":{},\"text\":\"made\"}");
      CallerMessage answer = hear(caller);
      assertEquals(CallerMessage.ANSWER, answer.type());
      assertEquals("made", answer.text(CallerMessage.DESCRIPTION));
      try (ServerSocket moved = new ServerSocket(0, 50, HERE)) {
        Files.writeString(folder.resolve("config.json"), config(moved.getLocalPort()));
        signal("HUP");
        try (Socket again = moved.accept()) {
          assertEquals("tail 1", reader(again).readLine());
        }
        signal("TERM");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
      }
    }
  }

  private void signal(String name) throws Exception {
    String pid = Long.toString(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }
}
