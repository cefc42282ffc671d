package coveladder.isupfront;

import coveladder.CallPolicy;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.ExchangeDirectory;
import coveladder.isup.Cause;
import coveladder.isup.SwitchMessage;
import coveladder.isupfront.Transport.Loss;
import coveladder.wire.ReportReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The signalling link to one switch: its connections, the set-ups outstanding on them, and the
 * calls established at the switch.
 *
 * <p>The answer (READY) or refusal (CLOSE) of a set-up is accepted only on the connection on which
 * the set-up was sent. The release (CLOSE) of an established call is accepted on any connection to
 * the switch, and so are load reports (STATUS) and probe results (PROBED). A CLOSE that matches
 * neither a set-up of its connection nor an established call is remembered for a time, as its call
 * may yet be named as established.
 */
final class SwitchLink {
  /** Mean delay before a broken connection is replaced. */
  private static final double RECONNECT_DELAY_MILLIS = 50;

  /** Mean delay before the first retry of a failed connection attempt; it doubles at each retry. */
  private static final double MIN_RETRY_DELAY_MILLIS = 250;

  /** Upper limit of the mean retry delay. */
  private static final double MAX_RETRY_DELAY_MILLIS = 1_000;

  /**
   * Time without octets after the start of an attempt that ended, from which a connection is
   * replaced. An attempt may be given up at once, and what the switch has sent be on its way.
   */
  private static final double UNRESPONSIVE_LIMIT_MILLIS = 1_000;

  /** Maximum number of cancelled set-ups remembered, to release a late answer to one. */
  private static final int MAX_CANCELLED_IDS = 2_048;

  /** Time for which a cancelled set-up is remembered; no answer to it is awaited after that. */
  private static final double CANCELLED_LIFETIME_MILLIS = 30_000;

  /** Time for which a release waits for a connection to the switch. */
  private static final double UNSENT_LIFETIME_MILLIS = 30_000;

  /** Time after which a set-up is given up whose caller's input is still not read. */
  private static final double MAX_INPUT_WAIT_MILLIS = 100;

  /** Interval at which a set-up is checked that waits for its caller's input to be read. */
  private static final double INPUT_CHECK_MILLIS = 5;

  /** Call id of a probe. */
  private static final String NO_CALL_ID = "0000000000000000";

  private final SwitchLinks links;
  private final PlatformSettings.Address address;
  private final List<SwitchConnection> connections = new ArrayList<>();
  private final Map<String, EstablishedCall> established = new LinkedHashMap<>();
  private final ExpiringMap<String> cancelledIds;

  /** Calls with an earlier attempt here of which messages may still arrive. */
  private final EarlierAttempts earlierAttempts;

  /** Calls whose release waits for a connection. */
  private final ExpiringMap<String> unsentReleases;

  private ExchangeDirectory.Entry entry;
  private boolean stateKnown;
  private boolean inDirectory = true;

  private final SwitchReachability reachability;
  private boolean reconnectScheduled;
  private long openedConnections;
  private double retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

  /**
   * A call established at this switch.
   *
   * @param attempt number of the attempt that established it
   * @param startedAt clock at which that attempt was started, or at which the call was reported as
   *     established, ms
   * @param repeated whether messages of an earlier attempt may be mistaken for those of this call
   */
  private record EstablishedCall(int attempt, double startedAt, boolean repeated) {}

  SwitchLink(ExchangeDirectory.Entry entry, SwitchLinks links) {
    this.entry = entry;
    this.links = links;
    this.cancelledIds =
        new ExpiringMap<>(links.scheduler(), MAX_CANCELLED_IDS, CANCELLED_LIFETIME_MILLIS);
    this.earlierAttempts = new EarlierAttempts(links.scheduler());
    this.unsentReleases =
        new ExpiringMap<>(
            links.scheduler(), links.limits().maxTrackedCalls(), UNSENT_LIFETIME_MILLIS);
    this.address = PlatformSettings.Address.parse("address", entry.address());
    this.reachability =
        new SwitchReachability(
            links.now(), links.limits().switchSilenceMillis(), links.nextRandom());
    connect();
  }

  String id() {
    return entry.id();
  }

  EventRecorder log() {
    return links.log();
  }

  String address() {
    return entry.address();
  }

  /** Whether the switch has reported its load, and with it the state of its circuit group. */
  boolean stateKnown() {
    return stateKnown;
  }

