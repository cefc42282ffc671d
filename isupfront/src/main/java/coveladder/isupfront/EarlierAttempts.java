package coveladder.isupfront;

import coveladder.core.Scheduler;

/**
 * Remembers calls with an earlier attempt at a switch, as long as messages of that attempt may
 * arrive. They carry the id of the call, so a later attempt there must not be ended by them.
 */
final class EarlierAttempts {
  /** Maximum number of calls remembered of each kind; the oldest is forgotten first. */
  private static final int MAX_CALLS = 2_048;

  /**
   * Time for which an attempt is remembered whose end was not heard: the call may stand at the
   * switch, which releases it on the next connection.
   */
  private static final double UNHEARD_LIFETIME_MILLIS = 30_000;

  /** Time within which a second copy of an answer arrives. */
  private static final double COPY_LIFETIME_MILLIS = 100;

  private final ExpiringMap<String> unheard;
  private final ExpiringMap<String> heard;

  EarlierAttempts(Scheduler scheduler) {
    unheard = new ExpiringMap<>(scheduler, MAX_CALLS, UNHEARD_LIFETIME_MILLIS);
    heard = new ExpiringMap<>(scheduler, MAX_CALLS, COPY_LIFETIME_MILLIS);
  }

  /** Records an attempt that was given up, or lost with its connection. */
  void endedUnheard(String call) {
    unheard.put(call, call);
  }

  /** Records an attempt that the switch ended; another copy of its last message may follow. */
  void ended(String call) {
    heard.put(call, call);
  }

  /** Whether messages of an earlier attempt of a call may still arrive. */
  boolean mayBeHeardOf(String call) {
    return unheard.get(call) != null || heard.get(call) != null;
  }

  void dropExpired() {
    unheard.dropExpired();
    heard.dropExpired();
  }

  /** Number of calls remembered. */
  int size() {
    return unheard.size() + heard.size();
  }
}
