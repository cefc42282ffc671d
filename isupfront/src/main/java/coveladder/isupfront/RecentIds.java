package coveladder.isupfront;

import java.util.LinkedHashSet;
import java.util.Set;

/** A bounded set of ids that forgets the oldest first. */
final class RecentIds {
  private final int capacity;
  private final Set<String> ids = new LinkedHashSet<>();

  /** Creates a set of at most {@code capacity} ids. */
  RecentIds(int capacity) {
    this.capacity = capacity;
  }

  void add(String id) {
    ids.add(id);
    if (ids.size() > capacity) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
