package coveladder.rehearsal;

import coveladder.rehearsal.LoadGenerator.Surge;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The scenarios of the rehearsals. */
public final class Scenarios {
  /** The node on whose thread all actions on stand-ins run. */
  private static final String DIRECTORY_NODE = "list";

  private Scenarios() {}

  /** The scenarios that are played by name alone. */
  public static Map<String, Scenario> all() {
    Map<String, Scenario> scenarios = new LinkedHashMap<>();
    for (Scenario scenario : new Scenario[] {quiet(), badDay(), tenThousand()}) {
      scenarios.put(scenario.name(), scenario);
    }
    return scenarios;
  }

  /** A scenario without faults. */
  public static Scenario quiet() {
    FleetConfig config = FleetConfig.eightExchanges();
    return new Scenario(
        "quiet",
        "eight exchanges, 20 s, no trouble",
        config,
        20_000,
        seed -> new LoadGenerator(config, seed),
        (network, fleet) -> {});
  }

  /** Surges and most kinds of faults, which overlap. */
  public static Scenario badDay() {
    FleetConfig config = FleetConfig.eightExchanges();
    return new Scenario(
        "bad-day",
        "eight exchanges, 45 s: surge, silence, stalls, frozen controllers, drain, cold start, cuts",
        config,
        45_000,
        seed ->
            new LoadGenerator(config, seed)
                .addSurge(
                    new Surge(
                        6_000, 11_000, 1.6, /* originExchange= */ -1, /* congestedNumber= */ null))
                .addSurge(
                    new Surge(
                        30_000, 36_000, 1.5, /* originExchange= */ 2, /* congestedNumber= */ null))
                .addSurge(new Surge(36_000, 41_000, 1.3, /* originExchange= */ -1, "5550000")),
        Scenarios::scheduleBadDay);
  }

  private static void scheduleBadDay(Network network, Fleet fleet) {
    network.schedule(9_000, DIRECTORY_NODE, () -> fleet.switchOf(1).processor().setSilent(true));
    network.schedule(17_000, DIRECTORY_NODE, () -> fleet.switchOf(1).processor().setSilent(false));
    for (int i = 0; i < 4; i++) {
      int exchange = 2 + i % 3;
      network.schedule(
          13_000 + 2_000 * i,
          DIRECTORY_NODE,
          () -> fleet.switchOf(exchange).processor().stall(450));
    }
    network.schedule(16_000, DIRECTORY_NODE, () -> fleet.switchOf(6).processor().setSlowdown(3));
    network.schedule(24_000, DIRECTORY_NODE, () -> fleet.switchOf(6).processor().setSlowdown(1));
    network.schedule(19_000, "controller-4", () -> network.freeze("controller-4", 1_600));
    network.schedule(19_200, "controller-5", () -> network.freeze("controller-5", 2_400));
    network.schedule(22_000, DIRECTORY_NODE, () -> fleet.drain(3));
    network.schedule(26_000, DIRECTORY_NODE, () -> fleet.stop(3));
    network.schedule(27_000, DIRECTORY_NODE, () -> fleet.startCold(3));
    network.schedule(
        24_500,
        DIRECTORY_NODE,
        () -> network.setConditions(new Network.Conditions(0.2, 6, 0.02, 0.02)));
    network.schedule(
        33_000, DIRECTORY_NODE, () -> network.setConditions(Network.Conditions.NORMAL));
    network.schedule(14_700, DIRECTORY_NODE, () -> network.resetConnections("switch-2"));
    network.schedule(18_000, DIRECTORY_NODE, () -> network.resetConnections("switch-6"));
    network.schedule(28_000, DIRECTORY_NODE, () -> network.resetConnections("controller-0"));
    network.schedule(31_500, DIRECTORY_NODE, () -> disconnectShareOfCalls(fleet, 0.3));
    network.schedule(34_000, DIRECTORY_NODE, () -> fleet.stop(7));
    network.schedule(35_000, DIRECTORY_NODE, () -> fleet.startCold(7));
  }

  private static void disconnectShareOfCalls(Fleet fleet, double share) {
    for (int i = 0; i < fleet.config().exchangeCount(); i++) {
      fleet.switchOf(i).disconnect(share);
    }
  }

  /** More than ten thousand calls, with random faults throughout, the same for every seed. */
  public static Scenario tenThousand() {
    FleetConfig config = FleetConfig.eightExchanges();
    return new Scenario(
        "ten-thousand",
        "eight exchanges, 190 s, over 10,000 calls, troubles drawn from the seed",
        config,
        190_000,
        seed ->
            new LoadGenerator(config, seed)
                .addSurge(
                    new Surge(
                        40_000,
                        48_000,
                        1.5,
                        /* originExchange= */ -1,
                        /* congestedNumber= */ null)),
        (network, fleet) -> scheduleRandomFaults(network, fleet, /* seed= */ 5, 180_000));
  }

  /** A short scenario for sweeps over thousands of seeds, which determine its faults. */
  public static Scenario small(long seed) {
    FleetConfig config = FleetConfig.eightExchanges().withSize(4, 5);
    return new Scenario(
        "small",
        "four exchanges, 12 s, troubles drawn from the seed",
        config,
        12_000,
        loadSeed ->
            new LoadGenerator(config, loadSeed)
                .addSurge(
                    new Surge(
                        4_000, 7_000, 2, /* originExchange= */ -1, /* congestedNumber= */ null)),
        (network, fleet) -> scheduleRandomFaults(network, fleet, seed, 11_000));
  }

