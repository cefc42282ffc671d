package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.Cause;
import coveladder.isup.LineFramer;
import coveladder.isup.MalformedException;
import coveladder.isup.SwitchCodec;
import coveladder.isup.SwitchMessage;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import coveladder.isupfront.Transport.Loss;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** One connection to a switch, with the set-ups outstanding on it. */
final class SwitchConnection implements ConnectionListener {
  /** Age up to which a release is sent again if its connection ends. */
  private static final double RESEND_WINDOW_MILLIS = 500;

  /** Maximum number of sent releases remembered. */
  private static final int MAX_RECENT_RELEASES = 256;

  private final String name;
  private final SwitchLink link;
  private final LineFramer framer;
  private final Map<String, OutstandingAttempt> outstanding = new LinkedHashMap<>();
  private final ExpiringMap<String> recentReleases;
  private Connection connection;
  private boolean open;
  private boolean ended;

  /**
   * Clock at which the first attempt was started that ended without any octets since, ms; NaN if
   * there is none.
   */
  private double unansweredSince = Double.NaN;

  private double lastReceivedAt;

  /** Clock at which the last part of an incomplete line arrived, ms; NaN if there is none. */
  private double partialLineReceivedAt = Double.NaN;

  SwitchConnection(String name, SwitchLink link, int maxLineBytes, Scheduler scheduler) {
    this.name = name;
    this.recentReleases = new ExpiringMap<>(scheduler, MAX_RECENT_RELEASES, RESEND_WINDOW_MILLIS);
    this.link = link;
    this.framer = new LineFramer(maxLineBytes);
    this.lastReceivedAt = scheduler.now();
  }

  /** Sets the transport connection that this object listens to. */
  void attach(Connection newConnection) {
    connection = newConnection;
  }

  /** Name in the log. */
  String name() {
    return name;
  }

  /** Outstanding set-ups by call id. */
  Map<String, OutstandingAttempt> outstanding() {
    return outstanding;
  }

  boolean isOpen() {
    return open && !ended;
  }

  boolean isEnded() {
    return ended;
  }

  /** Clock at which octets last arrived, or at which this object was created, ms. */
  double lastReceivedAt() {
    return lastReceivedAt;
  }

  /**
   * Whether an attempt timed out or was cancelled and nothing has arrived since it was started.
   * Such a connection is given no new set-ups until octets arrive.
   */
  boolean unresponsive() {
    return !Double.isNaN(unansweredSince);
  }

  void markUnresponsive(double attemptStartedAt) {
    unansweredSince = unresponsive() ? unansweredSince : attemptStartedAt;
  }

  /** Whether an attempt was started longer ago than the time-out and nothing has arrived since. */
  boolean hasBeenUnresponsive(double now, double timeoutMillis) {
    return now - unansweredSince > timeoutMillis;
  }

  /** Whether a line is incomplete and nothing arrived for longer than the time-out. */
  boolean hasStalledLine(double now, double timeoutMillis) {
    return now - partialLineReceivedAt > timeoutMillis;
  }

  /** Sends a message; returns false if too many octets are queued. */
  boolean send(SwitchMessage message) {
    return connection.send(SwitchCodec.encode(message));
  }

  /** Releases an established call; the release is remembered until it has surely arrived. */
  void sendRelease(String id) {
    sendClose(id);
    recentReleases.put(id, id);
  }

  /** Drops the releases that have surely arrived. */
  void dropExpired() {
    recentReleases.dropExpired();
  }

  /** Removes and returns the calls released here so lately that the switch may not know. */
  Set<String> takeUnconfirmedReleases() {
    return recentReleases.takeAll().keySet();
  }

  /** Cancels a set-up or releases an established call. */
  void sendClose(String id) {
    send(SwitchMessage.withCode(SwitchMessage.Kind.CLOSE, id, Cause.NORMAL_CLEARING));
  }

  @Override
  public void opened() {
    open = true;
    link.connectionOpened(this);
  }

  @Override
  public void received(byte[] octets, double arrived) {
    if (ended) {
      return;
    }
    lastReceivedAt = arrived;
    link.recordReceived(arrived);
    unansweredSince = Double.NaN;
    try {
      framer.feed(octets, this::onLine);
      partialLineReceivedAt = framer.hasPartialLine() ? arrived : Double.NaN;
    } catch (MalformedException e) {
      link.resetUnreadable(this, e.getMessage());
    }
  }

  private void onLine(byte[] line) {
    if (ended) {
      return;
    }
    try {
      link.onMessage(this, SwitchCodec.decode(line));
    } catch (MalformedException e) {
      link.resetUnreadable(this, e.getMessage());
    }
  }

  @Override
  public void lost(Loss loss) {
    if (!ended) {
      ended = true;
      link.connectionLost(this, loss);
    }
  }

  /** Resets the connection; {@code reason} is for the log. */
  void reset(String reason) {
    if (!ended) {
      ended = true;
      link.log().closed(name, "reset: " + reason);
      connection.reset();
    }
  }
}
