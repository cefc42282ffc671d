package coveladder.rehearsal;

import coveladder.rehearsal.LoadGenerator.Surge;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The days of the embedded kit. */
public final class Scenarios {
  private static final String LIST = "list";

  private Scenarios() {}

  /** All days by name. */
  public static Map<String, Scenario> all() {
    Map<String, Scenario> days = new LinkedHashMap<>();
    for (Scenario day : new Scenario[] {quiet(), badDay(), tenThousand()}) {
      days.put(day.name(), day);
    }
    return days;
  }

  /** A day without troubles. */
  public static Scenario quiet() {
    FleetConfig plan = FleetConfig.eightExchanges();
    return new Scenario(
        "quiet",
        "eight exchanges, 20 s, no trouble",
        plan,
        20_000,
        seed -> new LoadGenerator(plan, seed),
        (world, fleet) -> {});
  }

  /** Everything at once: the day that users remember. */
  public static Scenario badDay() {
    FleetConfig plan = FleetConfig.eightExchanges();
    return new Scenario(
        "bad-day",
        "eight exchanges, 45 s: surge, silence, stalls, frozen controllers, drain, cold start, cuts",
        plan,
        45_000,
        seed ->
            new LoadGenerator(plan, seed)
                .addSurge(new Surge(6_000, 11_000, 1.6, -1, null))
                .addSurge(new Surge(30_000, 36_000, 1.5, 2, null))
                .addSurge(new Surge(36_000, 41_000, 1.3, -1, "5550000")),
        Scenarios::badScript);
  }

  private static void badScript(Network world, Fleet fleet) {
    world.schedule(9_000, LIST, () -> fleet.switchOf(1).processor().setSilent(true));
    world.schedule(17_000, LIST, () -> fleet.switchOf(1).processor().setSilent(false));
    for (int i = 0; i < 4; i++) {
      int exchange = 2 + i % 3;
      world.schedule(
          13_000 + 2_000 * i, LIST, () -> fleet.switchOf(exchange).processor().stall(450));
    }
    world.schedule(16_000, LIST, () -> fleet.switchOf(6).processor().setSlowdown(3));
    world.schedule(24_000, LIST, () -> fleet.switchOf(6).processor().setSlowdown(1));
    world.schedule(19_000, "controller-4", () -> world.freeze("controller-4", 1_600));
    world.schedule(19_200, "controller-5", () -> world.freeze("controller-5", 2_400));
    world.schedule(22_000, LIST, () -> fleet.drain(3));
    world.schedule(26_000, LIST, () -> fleet.stop(3));
    world.schedule(27_000, LIST, () -> fleet.startCold(3));
    world.schedule(
        24_500, LIST, () -> world.setConditions(new Network.Conditions(0.2, 6, 0.02, 0.02)));
    world.schedule(33_000, LIST, () -> world.setConditions(Network.Conditions.NORMAL));
    world.schedule(14_700, LIST, () -> world.resetConnections("switch-2"));
    world.schedule(18_000, LIST, () -> world.resetConnections("switch-6"));
    world.schedule(28_000, LIST, () -> world.resetConnections("controller-0"));
    world.schedule(31_500, LIST, () -> cutAll(fleet, 0.3));
    world.schedule(34_000, LIST, () -> fleet.stop(7));
    world.schedule(35_000, LIST, () -> fleet.startCold(7));
  }

  private static void cutAll(Fleet fleet, double share) {
    for (int i = 0; i < fleet.config().exchangeCount(); i++) {
      fleet.switchOf(i).disconnect(share);
    }
  }

  /** Ten thousand calls and more, with troubles drawn from the seed all along. */
  public static Scenario tenThousand() {
    FleetConfig plan = FleetConfig.eightExchanges();
    return new Scenario(
        "ten-thousand",
        "eight exchanges, 190 s, over 10,000 calls, troubles drawn from the seed",
        plan,
        190_000,
        seed -> new LoadGenerator(plan, seed).addSurge(new Surge(40_000, 48_000, 1.5, -1, null)),
        (world, fleet) -> drawnTroubles(world, fleet, 5, 180_000));
  }

  /** A small day for thousands of seeds: four exchanges, 12 s, troubles drawn from the seed. */
  public static Scenario small(long seed) {
    FleetConfig plan = FleetConfig.eightExchanges().withSize(4, 5);
    return new Scenario(
        "small",
        "four exchanges, 12 s, troubles drawn from the seed",
        plan,
        12_000,
        drawn -> new LoadGenerator(plan, drawn).addSurge(new Surge(4_000, 7_000, 2, -1, null)),
        (world, fleet) -> drawnTroubles(world, fleet, seed, 11_000));
  }

