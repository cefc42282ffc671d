package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.CallerMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends releases to callers: on the connection of the call if it is open, otherwise on the open
 * connection with the most established calls, otherwise later, on the next connection that brings a
 * call. A release that has waited for long is also sent on connections that have not brought a call
 * yet, as one of them may be its caller's. A release sent just before its connection ended is sent
 * again.
 */
final class ReleaseSender {
  /** Maximum number of releases that wait for a connection; the oldest is dropped first. */
  private static final int MAX_UNSENT = 50_000;

  /** Age up to which a release is sent again if its connection ends. */
  private static final double RESEND_WINDOW_MILLIS = 500;

  /** Age from which a release that waits for a connection is dropped. */
  private static final double UNSENT_LIFETIME_MILLIS = 30_000;

  /**
   * Time after which a release that waits is sent on connections without calls; callers must be
   * told within 1 s.
   */
  private static final double OFFER_AFTER_MILLIS = 500;

  /** Maximum number of connections without calls on which one release is sent. */
  private static final int MAX_OFFERS = 8;

  /** Maximum number of sent releases remembered per connection. */
  private static final int MAX_RECENT_PER_CONNECTION = 256;

  private final Scheduler scheduler;
  private final EventRecorder log;

  /** Open connections that have brought an established call. */
  private final Set<CallerConnection> connectionsWithCalls = new LinkedHashSet<>();

  /** Releases that wait for a connection, by call id, oldest first. */
  private final Map<String, Release> unsent = new LinkedHashMap<>();

  /** Those of the waiting releases that were not yet sent on connections without calls. */
  private final Map<String, Release> unoffered = new LinkedHashMap<>();

  /**
   * A release.
   *
   * @param cause its cause
   * @param timeMillis clock at which it was sent or began to wait, ms
   */
  record Release(int cause, double timeMillis) {}

  ReleaseSender(Scheduler scheduler, EventRecorder log) {
    this.scheduler = scheduler;
    this.log = log;
  }

  /**
   * Records that a call of a connection was established, which shows that a real caller uses it,
   * and sends the waiting releases on it.
   */
  void callEstablished(CallerConnection connection) {
    if (connection.closed()) {
      return;
    }
    if (connection.countEstablished() == 1) {
      connectionsWithCalls.add(connection);
    }
    sendUnsent(connection);
  }

  private void sendUnsent(CallerConnection connection) {
    while (!unsent.isEmpty() && !connection.closed()) {
      Iterator<Map.Entry<String, Release>> first = unsent.entrySet().iterator();
      Map.Entry<String, Release> next = first.next();
      first.remove();
      unoffered.remove(next.getKey());
      if (scheduler.now() - next.getValue().timeMillis() < UNSENT_LIFETIME_MILLIS) {
        send(connection, next.getKey(), next.getValue().cause());
      }
    }
  }

  /**
   * Records that a set-up of a connection was accepted. Waiting releases are sent on it if no
   * connection has brought an established call.
   */
  void setUpAccepted(CallerConnection connection) {
    if (connectionsWithCalls.isEmpty()) {
      sendUnsent(connection);
    }
  }

  /**
   * Releases a call toward its caller.
   *
   * @param callConnection connection of the call; null if it is not known
   */
  void release(CallerConnection callConnection, String id, int cause) {
    CallerConnection connection =
        callConnection != null && !callConnection.closed() ? callConnection : mostUsedConnection();
    if (connection == null || !send(connection, id, cause)) {
      log.state(id, "", "release " + cause + " waits for a connection");
      keepUnsent(id, new Release(cause, scheduler.now()));
    }
  }

  private void keepUnsent(String id, Release release) {
    unsent.put(id, release);
    unoffered.put(id, release);
    if (unsent.size() > MAX_UNSENT) {
      String oldest = unsent.keySet().iterator().next();
      unsent.remove(oldest);
      unoffered.remove(oldest);
    }
  }

