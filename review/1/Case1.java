package review;

/**
 * Some clients send hundreds of set-ups at once. The usual client must still get a final answer to
 * each of its set-ups, and the controller must still answer a test and end on SIGTERM.
 */
final class Case1 {
  private static final int BAD_CLIENTS = 8;
  private static final int SET_UPS_EACH = 450;

  /** Octets of each description; the whole message has less than 16 KiB. */
  private static final int DESCRIPTION_BYTES = 16_000;

  private Case1() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, Case1::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Deployment.Traffic traffic = deployment.new Traffic(40);
    Thread.sleep(6_000);
    if (deployment.trouble) {
      for (int client = 0; client < BAD_CLIENTS; client++) {
        Caller bad = new Caller(deployment.record, "bad client", deployment.controller.port);
        Journal.daemon(() -> flood(deployment, bad));
      }
    }
    Thread.sleep(12_000);
    traffic.end();
    Thread.sleep(4_000);
    long lost = deployment.countLost();
    boolean answersTest = Caller.awaitReady(deployment.record, deployment.controller.port, 10_000);
    boolean alive = deployment.controller.alive();
    deployment.record.say(deployment.summary() + ", lost " + lost);
    deployment.record.say("process alive: " + alive + ", passes a test: " + answersTest);
    deployment.controller.signal("TERM");
    boolean ends = deployment.controller.awaitEnd(10_000);
    deployment.record.say("ends within 10 s of SIGTERM: " + ends);
    return lost == 0 && answersTest && alive && ends;
  }

  private static void flood(Deployment deployment, Caller bad) {
    String description = "x".repeat(DESCRIPTION_BYTES);
    int written = 0;
    try {
      while (written < SET_UPS_EACH) {
        String figures = "dest:" + (1 + written % 5) + ";width:3;via:-1";
        bad.send(
            Caller.setUp(Caller.newId(), "match-centre", 3000, "00ff", figures, description));
        written++;
      }
    } catch (java.io.IOException e) {
      deployment.record.line("bad client", "connection ended: " + e.getMessage());
    }
    deployment.record.line("bad client", "written: " + written + " set-ups of "
        + DESCRIPTION_BYTES + " octets each");
  }
}
