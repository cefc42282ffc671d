package coveladder.rehearsal;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.RecoveryRate;
import coveladder.sip.SipHost;
import coveladder.sipfront.SipFront;
import coveladder.standin.PlannedCall;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Controllers that are killed and started again in virtual time, each with a disk of its own. Kills
 * fall between events, or at a boundary: before a message leaves, after one was taken, before and
 * after a sync takes effect.
 */
public final class ControllerRestarts {
  private static final double LEAST_SYNC = 0.2;
  private static final double MOST_SYNC = 4;

  private final SimulatedNetwork world;
  private final RecoveryRate.Budget budget;
  private final SplittableRandom random;
  private final UnaryOperator<CallStore> between;
  private final Map<String, SimDisk> disks = new HashMap<>();
  private final Map<String, Integer> armed = new HashMap<>();
  private final Map<String, Boolean> down = new HashMap<>();
  private final Map<String, PlannedCall> establishedAtKill = new TreeMap<>();
  private long boundaryCount;
  private long killAtBoundary = -1;
  private double downtimeMillis = 400;
  private int killCount;
  private boolean diskFailed;
  private Fleet fleet;

  /** Makes the lives of a fleet that is yet to be built. */
  public ControllerRestarts(SimulatedNetwork world, RecoveryRate.Budget budget, long seed) {
    this(world, budget, seed, UnaryOperator.identity());
  }

  /** The same with something between controllers and their disks, such as a mutation. */
  ControllerRestarts(
      SimulatedNetwork world,
      RecoveryRate.Budget budget,
      long seed,
      UnaryOperator<CallStore> between) {
    this.between = between;
    this.world = world;
    this.budget = budget;
    this.random = new SplittableRandom(seed);
    world.onBoundary(this::passed, this::crashed);
  }

  /** Names the fleet whose controllers they are. */
  void setFleet(Fleet own) {
    fleet = own;
  }

  /** Where a controller keeps its calls, put into the machine that it is to run on. */
  SipFront.Persistence persistence(String name, SipHost host) {
    SimDisk disk =
        disks.computeIfAbsent(
            name, n -> new SimDisk(random.split(), LEAST_SYNC, MOST_SYNC, () -> passed(n)));
    disk.into(host);
    return new SipFront.Persistence(between.apply(disk), budget, () -> (long) world.now());
  }

  // ---- Kills --------------------------------------------------------------------------------

  private void passed(String node) {
    if (!disks.containsKey(node) || down.getOrDefault(node, false)) {
      return;
    }
    boundaryCount++;
    int left = armed.getOrDefault(node, 0);
    if (left > 0) {
      armed.put(node, left - 1);
    }
    if (left == 1 || boundaryCount == killAtBoundary) {
      throw new SimulatedNetwork.Crash(node);
    }
  }

  /** Kills some controller at this boundary, counted over all controllers from the beginning. */
  public void killAtBoundary(long boundary) {
    killAtBoundary = boundary;
  }

  /** Kills a controller at its so manieth boundary from now on. */
  public void killAfterBoundaries(int number, int boundary) {
    armed.put(Fleet.controllerName(number), boundary);
  }

  /** Kills a controller now, between two events; it is down already where it was killed before. */
  public void kill(int number) {
    String name = Fleet.controllerName(number);
    if (!down.getOrDefault(name, false)) {
      world.kill(name);
      crashed(name);
    }
  }

  private void crashed(String name) {
    killCount++;
    fleet
        .callers()
        .establishedCalls(number(name))
        .forEach(plan -> establishedAtKill.put(plan.sessionIdPrefix(), plan));
    armed.remove(name);
    down.put(name, true);
    disks.get(name).crash();
    world.schedule(world.now() + downtimeMillis, name, () -> start(name));
  }

  private void start(String name) {
    down.put(name, false);
    fleet.restartController(number(name));
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(name.indexOf('-') + 1));
  }

  /** Calls that stood at some kill of their controller, by session. */
  public Map<String, PlannedCall> establishedAtKill() {
    return establishedAtKill;
  }

  /** How long controllers stay down from now on, ms. */
  public void setDowntimeMillis(double lasts) {
    downtimeMillis = lasts;
  }

  /** Makes a controller's disk fail, or work again. */
  public void setDiskFailing(int number, boolean on) {
    if (on) {
      diskFailed = true;
      world.recorder().recordNote(world.now(), Fleet.controllerName(number), "disk fails");
    }
    disks.get(Fleet.controllerName(number)).failing(on);
  }

  /** Boundaries passed so far by all controllers. */
  public long boundaryCount() {
    return boundaryCount;
  }

  /** Whether any disk failed: calls went on unkept, and some may be held for ever. */
  public boolean diskFailed() {
    return diskFailed;
  }

  /** Kills so far. */
  public int killCount() {
    return killCount;
  }
}
