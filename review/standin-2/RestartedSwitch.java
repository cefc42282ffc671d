import java.nio.file.Path;
import java.util.List;

/**
 * The controller is killed and starts again; then a switch dies and starts again, which the journal
 * tells at once; then the client names its call that stood there.
 */
final class RestartedSwitch extends Rig {
  RestartedSwitch(Path root, Path folder) throws Exception {
    super(root, folder);
  }

  @Override
  String run() throws Exception {
    startPlatform(5);
    new Controller(5, 1024).start();
    SwitchNode first = switches.get(0);
    Caller one = new Caller("client, connection 1");
    String call = newId();
    one.setUp(call, 3000, "dest:1;width:1;via:-1");
    require(await(3_000, () -> one.got(9, call)), "no answer");

    controller.kill();
    controller.start();
    sleep(500);
    double endedAt = Double.NaN;
    if (trouble) {
      endedAt = now();
      first.die();
      sleep(2_000);
      first.startAgain();
      journal.add(event(List.of(first), false));
    } else {
      sleep(2_000);
    }
    sleep(1_500);

    Caller two = new Caller("client, connection 2");
    two.setUp(call, 3000, "dest:1;width:1;via:-1;at:s-1");
    if (!trouble) {
      sleep(1_000);
      endedAt = now();
      first.endCall(call, 16);
    }
    // The client keeps its connection in use.
    for (int i = 0; i < 12 && !two.got(12, call); i++) {
      String other = newId();
      two.setUp(other, 3000, "dest:2;width:1;via:-1");
      require(await(3_000, () -> two.got(9, other)), "no answer");
      sleep(900);
    }
    require(!two.ended, "connection 2 has ended");
    return two.got(12, call) ? "" : call + " was cut at " + Math.round(endedAt)
        + " as its switch died, and is not released toward its client by " + Math.round(now());
  }

  public static void main(String[] arguments) throws Exception {
    main(new RestartedSwitch(Path.of(arguments[0]), Path.of(arguments[1])));
  }
}
