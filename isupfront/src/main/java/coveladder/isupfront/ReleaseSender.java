package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.CallerMessage;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sends releases to callers: on the connection of the call if it is open, otherwise on the open
 * connection with the most established calls, otherwise later, on the next connection that brings a
 * call. A release sent just before its connection ended is sent again.
 */
final class ReleaseSender {
  /** Maximum number of releases that wait for a connection; the oldest is dropped first. */
  private static final int MAX_UNSENT = 50_000;

  /** Age up to which a release is sent again if its connection ends. */
  private static final double RESEND_WINDOW_MILLIS = 500;

  /** Age from which a release that waits for a connection is dropped. */
  private static final double UNSENT_LIFETIME_MILLIS = 30_000;

  /** Maximum number of sent releases remembered per connection. */
  private static final int MAX_RECENT_PER_CONNECTION = 256;

  private final Scheduler scheduler;
  private final EventRecorder log;

  /** Open connections that have brought an established call. */
  private final Set<CallerConnection> connectionsWithCalls = new LinkedHashSet<>();

  /** Releases that wait for a connection, by call id, oldest first. */
  private final Map<String, Release> unsent = new LinkedHashMap<>();

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
      unsent.put(id, new Release(cause, scheduler.now()));
      if (unsent.size() > MAX_UNSENT) {
        unsent.remove(unsent.keySet().iterator().next());
      }
    }
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
