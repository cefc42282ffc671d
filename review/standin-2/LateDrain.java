import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The journal service falls silent and refuses new connections for 3.2 s; meanwhile a switch is to
 * drain. What the service would have told counts as told 4 s after that began.
 */
final class LateDrain extends Rig {
  private static final double TOLD_AFTER_MILLIS = 4_000;

  /** The grace of the settings, and the 50 ms by which every limit is longer on sockets. */
  private static final double GRACE_MILLIS = 250 + 50;

  private volatile double limit = Double.POSITIVE_INFINITY;
  private volatile String broken = "";

  LateDrain(Path root, Path folder) throws Exception {
    super(root, folder);
  }

  private final class Node extends SwitchNode {
    Node(String id, int number) throws IOException {
      super(id, number, 0);
    }

    @Override
    void onSetUp(Link link, String call) {
      if (state.equals("terminating") && now() > limit && broken.isEmpty()) {
        broken = "a set-up reached " + id + " " + Math.round(now() - limit + GRACE_MILLIS)
            + " ms after its drain counted as told";
        record(broken);
      }
      super.onSetUp(link, call);
    }
  }

  @Override
  String run() throws Exception {
    journal = new Journal();
    for (int number = 1; number < 5; number++) {
      switches.add(new Node("s-" + number, number));
    }
    new Controller(5, 1024).start();
    SwitchNode first = switches.get(0);
    sleep(1_500);
    if (trouble) {
      journal.fallSilent();
    }
    double began = now();
    Caller client = new Caller("client");
    int sent = 0;
    boolean draining = false;
    boolean served = !trouble;
    while (now() < began + 9_000) {
      String call = newId();
      sent++;
      client.setUp(call, 3000, "dest:" + (1 + sent % 2) + ";width:1;via:-1");
      await(1_000, () -> client.got(9, call) || client.got(12, call));
      sleep(60);
      if (!draining && now() > began + 1_000) {
        draining = true;
        first.state = "terminating";
        journal.add(event(List.of(first), false));
        limit = (trouble ? began + TOLD_AFTER_MILLIS : now()) + GRACE_MILLIS;
      }
      if (!served && now() > began + 3_200) {
        served = true;
        journal.serveAgain();
      }
    }
    require(!client.ended, "the connection of the client has ended");
    return broken;
  }

  public static void main(String[] arguments) throws Exception {
    main(new LateDrain(Path.of(arguments[0]), Path.of(arguments[1])));
  }
}
