package coveladder.core;

import java.util.TreeMap;

/** Free circuits of the own groups, by the number of the exchange at the other end. */
public final class CircuitGroups {
  private final TreeMap<Integer, Group> groups = new TreeMap<>();

  /**
   * One group.
   *
   * @param free free circuits as last told
   * @param size circuits in all
   * @param version version of the report that told it
   */
  public record Group(int free, int size, long version) {}

  /** Takes a report in; whether it was newer than what is held. */
  public boolean update(int number, int free, int size, long version) {
    Group held = groups.get(number);
    if (held != null && held.version() >= version) {
      return false;
    }
    groups.put(number, new Group(free, size, version));
    return true;
  }

  /** Forgets all, as the own switch begins anew and counts its reports from the start. */
  public void clear() {
    groups.clear();
  }

  /** The group toward an exchange; null where none is known. */
  public Group toward(int number) {
    return groups.get(number);
  }

  /** How many groups are known. */
  public int size() {
    return groups.size();
  }
}
