package coveladder.app;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetPlan;
import coveladder.rehearsal.Load;
import coveladder.rehearsal.OutsideView;
import coveladder.rehearsal.Rehearsal;
import coveladder.rehearsal.ServiceReport;
import coveladder.rehearsal.SocketWorld;
import coveladder.rehearsal.Verdict;
import coveladder.sip.Hop;
import coveladder.sip.Transport;
import coveladder.standin.PlannedCall;
import coveladder.standin.StandinCallers.CallResult;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Controllers as processes of their own on loopback sockets, killed by SIGKILL or replaced at times
 * that the seed draws, amid calls. Stand-ins and the checker live on in this process.
 */
final class RestartRehearsal {
  private static final double BEGIN = 3_000;
  private static final double SETTLE = 60_000;
  private static final double RING = 300;
  private static final String WIRE = "wire.txt";

  private final Mode mode;
  private final long seed;
  private final int calls;
  private final int ends;
  private final PrintWriter out;
  private final SplittableRandom random;
  private final FleetPlan plan;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, PlannedCall> stood = new TreeMap<>();
  private final List<Double> pauses = new ArrayList<>();
  private final List<Double> downs = new ArrayList<>();
  private SocketWorld world;
  private Fleet fleet;

  /** How controllers end and begin. */
  enum Mode {
    /** One by one, by SIGKILL. */
    RESTART,
    /** All at once, by SIGKILL. */
    REGION,
    /** One by one, each taken over by another process. */
    UPGRADE
  }

  /**
   * Makes a rehearsal.
   *
   * @param calls calls to be made, about
   * @param ends how many times a controller ends
   */
  RestartRehearsal(Mode mode, long seed, int calls, int ends, PrintWriter out) {
    this.mode = mode;
    this.seed = seed;
    this.calls = calls;
    this.ends = ends;
    this.out = out;
    this.random = new SplittableRandom(seed ^ 0xfa11);
    FleetPlan eight = FleetPlan.eight();
    this.plan =
        new FleetPlan(
            eight.exchanges(),
            eight.trunk(),
            eight.rate(),
            eight.kinds(),
            eight.processor(),
            eight.listLateness(),
            RING,
            eight.timing());
  }

