package coveladder.isupfront;

import coveladder.core.Scheduler;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Values by call id, each kept for a limited time; at most a given number, of which the oldest is
 * dropped first.
 *
 * @param <V> type of the values
 */
final class ExpiringMap<V> {
  private final Scheduler scheduler;
  private final int capacity;
  private final double lifetimeMillis;
  private final Map<String, Entry<V>> entries = new LinkedHashMap<>();

  private record Entry<V>(V value, double timeMillis) {}

  /**
   * Creates an empty map.
   *
   * @param capacity maximum number of values
   * @param lifetimeMillis time for which a value is kept, ms
   */
  ExpiringMap(Scheduler scheduler, int capacity, double lifetimeMillis) {
    this.scheduler = scheduler;
    this.capacity = capacity;
    this.lifetimeMillis = lifetimeMillis;
  }

  /** Keeps a value from now on, in place of an earlier one of the same call. */
  void put(String id, V value) {
    entries.remove(id);
    entries.put(id, new Entry<>(value, scheduler.now()));
    dropExpired();
  }

  /** Drops the values that were kept for their time. */
  void dropExpired() {
    Iterator<Entry<V>> oldest = entries.values().iterator();
    while (oldest.hasNext() && (isExpired(oldest.next()) || entries.size() > capacity)) {
      oldest.remove();
    }
  }

  private boolean isExpired(Entry<V> entry) {
    return scheduler.now() - entry.timeMillis() > lifetimeMillis;
  }

  /** Returns the value of a call; null if none is kept. */
  V get(String id) {
    Entry<V> entry = entries.get(id);
    return entry == null || isExpired(entry) ? null : entry.value();
  }

  /** Removes the value of a call; returns whether one was kept. */
  boolean remove(String id) {
    Entry<V> entry = entries.remove(id);
    return entry != null && !isExpired(entry);
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Removes and returns all values, oldest first. */
  Map<String, V> takeAll() {
    dropExpired();
    Map<String, V> taken = new LinkedHashMap<>();
    entries.forEach((id, entry) -> taken.put(id, entry.value()));
    entries.clear();
    return taken;
  }

  /** Number of values held. */
  int size() {
    return entries.size();
  }
}
