package coveladder.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/** All circuit groups of a fleet, and word to both ends of each when it changes. */
public final class TrunkNetwork {
  private final Map<Integer, Map<Integer, CircuitGroup>> groups = new TreeMap<>();
  private final Map<Integer, IntConsumer> watchers = new TreeMap<>();

  /** Lays a group between two exchanges. */
  public void addGroup(int one, int other, int size) {
    CircuitGroup group = new CircuitGroup(size);
    groups.computeIfAbsent(one, n -> new TreeMap<>()).put(other, group);
    groups.computeIfAbsent(other, n -> new TreeMap<>()).put(one, group);
  }

  /** The group between two exchanges; null if there is none. */
  public CircuitGroup between(int one, int other) {
    return groups.getOrDefault(one, Map.of()).get(other);
  }

  /** Numbers of the exchanges that one has groups to. */
  public List<Integer> neighbours(int one) {
    return new ArrayList<>(groups.getOrDefault(one, Map.of()).keySet());
  }

  /** Tells an exchange from now on which of its groups changed. */
  public void watch(int one, IntConsumer changed) {
    watchers.put(one, changed);
  }

  /** Takes circuits between two exchanges; whether there were enough. */
  public boolean seize(int one, int other, int width) {
    CircuitGroup group = between(one, other);
    boolean seized = group != null && group.seize(width);
    if (seized) {
      changed(one, other);
    }
    return seized;
  }

  /** Gives circuits back. */
  public void release(int one, int other, int width) {
    between(one, other).release(width);
    changed(one, other);
  }

  /** Changes a group's size. */
  public void resize(int one, int other, int size) {
    between(one, other).resize(size);
    changed(one, other);
  }

  private void changed(int one, int other) {
    watchers.getOrDefault(one, n -> {}).accept(other);
    watchers.getOrDefault(other, n -> {}).accept(one);
  }

  /** Busy circuits of all groups. */
  public int busyCircuits() {
    int busy = 0;
    for (var from : groups.entrySet()) {
      for (var to : from.getValue().entrySet()) {
        busy += from.getKey() < to.getKey() ? to.getValue().busy() : 0;
      }
    }
    return busy;
  }
}
