import java.nio.file.Path;
import java.util.List;

/**
 * The machine of a switch vanishes, and a new switch starts at its address. The list names the new
 * one soon, and notices late that the old one is gone.
 */
final class SameAddress extends Rig {
  /** The time from the end of a call, and the 50 ms by which every limit is longer on sockets. */
  private static final double RELEASE_MILLIS = 8_000 + 50;

  SameAddress(Path root, Path folder) throws Exception {
    super(root, folder);
  }

  @Override
  String run() throws Exception {
    startPlatform(5);
    new Controller(5, 1024).start();
    SwitchNode first = switches.get(0);
    Caller client = new Caller("client");
    String call = newId();
    client.setUp(call, 3000, "dest:1;width:1;via:-1");
    require(await(3_000, () -> client.got(9, call)), "no answer");
    sleep(500);
    double endedAt = now();
    if (trouble) {
      first.vanish();
    }
    boolean started = false;
    boolean listed = false;
    boolean noticed = false;
    SwitchNode next = null;
    // The client keeps its connection in use, with calls to other exchanges.
    for (int i = 0; now() < endedAt + 12_000; i++) {
      String other = newId();
      client.setUp(other, 3000, "dest:" + (2 + i % 3) + ";width:1;via:-1");
      require(await(3_000, () -> client.got(9, other)), "no answer");
      sleep(200);
      double elapsed = now() - endedAt;
      if (trouble && !started && elapsed > 1_000) {
        started = true;
        next = new SwitchNode("s-9", 1, System.currentTimeMillis(), first.port);
        record("s-9 starts at the address of s-1");
      }
      if (trouble && !listed && elapsed > 3_000) {
        listed = true;
        switches.add(next);
        journal.add(event(List.of(next), false));
      }
      if (trouble && !noticed && elapsed > 10_000) {
        noticed = true;
        first.state = "terminated";
        journal.add(event(List.of(first), false));
      }
      if (!trouble && !noticed && elapsed > 5_000) {
        noticed = true;
        first.endCall(call, 16);
        endedAt = now();
      }
    }
    require(!client.ended, "the connection of the client has ended");
    double end = endedAt;
    double releasedAfter =
        client.received.stream()
            .filter(m -> m.type == 12 && m.call.equals(call))
            .mapToDouble(m -> m.at - end)
            .findFirst()
            .orElse(Double.POSITIVE_INFINITY);
    record("released " + releasedAfter + " ms after its end");
    return releasedAfter <= RELEASE_MILLIS ? "" : call + " was released " + Math.round(releasedAfter)
        + " ms after its end";
  }

  public static void main(String[] arguments) throws Exception {
    main(new SameAddress(Path.of(arguments[0]), Path.of(arguments[1])));
  }
}
