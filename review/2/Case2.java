package review;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Two clients release ids that no switch knows, at full speed, and read whatever is sent to them. The
 * usual client must still get a final answer to each of its set-ups in time.
 */
final class Case2 {
  private static final int BAD_CLIENTS = 2;
  private static final long FLOOD_MILLIS = 15_000;

  private Case2() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, Case2::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    for (Switch each : deployment.switches) {
      if (each != null) {
        each.holdMillis = 12_000;
      }
    }
    Deployment.Traffic traffic = deployment.new Traffic(40);
    Thread.sleep(6_000);
    if (deployment.trouble) {
      for (int client = 0; client < BAD_CLIENTS; client++) {
        Journal.daemon(() -> releaseUnknownIds(deployment));
      }
    }
    Thread.sleep(FLOOD_MILLIS + 3_000);
    traffic.end();
    Thread.sleep(14_000);
    long lost = deployment.countLost();
    long cut =
        deployment.calls.values().stream().filter(call -> call.releaseCause == 41).count();
    deployment.record.say(deployment.summary() + "; final answer later than "
        + Deployment.LOST_AFTER_MILLIS + " ms after their time, or never: " + lost);
    deployment.record.say("calls that stood and were released as cut, cause 41, although no switch"
        + " cut any (not part of the check): " + cut);
    return lost == 0;
  }

  private static void releaseUnknownIds(Deployment deployment) {
    long written = 0;
    long until = System.currentTimeMillis() + FLOOD_MILLIS;
    try (Socket socket = new Socket(Controller.HOST, deployment.controller.port)) {
      Journal.daemon(() -> readAll(socket));
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
      deployment.record.line("bad client", "begins to release ids that no switch knows");
      while (System.currentTimeMillis() < until) {
        out.write(Caller.message(12, Caller.newId(), new int[] {30}, new byte[][] {{16}}));
        written++;
      }
    } catch (IOException e) {
      deployment.record.line("bad client", "connection ended: " + e.getMessage());
    }
    deployment.record.line("bad client", "written: " + written + " releases in " + FLOOD_MILLIS
        + " ms, 15 octets each");
  }

  private static void readAll(Socket socket) {
    byte[] octets = new byte[1 << 16];
    try {
      InputStream in = socket.getInputStream();
      while (in.read(octets) >= 0) {
        // Whatever is sent is read.
      }
    } catch (IOException e) {
      // The client has closed its connection.
    }
  }
}
