package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/**
 * One client sends hundreds of set-ups at once, and the same again as soon as it is turned away.
 * The usual client must still get a final answer to each of its set-ups, however late, and the
 * process must not crash.
 */
final class Case1 {
  /** "hundreds of requests at once". */
  private static final int AT_ONCE = 900;

  /** What the set-ups say that their caller waits: the give-up time of the class, ms. */
  private static final long LEFT_MILLIS = 9_000;

  private Case1() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, Case1::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Deployment.Traffic traffic = deployment.new Traffic(40);
    Thread.sleep(5_000);
    if (deployment.trouble) {
      Journal.daemon(() -> callAgainAndAgain(deployment));
    }
    Thread.sleep(30_000);
    traffic.end();
    Thread.sleep(4_000);
    for (int i = 0; i < 10 && deployment.countUnanswered() > 0; i++) {
      Thread.sleep(1_000);
    }
    long unanswered = deployment.countUnanswered();
    boolean alive = deployment.controller.alive();
    boolean answersTest = Caller.awaitReady(deployment.record, deployment.controller.port, 10_000);
    deployment.record.say(deployment.summary() + "; never answered, on connections that are still"
        + " open, more than 10 s after their time: " + unanswered);
    deployment.record.say("not part of the check: final answers later than "
        + Deployment.LOST_AFTER_MILLIS + " ms after their time, or never: "
        + deployment.countLost());
    deployment.record.say("process alive: " + alive + "; not part of the check: passes a test: " + answersTest);
    deployment.controller.signal("TERM");
    boolean ends = deployment.controller.awaitEnd(10_000);
    deployment.record.say("not part of the check: ends within 10 s of SIGTERM: " + ends);
    return unanswered == 0 && alive;
  }

  /** Reads whatever is sent to it; each refusal is followed by one more set-up, under a new id. */
  private static void callAgainAndAgain(Deployment deployment) {
    long refused = 0;
    long served = 0;
    long reportAt = System.currentTimeMillis() + 1000;
    try (Socket socket = new Socket(Controller.HOST, deployment.controller.port)) {
      socket.setTcpNoDelay(true);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
      for (int i = 0; i < AT_ONCE; i++) {
        out.write(setUp());
      }
      out.flush();
      deployment.record.line("bad client", "written: " + AT_ONCE + " set-ups at once");
      while (true) {
        byte[] body = in.readNBytes(in.readUnsignedShort());
        if (body[0] == 9) {
          served++;
        } else if (body[0] == 12) {
          refused++;
          out.write(setUp());
        }
        if (in.available() < 3) {
          out.flush();
        }
        if (System.currentTimeMillis() >= reportAt) {
          reportAt += 1000;
          deployment.record.line("bad client", "so far refused " + refused + ", each followed by"
              + " one more set-up; answered " + served);
        }
      }
    } catch (IOException e) {
      deployment.record.line("bad client", "connection ended: " + e.getMessage() + "; refused "
          + refused + ", answered " + served);
    }
  }

  private static byte[] setUp() {
    return Caller.setUp(Caller.newId(), "score-check", LEFT_MILLIS, "00ff",
        "dest:2;width:1;via:3;transit:1", "c=IN IP4 127.0.0.1\r\n");
  }
}
