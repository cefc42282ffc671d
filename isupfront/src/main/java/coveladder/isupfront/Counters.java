package coveladder.isupfront;

import java.util.Map;
import java.util.TreeMap;

/** Counters of unusual events by description, logged periodically instead of at each event. */
public final class Counters {
  /** Maximum number of counters: descriptions can contain parts of received messages. */
  private static final int MAX_COUNTERS = 200;

  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, Long> lastReported = new TreeMap<>();

  /** Increments a counter; a new one is ignored at the maximum number of counters. */
  public void increment(String name) {
    if (counts.size() < MAX_COUNTERS || counts.containsKey(name)) {
      counts.merge(name, 1L, Long::sum);
    }
  }

  /** Current value of a counter, 0 if there is none of this name. */
  public long valueOf(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /**
   * Returns the counters that changed since the previous call as {@code name value; name value};
   * empty if none did.
   */
  public String takeChanges() {
    StringBuilder changes = new StringBuilder();
    counts.forEach(
        (name, count) -> {
          if (!count.equals(lastReported.put(name, count))) {
            changes
                .append(changes.length() == 0 ? "" : "; ")
                .append(name)
                .append(" ")
                .append(count);
          }
        });
    return changes.toString();
  }
}
