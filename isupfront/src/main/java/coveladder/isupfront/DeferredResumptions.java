package coveladder.isupfront;

import coveladder.core.Scheduler;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Holds calls that were named as established at a switch missing from the exchange directory. The
 * directory may be behind: whether the switch is new or gone is known once the journal service has
 * confirmed the position, or when what it has to tell must have been told.
 */
final class DeferredResumptions {
  /** Time after which whatever a journal service that broke off has to tell counts as told. */
  static final double MAX_DEFERRAL_MILLIS = 4_000;

  /** Maximum number of calls taken at a time, so that deciding on them holds up nothing else. */
  static final int MAX_TAKEN = 100;

  private final Scheduler scheduler;
  private final int capacity;
  private final Map<String, Deferred> deferred = new LinkedHashMap<>();

  /**
   * A call whose switch is not known.
   *
   * @param connection connection on which it was named
   * @param setUp the message that named it
   * @param deadlineMillis clock at which it is held no longer, ms
   */
  record Deferred(CallerConnection connection, SetUp setUp, double deadlineMillis) {}

  /**
   * Creates an empty holder.
   *
   * @param capacity maximum number of calls held
   */
  DeferredResumptions(Scheduler scheduler, int capacity) {
    this.scheduler = scheduler;
    this.capacity = capacity;
  }

  /** Holds a call; returns false if there is no room. */
  boolean add(CallerConnection connection, SetUp setUp) {
    if (deferred.size() >= capacity && !deferred.containsKey(setUp.id())) {
      return false;
    }
    double deadlineMillis = scheduler.now() + MAX_DEFERRAL_MILLIS;
    Deferred earlier = deferred.get(setUp.id());
    double heldUntilMillis = earlier == null ? deadlineMillis : earlier.deadlineMillis();
    deferred.put(setUp.id(), new Deferred(connection, setUp, heldUntilMillis));
    return true;
  }

  /** Removes and returns the calls held longest. */
  List<Deferred> takeOldest() {
    return take(call -> true);
  }

  /** Removes and returns those of the calls held longest that are held no longer. */
  List<Deferred> takeExpired() {
    return take(call -> scheduler.now() >= call.deadlineMillis());
  }

  private List<Deferred> take(Predicate<Deferred> condition) {
    List<Deferred> taken = new ArrayList<>();
    Iterator<Deferred> oldest = deferred.values().iterator();
    while (taken.size() < MAX_TAKEN && oldest.hasNext()) {
      Deferred next = oldest.next();
      if (!condition.test(next)) {
        break;
      }
      taken.add(next);
      oldest.remove();
    }
    return taken;
  }

  /** Number of calls held. */
  int size() {
    return deferred.size();
  }
}
