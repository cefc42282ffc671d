package coveladder.app;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import coveladder.rehearsal.ControllerTrafficView;
import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetConfig;
import coveladder.rehearsal.LoadGenerator;
import coveladder.rehearsal.Rehearsal;
import coveladder.rehearsal.RuleReport;
import coveladder.rehearsal.ServiceReport;
import coveladder.rehearsal.SocketNetwork;
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
 * A rehearsal with controllers as separate processes on loopback sockets. While calls are made,
 * controllers are killed by SIGKILL or taken over at random times drawn from the seed. The
 * stand-ins and the checker run in this process throughout.
 */
final class RestartRehearsal {
  /** Time from the start of all controllers until the load begins, ms. */
  private static final double LOAD_START_MILLIS = 3_000;

  /** Longest time after the load for calls to end, and then for circuits to be released, ms. */
  private static final double SETTLE_TIMEOUT_MILLIS = 60_000;

  /** Time from a set-up until the called party answers, ms. */
  private static final double ANSWER_DELAY_MILLIS = 300;

  private static final String MESSAGE_LOG_NAME = "wire.txt";

  private final Mode mode;
  private final long seed;
  private final int callCount;
  private final int restartCount;
  private final PrintWriter out;
  private final SplittableRandom random;
  private final FleetConfig fleetConfig;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, PlannedCall> establishedAtRestart = new TreeMap<>();
  private final List<Double> listeningPausesMillis = new ArrayList<>();
  private final List<Double> downtimesMillis = new ArrayList<>();
  private SocketNetwork network;
  private Fleet fleet;

  /** How controllers are ended and started again. */
  enum Mode {
    /** One at a time, by SIGKILL. */
    RESTART,
    /** All at once, by SIGKILL. */
    REGION,
    /** One at a time, each taken over by a new process. */
    UPGRADE
  }

  /**
   * Creates a rehearsal.
   *
   * @param callCount approximate number of calls
   * @param restartCount number of restarts or take-overs; with {@link Mode#REGION} each of all
   *     controllers
   */
  RestartRehearsal(Mode mode, long seed, int callCount, int restartCount, PrintWriter out) {
    this.mode = mode;
    this.seed = seed;
    this.callCount = callCount;
    this.restartCount = restartCount;
    this.out = out;
    this.random = new SplittableRandom(seed ^ 0xfa11);
    FleetConfig eightExchanges = FleetConfig.eightExchanges();
    this.fleetConfig =
        new FleetConfig(
            eightExchanges.exchangeCount(),
            eightExchanges.circuitsPerGroup(),
            eightExchanges.callsPerSecond(),
            eightExchanges.callClasses(),
            eightExchanges.processorModel(),
            eightExchanges.directoryDelayMillis(),
            ANSWER_DELAY_MILLIS,
            eightExchanges.timing());
  }

