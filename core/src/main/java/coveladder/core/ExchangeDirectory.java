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
 * The exchange list as this controller was told it. Changes come with the version that they follow;
 * one that follows another version than the held one shows a gap, and the whole list is needed.
 */
public final class ExchangeDirectory {
  private static final int MOST_GONE = 256;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Set<Integer> numbers = new TreeSet<>();
  private final Map<String, Double> closedAt = new LinkedHashMap<>();
  private long version = -1;

  /**
   * One exchange.
   *
   * @param id its id; a processor that takes another's place has an id of its own
   * @param number its number, the same for all processors of one place
   * @param domain host part of URIs of numbers there
   * @param address where its signalling is reached, as a URI
   * @param state what the list says of it
   * @param startedAt own clock of its last start, ms; 0: long ago
   */
  public record Entry(
      String id, int number, String domain, String address, ExchangeState state, double startedAt) {

    CallPolicy.Exchange forPolicy() {
      return new CallPolicy.Exchange(id, number, state, startedAt);
    }
  }

  /**
   * What came from the list.
   *
   * @param complete whether the entries are the whole list
   * @param baseVersion version that changes follow; without meaning for a whole list
   * @param version version that they lead to
   * @param entries the lines
   */
  public record Update(boolean complete, long baseVersion, long version, List<Entry> entries) {}

  /** What became of news. */
  public enum UpdateResult {
    /** The list has changed. */
    APPLIED,
    /** It was known already. */
    OUTDATED,
    /** Something between is missing: the whole list must be asked for. */
    GAP
  }

  /** Takes news in. */
  public UpdateResult apply(Update news, double now) {
    if (!news.complete() && news.version() <= version) {
      return UpdateResult.OUTDATED;
    }
    if (!news.complete() && news.baseVersion() != version) {
      return UpdateResult.GAP;
    }
    if (news.complete()) {
      entries.keySet().removeIf(id -> isMissing(id, news, now));
    }
    version = news.version();
    for (Entry entry : news.entries()) {
      put(entry, now);
    }
    return UpdateResult.APPLIED;
  }

  private boolean isMissing(String id, Update news, double now) {
    boolean missing = news.entries().stream().noneMatch(entry -> entry.id().equals(id));
    if (missing) {
      closedAt.putIfAbsent(id, now);
    }
    return missing;
  }

  private void put(Entry entry, double now) {
    numbers.add(entry.number());
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
    forgetOldest();
  }

  /** Exchanges that are gone for good must not be held for good, where ids are ever new. */
  private void forgetOldest() {
    if (closedAt.size() > entries.size() + MOST_GONE) {
      closedAt.keySet().stream()
          .filter(id -> !entries.containsKey(id))
          .findFirst()
          .ifPresent(closedAt::remove);
    }
  }

  /** The exchange of that id; null where the list has none. */
  public Entry byId(String id) {
    return entries.get(id);
  }

  /** The newest exchange in service of a number; null where there is none. */
  public Entry byNumber(int number) {
    return newest(entry -> entry.number() == number);
  }

  /** The newest exchange in service for a domain, in any case; null where there is none. */
  public Entry byDomain(String domain) {
    return newest(entry -> entry.domain().equalsIgnoreCase(domain));
  }

  private Entry newest(java.util.function.Predicate<Entry> fits) {
    Entry found = null;
    for (Entry entry : entries.values()) {
      boolean open = entry.state() == ExchangeState.IN_SERVICE && fits.test(entry);
      if (open && (found == null || entry.startedAt() > found.startedAt())) {
        found = entry;
      }
    }
    return found;
  }

  /** Whether an exchange of that number was ever on the list. */
  public boolean hasEverListed(int number) {
    return numbers.contains(number);
  }

  /** Number of the exchange for a domain, in service or not; -1 where the list knows none. */
  public int numberOfDomain(String domain) {
    for (Entry entry : entries.values()) {
      if (entry.domain().equalsIgnoreCase(domain)) {
        return entry.number();
      }
    }
    return -1;
  }

  /** Since when this controller knows that an exchange takes nothing new; infinite if it does. */
  public double closedSince(String id) {
    return closedAt.getOrDefault(id, Double.POSITIVE_INFINITY);
  }

  /** All lines held. */
  public List<Entry> entries() {
    return new ArrayList<>(entries.values());
  }

  /** The version held; -1 before the first news. */
  public long version() {
    return version;
  }
}
