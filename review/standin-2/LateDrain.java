import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The journal service falls silent and refuses new connections for 3.2 s; meanwhile a switch is to
 * drain. What the service would have told counts as told 4 s after that began.
 */
final class LateDrain extends Rig {
  private static final double TOLD_AFTER_MILLIS = 4_000;

  /** The grace of the settings, and the 50 ms by which every limit is longer on sockets. */
  private static final double GRACE_MILLIS = 250 + 50;

  /** Longest delay of this script itself, ms: the disruption must stay inside its limits. */
  private static final double SLACK_MILLIS = 300;

  private volatile double limit = Double.POSITIVE_INFINITY;

  /** When the client wrote each set-up: the controller sends it on later than that. */
  private final Map<String, Double> writtenAt = new ConcurrentHashMap<>();
  private volatile double servedAfter = Double.POSITIVE_INFINITY;
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
      double written = writtenAt.getOrDefault(call, 0.0);
      if (state.equals("terminating") && written > limit) {
        String text = "a set-up went to " + id + " that its client wrote "
            + Math.round(written - limit + GRACE_MILLIS) + " ms after the drain counted as told";
        record(text);
        broken = broken.isEmpty() ? text : broken;
      }
      super.onSetUp(link, call);
    }
  }

  @Override
  String run() throws Exception {
    journal = new Journal();
    for (int number = 1; number < 6; number++) {
      switches.add(new Node("s-" + number, number));
    }
    new Controller(6, 1024).start();
    SwitchNode first = switches.get(0);
    sleep(1_500);
    if (trouble) {
      journal.fallSilent();
    }
    double began = now();
    // Without the disruption the event counts as told at once; the same bound is used, as it is milder.
    limit = began + TOLD_AFTER_MILLIS + GRACE_MILLIS;
    later(
        1_000,
        () -> {
          first.state = "terminating";
          journal.add(event(List.of(first), false));
        });
    if (trouble) {
      later(
          3_200,
          () -> {
            journal.serveAgain();
            servedAfter = now() - began;
          });
    }
    Caller client = new Caller("client");
    for (int sent = 1; now() < began + 9_000; sent++) {
      String call = newId();
      writtenAt.put(call, now());
      client.setUp(call, 3000, "dest:" + (1 + sent % 2) + ";width:1;via:-1");
      await(1_000, () -> client.got(9, call) || client.got(12, call));
      sleep(60);
    }
    require(
        !trouble || servedAfter < 3_200 + SLACK_MILLIS, "the journal service served again too late");
    require(!client.ended, "the connection of the client has ended");
    return broken;
  }

  public static void main(String[] arguments) throws Exception {
    main(new LateDrain(Path.of(arguments[0]), Path.of(arguments[1])));
  }
}