  /**
   * Controllers that are killed and restarted, at boundaries of their messages and writes or
   * between events, one by one or all at once; some disks fail as well.
   */
  public static Scenario restarts(long seed) {
    FleetConfig config = FleetConfig.eightExchanges().withSize(4, 6);
    return new Scenario(
        "restarts",
        "four exchanges, 12 s, controllers killed and disks failing as the seed draws",
        config,
        12_000,
        loadSeed -> new LoadGenerator(config, loadSeed),
        (network, fleet) -> scheduleRandomKills(network, fleet, seed, 11_000));
  }

  /** Some hundred calls without faults, to be played with a kill at each boundary in turn. */
  public static Scenario boundaries() {
    FleetConfig config = FleetConfig.eightExchanges().withSize(3, 7);
    return new Scenario(
        "boundaries",
        "three exchanges, 10 s, a kill at one boundary",
        config,
        10_000,
        loadSeed -> new LoadGenerator(config, loadSeed),
        (network, fleet) -> {});
  }

  /** Schedules a random kill or disk failure every 0.2 to 1.7 seconds. */
  private static void scheduleRandomKills(
      Network network, Fleet fleet, long seed, double untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ 0xdead);
    for (double time = 1_000; time < untilMillis; time += 200 + random.nextDouble() * 1_500) {
      int exchange = random.nextInt(fleet.config().exchangeCount());
      int boundaries = 1 + random.nextInt(60);
      double downtimeMillis = 5 + random.nextDouble() * 900;
      int kind = random.nextInt(8);
      network.schedule(
          time,
          DIRECTORY_NODE,
          () -> injectKill(network, fleet, exchange, boundaries, downtimeMillis, kind));
    }
  }

  private static void injectKill(
      Network network, Fleet fleet, int exchange, int boundaries, double downtimeMillis, int kind) {
    ControllerRestarts restarts = fleet.restarts();
    restarts.setDowntimeMillis(downtimeMillis);
    switch (kind) {
      case 0 -> restarts.kill(exchange);
      case 1 -> {
        for (int i = 0; i < fleet.config().exchangeCount(); i++) {
          restarts.kill(i);
        }
      }
      case 2 -> {
        restarts.setDiskFailing(exchange, true);
        network.schedule(
            network.now() + 2 * downtimeMillis,
            DIRECTORY_NODE,
            () -> restarts.setDiskFailing(exchange, false));
      }
      default -> restarts.killAfterBoundaries(exchange, boundaries);
    }
  }

  /** Schedules a random fault at a random exchange every 0.7 to 2.5 seconds; faults overlap. */
  private static void scheduleRandomFaults(
      Network network, Fleet fleet, long seed, double untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5eed);
    for (double time = 1_500; time < untilMillis; time += 700 + random.nextDouble() * 1_800) {
      int exchange = random.nextInt(fleet.config().exchangeCount());
      scheduleRandomFault(network, fleet, random, time, exchange);
    }
  }

  private static void scheduleRandomFault(
      Network network, Fleet fleet, SplittableRandom random, double time, int exchange) {
    String controller = Fleet.controllerName(exchange);
    double durationMillis = 500 + random.nextDouble() * 3_000;
    switch (random.nextInt(9)) {
      case 0 -> {
        network.schedule(
            time, DIRECTORY_NODE, () -> fleet.switchOf(exchange).processor().setSilent(true));
        network.schedule(
            time + durationMillis,
            DIRECTORY_NODE,
            () -> fleet.switchOf(exchange).processor().setSilent(false));
      }
      case 1 ->
          network.schedule(
              time,
              DIRECTORY_NODE,
              () -> fleet.switchOf(exchange).processor().stall(durationMillis / 4));
      case 2 ->
          network.schedule(time, controller, () -> network.freeze(controller, durationMillis / 2));
      case 3 -> network.schedule(time, DIRECTORY_NODE, () -> network.resetConnections(controller));
      case 4 -> {
        Network.Conditions degraded = new Network.Conditions(0.2, 30, 0.05, 0.05);
        network.schedule(time, DIRECTORY_NODE, () -> network.setConditions(degraded));
        network.schedule(
            time + durationMillis,
            DIRECTORY_NODE,
            () -> network.setConditions(Network.Conditions.NORMAL));
      }
      case 5 -> {
        network.schedule(time, DIRECTORY_NODE, () -> fleet.drain(exchange));
        network.schedule(time + durationMillis, DIRECTORY_NODE, () -> fleet.stop(exchange));
        network.schedule(
            time + durationMillis + 600, DIRECTORY_NODE, () -> fleet.startCold(exchange));
      }
      case 6 -> network.schedule(time, DIRECTORY_NODE, () -> disconnectShareOfCalls(fleet, 0.4));
      case 7 -> {
        network.schedule(
            time, DIRECTORY_NODE, () -> fleet.switchOf(exchange).processor().setSlowdown(4));
        network.schedule(
            time + durationMillis,
            DIRECTORY_NODE,
            () -> fleet.switchOf(exchange).processor().setSlowdown(1));
      }
      default -> {
        network.schedule(time, DIRECTORY_NODE, () -> fleet.stop(exchange));
        network.schedule(
            time + durationMillis / 2, DIRECTORY_NODE, () -> fleet.startCold(exchange));
      }
    }
  }
}
