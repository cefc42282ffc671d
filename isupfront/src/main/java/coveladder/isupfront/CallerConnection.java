package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.CallerCodec;
import coveladder.isup.CallerFramer;
import coveladder.isup.CallerMessage;
import coveladder.isup.MalformedException;
import coveladder.isupfront.ArrivalGate.HeldSetUp;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import coveladder.isupfront.Transport.Loss;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One connection from a client that places calls. */
final class CallerConnection implements ConnectionListener {
  /** Order by calls that a switch answered or ended, then by calls that clients named. */
  static final Comparator<CallerConnection> BY_CALLS =
      Comparator.<CallerConnection>comparingInt(connection -> connection.provenCalls)
          .thenComparingInt(connection -> connection.namedCalls);

  /** Maximum number of refused duplicate ids remembered. */
  private static final int MAX_REFUSED_IDS = 64;

  private final String name;
  private final CallerRequests requests;
  private final Connection connection;
  private final CallerFramer framer;
  private final Set<String> pendingCalls = new LinkedHashSet<>();

  /** Memory of the set-ups of the pending calls, octets. */
  private long pendingOctets;

  /** Set-ups that were accepted and not reported to the controller yet, by call id. */
  private final Map<String, HeldSetUp> heldSetUps = new LinkedHashMap<>();

  private final RecentIds refusedDuplicateIds = new RecentIds(MAX_REFUSED_IDS);
  private final Map<String, ReleaseSender.Release> recentReleases = new LinkedHashMap<>();

  /** Clock at which the last complete message arrived, or the connection was accepted, ms. */
  private double lastMessageAt;

  /** Clock at which the incomplete message began, ms; NaN if there is none. */
  private double partialMessageSince = Double.NaN;

  private double lastOctetsAt;

  private boolean inputCheckScheduled;
  private boolean used;
  private boolean closed;
  private int unusableMessages;
  private int provenCalls;
  private int namedCalls;
  private long lastReleaseOffered;

  CallerConnection(
      String name,
      CallerRequests requests,
      Connection connection,
      int maxMessageBytes,
      double now) {
    this.name = name;
    this.requests = requests;
    this.connection = connection;
    this.framer = new CallerFramer(maxMessageBytes);
    this.lastMessageAt = now;
  }

  /** Name in the log. */
  String name() {
    return name;
  }

  /** Ids of calls set up on this connection that have no final answer yet. */
  Set<String> pendingCalls() {
    return Collections.unmodifiableSet(pendingCalls);
  }

  /** Memory of the set-ups of the pending calls, octets. */
  long pendingOctets() {
    return pendingOctets;
  }

  /** Adds a pending call whose set-up takes the given memory, octets. */
  void addPending(String id, int octets) {
    if (pendingCalls.add(id)) {
      pendingOctets += octets;
    }
  }

  /** Set-ups that were accepted and not reported to the controller yet, by call id. */
  Map<String, HeldSetUp> heldSetUps() {
    return heldSetUps;
  }

  /** Checks after a time whether the input behind the held set-ups is read by then. */
  void checkInputAfter(double delayMillis, Scheduler scheduler) {
    if (!inputCheckScheduled) {
      inputCheckScheduled = true;
      scheduler.schedule(
          delayMillis,
          () -> {
            inputCheckScheduled = false;
            requests.inputProcessed(this);
          });
    }
  }

  /** Whether octets have arrived that were not processed yet. */
  boolean hasUnreadInput() {
    return connection.hasUnreadInput();
  }

  /** Removes a pending call whose set-up takes the given memory, octets. */
  void removePending(String id, int octets) {
    heldSetUps.remove(id);
    if (pendingCalls.remove(id)) {
      pendingOctets -= octets;
    }
  }

  /** Releases sent recently on this connection and not acknowledged, by call id. */
  Map<String, ReleaseSender.Release> recentReleases() {
    return recentReleases;
  }

  /** Whether the connection has ended. */
  boolean closed() {
    return closed;
  }

  /** Whether the connection brought a test or a call that was established. */
  boolean used() {
    return used;
  }

  void markUsed() {
    used = true;
  }

  /** Number of calls of this connection that a switch answered or ended. */
  int provenCalls() {
    return provenCalls;
  }

  /** Counts a call that a switch answered or ended. */
  void countProven() {
    used = true;
    provenCalls++;
  }

  /** Counts a call that the client named as established, which is its word alone. */
  void countNamed() {
    used = true;
    namedCalls++;
  }

  /** Number of the last waiting release that was offered here. */
  long lastReleaseOffered() {
    return lastReleaseOffered;
  }

  void releaseOffered(long number) {
    lastReleaseOffered = number;
  }

  /**
   * Remembers the id of a set-up refused here because another call has the same id. A later release
   * on this connection refers to the refused set-up and must not end the other call.
   */
  void rememberRefusedDuplicate(String id) {
    refusedDuplicateIds.add(id);
  }

  boolean wasRefusedAsDuplicate(String id) {
    return refusedDuplicateIds.contains(id);
  }

  /** Counts an unusable set-up and returns the new number. */
  int countUnusable() {
    return ++unusableMessages;
  }

  /** Time since the last complete message, ms. */
  double silenceMillis(double now) {
    return now - lastMessageAt;
  }

  /**
   * Whether a message is incomplete and nothing of it arrived for longer than the time-out. On a
   * connection that was never used, the whole message must arrive within the time-out.
   */
  boolean hasStalledMessage(double now, double timeoutMillis) {
    double since = used ? lastOctetsAt : partialMessageSince;
    return framer.hasPartialMessage() && now - since > timeoutMillis;
  }

  @Override
  public void received(byte[] octets, double arrived) {
    try {
      lastOctetsAt = arrived;
      framer.feed(octets, body -> onMessage(body, arrived));
      if (framer.hasPartialMessage() && Double.isNaN(partialMessageSince)) {
        partialMessageSince = arrived;
      }
      requests.inputProcessed(this);
    } catch (MalformedException e) {
      requests.closeUnreadable(this, e.getMessage());
    }
  }

  private void onMessage(byte[] body, double arrived) {
    if (closed) {
      return;
    }
    lastMessageAt = arrived;
    partialMessageSince = Double.NaN;
    try {
      requests.onMessage(this, CallerCodec.decode(body), arrived);
    } catch (MalformedException e) {
      requests.closeUnreadable(this, e.getMessage());
    }
  }

  @Override
  public void lost(Loss loss) {
    if (!closed) {
      ended("lost: " + loss);
    }
  }

  /** Sends a message; resets the connection if too many octets are queued. */
  boolean send(CallerMessage message) {
    if (closed) {
      return false;
    }
    boolean sent = connection.send(CallerCodec.encode(message));
    if (!sent) {
      connection.reset();
      ended("reset, too many octets wait");
    }
    return sent;
  }

  /** Closes the connection; {@code reason} is for the log. */
  void close(String reason) {
    if (!closed) {
      connection.close();
      ended(reason);
    }
  }

  private void ended(String reason) {
    closed = true;
    requests.connectionLost(this, reason);
  }
}
