import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The machine of a switch vanishes, and a new switch starts at its address. The list names the new
 * one soon, and notices late that the old one is gone.
 */
final class SameAddress extends Rig {
  /** The time from the end of a call, and the 50 ms by which every limit is longer on sockets. */
  private static final double RELEASE_MILLIS = 8_000 + 50;

  private volatile double endedAt = Double.NaN;
  private volatile String tooLate = "";

  SameAddress(Path root, Path folder) throws Exception {
    super(root, folder);
  }

  @Override
  String run() throws Exception {
    startPlatform(6);
    new Controller(6, 1024).start();
    SwitchNode first = switches.get(0);
    Caller client = new Caller("client");
    String call = newId();
    client.setUp(call, 3000, "dest:1;width:1;via:-1");
    require(await(3_000, () -> client.got(9, call)), "no answer");
    sleep(500);
    if (trouble) {
      first.vanish();
      double vanishedAt = now();
      endedAt = vanishedAt;
      later(1_000, () -> replace(first, vanishedAt));
    } else {
      later(
          5_000,
          () -> {
            first.endCall(call, 16);
            endedAt = now();
          });
    }
    double until = now() + 13_000;
    // The client keeps its connection in use, with calls to other exchanges.
    for (int i = 0; now() < until; i++) {
      String other = newId();
      client.setUp(other, 3000, "dest:" + (2 + i % 3) + ";width:1;via:-1");
      require(await(3_000, () -> client.got(9, other)), "no answer");
      sleep(200);
    }
    require(tooLate.isEmpty(), tooLate);
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

  /** Starts a new switch at the address of one that vanished; the list follows within its times. */
  private void replace(SwitchNode gone, double vanishedAt) throws IOException {
    SwitchNode next = new SwitchNode("s-9", 1, System.currentTimeMillis(), gone.port);
    double startedAt = now();
    record("s-9 starts at the address of s-1");
    sleep(2_000);
    tooLate = now() - startedAt > 2_400 ? "the list named the new switch later than add_s" : "";
    switches.add(next);
    journal.add(event(List.of(next), false));
    sleep(Math.max(0, Math.round(vanishedAt + 10_000 - now())));
    tooLate += now() - vanishedAt > 14_000 ? "the list noticed later than silent_notice_s" : "";
    gone.state = "terminated";
    journal.add(event(List.of(gone), false));
  }

  public static void main(String[] arguments) throws Exception {
    main(new SameAddress(Path.of(arguments[0]), Path.of(arguments[1])));
  }
}