  int connectionCount() {
    return connections.size();
  }

  int establishedCount() {
    return established.size();
  }

  // ---- Connections --------------------------------------------------------------------------

  private SwitchConnection connect() {
    SwitchConnection connection =
        new SwitchConnection(
            id() + "#" + ++openedConnections,
            this,
            links.limits().maxMessageBytes(),
            links.scheduler());
    connections.add(connection);
    connection.attach(links.transport().connect(address.host(), address.port(), connection));
    return connection;
  }

  /**
   * Returns the responsive connection with the fewest outstanding set-ups. If each has some,
   * another connection is opened as well, up to the limit.
   */
  private SwitchConnection chooseConnection() {
    SwitchConnection best = null;
    for (SwitchConnection connection : connections) {
      boolean lessLoaded =
          best == null || connection.outstanding().size() < best.outstanding().size();
      if (connection.isOpen() && !connection.unresponsive() && lessLoaded) {
        best = connection;
      }
    }
    boolean belowLimit = connections.size() < links.maxConnectionsPerSwitch();
    if (belowLimit && !isConnecting() && (best == null || !best.outstanding().isEmpty())) {
      SwitchConnection added = connect();
      return best == null ? added : best;
    }
    return best != null
        ? best
        : connections.isEmpty() ? connect() : connections.get(connections.size() - 1);
  }

  /** Whether a connection is being established. */
  private boolean isConnecting() {
    return connections.stream().anyMatch(connection -> !connection.isOpen());
  }

  /** Whether a call is established at the switch or a set-up is outstanding. */
  private boolean isInUse() {
    return !established.isEmpty()
        || connections.stream().anyMatch(connection -> !connection.outstanding().isEmpty());
  }

  /** Records that the switch sent octets or accepted a connection: it is reachable. */
  void recordReceived(double receivedAt) {
    reachability.heard(receivedAt);
  }

  void connectionOpened(SwitchConnection connection) {
    reachability.connected(links.now());
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    unsentReleases.takeAll().keySet().stream()
        .filter(this::isFree)
        .forEach(connection::sendRelease);
    for (OutstandingAttempt attempt : new ArrayList<>(connection.outstanding().values())) {
      sendIfOutstanding(connection, attempt);
    }
  }

  void connectionLost(SwitchConnection connection, Loss loss) {
    connections.remove(connection);
    log().closed(connection.name(), "lost: " + loss);
    if (loss == Loss.TURNED_AWAY) {
      reachability.refused(links.now());
    }
    if (loss == Loss.CLOSED) {
      links.counters().increment("switch connections lost");
    }
    endOutstanding(connection, loss == Loss.CLOSED);
    resendReleases(connection);
    scheduleReconnect(loss == Loss.CLOSED ? RECONNECT_DELAY_MILLIS : nextRetryDelay());
  }

  /**
   * Returns the delay before the next connection attempt. It stays at the minimum while a call is
   * established at the switch, since these attempts detect that the switch is gone. Otherwise it
   * grows, since every controller retries.
   */
  private double nextRetryDelay() {
    double delayMillis = established.isEmpty() ? retryDelayMillis : MIN_RETRY_DELAY_MILLIS;
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
    return delayMillis;
  }

  /** Ends the connection's outstanding set-ups: as reset if they may have reached the switch. */
  private void endOutstanding(SwitchConnection connection, boolean wasOpen) {
    List<OutstandingAttempt> attempts = new ArrayList<>(connection.outstanding().values());
    connection.outstanding().clear();
    for (OutstandingAttempt attempt : attempts) {
      Outcome outcome = wasOpen && attempt.sent ? Outcome.RESET : Outcome.REFUSED;
      if (outcome == Outcome.RESET) {
        earlierAttempts.endedUnheard(attempt.request.call());
      }
      links.attemptEnded(attempt.request, outcome, Reason.NONE, Load.UNKNOWN);
      if (outcome == Outcome.RESET) {
        // The switch may have answered: nobody would end that call.
        sendRelease(attempt.request.call());
      }
    }
  }

  /**
   * Schedules a replacement for a connection that ended, even if others are open: the switch
   * repeats a release that was lost with the connection only on the next connection that is opened.
   */
  private void scheduleReconnect(double delayMillis) {
    if (reconnectScheduled || !needsConnection()) {
      return;
    }
    reconnectScheduled = true;
    double spreadDelayMillis = delayMillis * (0.5 + links.nextRandom());
    log().retried("", id(), "connects again in " + Math.round(spreadDelayMillis) + " ms");
    links.schedule(
        spreadDelayMillis,
        () -> {
          reconnectScheduled = false;
          if (needsConnection()) {
            connect();
          }
        });
  }

