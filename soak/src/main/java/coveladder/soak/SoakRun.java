package coveladder.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** One run: real processes, stand-ins and the faults that its seed draws. */
final class SoakRun implements AutoCloseable {
  /** Second octets of the loopback addresses, one for each process that plays runs. */
  private static final int FIRST_ADDRESS = 20;

  private static final int PROCESS_ADDRESSES = 200;

  /** Spreads neighbouring seeds, whose first draws would otherwise be alike. */
  private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

  private static final double KILL_AFTER_WINDOW_MILLIS = 700;
  private static final double MAX_WINDOW_MILLIS = 3_000;
  private static final double RESTART_MILLIS = 600;
  private static final double READY_LIMIT_MILLIS = 30_000;
  private static final double BREAK_TOLD_MILLIS = 2_000;
  private static final double SILENCE_TOLD_MILLIS = 4_000;
  private static final double RELOAD_TOLD_MILLIS = 4_000;
  private static final double FAILED_CALL_TOLD_MILLIS = 6_000;

  private final long seed;
  private final Random random;
  private final SoakSettings settings;
  private final Reactor reactor;
  private final Path root;
  private final Path folder;
  private final List<Observation> recording = new ArrayList<>();
  private final int[] nextConnection = {1};
  private final List<Controller> controllers = new ArrayList<>();
  private final List<SwitchHost> switches = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private int nextSwitch;
  private boolean faultsEnded;

  /** One controller with all that talks to it. */
  private final class Controller {
    final int number;
    final InetSocketAddress address;
    final ControllerProcess process;
    final StandinJournal journal;
    final NetworkPath callerPath = new NetworkPath();
    final StandinCallers callers;
    final DisruptiveClients disruptive;
    InetSocketAddress journalAddress;
    Reactor.Listener journalListener;
    double directoryDelayedUntil;
    boolean journalDown;
    boolean expectedToRun;
    boolean changing;

    Controller(int number) throws IOException {
      this.number = number;
      address = freeAddress();
      process = new ControllerProcess(root, folder, "n" + number);
      journal = new StandinJournal(reactor);
      CallerConnections connections =
          new CallerConnections(reactor, number, address, callerPath, recording, nextConnection);
      callers =
          new StandinCallers(
              reactor,
              random,
              settings,
              number,
              connections,
              () -> record(Observation.Change.READY));
      disruptive = new DisruptiveClients(random, connections);
      openJournal();
    }

    void openJournal() throws IOException {
      journalAddress = freeAddress();
      journalListener = reactor.listen(journalAddress, this::acceptJournal);
    }

    private void acceptJournal(Endpoint endpoint) {
      FaultyConnection.Recorder ignored =
          new FaultyConnection.Recorder() {
            @Override
            public void written(byte[] octets) {}

            @Override
            public void read(byte[] octets) {}

            @Override
            public void ended(boolean byController) {}
          };
      journal.accept(new FaultyConnection(reactor, endpoint, new NetworkPath(), ignored));
    }

    void record(Observation.Change change) {
      recording.add(new Observation.ProcessChanged(reactor.now(), number, change));
    }