  /**
   * Sends releases that have waited for long on connections that have not brought a call: those
   * that brought a test first, then the newest. Each release is sent so once, and waits on: none of
   * them may be that of its caller.
   *
   * @param connections all open connections, oldest first
   */
  void offerWaiting(Collection<CallerConnection> connections) {
    double now = scheduler.now();
    List<CallerConnection> candidates = null;
    Iterator<Map.Entry<String, Release>> oldest = unoffered.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<String, Release> next = oldest.next();
      if (now - next.getValue().timeMillis() < OFFER_AFTER_MILLIS) {
        return;
      }
      candidates = candidates == null ? offerCandidates(connections) : candidates;
      if (candidates.isEmpty()) {
        return;
      }
      oldest.remove();
      for (CallerConnection candidate : candidates) {
        offer(candidate, next.getKey(), next.getValue().cause());
      }
    }
  }

  /** Sends a release that waits on; it is not sent again if this connection ends. */
  private void offer(CallerConnection connection, String id, int cause) {
    if (connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, cause))) {
      log.state(id, connection.name(), "release " + cause + " offered, it has waited for long");
    }
  }

  private static List<CallerConnection> offerCandidates(Collection<CallerConnection> connections) {
    List<CallerConnection> newestFirst = new ArrayList<>(connections);
    Collections.reverse(newestFirst);
    return newestFirst.stream()
        .sorted(Comparator.comparing(connection -> !connection.used()))
        .limit(MAX_OFFERS)
        .toList();
  }

  /**
   * Returns the connection that has brought the most established calls; null if none has. This
   * keeps releases away from clients that only check whether the controller is alive, or that
   * called once and stayed connected.
   */
  private CallerConnection mostUsedConnection() {
    CallerConnection mostUsed = null;
    for (CallerConnection connection : connectionsWithCalls) {
      mostUsed =
          mostUsed == null || connection.establishedCalls() >= mostUsed.establishedCalls()
              ? connection
              : mostUsed;
    }
    return mostUsed;
  }

  /** Drops the releases that have waited for their time, and those that have surely been read. */
  void dropExpired() {
    double now = scheduler.now();
    Iterator<Map.Entry<String, Release>> oldest = unsent.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<String, Release> next = oldest.next();
      if (now - next.getValue().timeMillis() < UNSENT_LIFETIME_MILLIS) {
        break;
      }
      log.ignored(next.getKey(), "", "release " + next.getValue().cause() + " waited too long");
      oldest.remove();
      unoffered.remove(next.getKey());
    }
    connectionsWithCalls.forEach(this::forgetOldReleases);
  }

  /** Number of releases that wait for a connection. */
  int unsentCount() {
    return unsent.size();
  }

  private boolean send(CallerConnection connection, String id, int cause) {
    forgetOldReleases(connection);
    boolean sent = connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
    if (sent) {
      log.state(id, connection.name(), "release " + cause + " sent");
      connection.recentReleases().put(id, new Release(cause, scheduler.now()));
    }
    return sent;
  }

  /** Forgets releases that are old enough to have been read, and the oldest above the limit. */
  private void forgetOldReleases(CallerConnection connection) {
    Iterator<Release> sent = connection.recentReleases().values().iterator();
    while (sent.hasNext()) {
      if (scheduler.now() - sent.next().timeMillis() < RESEND_WINDOW_MILLIS
          && connection.recentReleases().size() < MAX_RECENT_PER_CONNECTION) {
        return;
      }
      sent.remove();
    }
  }

  /** Handles the caller's acknowledgement of a release. */
  void acknowledged(CallerConnection connection, String id) {
    connection.recentReleases().remove(id);
  }

  /** Sends the recent releases of an ended connection again, as they may not have been read. */
  void connectionLost(CallerConnection connection) {
    connectionsWithCalls.remove(connection);
    forgetOldReleases(connection);
    connection.recentReleases().forEach((id, sent) -> resend(connection, id, sent));
    connection.recentReleases().clear();
  }

  private void resend(CallerConnection ended, String id, Release sent) {
    log.retried(id, ended.name(), "release " + sent.cause() + ": its connection ended");
    release(null, id, sent.cause());
  }
}