  private boolean needsConnection() {
    boolean belowLimit = connections.size() < links.maxConnectionsPerSwitch();
    boolean inUse = !established.isEmpty() || !unsentReleases.isEmpty();
    return inDirectory && (connections.isEmpty() || belowLimit && inUse);
  }

  /**
   * Resets a connection that delivered unreadable data, which makes it unusable for all of its
   * set-ups.
   */
  void resetUnreadable(SwitchConnection connection, String problem) {
    links.counters().increment("switch connections reset as unreadable: " + problem);
    resetConnection(connection, "unreadable: " + problem);
  }

  private void resetConnection(SwitchConnection connection, String reason) {
    connection.reset(reason);
    connections.remove(connection);
    endOutstanding(connection, true);
    resendReleases(connection);
    scheduleReconnect(0);
  }

  /**
   * Checks a silent switch with a new connection. If silence counts now, also resets connections
   * that stalled within a line and declares an unreachable switch gone.
   */
  void checkConnections(boolean judgesSilence) {
    double now = links.now();
    dropExpired();
    if (judgesSilence) {
      resetStalledConnections(now);
    }
    if (connections.size() > links.maxConnectionsPerSwitch()) {
      closeSpareConnection();
    }
    if (isInUse() && reachability.needsCheck(now) && !isConnecting() && !reconnectScheduled) {
      openCheckConnection();
    }
    boolean draining = entry.state() != CallPolicy.ExchangeState.IN_SERVICE;
    if (judgesSilence && reachability.isLost(now, draining)) {
      declareGone("cannot be reached");
    }
  }

  /** Closes a connection without set-ups, as the descriptors must do for more switches now. */
  private void closeSpareConnection() {
    for (SwitchConnection connection : connections) {
      if (connection.outstanding().isEmpty()) {
        connection.reset("more switches share the descriptors");
        connections.remove(connection);
        resendReleases(connection);
        return;
      }
    }
  }

  private void resetStalledConnections(double now) {
    for (SwitchConnection connection : new ArrayList<>(connections)) {
      if (connection.hasStalledLine(now, links.limits().partialLineMillis())) {
        links.counters().increment("switch connections reset as stuck within a line");
        resetConnection(connection, "stalled within a line");
      } else if (connection.hasBeenUnresponsive(now, UNRESPONSIVE_LIMIT_MILLIS)
          && connection.outstanding().isEmpty()
          && connections.size() > 1) {
        resetConnection(connection, "does not answer");
      }
    }
  }

  private void dropExpired() {
    cancelledIds.dropExpired();
    earlierAttempts.dropExpired();
    unsentReleases.dropExpired();
    connections.forEach(SwitchConnection::dropExpired);
  }

  /** Number of ids kept for messages that may still come. */
  int keptIds() {
    return cancelledIds.size() + earlierAttempts.size() + unsentReleases.size();
  }

  /**
   * Opens a connection to check that the switch is reachable; at the limit it replaces the oldest,
   * unless set-ups are outstanding on that one.
   */
  private void openCheckConnection() {
    SwitchConnection oldest = connections.isEmpty() ? null : connections.get(0);
    if (connections.size() >= links.maxConnectionsPerSwitch()) {
      if (!oldest.outstanding().isEmpty()) {
        return;
      }
      oldest.reset("replaced to check the switch");
      connections.remove(oldest);
    }
    connect();
  }

  /**
   * Updates the directory entry. A later start time shows a restart, which disconnected all calls
   * established before it. Without this check, calls would be left over at a switch that fell
   * silent and came back before it was declared gone.
   */
  void updateEntry(ExchangeDirectory.Entry newEntry) {
    boolean restarted = newEntry.startedAt() > entry.startedAt();
    entry = newEntry;
    if (restarted) {
      links.counters().increment("switches that started again");
      disconnectCallsBefore(newEntry.startedAt());
    }
  }

  private void disconnectCallsBefore(double startMillis) {
    Map<String, EstablishedCall> disconnected = new LinkedHashMap<>(established);
    disconnected.values().removeIf(call -> call.startedAt() >= startMillis);
    established.keySet().removeAll(disconnected.keySet());
    disconnected.forEach((id, call) -> links.establishedCallLost(id, call.attempt()));
  }