    void writeConfiguration() {
      try {
        process.writeConfiguration(
            "{\"name\":\"n"
                + number
                + "\",\"listen\":\""
                + text(address)
                + "\",\"seed\":\""
                + Long.toHexString(random.nextLong())
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":160,\"sockets\":"
                + settings.descriptors()
                + "},\"journal\":\""
                + text(journalAddress)
                + "\",\"known\":{\"pos\":"
                + journal.events().size()
                + ",\"entries\":["
                + String.join(",", journal.events())
                + "]},\"settings\":"
                + settings.toJson(number)
                + "}");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    void start() {
      List<String> entries = new ArrayList<>();
      switches.forEach(host -> entries.add(host.entry(number, stateOf(host))));
      journal.restart(String.join(",", entries));
      switches.forEach(host -> recordTold(host, stateOf(host), reactor.now()));
      directoryDelayedUntil = journalDown ? directoryDelayedUntil : 0;
      writeConfiguration();
      try {
        process.start();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      expectedToRun = true;
      changing = false;
      record(Observation.Change.STARTED);
      callers.controllerStarted();
    }

    void recordTold(SwitchHost host, String state, double timeMillis) {
      recording.add(
          new Observation.SwitchTold(timeMillis, number, host.id(), state, host.startedAtMillis()));
    }

    void kill() {
      expectedToRun = false;
      changing = true;
      process.kill();
      record(Observation.Change.KILLED);
      callers.controllerKilled();
      reactor.schedule(RESTART_MILLIS, this::start);
    }

    /** Ends the process as at a planned restart, and kills it at the earliest time allowed. */
    void restart() {
      changing = true;
      process.signal("TERM");
      record(Observation.Change.TERMINATION_REQUESTED);
      expectedToRun = false;
      reactor.schedule(200 + random.nextInt(200), callers::stopNewConnections);
      double window = Math.min(MAX_WINDOW_MILLIS, settings.longestDeadlineMillis());
      reactor.schedule(window + KILL_AFTER_WINDOW_MILLIS, this::kill);
    }

    void checkAlive() {
      if (expectedToRun && !process.isAlive()) {
        expectedToRun = false;
        record(Observation.Change.CRASHED);
      }
    }
  }

  SoakRun(long seed, Path root, Path folder) throws IOException {
    this.seed = seed;
    this.random = new Random(seed * SEED_FACTOR);
    this.settings = SoakSettings.draw(random);
    this.reactor = new Reactor();
    this.root = root;
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private void killAll() {
    controllers.forEach(controller -> controller.process.kill());
  }

  /**
   * Returns a free port at a loopback address of this run alone: another run or an outgoing
   * connection could otherwise take the port of a listener that is closed for a while.
   */
  private InetSocketAddress freeAddress() throws IOException {
    long process = ProcessHandle.current().pid() % PROCESS_ADDRESSES;
    String host = "127." + (FIRST_ADDRESS + process) + "." + Math.floorMod(seed, 250) + ".1";
    InetAddress address = InetAddress.getByName(host);
    try (ServerSocket reservation = new ServerSocket(0, 1, address)) {
      return new InetSocketAddress(address, reservation.getLocalPort());
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private String stateOf(SwitchHost host) {
    return draining.contains(host) ? "terminating" : "in_service";
  }

  private final List<SwitchHost> draining = new ArrayList<>();

  // ---- The run -------------------------------------------------------------------------------

  /** Plays the run and returns what passed the sockets. */
  List<Observation> play(double durationMillis) throws IOException {
    for (int i = 0; i < settings.controllers(); i++) {
      controllers.add(new Controller(i));
    }
    for (int exchange = 0; exchange < settings.controllers(); exchange++) {
      addSwitch(exchange, 0);
    }
    controllers.forEach(Controller::start);
    runUntilReady();
    planFaults(durationMillis);
    repeat(50, () -> controllers.forEach(Controller::checkAlive));
    double end = reactor.now() + durationMillis;
    reactor.schedule(durationMillis, () -> faultsEnded = true);
    reactor.schedule(durationMillis, () -> controllers.forEach(c -> c.callers.setRateFactor(0.01)));
    // Calls in progress end, planned restarts are completed, and late releases arrive.
    reactor.runUntil(end + 12_000);
    return recording;
  }

  private void runUntilReady() throws IOException {
    double limit = reactor.now() + READY_LIMIT_MILLIS;
    while (countReady() < controllers.size() && reactor.now() < limit) {
      reactor.runUntil(reactor.now() + 20);
    }
  }

  private long countReady() {
    return recording.stream()
        .filter(
            o ->
                o instanceof Observation.ProcessChanged p && p.change() == Observation.Change.READY)
        .count();
  }

  private void repeat(double intervalMillis, Runnable action) {
    reactor.schedule(
        intervalMillis,
        () -> {
          action.run();
          repeat(intervalMillis, action);
        });
  }

  private SwitchHost addSwitch(int exchange, double startedAtMillis) {
    String id = "s-" + Integer.toString(random.nextInt(1 << 28), 36) + "-" + nextSwitch++;
    StandinSwitch.Behaviour behaviour =
        new StandinSwitch.Behaviour(
            10 + random.nextInt(60),
            5 + random.nextInt(60),
            500 + random.nextInt(5_000),
            0.05 * random.nextDouble(),
            groups.contains(Group.BAD_PEERS) ? 0.05 : 0);
    StandinSwitch standin = new StandinSwitch(id, reactor, random, behaviour);
    SwitchHost host =
        new SwitchHost(id, exchange, startedAtMillis, reactor, standin, recording, nextConnection);
    for (Controller controller : controllers) {
      try {
        host.listen(controller.number, freeAddress());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
    switches.add(host);
    return host;
  }

  // ---- Faults --------------------------------------------------------------------------------

  /** The groups of faults; a run mixes some of them. */
  enum Group {
    SHUTDOWNS,
    DISCOVERY,
    BAD_PEERS,
    NETWORK,
    PIECES
  }

  private final List<Group> groups = new ArrayList<>();

  /** Draws the groups of this run; called before the switches are made. */
  SoakRun drawGroups() {
    for (Group group : Group.values()) {
      if (random.nextInt(5) < 3) {
        groups.add(group);
      }
    }
    if (groups.isEmpty()) {
      groups.add(Group.SHUTDOWNS);
    }
    return this;
  }

  private void planFaults(double durationMillis) {
    if (groups.contains(Group.SHUTDOWNS)) {
      fault(2_000, c -> shutDownSeries());
      fault(4_000, c -> hangSwitch());
    }
    if (groups.contains(Group.DISCOVERY)) {
      fault(2_500, this::disturbDiscovery);
      fault(3_000, c -> replaceSwitch());
    }
    if (groups.contains(Group.BAD_PEERS)) {
      fault(300, c -> c.disruptive.disturb());
      fault(4_000, c -> c.disruptive.openIdle(20 + random.nextInt(100)));
    }
    if (groups.contains(Group.NETWORK)) {
      fault(2_500, this::cutSwitch);
      fault(1_500, c -> anySwitch().standin().resetConnections(c.number));
      fault(5_000, c -> vanishSwitch());
      fault(4_000, c -> anySwitch().setAcceptDelay(random.nextInt(1_000)));
      fault(6_000, c -> replaceSwitch());
    }
    if (groups.contains(Group.PIECES)) {
      fault(1_500, this::splitPaths);
    }
    if (random.nextInt(3) == 0) {
      reactor.schedule(
          durationMillis / 3, () -> controllers.forEach(c -> c.callers.setRateFactor(4)));
      reactor.schedule(
          durationMillis / 2, () -> controllers.forEach(c -> c.callers.setRateFactor(1)));
    }
    fault(1_000, c -> c.callers.nameSomeAgain());
  }

  /** Repeats a fault at random times, on a random controller, until the faults end. */
  private void fault(double meanIntervalMillis, Consumer<Controller> action) {
    double pause = -Math.log(1 - random.nextDouble()) * meanIntervalMillis;
    reactor.schedule(
        pause,
        () -> {
          if (!faultsEnded) {
            action.accept(controllers.get(random.nextInt(controllers.size())));
            fault(meanIntervalMillis, action);
          }
        });
  }

  private void note(String text) {
    faults.add(Math.round(reactor.now()) + " " + text);
  }

  private SwitchHost anySwitch() {
    return switches.get(random.nextInt(switches.size()));
  }

  /** Ends controllers one after another, by request or by a kill. */
  private void shutDownSeries() {
    int first = random.nextInt(controllers.size());
    int count = 1 + random.nextInt(2);
    for (int i = 0; i < count; i++) {
      Controller controller = controllers.get((first + i) % controllers.size());
      boolean kill = random.nextInt(3) == 0;
      reactor.schedule(i * random.nextInt(1_000), () -> shutDown(controller, kill));
    }
  }

  private void shutDown(Controller controller, boolean kill) {
    if (controller.changing || !controller.expectedToRun) {
      return;
    }
    note("n" + controller.number + (kill ? " SIGKILL" : " SIGTERM"));
    if (kill) {
      controller.kill();
    } else {
      controller.restart();
    }
  }

  private void hangSwitch() {
    SwitchHost host = anySwitch();
    if (draining.contains(host)) {
      return;
    }
    note(host.id() + " hangs");
    host.standin().setHanging(true);
    reactor.schedule(500 + random.nextInt(5_000), () -> host.standin().setHanging(false));
  }

  private void disturbDiscovery(Controller controller) {
    double now = reactor.now();
    switch (random.nextInt(4)) {
      case 0 -> {
        note("journal of n" + controller.number + " breaks off");
        controller.journal.breakOff();
        delayDirectory(controller, now + BREAK_TOLD_MILLIS);
      }
      case 1 -> {
        note("journal of n" + controller.number + " falls silent");
        controller.journal.silenceOpenConnections();
        delayDirectory(controller, now + SILENCE_TOLD_MILLIS);
      }
      case 2 -> takeJournalDown(controller);
      default -> reconfigure(controller);
    }
  }

  private static void delayDirectory(Controller controller, double untilMillis) {
    controller.directoryDelayedUntil = Math.max(controller.directoryDelayedUntil, untilMillis);
  }

  private void takeJournalDown(Controller controller) {
    double downMillis = 500 + random.nextInt(5_000);
    note("journal of n" + controller.number + " down for " + Math.round(downMillis));
    if (controller.journalDown) {
      return;
    }
    controller.journalDown = true;
    InetSocketAddress address = controller.journalAddress;
    controller.journalListener.close();
    controller.journal.breakOff();
    delayDirectory(controller, reactor.now() + downMillis + FAILED_CALL_TOLD_MILLIS);
    reactor.schedule(
        downMillis,
        () -> {
          controller.journalDown = false;
          if (controller.journalAddress.equals(address)) {
            controller.journalListener = reactor.listen(address, controller::acceptJournal);
          }
        });
    reactor.schedule(downMillis - 100, this::replaceSwitch);
  }

  private void reconfigure(Controller controller) {
    boolean ready =
        controller.expectedToRun && !controller.changing && controller.callers.isAdmitted();
    if (!ready) {
      return;
    }
    note("n" + controller.number + " SIGHUP");
    Reactor.Listener old = controller.journalListener;
    try {
      controller.openJournal();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    controller.writeConfiguration();
    controller.process.signal("HUP");
    old.close();
    delayDirectory(controller, reactor.now() + RELOAD_TOLD_MILLIS);
  }

  /** Lists a new switch of an exchange, drains the old one and ends it. */
  private void replaceSwitch() {
    List<SwitchHost> candidates =
        switches.stream().filter(host -> !draining.contains(host)).toList();
    if (candidates.size() < controllers.size()) {
      return;
    }
    SwitchHost old = candidates.get(random.nextInt(candidates.size()));
    note(old.id() + " is replaced");
    SwitchHost added = addSwitch(old.exchange(), reactor.now());
    tell(added, "in_service");
    draining.add(old);
    tell(old, "terminating");
    reactor.schedule(1_000 + random.nextInt(4_000), () -> endSwitch(old));
  }

  private void endSwitch(SwitchHost host) {
    host.end();
    switches.remove(host);
    draining.remove(host);
    tell(host, "terminated");
  }

  private void tell(SwitchHost host, String state) {
    for (Controller controller : controllers) {
      controller.journal.add(host.entry(controller.number, state), false);
      if (controller.expectedToRun || controller.changing) {
        double told = Math.max(reactor.now(), controller.directoryDelayedUntil);
        controller.recordTold(host, state, told);
      }
    }
  }

  private void cutSwitch(Controller controller) {
    SwitchHost host = anySwitch();
    if (!host.path(controller.number).isCut()) {
      note(host.id() + " cut off from n" + controller.number);
      host.setCut(controller.number, true);
      double length = 200 + random.nextInt(6_000);
      reactor.schedule(length, () -> host.setCut(controller.number, false));
    }
  }

  /**
   * Cuts a switch off from all controllers; it ends unseen, and the directory learns of it late.
   */
  private void vanishSwitch() {
    List<SwitchHost> candidates =
        switches.stream().filter(host -> !draining.contains(host)).toList();
    if (candidates.size() < controllers.size()) {
      return;
    }
    SwitchHost host = candidates.get(random.nextInt(candidates.size()));
    note(host.id() + " vanishes");
    draining.add(host);
    host.vanish();
    SwitchHost added = addSwitch(host.exchange(), reactor.now());
    tell(added, "in_service");
    reactor.schedule(1_000 + random.nextInt(5_000), () -> endVanished(host));
  }

  private void endVanished(SwitchHost host) {
    switches.remove(host);
    draining.remove(host);
    tell(host, "terminated");
  }

  private void splitPaths(Controller controller) {
    NetworkPath path =
        random.nextBoolean() ? controller.callerPath : anySwitch().path(controller.number);
    path.pieceBytes = 1 + random.nextInt(40);
    path.pieceGapMillis = random.nextInt(8);
    path.delayMillis = random.nextInt(30);
    reactor.schedule(
        500 + random.nextInt(3_000),
        () -> {
          path.pieceBytes = 0;
          path.delayMillis = 0;
        });
  }

  /** One line that describes the run. */
  String describe() {
    return "seed "
        + seed
        + ": "
        + settings.controllers()
        + " controllers, "
        + settings.classes().size()
        + " classes, deadlines up to "
        + Math.round(settings.longestDeadlineMillis())
        + " ms, "
        + groups
        + ", faults "
        + faults.size();
  }

  /** The faults injected, in their order. */
  List<String> faults() {
    return faults;
  }

  SoakSettings settings() {
    return settings;
  }

  @Override
  public void close() throws IOException {
    killAll();
    reactor.close();
  }
}
