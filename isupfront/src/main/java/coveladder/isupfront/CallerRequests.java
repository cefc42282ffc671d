package coveladder.isupfront;

import coveladder.core.CallController;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.TrackedCall;
import coveladder.isup.CallerMessage;
import coveladder.isup.Cause;
import coveladder.isup.MalformedException;
import coveladder.isupfront.ArrivalGate.HeldSetUp;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Serves the requests of callers: set-ups, releases and tests, each answered once.
 *
 * <p>A RELEASE for a pending call abandons it only on the connection of its set-up. A RELEASE for
 * an established call is accepted on any connection, except one on which a set-up with that id was
 * refused as a duplicate. Any other RELEASE is only acknowledged.
 */
final class CallerRequests implements CallerInput {
  private final CallController controller;
  private final Scheduler scheduler;
  private final Limits limits;
  private final SetUp.Reader reader;
  private final ReleaseSender releases;
  private final SwitchLinks switches;
  private final Counters counters;
  private final EndedCalls endedCalls;
  private final DeferredResumptions deferredResumptions;
  private final ArrivalGate arrivalGate;

  /** Clock at which calls with an attempt were given up, ms, by id, for the guard time. */
  private final ExpiringMap<Double> givenUpAt;

  /** Calls given up or failed whose attempts may have run, of classes that may not be repeated. */
  private final ExpiringMap<String> mayHaveRun;

  private final double guardMillis;
  private final EventRecorder log;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final Map<String, CallerCall> calls = new HashMap<>();
  private int pendingCount;

  /** Memory of the set-ups of all pending calls, octets. */
  private long pendingOctets;

  private long acceptedConnections;

  /** Whether the tests of callers fail, so that they send new calls to other controllers. */
  private boolean failingCallerTests;

  /** Whether each new set-up is refused. */
  private boolean refusingSetUps;

  /**
   * A pending or established call; {@code connection} is the one on which its set-up arrived, or on
   * which its caller last named it as established.
   */
  private static final class CallerCall {
    /** The set-up; null once the call is established, as nothing of it is sent any more. */
    SetUp setUp;

    /** Whether only the caller's word says that the call is established. */
    final boolean named;

    CallerConnection connection;
    String description = "";

    CallerCall(SetUp setUp, CallerConnection connection) {
      this.setUp = setUp;
      this.named = setUp == null;
      this.connection = connection;
    }
  }

  CallerRequests(
      CallController controller,
      Scheduler scheduler,
      Limits limits,
      SetUp.Reader reader,
      ReleaseSender releases,
      SwitchLinks switches,
      EndedCalls endedCalls,
      Counters counters,
      EventRecorder log) {
    this.controller = controller;
    this.scheduler = scheduler;
    this.limits = limits;
    this.reader = reader;
    this.releases = releases;
    this.switches = switches;
    this.counters = counters;
    this.endedCalls = endedCalls;
    this.deferredResumptions = new DeferredResumptions(scheduler, limits.maxTrackedCalls());
    this.arrivalGate = new ArrivalGate(scheduler, this::startHeld, this::refuseForInput);
    this.guardMillis = controller.settings().guardTime();
    this.mayHaveRun =
        new ExpiringMap<>(scheduler, limits.maxTrackedCalls(), EndedCalls.RETENTION_MILLIS);
    this.givenUpAt = new ExpiringMap<>(scheduler, limits.maxPendingCalls(), guardMillis);
    this.log = log;
  }

  // ---- Connections --------------------------------------------------------------------------

  /**
   * Accepts a connection. Above the limit, the least used connection is closed, unless all have
   * pending calls; the transport's own limit bounds these. The close waits for the input that has
   * already arrived: a set-up or release in it is served, and its connection kept.
   */
  ConnectionListener acceptCaller(Connection accepted) {
    CallerConnection connection =
        new CallerConnection(
            "caller#" + ++acceptedConnections,
            this,
            accepted,
            limits.maxMessageBytes(),
            scheduler.now());
    connections.add(connection);
    if (connections.size() > limits.maxCallerConnections()) {
      scheduler.schedule(0, () -> closeForRoom(connection));
    }
    return connection;
  }