  /**
   * Treats the switch as gone: resets its open connections, with the set-ups outstanding on them,
   * and disconnects its established calls. These are released there if it is reached again after
   * all. Has no effect on a switch that is not in use.
   */
  private void declareGone(String reason) {
    if (!isInUse()) {
      return;
    }
    links.counters().increment("switches taken as gone: " + reason);
    for (SwitchConnection connection : new ArrayList<>(connections)) {
      if (connection.isOpen()) {
        resetConnection(connection, "switch declared gone");
      }
    }
    log().state("", id(), "declared gone: " + reason);
    established.keySet().forEach(this::keepUnsent);
    disconnectCallsBefore(Double.POSITIVE_INFINITY);
  }

  /**
   * Ends the link, as the exchange directory no longer lists the switch.
   *
   * @return calls whose release could not be sent
   */
  Set<String> removedFromDirectory() {
    inDirectory = false;
    declareGone("not on the list");
    close();
    return unsentReleases.takeAll().keySet();
  }

  /**
   * Releases calls of the switch that had this address before: set-ups that were sent while this
   * one was not listed yet have reached it.
   */
  void releaseAll(Set<String> calls) {
    calls.forEach(this::sendRelease);
  }

  /**
   * Resets all connections, with the set-ups outstanding on them or waiting for them, and opens no
   * more; established calls continue.
   */
  void close() {
    inDirectory = false;
    List<SwitchConnection> closed = new ArrayList<>(connections);
    connections.clear();
    for (SwitchConnection connection : closed) {
      boolean wasOpen = connection.isOpen();
      connection.reset("link closed");
      endOutstanding(connection, wasOpen);
    }
  }

  /** Number of set-ups that are outstanding or wait for a connection. */
  int outstandingCount() {
    return connections.stream().mapToInt(connection -> connection.outstanding().size()).sum();
  }

  // ---- Requests of the controller -----------------------------------------------------------

  /**
   * Assigns a set-up to a connection. It is sent in the next turn of the event loop, after all
   * input that has already arrived; if the caller releases or disconnects in that input, the set-up
   * is never sent.
   */
  void startAttempt(AttemptRequest request, SetUp setUp) {
    cancelledIds.remove(request.call());
    boolean repeated = earlierAttempts.mayBeHeardOf(request.call());
    OutstandingAttempt attempt = new OutstandingAttempt(request, setUp, links.now(), repeated);
    SwitchConnection connection = chooseConnection();
    connection.outstanding().put(request.call(), attempt);
    links.schedule(0, () -> sendIfOutstanding(connection, attempt));
  }

  private void sendIfOutstanding(SwitchConnection connection, OutstandingAttempt attempt) {
    if (!connection.isOpen()
        || attempt.sent
        || connection.outstanding().get(attempt.request.call()) != attempt) {
      return;
    }
    if (!links.callerInput().hasUnreadInput(attempt.request.call())) {
      send(connection, attempt);
    } else if (links.now() - attempt.waitingForInputSince > MAX_INPUT_WAIT_MILLIS) {
      links.callerInput().refuseBacklogged(attempt.request.call());
    } else {
      boolean first = Double.isNaN(attempt.waitingForInputSince);
      attempt.waitingForInputSince = first ? links.now() : attempt.waitingForInputSince;
      links.schedule(INPUT_CHECK_MILLIS, () -> sendIfOutstanding(connection, attempt));
    }
  }

  /**
   * Sends a set-up, unless its exchange was reported as closed and the drain grace is over: the
   * set-up may have waited for its connection since the routing decision.
   */
  private void send(SwitchConnection connection, OutstandingAttempt attempt) {
    if (!links.maySend(id())) {
      connection.outstanding().remove(attempt.request.call());
      log()
          .refused(
              attempt.request.call(),
              connection.name(),
              "drain grace over before the set-up was sent");
      links.attemptEnded(attempt.request, Outcome.REFUSED, Reason.NONE, Load.UNKNOWN);
      return;
    }
    attempt.sent = true;
    double timeLeftMillis =
        Math.max(1, attempt.request.timeoutMillis() - (links.now() - attempt.startedAt));
    Map<String, String> attrs = new LinkedHashMap<>();
    attrs.put("class", attempt.setUp.className());
    attrs.put("key", attempt.setUp.calledNumber());
    attrs.put("left", Long.toString(Math.round(timeLeftMillis)));
    SwitchMessage message =
        new SwitchMessage(
            SwitchMessage.Kind.OPEN,
            attempt.request.call(),
            attrs,
            -1,
            attempt.setUp.description());
    if (!connection.send(message)) {
      links.counters().increment("switch connections reset as too much waits");
      links.schedule(0, () -> resetConnection(connection, "too much waits"));
    }
  }