  /**
   * Runs the rehearsal. Returns whether no rule was broken, every call ended, all circuits were
   * released and no controller logged an error.
   */
  boolean play() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("coveladder-rehearsal");
    Thread shutdownHook = new Thread(this::killAll, "kill");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try (SocketNetwork socketNetwork = new SocketNetwork(seed)) {
      network = socketNetwork;
      Map<Integer, Hop> addresses = chooseAddresses();
      fleet = new Fleet(network, fleetConfig, seed, addresses);
      startAll(folder, addresses);
      boolean clean = runLoad(addresses);
      if (!clean) {
        saveMessages(folder);
      }
      return clean;
    } finally {
      killAll();
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      if (!Files.exists(folder.resolve(MESSAGE_LOG_NAME))) {
        deleteTree(folder);
      }
    }
  }

  /**
   * Writes the recorded messages to the folder of the controllers' logs, to help find the fault.
   */
  private void saveMessages(Path folder) throws IOException {
    try (PrintWriter writer =
        new PrintWriter(Files.newBufferedWriter(folder.resolve(MESSAGE_LOG_NAME), ISO_8859_1))) {
      network.recorder().print(writer);
    }
    out.println("logs and wire of this run: " + folder);
  }

  // ---- Start --------------------------------------------------------------------------------

  /**
   * Chooses free ports below the ephemeral range, so that a port is not taken while its controller
   * is down.
   */
  private Map<Integer, Hop> chooseAddresses() throws IOException {
    Map<Integer, Hop> addresses = new HashMap<>();
    int port = 16_000 + random.nextInt(8_000);
    while (addresses.size() < fleetConfig.exchangeCount()) {
      port++;
      if (isFree(port)) {
        addresses.put(addresses.size(), new Hop(Transport.UDP, "127.0.0.1", port));
      }
    }
    return addresses;
  }

  private static boolean isFree(int port) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
        DatagramSocket udp = new DatagramSocket(port, loopback)) {
      return tcp.isBound() && udp.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private void startAll(Path folder, Map<Integer, Hop> addresses)
      throws IOException, InterruptedException {
    int directoryServerPort = network.reserveAddress("list").port();
    for (int i = 0; i < fleetConfig.exchangeCount(); i++) {
      Path settingsFile = folder.resolve("x" + i + ".kdl");
      int switchPort = network.reserveAddress(Fleet.switchName(i)).port();
      Path stateFolder = folder.resolve("state-" + i);
      Files.writeString(
          settingsFile,
          SettingsText.of(
              fleetConfig,
              i,
              addresses.get(i).port(),
              switchPort,
              directoryServerPort,
              stateFolder));
      ControllerProcess controller =
          new ControllerProcess(settingsFile, folder.resolve("x" + i + ".log"));
      controllers.add(controller);
      controller.launch();
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

  private static void deleteTree(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  // ---- Run ----------------------------------------------------------------------------------

  private boolean runLoad(Map<Integer, Hop> addresses) throws IOException, InterruptedException {
    double durationMillis =
        1_000.0 * callCount / (fleetConfig.callsPerSecond() * fleetConfig.exchangeCount());
    double startMillis = network.now() + LOAD_START_MILLIS;
    List<PlannedCall> plannedCalls = new ArrayList<>();
    for (PlannedCall call : new LoadGenerator(fleetConfig, seed).generateUntil(durationMillis)) {
      plannedCalls.add(call.delayedBy(startMillis));
    }
    fleet.setPlannedCalls(plannedCalls);
    Thread restarter = new Thread(() -> restartControllers(startMillis, durationMillis), "ender");
    restarter.start();
    network.runUntil(
        startMillis + durationMillis + SETTLE_TIMEOUT_MILLIS,
        () -> network.now() > startMillis + durationMillis && fleet.callers().isDone());
    restarter.join();
    network.runUntil(
        network.now() + SETTLE_TIMEOUT_MILLIS, () -> fleet.trunks().busyCircuits() == 0);
    network.runUntil(network.now() + 1_000, () -> false); // runs for 1 s more
    return report(addresses, plannedCalls.size());
  }

  /**
   * Restarts a random controller {@code restartCount} times, at random times spread over the load
   * except its first second.
   */
  private void restartControllers(double startMillis, double durationMillis) {
    double intervalMillis = (durationMillis - 1_000) / restartCount;
    try {
      for (int i = 0; i < restartCount; i++) {
        double atMillis = startMillis + 1_000 + intervalMillis * (i + random.nextDouble() / 2);
        Thread.sleep(Math.max(0, Math.round(atMillis - network.now())));
        restart(random.nextInt(fleetConfig.exchangeCount()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      out.println(e.getMessage());
      out.flush();
    }
  }

  /**
   * Kills and starts a controller, or has it taken over; in {@link Mode#REGION} restarts all. The
   * notes for the checker are the same for a take-over as for a kill.
   */
  private void restart(int exchange) throws IOException, InterruptedException {
    if (mode == Mode.REGION) {
      restartAll();
      return;
    }
    recordEstablishedCalls(exchange);
    String name = Fleet.controllerName(exchange);
    network.recorder().recordNote(network.now(), name, "killed");
    double endedAtMillis = network.now();
    if (mode == Mode.UPGRADE) {
      listeningPausesMillis.add(controllers.get(exchange).takeOver());
    } else {
      controllers.get(exchange).kill();
      controllers.get(exchange).launch();
      controllers.get(exchange).awaitReady();
    }
    network.recorder().recordNote(network.now(), name, "started");
    downtimesMillis.add(network.now() - endedAtMillis);
  }

  private void restartAll() throws IOException, InterruptedException {
    double endedAtMillis = network.now();
    for (int i = 0; i < controllers.size(); i++) {
      recordEstablishedCalls(i);
      network.recorder().recordNote(network.now(), Fleet.controllerName(i), "killed");
      controllers.get(i).kill();
    }
    for (ControllerProcess controller : controllers) {
      controller.launch();
    }
    for (int i = 0; i < controllers.size(); i++) {
      controllers.get(i).awaitReady();
      network.recorder().recordNote(network.now(), Fleet.controllerName(i), "started");
    }
    downtimesMillis.add(network.now() - endedAtMillis);
  }

  /** Records the calls that are established through a controller before it is restarted. */
  private void recordEstablishedCalls(int exchange) throws InterruptedException {
    CountDownLatch recorded = new CountDownLatch(1);
    network.schedule(
        network.now(),
        "callers",
        () -> {
          fleet
              .callers()
              .establishedCalls(exchange)
              .forEach(call -> establishedAtRestart.put(call.sessionIdPrefix(), call));
          recorded.countDown();
        });
    recorded.await(5, TimeUnit.SECONDS);
  }

  // ---- Report -------------------------------------------------------------------------------

  private boolean report(Map<Integer, Hop> addresses, int plannedCallCount) throws IOException {
    Map<String, Hop> peers = new HashMap<>();
    peers.put("list", network.reserveAddress("list"));
    peers.put("callers", network.reserveAddress("callers"));
    for (int i = 0; i < fleetConfig.exchangeCount(); i++) {
      peers.put(Fleet.switchName(i), network.reserveAddress(Fleet.switchName(i)));
    }
    RuleReport ruleReport =
        Rehearsal.checkRules(
            new ControllerTrafficView(addresses, peers)
                .withControllerEntries(network.recorder().entries()),
            fleetConfig);
    List<CallResult> results = fleet.callResults();
    out.println(new ServiceReport(fleetConfig, results));
    out.println(ruleReport);
    printSurvivors(results);
    printDowntimes();
    int unfinished = plannedCallCount - results.size();
    int busyCircuits = fleet.trunks().busyCircuits();
    int errors = printErrors();
    out.printf(
        "%d calls, %d without an end, %d circuits still held%n",
        plannedCallCount, unfinished, busyCircuits);
    boolean clean =
        ruleReport.breachCount() == 0 && unfinished == 0 && busyCircuits == 0 && errors == 0;
    out.println(clean ? "all rules hold" : "NOT CLEAN");
    return clean;
  }

  private void printSurvivors(List<CallResult> results) {
    out.println("calls that stood when their controller ended:");
    for (FleetConfig.CallClassConfig callClass : fleetConfig.callClasses()) {
      List<CallResult> classResults =
          results.stream()
              .filter(result -> result.plannedCall().priority().equals(callClass.priority()))
              .filter(
                  result ->
                      establishedAtRestart.containsKey(result.plannedCall().sessionIdPrefix()))
              .toList();
      long survived =
          classResults.stream()
              .filter(result -> !result.disconnected() && !result.endedByRemote())
              .count();
      out.printf(
          "  %-15s %6d stood  %6d stood on to their end%n",
          callClass.name(), classResults.size(), survived);
    }
  }

  private void printDowntimes() {
    double[] downtimes =
        downtimesMillis.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    out.printf(
        Locale.ROOT,
        "%d ends; until it ran again: %s%n",
        downtimes.length,
        medianAndLongest(downtimes));
    if (!listeningPausesMillis.isEmpty()) {
      double[] pauses =
          listeningPausesMillis.stream().mapToDouble(Double::doubleValue).sorted().toArray();
      out.printf(Locale.ROOT, "pause in listening: %s%n", medianAndLongest(pauses));
    }
  }

  private static String medianAndLongest(double[] sortedMillis) {
    if (sortedMillis.length == 0) {
      return "none";
    }
    double medianMillis = sortedMillis[sortedMillis.length / 2];
    double longestMillis = Arrays.stream(sortedMillis).max().orElse(0);
    return String.format(
        Locale.ROOT, "median %.0f ms, longest %.0f ms", medianMillis, longestMillis);
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
