package coveladder.core;

import coveladder.CallPolicy;
import coveladder.CallPolicy.ExchangeState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The exchange directory as last reported to this controller. An incremental update names the
 * version that it applies to; if that is not the present version, an update was lost and the
 * complete directory must be requested.
 */
public final class ExchangeDirectory {
  private static final int MAX_WITHDRAWN_EXCHANGES = 256;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Set<Integer> everListedNumbers = new TreeSet<>();
  private final Map<String, Double> closedAt = new LinkedHashMap<>();
  private long version = -1;

  /**
   * A directory entry.
   *
   * @param id id of the exchange; a replacement processor has an id of its own
   * @param number number of the exchange, the same for all its processors
   * @param domain host part of the URIs of its numbers
   * @param address URI of its signalling address
   * @param state state of the exchange
   * @param startedAt time of its last start by this controller's clock, ms; 0: long ago
   */
  public record Entry(
      String id, int number, String domain, String address, ExchangeState state, double startedAt) {

    CallPolicy.Exchange forPolicy() {
      return new CallPolicy.Exchange(id, number, state, startedAt);
    }
  }

  /**
   * An update of the directory.
   *
   * @param complete whether the entries are the complete directory
   * @param baseVersion version that an incremental update applies to; unused in a complete one
   * @param version version after the update
   * @param entries all entries, or those that changed
   */
  public record Update(boolean complete, long baseVersion, long version, List<Entry> entries) {}

  /** The result of applying an update. */
  public enum UpdateResult {
    /** The update was applied. */
    APPLIED,
    /** The directory already has this version or a newer one. */
    OUTDATED,
    /** An earlier update is missing: the complete directory must be requested. */
    GAP
  }

  /** Applies an update unless it is outdated or an earlier one is missing. */
  public UpdateResult apply(Update update, double now) {
    if (!update.complete() && update.version() <= version) {
      return UpdateResult.OUTDATED;
    }
    if (!update.complete() && update.baseVersion() != version) {
      return UpdateResult.GAP;
    }
    if (update.complete()) {
      entries.keySet().removeIf(id -> markClosedIfMissing(id, update, now));
    }
    version = update.version();
    for (Entry entry : update.entries()) {
      put(entry, now);
    }
    return UpdateResult.APPLIED;
  }

  /**
   * Marks an exchange as closed from now on if a complete update does not list it; returns whether
   * it is missing there.
   */
  private boolean markClosedIfMissing(String id, Update update, double now) {
    boolean missing = update.entries().stream().noneMatch(entry -> entry.id().equals(id));
    if (missing) {
      closedAt.putIfAbsent(id, now);
    }
    return missing;
  }

  private void put(Entry entry, double now) {
    everListedNumbers.add(entry.number());
    if (entry.state() == ExchangeState.IN_SERVICE) {
      closedAt.remove(entry.id());
    } else {
      closedAt.putIfAbsent(entry.id(), now);
    }
    if (entry.state() == ExchangeState.GONE) {
      entries.remove(entry.id());
    } else {
      entries.put(entry.id(), entry);
    }
    evictOldestWithdrawn();
  }

  /** Limits the withdrawn exchanges remembered: each replacement processor has a new id. */
  private void evictOldestWithdrawn() {
    if (closedAt.size() > entries.size() + MAX_WITHDRAWN_EXCHANGES) {
      closedAt.keySet().stream()
          .filter(id -> !entries.containsKey(id))
          .findFirst()
          .ifPresent(closedAt::remove);
    }
  }

  /** The exchange with this id; null if the directory has none. */
  public Entry byId(String id) {
    return entries.get(id);
  }

  /** The newest exchange in service with this number; null if there is none. */
  public Entry byNumber(int number) {
    return newestInService(entry -> entry.number() == number);
  }

  /** The newest exchange in service for a domain, ignoring case; null if there is none. */
  public Entry byDomain(String domain) {
    return newestInService(entry -> entry.domain().equalsIgnoreCase(domain));
  }

  private Entry newestInService(java.util.function.Predicate<Entry> condition) {
    Entry found = null;
    for (Entry entry : entries.values()) {
      boolean matches = entry.state() == ExchangeState.IN_SERVICE && condition.test(entry);
      if (matches && (found == null || entry.startedAt() > found.startedAt())) {
        found = entry;
      }
    }
    return found;
  }

  /** Whether the directory ever listed an exchange with this number. */
  public boolean hasEverListed(int number) {
    return everListedNumbers.contains(number);
  }

  /** Number of the exchange for a domain, in service or not; -1 if the directory has none. */
  public int numberOfDomain(String domain) {
    for (Entry entry : entries.values()) {
      if (entry.domain().equalsIgnoreCase(domain)) {
        return entry.number();
      }
    }
    return -1;
  }

  /** Clock at which an exchange was first reported as not in service, ms; otherwise infinite. */
  public double closedSince(String id) {
    return closedAt.getOrDefault(id, Double.POSITIVE_INFINITY);
  }

  /** All entries. */
  public List<Entry> entries() {
    return new ArrayList<>(entries.values());
  }

  /** The present version; -1 before the first update. */
  public long version() {
    return version;
  }
}