  /**
   * Cancels an attempt; one that was not sent yet never is.
   *
   * @return whether the attempt was outstanding on this link
   */
  boolean cancelAttempt(String id, int attempt) {
    for (SwitchConnection connection : connections) {
      OutstandingAttempt outstanding = connection.outstanding().get(id);
      if (outstanding != null && outstanding.request.attempt() == attempt) {
        connection.outstanding().remove(id);
        if (outstanding.sent) {
          giveUp(connection, id);
          if (connection.lastReceivedAt() < outstanding.startedAt) {
            connection.markUnresponsive(outstanding.startedAt);
          }
        }
        return true;
      }
    }
    return false;
  }

  /** Writes that a set-up is given up; its answer may be on the way. */
  private void giveUp(SwitchConnection connection, String id) {
    connection.sendClose(id);
    cancelledIds.put(id, id);
    earlierAttempts.endedUnheard(id);
  }

  /** Releases a call, if it is established at this switch. */
  void release(String id) {
    if (established.remove(id) == null) {
      return;
    }
    sendRelease(id);
  }

  /**
   * Whether a release would end nothing that is wanted: no set-up of the call is out here, nor is
   * it established, as it may be by a later attempt than the one that is to be released.
   */
  private boolean isFree(String id) {
    OutstandingAttempt attempt = outstandingAttempt(id);
    return (attempt == null || !attempt.sent) && !established.containsKey(id);
  }

  /**
   * Sends a release on an open connection, best one that responds; if none does, the release is
   * also sent on the next one opened.
   */
  private void sendRelease(String id) {
    if (!isFree(id)) {
      return;
    }
    SwitchConnection responsive = firstOpen(true);
    if (responsive != null) {
      responsive.sendRelease(id);
      return;
    }
    SwitchConnection unresponsive = firstOpen(false);
    if (unresponsive != null) {
      unresponsive.sendRelease(id);
    }
    keepUnsent(id);
    scheduleReconnect(RECONNECT_DELAY_MILLIS);
  }

  /** Returns the first open connection that responds, or does not; null if there is none. */
  private SwitchConnection firstOpen(boolean responds) {
    for (SwitchConnection connection : connections) {
      if (connection.isOpen() && connection.unresponsive() != responds) {
        return connection;
      }
    }
    return null;
  }

  private void keepUnsent(String id) {
    log().state(id, id(), "release waits for a connection to the switch");
    unsentReleases.put(id, id);
  }

  /** Sends releases again that were written just before their connection ended. */
  private void resendReleases(SwitchConnection ended) {
    for (String id : ended.takeUnconfirmedReleases()) {
      log().retried(id, ended.name(), "release: its connection ended");
      sendRelease(id);
    }
  }

  /** Releases a call that is not tracked but was named as established at this switch. */
  void releaseUntracked(String id) {
    resume(id);
    release(id);
  }

  /** Tracks a call that a caller reported as established at this switch. */
  void resume(String id) {
    established.put(id, new EstablishedCall(0, links.now(), /* repeated= */ false));
  }

  // ---- Messages -----------------------------------------------------------------------------

  void onMessage(SwitchConnection connection, SwitchMessage message) {
    switch (message.kind()) {
      case READY -> onReady(connection, message);
      case CLOSE -> onClose(connection, message);
      case STATUS -> {
        stateKnown = true;
        links.loadReported(id(), Outcomes.parseLoad(message.attrs().get("load")));
      }
      case PROBED -> links.probeCompleted(id(), message.code() == 1);
      default -> {}
    }
  }