  /** Closes the least used connection if there are too many; the one just accepted is kept. */
  private void closeForRoom(CallerConnection accepted) {
    CallerConnection leastUsed = leastUsedConnection(accepted);
    if (connections.size() > limits.maxCallerConnections() && leastUsed != null) {
      counters.increment("caller links closed for room");
      leastUsed.close("closed for room");
    }
  }

  /**
   * Returns the connection without pending calls that brought the fewest calls which a switch
   * answered, of those the fewest named as established, and of those the longest silent one; null
   * if all others have pending calls. This protects regular callers from many connections that stay
   * open and send little.
   */
  private CallerConnection leastUsedConnection(CallerConnection excluded) {
    CallerConnection leastUsed = null;
    for (CallerConnection connection : connections) {
      if (connection != excluded
          && connection.pendingCalls().isEmpty()
          && (leastUsed == null || isLessUsed(connection, leastUsed))) {
        leastUsed = connection;
      }
    }
    return leastUsed;
  }

  private boolean isLessUsed(CallerConnection one, CallerConnection other) {
    double now = scheduler.now();
    int byCalls = CallerConnection.BY_CALLS.compare(one, other);
    return byCalls < 0 || byCalls == 0 && one.silenceMillis(now) > other.silenceMillis(now);
  }

  /**
   * Closes connections without pending calls on which a message is incomplete for too long, or that
   * completed none for too long and never brought a test or an established call.
   */
  void closeSilentConnections() {
    closeForRoom(null);
    double now = scheduler.now();
    for (CallerConnection connection : new ArrayList<>(connections)) {
      boolean stalled = connection.hasStalledMessage(now, limits.callerSilenceMillis());
      boolean silent = connection.silenceMillis(now) > limits.callerSilenceMillis();
      if (connection.pendingCalls().isEmpty() && (stalled || silent && !connection.used())) {
        counters.increment("caller links closed as silent");
        connection.close("closed as silent");
      }
    }
  }

  /** Abandons the pending calls of a connection that ended; {@code reason} is for the log. */
  void connectionLost(CallerConnection connection, String reason) {
    log.closed(connection.name(), reason);
    connections.remove(connection);
    for (String id : new ArrayList<>(connection.pendingCalls())) {
      abandon(id);
    }
    releases.connectionLost(connection);
  }

  /** Closes a connection that delivered octets which are no message. */
  void closeUnreadable(CallerConnection connection, String problem) {
    counters.increment("caller links closed as unreadable: " + problem);
    connection.close("closed as unreadable: " + problem);
  }

  int connectionCount() {
    return connections.size();
  }

  // ---- Messages -----------------------------------------------------------------------------

  void onMessage(CallerConnection connection, CallerMessage message, double arrived)
      throws MalformedException {
    switch (message.type()) {
      case CallerMessage.SET_UP -> onSetUp(connection, message, arrived);
      case CallerMessage.RELEASE -> onRelease(connection, message);
      case CallerMessage.RELEASE_HEARD -> releases.acknowledged(connection, message.callId());
      case CallerMessage.TEST -> onTest(connection, message);
      case CallerMessage.PROGRESS -> {}
      default -> throw new MalformedException("unknown type " + message.type());
    }
  }

  private void onTest(CallerConnection connection, CallerMessage message) {
    int passed = !failingCallerTests && switches.isStateKnown() ? 1 : 0;
    connection.send(CallerMessage.withCause(CallerMessage.TESTED, message.callId(), passed));
    connection.markUsed();
  }

