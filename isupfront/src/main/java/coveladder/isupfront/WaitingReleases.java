package coveladder.isupfront;

import coveladder.core.Scheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Releases of calls whose connection is not open, numbered in the order in which they began to
 * wait. A call has one release at most; the oldest are dropped beyond a maximum number.
 */
final class WaitingReleases {
  /** Maximum number of releases; a quarter more than the calls that are tracked. */
  private static final int MAX_WAITING = 15_000;

  /** Time for which a release waits that was sent on no connection with answered calls. */
  private static final double UNSENT_LIFETIME_MILLIS = 30_000;

  /** The same time if it went to one: callers must be told within 8 s of the end of a call. */
  private static final double SENT_LIFETIME_MILLIS = 8_000;

  private final Scheduler scheduler;
  private final TreeMap<Long, Waiting> byNumber = new TreeMap<>();
  private final Map<String, Long> numberById = new HashMap<>();
  private long lastNumber;

  /** A release that waits. */
  static final class Waiting {
    private final long number;
    private final String id;
    private final int cause;
    private final double sinceMillis;
    private CallerConnection sentOn;

    /** Whether it was sent on a connection with calls that a switch answered. */
    private boolean sentOnProven;

    Waiting(long number, String id, int cause, double sinceMillis) {
      this.number = number;
      this.id = id;
      this.cause = cause;
      this.sinceMillis = sinceMillis;
    }

    /** Its number; a release that begins to wait later has a higher one. */
    long number() {
      return number;
    }

    String id() {
      return id;
    }

    int cause() {
      return cause;
    }

    /** Clock at which it began to wait, ms. */
    double sinceMillis() {
      return sinceMillis;
    }

    /** Records that it was sent on a connection with calls as it began to wait. */
    void sentOn(CallerConnection connection) {
      sentOn = connection;
      sentOnProven = connection.provenCalls() > 0;
    }

    boolean wasSentOn(CallerConnection connection) {
      return sentOn == connection;
    }
  }

  WaitingReleases(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Adds a release, in place of an earlier one of the same call. */
  Waiting add(String id, int cause) {
    remove(id);
    Waiting added = new Waiting(++lastNumber, id, cause, scheduler.now());
    byNumber.put(added.number, added);
    numberById.put(id, added.number);
    if (byNumber.size() > MAX_WAITING) {
      remove(byNumber.firstEntry().getValue().id);
    }
    return added;
  }

  private void remove(String id) {
    Long number = numberById.remove(id);
    if (number != null) {
      byNumber.remove(number);
    }
  }

  /**
   * Returns the oldest releases above a number.
   *
   * @param most maximum number returned
   */
  List<Waiting> after(long number, int most) {
    return byNumber.tailMap(number, /* inclusive= */ false).values().stream()
        .limit(Math.max(0, most))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  /** Removes and returns the releases that have waited for their time. */
  List<Waiting> takeExpired() {
    double now = scheduler.now();
    List<Waiting> expired = new ArrayList<>();
    for (Waiting release : byNumber.values()) {
      double waitedMillis = now - release.sinceMillis;
      if (waitedMillis < SENT_LIFETIME_MILLIS) {
        break;
      }
      if (release.sentOnProven || waitedMillis >= UNSENT_LIFETIME_MILLIS) {
        expired.add(release);
      }
    }
    expired.forEach(release -> remove(release.id));
    return expired;
  }

  boolean isEmpty() {
    return byNumber.isEmpty();
  }

  int size() {
    return byNumber.size();
  }
}
