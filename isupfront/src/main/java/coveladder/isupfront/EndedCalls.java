package coveladder.isupfront;

import coveladder.core.Scheduler;

/**
 * Remembers for a limited time the releases of calls that are not tracked: of those that have just
 * ended, and of those that a caller may yet name as established, such as calls from before a
 * restart. A caller's word that a call is established can arrive after the release that ended it.
 */
final class EndedCalls {
  /**
   * Time for which an end is remembered. A controller may take 30 s until callers are sent to it,
   * and only then do they name their calls.
   */
  static final double RETENTION_MILLIS = 30_000;

  private final ExpiringMap<End> ends;

  /**
   * Ends that callers alone have told, of calls that are not tracked; apart from the others, as any
   * client can name ids without end.
   */
  private final ExpiringMap<End> endsToldByCallers;

  /** Who released a call. */
  enum ReleasedBy {
    /** The switch, or this controller because the call was lost there: the caller must know. */
    SWITCH,
    /** The caller, and the switch was not told: it must know. */
    CALLER,
    /** The caller, and the switch was told: nothing is left to do. */
    CALLER_AND_SWITCH_TOLD
  }

  /**
   * How a call ended.
   *
   * @param releasedBy who released it
   * @param cause cause for the caller
   */
  record End(ReleasedBy releasedBy, int cause) {}

  /**
   * Creates an empty memory.
   *
   * @param capacity maximum number of ends remembered of each kind; the oldest is forgotten first
   */
  EndedCalls(Scheduler scheduler, int capacity) {
    ends = new ExpiringMap<>(scheduler, capacity, RETENTION_MILLIS);
    endsToldByCallers = new ExpiringMap<>(scheduler, capacity, RETENTION_MILLIS);
  }

  /** Remembers the end of a call; a later end of the same call replaces an earlier one. */
  void remember(String id, ReleasedBy releasedBy, int cause) {
    endsToldByCallers.remove(id);
    ends.put(id, new End(releasedBy, cause));
  }

  /** Remembers that a caller released a call that is not tracked, and that the switch must know. */
  void rememberToldByCaller(String id, int cause) {
    endsToldByCallers.put(id, new End(ReleasedBy.CALLER, cause));
  }

  /** Returns how a call ended; null if that is not remembered. */
  End find(String id) {
    End end = ends.get(id);
    return end == null ? endsToldByCallers.get(id) : end;
  }

  /** Forgets the end of a call, as its id is set up anew. */
  void forget(String id) {
    ends.remove(id);
    endsToldByCallers.remove(id);
  }

  /** Drops the ends that were remembered for their time. */
  void dropExpired() {
    ends.dropExpired();
    endsToldByCallers.dropExpired();
  }

  /** Number of ends held. */
  int size() {
    return ends.size() + endsToldByCallers.size();
  }
}
