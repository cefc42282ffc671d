package coveladder.rehearsal;

import coveladder.rehearsal.Load.Surge;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The days of the embedded kit. */
public final class Days {
  private static final String LIST = "list";

  private Days() {}

  /** All days by name. */
  public static Map<String, Day> all() {
    Map<String, Day> days = new LinkedHashMap<>();
    for (Day day : new Day[] {quiet(), badDay(), tenThousand()}) {
      days.put(day.name(), day);
    }
    return days;
  }

  /** A day without troubles. */
  public static Day quiet() {
    FleetPlan plan = FleetPlan.eight();
    return new Day(
        "quiet",
        "eight exchanges, 20 s, no trouble",
        plan,
        20_000,
        seed -> new Load(plan, seed),
        (world, fleet) -> {});
  }

  /** Everything at once: the day that users remember. */
  public static Day badDay() {
    FleetPlan plan = FleetPlan.eight();
    return new Day(
        "bad-day",
        "eight exchanges, 45 s: surge, silence, stalls, frozen controllers, drain, cold start, cuts",
        plan,
        45_000,
        seed ->
            new Load(plan, seed)
                .surge(new Surge(6_000, 11_000, 1.6, -1, null))
                .surge(new Surge(30_000, 36_000, 1.5, 2, null))
                .surge(new Surge(36_000, 41_000, 1.3, -1, "5550000")),
        Days::badScript);
  }

  private static void badScript(World world, Fleet fleet) {
    world.at(9_000, LIST, () -> fleet.exchange(1).processor().setSilent(true));
    world.at(17_000, LIST, () -> fleet.exchange(1).processor().setSilent(false));
    for (int i = 0; i < 4; i++) {
      int exchange = 2 + i % 3;
      world.at(13_000 + 2_000 * i, LIST, () -> fleet.exchange(exchange).processor().stall(450));
    }
    world.at(16_000, LIST, () -> fleet.exchange(6).processor().setSlowdown(3));
    world.at(24_000, LIST, () -> fleet.exchange(6).processor().setSlowdown(1));
    world.at(19_000, "controller-4", () -> world.freeze("controller-4", 1_600));
    world.at(19_200, "controller-5", () -> world.freeze("controller-5", 2_400));
    world.at(22_000, LIST, () -> fleet.drain(3));
    world.at(26_000, LIST, () -> fleet.stop(3));
    world.at(27_000, LIST, () -> fleet.startCold(3));
    world.at(24_500, LIST, () -> world.conditions(new World.Conditions(0.2, 6, 0.02, 0.02)));
    world.at(33_000, LIST, () -> world.conditions(World.Conditions.SOUND));
    world.at(14_700, LIST, () -> world.resetConnections("switch-2"));
    world.at(18_000, LIST, () -> world.resetConnections("switch-6"));
    world.at(28_000, LIST, () -> world.resetConnections("controller-0"));
    world.at(31_500, LIST, () -> cutAll(fleet, 0.3));
    world.at(34_000, LIST, () -> fleet.stop(7));
    world.at(35_000, LIST, () -> fleet.startCold(7));
  }

  private static void cutAll(Fleet fleet, double share) {
    for (int i = 0; i < fleet.plan().exchanges(); i++) {
      fleet.exchange(i).disconnect(share);
    }
  }

  /** Ten thousand calls and more, with troubles drawn from the seed all along. */
  public static Day tenThousand() {
    FleetPlan plan = FleetPlan.eight();
    return new Day(
        "ten-thousand",
        "eight exchanges, 190 s, over 10,000 calls, troubles drawn from the seed",
        plan,
        190_000,
        seed -> new Load(plan, seed).surge(new Surge(40_000, 48_000, 1.5, -1, null)),
        (world, fleet) -> drawnTroubles(world, fleet, 5, 180_000));
  }

  /** A small day for thousands of seeds: four exchanges, 12 s, troubles drawn from the seed. */
  public static Day small(long seed) {
    FleetPlan plan = FleetPlan.eight().sized(4, 5);
    return new Day(
        "small",
        "four exchanges, 12 s, troubles drawn from the seed",
        plan,
        12_000,
        drawn -> new Load(plan, drawn).surge(new Surge(4_000, 7_000, 2, -1, null)),
        (world, fleet) -> drawnTroubles(world, fleet, seed, 11_000));
  }

