package coveladder.core;

import java.util.TreeMap;

/** The circuit groups of the local exchange, by the number of the remote exchange. */
public final class CircuitGroups {
  private final TreeMap<Integer, Group> groups = new TreeMap<>();

  /**
   * A circuit group.
   *
   * @param free free circuits as last reported
   * @param size number of circuits in the group
   * @param version version of that report
   */
  public record Group(int free, int size, long version) {}

  /** Stores a report if it is newer than the present one; returns whether it was. */
  public boolean update(int number, int free, int size, long version) {
    Group previous = groups.get(number);
    if (previous != null && previous.version() >= version) {
      return false;
    }
    groups.put(number, new Group(free, size, version));
    return true;
  }

  /** Removes all groups: the local switch has restarted and its report versions start again. */
  public void clear() {
    groups.clear();
  }

  /** The group toward an exchange; null if none is known. */
  public Group toward(int number) {
    return groups.get(number);
  }

  /** Number of known groups. */
  public int size() {
    return groups.size();
  }
}
