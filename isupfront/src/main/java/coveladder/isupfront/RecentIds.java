package coveladder.isupfront;

import java.util.LinkedHashSet;
import java.util.Set;

/** The latest ids of some kind, the oldest forgotten first. */
final class RecentIds {
  private final int most;
  private final Set<String> ids = new LinkedHashSet<>();

  /** Keeps so many at most. */
  RecentIds(int most) {
    this.most = most;
  }

  void add(String id) {
    ids.add(id);
    if (ids.size() > most) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }

  /** Forgets an id; whether it was kept. */
  boolean remove(String id) {
    return ids.remove(id);
  }
}