  /** Plays it; whether all rules hold and every call came to its end. */
  boolean play() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("coveladder-rehearsal");
    Thread ending = new Thread(this::killAll, "kill");
    Runtime.getRuntime().addShutdownHook(ending);
    try (SocketWorld made = new SocketWorld(seed)) {
      world = made;
      Map<Integer, Hop> places = places();
      fleet = new Fleet(world, plan, seed, places);
      startAll(folder, places);
      boolean clean = run(places);
      if (!clean) {
        keepWire(folder);
      }
      return clean;
    } finally {
      killAll();
      Runtime.getRuntime().removeShutdownHook(ending);
      if (!Files.exists(folder.resolve(WIRE))) {
        delete(folder);
      }
    }
  }

  /** What crossed the wire stays beside the logs, for whoever looks for the fault. */
  private void keepWire(Path folder) throws IOException {
    try (PrintWriter wire =
        new PrintWriter(Files.newBufferedWriter(folder.resolve(WIRE), ISO_8859_1))) {
      world.tap().print(wire);
    }
    out.println("logs and wire of this run: " + folder);
  }

  // ---- Raising ------------------------------------------------------------------------------

  /** Ports below those that the system gives to connections, so that each stays free when down. */
  private Map<Integer, Hop> places() throws IOException {
    Map<Integer, Hop> places = new HashMap<>();
    int port = 16_000 + random.nextInt(8_000);
    while (places.size() < plan.exchanges()) {
      port++;
      if (isFree(port)) {
        places.put(places.size(), new Hop(Transport.UDP, "127.0.0.1", port));
      }
    }
    return places;
  }

  private static boolean isFree(int port) {
    InetAddress here = InetAddress.getLoopbackAddress();
    try (ServerSocket tcp = new ServerSocket(port, 1, here);
        DatagramSocket udp = new DatagramSocket(port, here)) {
      return tcp.isBound() && udp.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private void startAll(Path folder, Map<Integer, Hop> places)
      throws IOException, InterruptedException {
    int list = world.place("list").port();
    for (int i = 0; i < plan.exchanges(); i++) {
      Path settings = folder.resolve("x" + i + ".kdl");
      int own = world.place(Fleet.switchName(i)).port();
      Path state = folder.resolve("state-" + i);
      Files.writeString(settings, SettingsText.of(plan, i, places.get(i).port(), own, list, state));
      ControllerProcess made = new ControllerProcess(settings, folder.resolve("x" + i + ".log"));
      controllers.add(made);
      made.launch();
    }
    for (ControllerProcess controller : controllers) {
      controller.awaitReady();
    }
  }

  private void killAll() {
    for (ControllerProcess controller : controllers) {
      try {
        controller.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  // ---- Playing ------------------------------------------------------------------------------

  private boolean run(Map<Integer, Hop> places) throws IOException, InterruptedException {
    double lasts = 1_000.0 * calls / (plan.rate() * plan.exchanges());
    double begin = world.now() + BEGIN;
    List<PlannedCall> plans = new ArrayList<>();
    for (PlannedCall call : new Load(plan, seed).until(lasts)) {
      plans.add(call.delayedBy(begin));
    }
    fleet.calls(plans);
    Thread ender = new Thread(() -> endAndBegin(begin, lasts), "ender");
    ender.start();
    world.run(
        begin + lasts + SETTLE, () -> world.now() > begin + lasts && fleet.callers().isDone());
    ender.join();
    world.run(world.now() + SETTLE, () -> fleet.trunks().busyCircuits() == 0);
    world.run(world.now() + 1_000, () -> false);
    return report(places, plans.size());
  }

  private void endAndBegin(double begin, double lasts) {
    double gap = (lasts - 1_000) / ends;
    try {
      for (int i = 0; i < ends; i++) {
        double at = begin + 1_000 + gap * (i + random.nextDouble() / 2);
        Thread.sleep(Math.max(0, Math.round(at - world.now())));
        one(random.nextInt(plan.exchanges()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      out.println(e.getMessage());
      out.flush();
    }
  }

  private void one(int number) throws IOException, InterruptedException {
    if (mode == Mode.REGION) {
      region();
      return;
    }
    noteStanding(number);
    String name = Fleet.controllerName(number);
    world.tap().note(world.now(), name, "killed");
    double from = world.now();
    if (mode == Mode.UPGRADE) {
      pauses.add(controllers.get(number).takeOver());
    } else {
      controllers.get(number).kill();
      controllers.get(number).launch();
      controllers.get(number).awaitReady();
    }
    world.tap().note(world.now(), name, "started");
    downs.add(world.now() - from);
  }

  private void region() throws IOException, InterruptedException {
    double from = world.now();
    for (int i = 0; i < controllers.size(); i++) {
      noteStanding(i);
      world.tap().note(world.now(), Fleet.controllerName(i), "killed");
      controllers.get(i).kill();
    }
    for (ControllerProcess controller : controllers) {
      controller.launch();
    }
    for (int i = 0; i < controllers.size(); i++) {
      controllers.get(i).awaitReady();
      world.tap().note(world.now(), Fleet.controllerName(i), "started");
    }
    downs.add(world.now() - from);
  }

  /** Writes down which calls stand through a controller that is about to end. */
  private void noteStanding(int number) throws InterruptedException {
    CountDownLatch noted = new CountDownLatch(1);
    world.at(
        world.now(),
        "callers",
        () -> {
          fleet
              .callers()
              .establishedCalls(number)
              .forEach(call -> stood.put(call.sessionIdPrefix(), call));
          noted.countDown();
        });
    noted.await(5, TimeUnit.SECONDS);
  }

  // ---- Report -------------------------------------------------------------------------------

  private boolean report(Map<Integer, Hop> places, int planned) throws IOException {
    Map<String, Hop> peers = new HashMap<>();
    peers.put("list", world.place("list"));
    peers.put("callers", world.place("callers"));
    for (int i = 0; i < plan.exchanges(); i++) {
      peers.put(Fleet.switchName(i), world.place(Fleet.switchName(i)));
    }
    Verdict verdict =
        Rehearsal.judge(new OutsideView(places, peers).with(world.tap().entries()), plan);
    List<CallResult> fates = fleet.fates();
    out.println(new ServiceReport(plan, fates));
    out.println(verdict);
    survivors(fates);
    times();
    int open = planned - fates.size();
    int held = fleet.trunks().busyCircuits();
    int errors = printErrors();
    out.printf("%d calls, %d without an end, %d circuits still held%n", planned, open, held);
    boolean clean = verdict.breaches() == 0 && open == 0 && held == 0 && errors == 0;
    out.println(clean ? "all rules hold" : "NOT CLEAN");
    return clean;
  }

  private void survivors(List<CallResult> fates) {
    out.println("calls that stood when their controller ended:");
    for (FleetPlan.Kind kind : plan.kinds()) {
      List<CallResult> own =
          fates.stream()
              .filter(fate -> fate.plannedCall().priority().equals(kind.priority()))
              .filter(fate -> stood.containsKey(fate.plannedCall().sessionIdPrefix()))
              .toList();
      long kept =
          own.stream().filter(fate -> !fate.disconnected() && !fate.endedByRemote()).count();
      out.printf("  %-15s %6d stood  %6d stood on to their end%n", kind.name(), own.size(), kept);
    }
  }

  private void times() {
    double[] down = downs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    out.printf(Locale.ROOT, "%d ends; until it ran again: %s%n", down.length, spread(down));
    if (!pauses.isEmpty()) {
      double[] pause = pauses.stream().mapToDouble(Double::doubleValue).sorted().toArray();
      out.printf(Locale.ROOT, "pause in listening: %s%n", spread(pause));
    }
  }

  private static String spread(double[] sorted) {
    if (sorted.length == 0) {
      return "none";
    }
    double median = sorted[sorted.length / 2];
    double most = Arrays.stream(sorted).max().orElse(0);
    return String.format(Locale.ROOT, "median %.0f ms, longest %.0f ms", median, most);
  }

  private int printErrors() throws IOException {
    int count = 0;
    for (ControllerProcess controller : controllers) {
      for (String error : controller.errors()) {
        count++;
        out.println(error.substring(0, Math.min(300, error.length())));
      }
    }
    return count;
  }
}
