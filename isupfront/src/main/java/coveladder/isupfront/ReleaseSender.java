package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.CallerMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Sends releases to callers: on the connection of the call if it is open. Otherwise nothing tells
 * which connection is that of its caller, and the release waits for a time and is offered once to
 * each connection that may be: to those with established calls, and to each that brings a call. A
 * release sent just before its connection ended is sent again.
 */
final class ReleaseSender {
  /** Age up to which a release is sent again if its connection ends. */
  private static final double RESEND_WINDOW_MILLIS = 500;

  /**
   * Time after which a release is offered to connections that have brought no call; callers must be
   * told within 1 s.
   */
  private static final double IDLE_OFFER_AFTER_MILLIS = 500;

  /** Maximum number of connections that have brought no call to which a release is offered. */
  private static final int MAX_IDLE_OFFERS = 8;

  /** Maximum number of releases offered in one turn of the event loop. */
  private static final int MAX_OFFERS_PER_TURN = 1_000;

  /** Maximum number of sent releases remembered per connection. */
  private static final int MAX_RECENT_PER_CONNECTION = 256;

  private final Scheduler scheduler;
  private final EventRecorder log;

  /** Open connections with calls that a switch answered, or that were named as established. */
  private final Set<CallerConnection> connectionsWithCalls = new LinkedHashSet<>();

  private final WaitingReleases waiting;

  /** Number of the last release that was offered to connections without calls. */
  private long lastOfferedToIdle;

  /**
   * A release that was sent.
   *
   * @param cause its cause
   * @param timeMillis clock at which it was sent, ms
   */
  record Release(int cause, double timeMillis) {}

  ReleaseSender(Scheduler scheduler, EventRecorder log) {
    this.scheduler = scheduler;
    this.log = log;
    this.waiting = new WaitingReleases(scheduler);
  }

  /** Records that a switch answered, or ended, a call of a connection: a real caller uses it. */
  void callProven(CallerConnection connection) {
    connection.countProven();
    callEstablished(connection);
  }

  /** Records that a client named a call as established, which is its word alone. */
  void callNamed(CallerConnection connection) {
    connection.countNamed();
    callEstablished(connection);
  }

  private void callEstablished(CallerConnection connection) {
    if (!connection.closed()) {
      connectionsWithCalls.add(connection);
      callBrought(connection);
    }
  }

  /** Records that a connection brought a call, and offers it the waiting releases. */
  void callBrought(CallerConnection connection) {
    offerTo(connection, waiting.after(connection.lastReleaseOffered(), MAX_OFFERS_PER_TURN));
  }

  /**
   * Releases a call toward its caller.
   *
   * @param callConnection connection of the call; null if it is not known
   */
  void release(CallerConnection callConnection, String id, int cause) {
    if (callConnection != null && !callConnection.closed() && send(callConnection, id, cause)) {
      return;
    }
    WaitingReleases.Waiting release = waiting.add(id, cause);
    log.state(id, "", "release " + cause + " waits, the connection of its call is not open");
    CallerConnection mostUsed = mostUsedConnection();
    if (mostUsed != null && send(mostUsed, id, cause)) {
      release.sentOn(mostUsed);
    }
  }

  /**
   * Offers the waiting releases to connections with calls; those that have waited for long, once,
   * to connections without calls as well, as their callers may have no other.
   *
   * @param connections all open connections, oldest first
   */
  void offerWaiting(Collection<CallerConnection> connections) {
    if (waiting.isEmpty()) {
      return;
    }
    int left = MAX_OFFERS_PER_TURN;
    for (CallerConnection connection : new ArrayList<>(connectionsWithCalls)) {
      left -= offerTo(connection, waiting.after(connection.lastReleaseOffered(), left));
    }
    offerToIdle(connections, left / MAX_IDLE_OFFERS);
  }

  private void offerToIdle(Collection<CallerConnection> connections, int most) {
    double untilMillis = scheduler.now() - IDLE_OFFER_AFTER_MILLIS;
    List<WaitingReleases.Waiting> due = waiting.after(lastOfferedToIdle, most);
    due.removeIf(release -> release.sinceMillis() > untilMillis);
    List<CallerConnection> candidates = due.isEmpty() ? List.of() : idleConnections(connections);
    for (CallerConnection connection : candidates) {
      offerTo(connection, due);
    }
    if (!candidates.isEmpty()) {
      lastOfferedToIdle = due.get(due.size() - 1).number();
    }
  }

  /** Offers releases that a connection was not offered yet; returns how many there were. */
  private int offerTo(CallerConnection connection, List<WaitingReleases.Waiting> releases) {
    for (WaitingReleases.Waiting release : releases) {
      if (release.number() > connection.lastReleaseOffered()) {
        connection.releaseOffered(release.number());
        offer(connection, release);
      }
    }
    return releases.size();
  }

  /** Sends a release that waits on; it is not sent again if this connection ends. */
  private void offer(CallerConnection connection, WaitingReleases.Waiting release) {
    if (release.wasSentOn(connection)) {
      return;
    }
    CallerMessage message =
        CallerMessage.withCause(CallerMessage.RELEASE, release.id(), release.cause());
    if (connection.send(message)) {
      log.state(release.id(), connection.name(), "release " + release.cause() + " offered");
    }
  }

  /** Returns connections without calls: those that brought a test first, then the newest. */
  private List<CallerConnection> idleConnections(Collection<CallerConnection> connections) {
    List<CallerConnection> newestFirst = new ArrayList<>(connections);
    newestFirst.removeAll(connectionsWithCalls);
    Collections.reverse(newestFirst);
    return newestFirst.stream()
        .sorted(Comparator.comparing(connection -> !connection.used()))
        .limit(MAX_IDLE_OFFERS)
        .toList();
  }

  /**
   * Returns the connection with the most calls that a switch answered, and if none has any, with
   * the most calls named as established; null if there is none.
   */
  private CallerConnection mostUsedConnection() {
    return connectionsWithCalls.stream()
        .reduce((one, newer) -> CallerConnection.BY_CALLS.compare(one, newer) > 0 ? one : newer)
        .orElse(null);
  }

  /** Drops the releases that have waited for their time, and those that have surely been read. */
  void dropExpired() {
    for (WaitingReleases.Waiting expired : waiting.takeExpired()) {
      log.ignored(expired.id(), "", "release " + expired.cause() + " waits no longer");
    }
    connectionsWithCalls.forEach(this::forgetOldReleases);
  }

  /** Number of releases that wait. */
  int waitingCount() {
    return waiting.size();
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
