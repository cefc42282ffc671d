package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process with few file descriptors, which the connections of idle clients could use up. The
 * switch, the journal service and active callers must still be able to connect.
 */
@Timeout(90)
class DescriptorLimitTest {
  private static final int DESCRIPTOR_LIMIT = 256;
  private static final int IDLE_CLIENTS = 2 * DESCRIPTOR_LIMIT;

  @TempDir private Path folder;

  private static List<String> command() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    String line =
        "ulimit -n "
            + DESCRIPTOR_LIMIT
            + "; exec "
            + java
            + " -cp '"
            + classes
            + "' coveladder.serve.Serve";
    return List.of("sh", "-c", line);
  }

  /** Sends a test request; false if the connection was closed to free a descriptor. */
  private static boolean isAnswered(Socket client) throws IOException {
    try {
      client
          .getOutputStream()
          .write(CallerCodec.encode(CallerMessage.withCause(52, "00000000000000aa", 0)));
      return client.getInputStream().read() >= 0;
    } catch (SocketException e) {
      return false;
    }
  }

  @Test
  void idleClientsLeaveDescriptorsForOtherConnectionsWhileTheJournalIsDown() throws Exception {
    List<Socket> idleClients = new ArrayList<>();
    try (LoopbackPlatform platform = new LoopbackPlatform(folder, command())) {
      assertEquals("tail 1", platform.readJournalRequest());
      platform.stopJournal();
      int answeredCount = 0;
      for (int i = 0; i < IDLE_CLIENTS; i++) {
        Socket client = platform.connectCaller();
        idleClients.add(client);
        answeredCount += isAnswered(client) ? 1 : 0;
      }
      assertTrue(answeredCount > DESCRIPTOR_LIMIT / 2, "idle clients answered: " + answeredCount);
      platform.reconnectSwitch();
      platform.connectCaller();
      for (int i = 1; i <= 20; i++) {
        String id = String.format("%016x", i);
        assertTrue(platform.sendSetUp(id).contains(id));
        assertEquals(CallerMessage.ANSWER, platform.answerCall(id, "made").type());
        assertEquals(16, platform.releaseCall(id, 16).cause());
      }
      assertEquals("tail 1", platform.restartJournal());
    } finally {
      for (Socket client : idleClients) {
        client.close();
      }
    }
  }
}
