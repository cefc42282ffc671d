package coveladder.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/** The circuit groups between the exchanges of a fleet; both ends learn of each change. */
public final class TrunkNetwork {
  private final Map<Integer, Map<Integer, CircuitGroup>> groupsByExchange = new TreeMap<>();
  private final Map<Integer, IntConsumer> listeners = new TreeMap<>();

  /** Adds a group of {@code size} circuits between two exchanges. */
  public void addGroup(int first, int second, int size) {
    CircuitGroup group = new CircuitGroup(size);
    groupsByExchange.computeIfAbsent(first, n -> new TreeMap<>()).put(second, group);
    groupsByExchange.computeIfAbsent(second, n -> new TreeMap<>()).put(first, group);
  }

  /** The group between two exchanges; null if there is none. */
  public CircuitGroup groupBetween(int first, int second) {
    return groupsByExchange.getOrDefault(first, Map.of()).get(second);
  }

  /** Numbers of the exchanges that share a circuit group with the given one. */
  public List<Integer> neighbours(int exchange) {
    return new ArrayList<>(groupsByExchange.getOrDefault(exchange, Map.of()).keySet());
  }

  /**
   * Sets the listener of an exchange: it receives the number at the other end of a changed group.
   */
  public void setChangeListener(int exchange, IntConsumer listener) {
    listeners.put(exchange, listener);
  }

  /** Seizes {@code width} circuits between two exchanges; false if there were too few. */
  public boolean seize(int first, int second, int width) {
    CircuitGroup group = groupBetween(first, second);
    boolean seized = group != null && group.seize(width);
    if (seized) {
      notifyListeners(first, second);
    }
    return seized;
  }

  /** Releases {@code width} circuits between two exchanges. */
  public void release(int first, int second, int width) {
    groupBetween(first, second).release(width);
    notifyListeners(first, second);
  }

  /** Changes the number of circuits between two exchanges. */
  public void resize(int first, int second, int size) {
    groupBetween(first, second).resize(size);
    notifyListeners(first, second);
  }

  private void notifyListeners(int first, int second) {
    listeners.getOrDefault(first, n -> {}).accept(second);
    listeners.getOrDefault(second, n -> {}).accept(first);
  }

  /** Number of busy circuits in all groups. */
  public int busyCircuits() {
    int busy = 0;
    for (var from : groupsByExchange.entrySet()) {
      for (var to : from.getValue().entrySet()) {
        busy += from.getKey() < to.getKey() ? to.getValue().busy() : 0;
      }
    }
    return busy;
  }
}
