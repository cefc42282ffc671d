package coveladder.isupfront;

import coveladder.core.Scheduler;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

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

  private final Scheduler scheduler;
  private final int capacity;
  private final Map<String, End> ends = new LinkedHashMap<>();

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
   * @param timeMillis clock at which it ended, ms
   */
  record End(ReleasedBy releasedBy, int cause, double timeMillis) {}

  /**
   * Creates an empty memory.
   *
   * @param capacity maximum number of ends remembered; the oldest is forgotten first
   */
  EndedCalls(Scheduler scheduler, int capacity) {
    this.scheduler = scheduler;
    this.capacity = capacity;
  }

  /** Remembers the end of a call; a later end of the same call replaces an earlier one. */
  void remember(String id, ReleasedBy releasedBy, int cause) {
    ends.remove(id);
    ends.put(id, new End(releasedBy, cause, scheduler.now()));
    Iterator<End> oldest = ends.values().iterator();
    while (isExpired(oldest.next()) || ends.size() > capacity) {
      oldest.remove();
    }
  }

  private boolean isExpired(End end) {
    return scheduler.now() - end.timeMillis() > RETENTION_MILLIS;
  }

  /** Returns how a call ended; null if that is not remembered. */
  End find(String id) {
    End end = ends.get(id);
    return end == null || isExpired(end) ? null : end;
  }

  /** Forgets the end of a call, as its id is set up anew. */
  void forget(String id) {
    ends.remove(id);
  }

  /** Number of ends held. */
  int size() {
    return ends.size();
  }
}
