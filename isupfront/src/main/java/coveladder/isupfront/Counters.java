package coveladder.isupfront;

import java.util.Map;
import java.util.TreeMap;

/** Counts of what was seen, by a sentence; each is told now and then, not at every time. */
public final class Counters {
  private static final int MOST_KINDS = 200;
  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, Long> told = new TreeMap<>();

  /** Counts one. */
  public void increment(String what) {
    if (counts.size() < MOST_KINDS || counts.containsKey(what)) {
      counts.merge(what, 1L, Long::sum);
    }
  }

  /** How many there were. */
  public long valueOf(String what) {
    return counts.getOrDefault(what, 0L);
  }

  /** What has grown since the last time this was asked; empty where nothing has. */
  public String takeChanges() {
    StringBuilder news = new StringBuilder();
    counts.forEach(
        (what, count) -> {
          if (!count.equals(told.put(what, count))) {
            news.append(news.length() == 0 ? "" : "; ").append(what).append(" ").append(count);
          }
        });
    return news.toString();
  }
}