  private void onSetUp(CallerConnection connection, CallerMessage message, double arrived) {
    String id = message.callId();
    SetUp setUp;
    try {
      setUp = reader.read(message);
    } catch (MalformedException e) {
      counters.increment("set-ups that cannot be used: " + e.getMessage());
      refuseUnusable(connection, id, e.getMessage());
      return;
    }
    if (!setUp.establishedAt().isEmpty()) {
      resumeEstablished(connection, setUp, true);
    } else if (isInUse(id)) {
      refuseDuplicate(connection, id);
    } else if (wouldRepeat(setUp)) {
      log.refused(id, connection.name(), "may have run before, and may not be repeated");
      connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, Cause.TEMPORARY_FAILURE));
    } else if (refusingSetUps) {
      refuseForCongestion(connection, id, "terminating");
    } else if (pendingCount >= limits.maxPendingCalls()) {
      refuseForCongestion(connection, id, "too many pending calls");
    } else if (!hasMemoryFor(setUp, connection)) {
      counters.increment("set-ups refused for the memory of pending calls");
      refuseForCongestion(connection, id, "too many octets of pending calls");
    } else {
      acceptSetUp(connection, setUp, arrived);
    }
  }

  /** Whether an id is that of a call that has not ended; one given up in this turn has. */
  private boolean isInUse(String id) {
    return calls.containsKey(id) || controller.call(id) != null && guardTimeLeft(id) == 0;
  }

  /**
   * Whether a set-up under this id may have run already, and its class may not be repeated. A
   * caller sends a set-up again under its id if its connection ended.
   */
  private boolean wouldRepeat(SetUp setUp) {
    return !isRepeatable(setUp.classNumber())
        && (mayHaveRun.get(setUp.id()) != null || endedCalls.find(setUp.id()) != null);
  }

  private boolean isRepeatable(int classNumber) {
    return Double.isInfinite(controller.settings().classes().get(classNumber).repeatWindow());
  }

  private void refuseForCongestion(CallerConnection connection, String id, String reason) {
    log.refused(id, connection.name(), reason);
    connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, Cause.CONGESTION));
  }

  /**
   * Whether the memory of pending calls has room for one more. One connection may take as much as
   * it leaves free, so that a client with large set-ups does not shut out the others.
   */
  private boolean hasMemoryFor(SetUp setUp, CallerConnection connection) {
    long freeOctets = limits.maxPendingOctets() - pendingOctets;
    return connection.pendingOctets() + setUp.memoryOctets() <= freeOctets;
  }

  private void acceptSetUp(CallerConnection connection, SetUp setUp, double arrived) {
    if (failingCallerTests) {
      counters.increment(setUp.transit() ? "late set-ups in transit" : "late set-ups of callers");
    }
    calls.put(setUp.id(), new CallerCall(setUp, connection));
    connection.addPending(setUp.id(), setUp.memoryOctets());
    pendingCount++;
    pendingOctets += setUp.memoryOctets();
    endedCalls.forget(setUp.id());
    releases.callBrought(connection);
    arrivalGate.hold(connection, new HeldSetUp(setUp, arrived));
  }

  /** Handles the end of a part of a connection's input. */
  void inputProcessed(CallerConnection connection) {
    arrivalGate.inputProcessed(connection);
  }

  private void startHeld(CallerConnection connection, HeldSetUp held) {
    SetUp setUp = held.setUp();
    double holdMillis = guardTimeLeft(setUp.id());
    if (holdMillis > 0) {
      log.state(setUp.id(), connection.name(), "held until the guard time of its id is over");
      scheduler.schedule(holdMillis, () -> reportArrival(setUp, held.arrived()));
    } else {
      reportArrival(setUp, held.arrived());
    }
  }

  /**
   * Refuses a pending call behind which its caller has sent too much. One that may have run before
   * and may not be repeated has failed.
   */
  private void refuseForInput(String id) {
    CallerCall call = calls.get(id);
    TrackedCall tracked = controller.call(id);
    boolean mayHaveRunBefore =
        tracked != null && tracked.attemptCount() > 1 && !isRepeatable(tracked.call().type());
    int cause = mayHaveRunBefore ? Cause.TEMPORARY_FAILURE : Cause.CONGESTION;
    counters.increment("set-ups refused as the input behind them is not read in time");
    log.refused(id, call.connection.name(), "too much input behind it");
    abandon(id);
    call.connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
  }

  /** Whether the caller of a pending call has sent what was not processed yet. */
  @Override
  public boolean hasUnreadInput(String id) {
    CallerCall call = calls.get(id);
    return call != null && call.connection.hasUnreadInput();
  }

  /** Refuses a pending call, as the input of its caller is not read in time. */
  @Override
  public void refuseBacklogged(String id) {
    refuseForInput(id);
  }

  /**
   * Returns the time for which a set-up must wait as its id was given up just before, ms. A caller
   * sends it again under its id if the network has cut its connection.
   */
  private double guardTimeLeft(String id) {
    Double since = givenUpAt.get(id);
    return since == null ? 0 : Math.max(0, since + guardMillis - scheduler.now());
  }

  /** Reports a call to the controller, unless it was given up while it was held. */
  private void reportArrival(SetUp setUp, double arrived) {
    CallerCall call = calls.get(setUp.id());
    if (call != null && call.setUp == setUp) {
      double unreadMillis = Math.max(0, scheduler.now() - arrived);
      controller.callArrived(setUp.toCall(Math.max(0, setUp.timeLeftMillis() - unreadMillis)));
    }
  }

  /**
   * Refuses a set-up that cannot be used, or whose id is in use. The connection is closed after too
   * many of them, unless it has pending calls.
   */
  private void refuseUnusable(CallerConnection connection, String id, String problem) {
    log.refused(id, connection.name(), problem);
    if (connection.pendingCalls().contains(id)) {
      abandon(id);
    }
    connection.send(CallerMessage.withCause(CallerMessage.RELEASE, id, Cause.PROTOCOL_ERROR));
    if (connection.countUnusable() >= limits.maxUnusableMessages()
        && connection.pendingCalls().isEmpty()) {
      connection.close("closed after too many unusable set-ups");
    }
  }

  /**
   * Refuses a set-up whose id is in use. If the first set-up is pending on the same connection, the
   * caller cannot tell the two apart: the first is abandoned as well, and one release answers both.
   * Otherwise only the second is refused.
   */
  private void refuseDuplicate(CallerConnection connection, String id) {
    counters.increment("set-ups under an id that is held");
    connection.rememberRefusedDuplicate(id);
    refuseUnusable(connection, id, "the id is in use");
  }

  /**
   * Resumes a call that was established before this controller started; its caller expects no
   * answer.
   *
   * @param mayDefer whether the call may wait until its switch is in the exchange directory
   */
  private void resumeEstablished(CallerConnection connection, SetUp setUp, boolean mayDefer) {
    if (controller.call(setUp.id()) != null) {
      moveToConnection(connection, setUp.id());
      return;
    }
    EndedCalls.End end = endedCalls.find(setUp.id());
    if (end != null) {
      finishEndedCall(connection, setUp, end);
      return;
    }
    boolean switchMayFollow = mayDefer && switches.mayBecomeKnown(setUp.establishedAt());
    if (switchMayFollow && deferredResumptions.add(connection, setUp)) {
      log.state(setUp.id(), connection.name(), "waits to be resumed: its switch is not listed");
      releases.callNamed(connection);
      return;
    }
    if (calls.size() >= limits.maxTrackedCalls()
        || !switches.resume(setUp.id(), setUp.establishedAt())) {
      counters.increment("calls said to stand at a switch where they cannot");
      log.refused(setUp.id(), connection.name(), "cannot be resumed at " + setUp.establishedAt());
      switches.releaseUntracked(setUp.id(), setUp.establishedAt());
      releases.release(connection, setUp.id(), Cause.TEMPORARY_FAILURE);
      return;
    }
    log.state(setUp.id(), connection.name(), "resumed at " + setUp.establishedAt());
    calls.put(setUp.id(), new CallerCall(null, connection));
    releases.callNamed(connection);
    controller.resume(setUp.toCall(0), 0, setUp.establishedAt());
  }

  /** Resumes calls whose switch is listed by now, and releases those whose switch is gone. */
  void directoryConfirmed() {
    List<DeferredResumptions.Deferred> oldest = deferredResumptions.takeOldest();
    oldest.forEach(this::resumeDeferred);
    if (oldest.size() == DeferredResumptions.MAX_TAKEN) {
      scheduler.schedule(0, this::directoryConfirmed);
    }
  }

  /**
   * Ends the wait of calls that were deferred for too long, and forgets what was kept for messages
   * that are not awaited any more.
   */
  void dropExpired() {
    resumeExpired();
    endedCalls.dropExpired();
    givenUpAt.dropExpired();
    mayHaveRun.dropExpired();
    releases.dropExpired();
    releases.offerWaiting(new ArrayList<>(connections));
  }

  private void resumeExpired() {
    List<DeferredResumptions.Deferred> expired = deferredResumptions.takeExpired();
    expired.forEach(this::resumeDeferred);
    if (expired.size() == DeferredResumptions.MAX_TAKEN) {
      scheduler.schedule(0, this::resumeExpired);
    }
  }

  /** Number of entries kept for messages that may still come. */
  int keptEntries() {
    return mayHaveRun.size()
        + endedCalls.size()
        + deferredResumptions.size()
        + releases.waitingCount();
  }

  /** Number of releases that wait for connections of their callers. */
  int waitingReleases() {
    return releases.waitingCount();
  }

  private void resumeDeferred(DeferredResumptions.Deferred deferred) {
    resumeEstablished(deferred.connection(), deferred.setUp(), false);
  }

  /**
   * Makes the connection on which a tracked call was named that of the call: the earlier one may
   * have been cut off, which nothing tells. A pending call stays where its answer is awaited.
   */
  private void moveToConnection(CallerConnection connection, String id) {
    CallerCall call = calls.get(id);
    if (call == null || call.connection.pendingCalls().contains(id)) {
      log.ignored(id, connection.name(), "named as established while it is pending");
      return;
    }
    log.state(id, connection.name(), "named as established, tracked already");
    if (call.connection != connection) {
      call.connection = connection;
      releases.callNamed(connection);
    }
  }

  /** Tells the side that does not know yet of the end of a call that was named as established. */
  private void finishEndedCall(CallerConnection connection, SetUp setUp, EndedCalls.End end) {
    log.state(setUp.id(), connection.name(), "named as established, ended by " + end.releasedBy());
    releases.callNamed(connection);
    switch (end.releasedBy()) {
      case SWITCH -> releases.release(connection, setUp.id(), end.cause());
      case CALLER -> {
        switches.releaseUntracked(setUp.id(), setUp.establishedAt());
        rememberCallerRelease(setUp.id(), EndedCalls.ReleasedBy.CALLER_AND_SWITCH_TOLD);
      }
      case CALLER_AND_SWITCH_TOLD -> {}
    }
  }

  private void rememberCallerRelease(String id, EndedCalls.ReleasedBy releasedBy) {
    endedCalls.remember(id, releasedBy, Cause.NORMAL_CLEARING);
  }

  /**
   * Handles a release: it abandons a pending call on the connection of its set-up, and ends an
   * established call on any connection on which no set-up with that id was refused as a duplicate.
   */
  private void onRelease(CallerConnection connection, CallerMessage message) {
    String id = message.callId();
    connection.send(new CallerMessage(CallerMessage.RELEASE_HEARD, id, Map.of()));
    if (connection.pendingCalls().contains(id)) {
      abandon(id);
    } else if (connection.wasRefusedAsDuplicate(id)) {
      counters.increment("releases under an id that was another's");
      log.ignored(id, connection.name(), "release of a call that is another's");
    } else {
      CallerCall call = calls.get(id);
      if (call == null) {
        log.ignored(id, connection.name(), "release of a call not known, remembered");
        rememberUnknownRelease(id);
      } else if (call.connection.pendingCalls().contains(id)) {
        log.ignored(id, connection.name(), "release of a call pending on another connection");
      } else {
        log.state(id, connection.name(), "released by its caller");
        rememberCallerRelease(id, EndedCalls.ReleasedBy.CALLER_AND_SWITCH_TOLD);
      }
      if (call != null && call.connection != connection && !call.connection.closed()) {
        counters.increment("calls ended from another connection than theirs, which is open");
      }
      controller.callerReleased(id);
    }
  }

  /**
   * Remembers a caller's release of a call not tracked. If its switch has released it too, nothing
   * is left to do.
   */
  private void rememberUnknownRelease(String id) {
    EndedCalls.End known = endedCalls.find(id);
    if (known == null || known.releasedBy() == EndedCalls.ReleasedBy.CALLER) {
      endedCalls.rememberToldByCaller(id, Cause.NORMAL_CLEARING);
    } else {
      rememberCallerRelease(id, EndedCalls.ReleasedBy.CALLER_AND_SWITCH_TOLD);
    }
  }

  private void abandon(String id) {
    markAnswered(id);
    calls.remove(id);
    TrackedCall tracked = controller.call(id);
    if (tracked != null && tracked.attemptCount() > 0) {
      givenUpAt.put(id, scheduler.now());
    }
    rememberIfItMayHaveRun(tracked);
    controller.callerAbandoned(id);
  }

  private void rememberIfItMayHaveRun(TrackedCall tracked) {
    if (tracked != null && tracked.attemptCount() > 0 && !isRepeatable(tracked.call().type())) {
      mayHaveRun.put(tracked.call().id(), tracked.call().id());
    }
  }

  private void markAnswered(String id) {
    CallerCall call = calls.get(id);
    if (call != null && call.connection.pendingCalls().contains(id)) {
      int octets = call.setUp.memoryOctets();
      call.connection.removePending(id, octets);
      pendingCount--;
      pendingOctets -= octets;
    }
  }

  // ---- Requests of the controller -----------------------------------------------------------

  /** Returns the set-up of a pending call; null if there is no such call. */
  SetUp setUp(String id) {
    CallerCall call = calls.get(id);
    return call == null ? null : call.setUp;
  }

  /** Stores the description in a switch's answer until the answer is sent to the caller. */
  void storeDescription(String id, String description) {
    CallerCall call = calls.get(id);
    if (call != null) {
      call.description = description;
    }
  }

  /** Sends the one final answer of a call. */
  void answer(String id, FinalAnswer answer) {
    CallerCall call = calls.get(id);
    if (call == null) {
      return;
    }
    markAnswered(id);
    if (answer.kind() == FinalAnswer.Kind.STANDS) {
      Map<Integer, byte[]> parameters = new LinkedHashMap<>();
      parameters.put(CallerMessage.DESCRIPTION, call.description.getBytes(StandardCharsets.UTF_8));
      call.description = "";
      call.setUp = null;
      call.connection.send(new CallerMessage(CallerMessage.ANSWER, id, parameters));
      releases.callProven(call.connection);
    } else {
      calls.remove(id);
      if (answer.kind() == FinalAnswer.Kind.FAILED) {
        rememberIfItMayHaveRun(controller.call(id));
      }
      call.connection.send(refusal(id, answer));
    }
  }

  private static CallerMessage refusal(String id, FinalAnswer answer) {
    CallerMessage message =
        CallerMessage.withCause(CallerMessage.RELEASE, id, Outcomes.cause(answer));
    if (answer.retryAfterMillis() > 0) {
      String retryAfter = Long.toString((long) Math.ceil(answer.retryAfterMillis()));
      message.parameters().put(CallerMessage.WAIT, retryAfter.getBytes(StandardCharsets.US_ASCII));
    }
    return message;
  }

  /** Releases an established call toward its caller. */
  void release(String id, boolean disconnected) {
    CallerCall call = calls.remove(id);
    int cause = Outcomes.releaseCause(disconnected);
    endedCalls.remember(id, EndedCalls.ReleasedBy.SWITCH, cause);
    releases.release(call == null ? null : call.connection, id, cause);
    if (call != null && call.named && !disconnected) {
      // The switch has ended the call, so it was there as its caller said.
      releases.callProven(call.connection);
    }
  }

  /** Forgets a call that the controller has removed; a set-up held under its id stays. */
  void callRemoved(String id) {
    CallerCall call = calls.get(id);
    if (call != null && !call.connection.pendingCalls().contains(id)) {
      calls.remove(id);
    }
  }

  /**
   * Fails the tests of callers from now on, so that they send new calls to other controllers;
   * set-ups that arrive are still served.
   */
  void failCallerTests() {
    failingCallerTests = true;
  }

  /** Reports all set-ups to the controller that wait for the input behind them. */
  void reportAllHeld() {
    new ArrayList<>(connections).forEach(arrivalGate::open);
  }

  /** Refuses all new set-ups from now on. */
  void refuseSetUps() {
    refusingSetUps = true;
  }

  /** Closes all connections; no call is pending any more. */
  void closeAll() {
    new ArrayList<>(connections).forEach(connection -> connection.close("terminating"));
  }

  /** Number of calls without a final answer. */
  int pendingCount() {
    return pendingCount;
  }

  /** Memory of the set-ups of the calls without a final answer, octets. */
  long pendingOctets() {
    return pendingOctets;
  }
}
