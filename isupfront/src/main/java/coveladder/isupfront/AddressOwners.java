package coveladder.isupfront;

import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeDirectory;
import coveladder.core.ExchangeDirectory.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the switches whose address another switch has taken over. Two processes cannot listen at
 * one address, so the earlier one is gone, whether the journal service has noticed it or not; a
 * connection that its address accepts says nothing about it.
 */
final class AddressOwners {
  private AddressOwners() {}

  /**
   * Returns the entries of an event, with all switches as gone whose address another one has.
   *
   * @param listed entries of the event
   * @param snapshot whether the event lists all switches
   * @param directory the directory before the event
   */
  static List<Entry> closeSuperseded(
      List<Entry> listed, boolean snapshot, ExchangeDirectory directory) {
    Map<String, Entry> entries = new LinkedHashMap<>();
    if (!snapshot) {
      directory.entries().forEach(entry -> entries.put(entry.id(), entry));
    }
    listed.forEach(entry -> entries.put(entry.id(), entry));
    Map<String, Entry> owners = owners(entries.values(), directory);
    Map<String, Entry> result = new LinkedHashMap<>();
    listed.forEach(entry -> result.put(entry.id(), entry));
    for (Entry entry : entries.values()) {
      if (entry.state() != ExchangeState.GONE && owners.get(entry.address()) != entry) {
        result.put(entry.id(), gone(entry));
      }
    }
    return new ArrayList<>(result.values());
  }

  private static Map<String, Entry> owners(Iterable<Entry> entries, ExchangeDirectory directory) {
    Map<String, Entry> owners = new HashMap<>();
    for (Entry entry : entries) {
      if (entry.state() != ExchangeState.GONE) {
        owners.merge(entry.address(), entry, (one, later) -> newer(one, later, directory));
      }
    }
    return owners;
  }

  /**
   * Returns the one that started later. If a start is not known, that is the one listed later; one
   * that was closed before cannot have come back without a start.
   */
  private static Entry newer(Entry one, Entry later, ExchangeDirectory directory) {
    boolean startsKnown = one.startedAt() > 0 && later.startedAt() > 0;
    if (startsKnown && one.startedAt() != later.startedAt()) {
      return one.startedAt() > later.startedAt() ? one : later;
    }
    boolean wasClosed = Double.isFinite(directory.closedSince(later.id()));
    boolean otherWasClosed = Double.isFinite(directory.closedSince(one.id()));
    return wasClosed && !otherWasClosed ? one : later;
  }

  private static Entry gone(Entry entry) {
    return new Entry(
        entry.id(),
        entry.number(),
        entry.domain(),
        entry.address(),
        ExchangeState.GONE,
        entry.startedAt());
  }
}