  /**
   * Controllers that are killed and started again: at boundaries of their messages and writes,
   * between events, one by one and all at once, with disks that fail among them.
   */
  public static Scenario restarts(long seed) {
    FleetConfig plan = FleetConfig.eightExchanges().withSize(4, 6);
    return new Scenario(
        "restarts",
        "four exchanges, 12 s, controllers killed and disks failing as the seed draws",
        plan,
        12_000,
        drawn -> new LoadGenerator(plan, drawn),
        (world, fleet) -> drawnKills(world, fleet, seed, 11_000));
  }

  /** A quiet day of some hundred calls, to be killed at each of its boundaries in turn. */
  public static Scenario boundaries() {
    FleetConfig plan = FleetConfig.eightExchanges().withSize(3, 7);
    return new Scenario(
        "boundaries",
        "three exchanges, 10 s, a kill at one boundary",
        plan,
        10_000,
        drawn -> new LoadGenerator(plan, drawn),
        (world, fleet) -> {});
  }

  private static void drawnKills(Network world, Fleet fleet, long seed, double until) {
    SplittableRandom random = new SplittableRandom(seed ^ 0xdead);
    for (double at = 1_000; at < until; at += 200 + random.nextDouble() * 1_500) {
      int exchange = random.nextInt(fleet.config().exchangeCount());
      int boundary = 1 + random.nextInt(60);
      double down = 5 + random.nextDouble() * 900;
      int what = random.nextInt(8);
      world.schedule(at, LIST, () -> kill(world, fleet, exchange, boundary, down, what));
    }
  }

  private static void kill(
      Network world, Fleet fleet, int exchange, int boundary, double down, int what) {
    ControllerRestarts lives = fleet.restarts();
    lives.setDowntimeMillis(down);
    switch (what) {
      case 0 -> lives.kill(exchange);
      case 1 -> {
        for (int i = 0; i < fleet.config().exchangeCount(); i++) {
          lives.kill(i);
        }
      }
      case 2 -> {
        lives.setDiskFailing(exchange, true);
        world.schedule(world.now() + 2 * down, LIST, () -> lives.setDiskFailing(exchange, false));
      }
      default -> lives.killAfterBoundaries(exchange, boundary);
    }
  }

  /** One trouble every second or two, of any kind, at any exchange; they overlap. */
  private static void drawnTroubles(Network world, Fleet fleet, long seed, double until) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5eed);
    for (double at = 1_500; at < until; at += 700 + random.nextDouble() * 1_800) {
      int exchange = random.nextInt(fleet.config().exchangeCount());
      drawn(world, fleet, random, at, exchange);
    }
  }

  private static void drawn(
      Network world, Fleet fleet, SplittableRandom random, double at, int exchange) {
    String controller = Fleet.controllerName(exchange);
    double lasts = 500 + random.nextDouble() * 3_000;
    switch (random.nextInt(9)) {
      case 0 -> {
        world.schedule(at, LIST, () -> fleet.switchOf(exchange).processor().setSilent(true));
        world.schedule(
            at + lasts, LIST, () -> fleet.switchOf(exchange).processor().setSilent(false));
      }
      case 1 ->
          world.schedule(at, LIST, () -> fleet.switchOf(exchange).processor().stall(lasts / 4));
      case 2 -> world.schedule(at, controller, () -> world.freeze(controller, lasts / 2));
      case 3 -> world.schedule(at, LIST, () -> world.resetConnections(controller));
      case 4 -> {
        Network.Conditions rough = new Network.Conditions(0.2, 30, 0.05, 0.05);
        world.schedule(at, LIST, () -> world.setConditions(rough));
        world.schedule(at + lasts, LIST, () -> world.setConditions(Network.Conditions.NORMAL));
      }
      case 5 -> {
        world.schedule(at, LIST, () -> fleet.drain(exchange));
        world.schedule(at + lasts, LIST, () -> fleet.stop(exchange));
        world.schedule(at + lasts + 600, LIST, () -> fleet.startCold(exchange));
      }
      case 6 -> world.schedule(at, LIST, () -> cutAll(fleet, 0.4));
      case 7 -> {
        world.schedule(at, LIST, () -> fleet.switchOf(exchange).processor().setSlowdown(4));
        world.schedule(at + lasts, LIST, () -> fleet.switchOf(exchange).processor().setSlowdown(1));
      }
      default -> {
        world.schedule(at, LIST, () -> fleet.stop(exchange));
        world.schedule(at + lasts / 2, LIST, () -> fleet.startCold(exchange));
      }
    }
  }
}
