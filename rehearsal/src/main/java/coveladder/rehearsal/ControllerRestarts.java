package coveladder.rehearsal;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.RecoveryRate;
import coveladder.sip.SipHost;
import coveladder.sipfront.SipFrontEnd;
import coveladder.standin.PlannedCall;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Kills and restarts controllers in virtual time, each with a disk of its own. A kill happens
 * between two events or at a boundary: before a message is sent, after one was received, before or
 * after a sync takes effect.
 */
public final class ControllerRestarts {
  private static final double MIN_SYNC_MILLIS = 0.2;
  private static final double MAX_SYNC_MILLIS = 4;

  private final SimulatedNetwork network;
  private final RecoveryRate.Budget budget;
  private final SplittableRandom random;
  private final UnaryOperator<CallStore> storeWrapper;
  private final Map<String, SimulatedDisk> disks = new HashMap<>();
  private final Map<String, Integer> boundariesUntilKill = new HashMap<>();
  private final Map<String, Boolean> down = new HashMap<>();
  private final Map<String, PlannedCall> establishedAtKill = new TreeMap<>();
  private long boundaryCount;
  private long killAtBoundary = -1;
  private double downtimeMillis = 400;
  private int killCount;
  private boolean diskFailed;
  private Fleet fleet;

  /** Creates the restarts of a fleet that has yet to be built. */
  public ControllerRestarts(SimulatedNetwork network, RecoveryRate.Budget budget, long seed) {
    this(network, budget, seed, UnaryOperator.identity());
  }

  /** The same with a wrapper around the disks, such as a mutation. */
  ControllerRestarts(
      SimulatedNetwork network,
      RecoveryRate.Budget budget,
      long seed,
      UnaryOperator<CallStore> storeWrapper) {
    this.storeWrapper = storeWrapper;
    this.network = network;
    this.budget = budget;
    this.random = new SplittableRandom(seed);
    network.onBoundary(this::onBoundary, this::onCrash);
  }

  /** Sets the fleet to which the controllers belong. */
  void setFleet(Fleet fleet) {
    this.fleet = fleet;
  }

  /** The persistent store of a controller, attached to the host that it is to run on. */
  SipFrontEnd.Persistence persistence(String name, SipHost host) {
    SimulatedDisk disk =
        disks.computeIfAbsent(
            name,
            n ->
                new SimulatedDisk(
                    random.split(), MIN_SYNC_MILLIS, MAX_SYNC_MILLIS, () -> onBoundary(n)));
    disk.attachTo(host);
    return new SipFrontEnd.Persistence(
        storeWrapper.apply(disk), budget, () -> (long) network.now());
  }

  // ---- Kills --------------------------------------------------------------------------------

  private void onBoundary(String node) {
    if (!disks.containsKey(node) || down.getOrDefault(node, false)) {
      return;
    }
    boundaryCount++;
    int remaining = boundariesUntilKill.getOrDefault(node, 0);
    if (remaining > 0) {
      boundariesUntilKill.put(node, remaining - 1);
    }
    if (remaining == 1 || boundaryCount == killAtBoundary) {
      throw new SimulatedNetwork.Crash(node);
    }
  }

  /** Sets the boundary, counted over all controllers, at which one is killed; -1: none. */
  public void killAtBoundary(long boundary) {
    killAtBoundary = boundary;
  }

  /** Kills a controller at its boundary number {@code boundaries}, counted from now on. */
  public void killAfterBoundaries(int exchange, int boundaries) {
    boundariesUntilKill.put(Fleet.controllerName(exchange), boundaries);
  }

  /** Kills a controller now, between two events, unless it is down already. */
  public void kill(int exchange) {
    String name = Fleet.controllerName(exchange);
    if (!down.getOrDefault(name, false)) {
      network.kill(name);
      onCrash(name);
    }
  }

  private void onCrash(String name) {
    killCount++;
    fleet
        .callers()
        .establishedCalls(exchangeOf(name))
        .forEach(plannedCall -> establishedAtKill.put(plannedCall.sessionIdPrefix(), plannedCall));
    boundariesUntilKill.remove(name);
    down.put(name, true);
    disks.get(name).crash();
    network.schedule(network.now() + downtimeMillis, name, () -> restart(name));
  }

  private void restart(String name) {
    down.put(name, false);
    fleet.restartController(exchangeOf(name));
  }

  private static int exchangeOf(String name) {
    return Integer.parseInt(name.substring(name.indexOf('-') + 1));
  }

  /** Calls that were established when their controller was killed, by Session-ID prefix. */
  public Map<String, PlannedCall> establishedAtKill() {
    return establishedAtKill;
  }

  /** Sets how long controllers that are killed from now on stay down, ms. */
  public void setDowntimeMillis(double downtimeMillis) {
    this.downtimeMillis = downtimeMillis;
  }

  /** Makes a controller's disk fail or work again. */
  public void setDiskFailing(int exchange, boolean failing) {
    if (failing) {
      diskFailed = true;
      network.recorder().recordNote(network.now(), Fleet.controllerName(exchange), "disk fails");
    }
    disks.get(Fleet.controllerName(exchange)).setFailing(failing);
  }

  /** Number of boundaries that all controllers have passed so far. */
  public long boundaryCount() {
    return boundaryCount;
  }

  /** Whether any disk failed: calls continued unpersisted, and some may never be released. */
  public boolean diskFailed() {
    return diskFailed;
  }

  /** Number of kills so far. */
  public int killCount() {
    return killCount;
  }
}