  /**
   * Controllers that are killed and started again: at boundaries of their messages and writes,
   * between events, one by one and all at once, with disks that fail among them.
   */
  public static Day restarts(long seed) {
    FleetPlan plan = FleetPlan.eight().sized(4, 6);
    return new Day(
        "restarts",
        "four exchanges, 12 s, controllers killed and disks failing as the seed draws",
        plan,
        12_000,
        drawn -> new Load(plan, drawn),
        (world, fleet) -> drawnKills(world, fleet, seed, 11_000));
  }

  /** A quiet day of some hundred calls, to be killed at each of its boundaries in turn. */
  public static Day boundaries() {
    FleetPlan plan = FleetPlan.eight().sized(3, 7);
    return new Day(
        "boundaries",
        "three exchanges, 10 s, a kill at one boundary",
        plan,
        10_000,
        drawn -> new Load(plan, drawn),
        (world, fleet) -> {});
  }

  private static void drawnKills(World world, Fleet fleet, long seed, double until) {
    SplittableRandom random = new SplittableRandom(seed ^ 0xdead);
    for (double at = 1_000; at < until; at += 200 + random.nextDouble() * 1_500) {
      int exchange = random.nextInt(fleet.plan().exchanges());
      int boundary = 1 + random.nextInt(60);
      double down = 5 + random.nextDouble() * 900;
      int what = random.nextInt(8);
      world.at(at, LIST, () -> kill(world, fleet, exchange, boundary, down, what));
    }
  }

  private static void kill(
      World world, Fleet fleet, int exchange, int boundary, double down, int what) {
    Lives lives = fleet.lives();
    lives.downFor(down);
    switch (what) {
      case 0 -> lives.kill(exchange);
      case 1 -> {
        for (int i = 0; i < fleet.plan().exchanges(); i++) {
          lives.kill(i);
        }
      }
      case 2 -> {
        lives.diskFails(exchange, true);
        world.at(world.now() + 2 * down, LIST, () -> lives.diskFails(exchange, false));
      }
      default -> lives.arm(exchange, boundary);
    }
  }

  /** One trouble every second or two, of any kind, at any exchange; they overlap. */
  private static void drawnTroubles(World world, Fleet fleet, long seed, double until) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5eed);
    for (double at = 1_500; at < until; at += 700 + random.nextDouble() * 1_800) {
      int exchange = random.nextInt(fleet.plan().exchanges());
      drawn(world, fleet, random, at, exchange);
    }
  }

  private static void drawn(
      World world, Fleet fleet, SplittableRandom random, double at, int exchange) {
    String controller = Fleet.controllerName(exchange);
    double lasts = 500 + random.nextDouble() * 3_000;
    switch (random.nextInt(9)) {
      case 0 -> {
        world.at(at, LIST, () -> fleet.exchange(exchange).processor().setSilent(true));
        world.at(at + lasts, LIST, () -> fleet.exchange(exchange).processor().setSilent(false));
      }
      case 1 -> world.at(at, LIST, () -> fleet.exchange(exchange).processor().stall(lasts / 4));
      case 2 -> world.at(at, controller, () -> world.freeze(controller, lasts / 2));
      case 3 -> world.at(at, LIST, () -> world.resetConnections(controller));
      case 4 -> {
        World.Conditions rough = new World.Conditions(0.2, 30, 0.05, 0.05);
        world.at(at, LIST, () -> world.conditions(rough));
        world.at(at + lasts, LIST, () -> world.conditions(World.Conditions.SOUND));
      }
      case 5 -> {
        world.at(at, LIST, () -> fleet.drain(exchange));
        world.at(at + lasts, LIST, () -> fleet.stop(exchange));
        world.at(at + lasts + 600, LIST, () -> fleet.startCold(exchange));
      }
      case 6 -> world.at(at, LIST, () -> cutAll(fleet, 0.4));
      case 7 -> {
        world.at(at, LIST, () -> fleet.exchange(exchange).processor().setSlowdown(4));
        world.at(at + lasts, LIST, () -> fleet.exchange(exchange).processor().setSlowdown(1));
      }
      default -> {
        world.at(at, LIST, () -> fleet.stop(exchange));
        world.at(at + lasts / 2, LIST, () -> fleet.startCold(exchange));
      }
    }
  }
}