  /**
   * Handles an answer. On the connection of its set-up it establishes the call; on any connection,
   * a late answer to a cancelled set-up is released. All other answers are ignored.
   */
  private void onReady(SwitchConnection connection, SwitchMessage message) {
    String id = message.sid();
    OutstandingAttempt attempt = connection.outstanding().get(id);
    if (attempt != null && attempt.sent) {
      if (message.text() == null) {
        resetUnreadable(connection, "an answer without a description");
        return;
      }
      connection.outstanding().remove(id);
      established.put(
          id, new EstablishedCall(attempt.request.attempt(), attempt.startedAt, attempt.repeated));
      links.attemptAnswered(attempt.request, message.text());
      if (attempt.earlyRelease != null) {
        endEstablished(connection, attempt.earlyRelease);
      }
    } else if (!established.containsKey(id) && cancelledIds.remove(id) && !isOutstanding(id)) {
      log().state(id, connection.name(), "answered after its cancel, released");
      connection.sendRelease(id);
    } else {
      log().ignored(id, connection.name(), "answer without an outstanding set-up here");
    }
  }

  private boolean isOutstanding(String id) {
    return outstandingAttempt(id) != null;
  }

  /** Returns the outstanding attempt of a call on any connection; null if there is none. */
  private OutstandingAttempt outstandingAttempt(String id) {
    for (SwitchConnection connection : connections) {
      OutstandingAttempt attempt = connection.outstanding().get(id);
      if (attempt != null) {
        return attempt;
      }
    }
    return null;
  }

  /**
   * Handles a refusal or release. On the connection of its set-up it ends the attempt; on any
   * connection it ends an established call.
   */
  private void onClose(SwitchConnection connection, SwitchMessage message) {
    String id = message.sid();
    OutstandingAttempt attempt = connection.outstanding().get(id);
    Load load = Outcomes.parseLoad(message.attrs().get("load"));
    if (attempt != null && attempt.sent && attempt.repeated) {
      onCloseOfRepeated(connection, attempt, message);
      return;
    }
    if (attempt != null && attempt.sent) {
      connection.outstanding().remove(id);
      earlierAttempts.ended(id);
      Reason reason = ReportReader.reason(message.attrs().getOrDefault("note", ""));
      links.attemptEnded(attempt.request, Outcomes.beforeAnswer(message.code()), reason, load);
      return;
    }
    OutstandingAttempt elsewhere = outstandingAttempt(id);
    if (elsewhere != null) {
      keepEarlyRelease(connection, elsewhere, message);
    } else {
      endEstablished(connection, message);
    }
  }

  /**
   * Handles a refusal or release that may be that of an earlier attempt of the call here. The cause
   * of a call that came to its end is surely not the end of an attempt without an answer, which
   * goes on. Any other may be the end of either: the attempt is given up, so that it is not out any
   * more when the policy starts the next one.
   */
  private void onCloseOfRepeated(
      SwitchConnection connection, OutstandingAttempt attempt, SwitchMessage message) {
    String id = message.sid();
    if (message.code() == Cause.NORMAL_CLEARING) {
      log().ignored(id, connection.name(), "release of an earlier attempt");
      return;
    }
    log().state(id, connection.name(), "given up: ended, or an earlier attempt was");
    connection.outstanding().remove(id);
    giveUp(connection, id);
    Load load = Outcomes.parseLoad(message.attrs().get("load"));
    links.attemptEnded(attempt.request, Outcome.RESET, Reason.NONE, load);
  }

  /**
   * Keeps a release that arrives before the answer, which is still unread on the connection of the
   * set-up. After an earlier attempt of the call at this switch the release may be that attempt's.
   */
  private void keepEarlyRelease(
      SwitchConnection connection, OutstandingAttempt attempt, SwitchMessage message) {
    boolean kept = attempt.sent && !attempt.repeated;
    String text = "release " + message.code() + " before the answer on another connection";
    log().ignored(message.sid(), connection.name(), text + (kept ? ", kept" : ""));
    if (kept) {
      attempt.earlyRelease = message;
    }
  }

  private void endEstablished(SwitchConnection connection, SwitchMessage message) {
    String id = message.sid();
    EstablishedCall call = established.remove(id);
    if (call != null) {
      Load load = Outcomes.parseLoad(message.attrs().get("load"));
      log().state(id, connection.name(), "released by the switch, cause " + message.code());
      links.establishedCallEnded(id, call.attempt(), Outcomes.afterAnswer(message.code()), load);
      if (call.repeated()) {
        // The release may be that of the earlier attempt: nobody would end this call.
        sendRelease(id);
      }
    } else {
      links.unknownCallReleased(connection, id, message.code());
    }
  }

  /** Sends a probe. */
  void probe() {
    chooseConnection().send(SwitchMessage.withCode(SwitchMessage.Kind.PROBE, NO_CALL_ID, 0));
  }
}
