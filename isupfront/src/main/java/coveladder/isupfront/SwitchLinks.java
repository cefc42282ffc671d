package coveladder.isupfront;

import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptGuard;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.Scheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * The links to all switches of the exchange directory except the local one. Joins them to the
 * controller.
 */
final class SwitchLinks {
  /** Time after the start at which the wait for the state of all circuit groups ends. */
  private static final double STATE_WAIT_MILLIS = 1_000;

  /** Number of hexadecimal digits of a call id. */
  private static final int CALL_ID_LENGTH = 16;

  private final CallController controller;
  private final Scheduler scheduler;
  private final Transport transport;
  private final Limits limits;
  private final Counters counters;
  private final EventRecorder log;
  private final EndedCalls endedCalls;
  private final int localExchange;
  private final AttemptGuard guard;
  private final SplittableRandom random;
  private final Map<String, SwitchLink> links = new LinkedHashMap<>();
  private final KnownStarts knownStarts = new KnownStarts();
  private final Map<String, SwitchLink> linkByCall = new LinkedHashMap<>();
  private final Map<String, Double> probeSentAt = new LinkedHashMap<>();
  private BiConsumer<String, String> descriptionListener = (call, text) -> {};
  private CallerInput callerInput = CallerInput.NONE;
  private final double startedAt;

  SwitchLinks(
      CallController controller,
      Scheduler scheduler,
      Transport transport,
      Limits limits,
      Counters counters,
      EventRecorder log,
      EndedCalls endedCalls,
      int localExchange,
      AttemptGuard guard,
      long seed) {
    this.controller = controller;
    this.scheduler = scheduler;
    this.transport = transport;
    this.limits = limits;
    this.counters = counters;
    this.log = log;
    this.endedCalls = endedCalls;
    this.localExchange = localExchange;
    this.guard = guard;
    this.random = new SplittableRandom(seed);
    this.startedAt = scheduler.now();
  }

  /**
   * Sets the receiver of the descriptions in answers, called with the call id and the description
   * just before the answer is reported to the controller.
   */
  void setDescriptionListener(BiConsumer<String, String> listener) {
    descriptionListener = listener;
  }

  void setCallerInput(CallerInput input) {
    callerInput = input;
  }

  CallerInput callerInput() {
    return callerInput;
  }

  Transport transport() {
    return transport;
  }

  Limits limits() {
    return limits;
  }

  /**
   * Returns the maximum number of connections to one switch: fewer while many are listed, as during
   * their replacement, since all share the descriptors of the process.
   */
  int maxConnectionsPerSwitch() {
    int share = limits.maxSwitchConnections() / Math.max(1, links.size());
    return Math.max(1, Math.min(limits.maxConnectionsPerSwitch(), share));
  }

  Counters counters() {
    return counters;
  }

  EventRecorder log() {
    return log;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  double now() {
    return scheduler.now();
  }

  /** Whether a set-up may be sent to an exchange: it is in service or within its drain grace. */
  boolean maySend(String exchange) {
    return guard.withinDrainGrace(controller.directory().closedSince(exchange), scheduler.now());
  }

  /**
   * Returns a seeded random number from 0 to 1. It spreads the connection attempts of all
   * controllers over time.
   */
  double nextRandom() {
    return random.nextDouble();
  }

  void schedule(double delayMillis, Runnable task) {
    scheduler.schedule(delayMillis, task);
  }

  /** Creates, updates and ends links as the exchange directory has changed. */
  void directoryChanged() {
    ExchangeDirectory directory = controller.directory();
    Map<String, Set<String>> releasesByAddress = new LinkedHashMap<>();
    for (SwitchLink link : new ArrayList<>(links.values())) {
      ExchangeDirectory.Entry entry = directory.byId(link.id());
      if (entry == null || !entry.address().equals(link.address())) {
        links.remove(link.id());
        releasesByAddress.put(link.address(), link.removedFromDirectory());
      }
    }
    for (ExchangeDirectory.Entry entry : directory.entries()) {
      if (entry.number() != localExchange && entry.state() != ExchangeState.GONE) {
        knownStarts.record(entry);
        links.computeIfAbsent(entry.id(), id -> new SwitchLink(entry, this)).updateEntry(entry);
      }
    }
    for (SwitchLink link : links.values()) {
      link.releaseAll(releasesByAddress.getOrDefault(link.address(), Set.of()));
    }
  }

  /** Whether the state of all circuit groups is known, or the wait for it is over. */
  boolean isStateKnown() {
    return scheduler.now() - startedAt > STATE_WAIT_MILLIS
        || !links.isEmpty() && links.values().stream().allMatch(SwitchLink::stateKnown);
  }

  /**
   * Closes all connections. Established calls continue; their releases arrive on the connections
   * opened next.
   */
  void closeAll() {
    links.values().forEach(SwitchLink::close);
    links.clear();
  }

  /**
   * Checks the connections of all links.
   *
   * @param judgesSilence whether the silence of a peer counts now
   */
  void checkConnections(boolean judgesSilence) {
    new ArrayList<>(links.values()).forEach(link -> link.checkConnections(judgesSilence));
  }

  // ---- Requests of the controller -----------------------------------------------------------

  void startAttempt(AttemptRequest request, SetUp setUp) {
    SwitchLink link = links.get(request.nextExchange().id());
    if (link == null || setUp == null) {
      log.refused(request.call(), request.nextExchange().id(), "no link to that switch");
      scheduler.schedule(
          0, () -> attemptEnded(request, Outcome.REFUSED, Reason.NONE, Load.UNKNOWN));
      return;
    }
    linkByCall.put(request.call(), link);
    link.startAttempt(request, setUp);
  }

  /** Cancels an attempt, which ends in the next turn of the event loop without a reply. */
  void cancelAttempt(String call, int attempt) {
    SwitchLink link = linkByCall.get(call);
    if (link != null && link.cancelAttempt(call, attempt)) {
      linkByCall.remove(call);
      scheduler.schedule(
          0,
          () ->
              controller.attemptEnded(
                  call, attempt, Outcome.CANCELLED, Reason.NONE, 0, Load.UNKNOWN));
    }
  }

  void release(String call) {
    SwitchLink link = linkByCall.remove(call);
    if (link != null) {
      link.release(call);
    }
  }

  /**
   * Whether a switch is not known, but may be one that the exchange directory does not have yet.
   */
  boolean mayBecomeKnown(String exchange) {
    ExchangeDirectory directory = controller.directory();
    return directory.byId(exchange) == null && Double.isInfinite(directory.closedSince(exchange));
  }

  /**
   * Resumes a call established at a switch; returns false if there is no link to that switch, or if
   * it has started again since this controller runs: a call that this run does not know was set up
   * before, and has been cut.
   */
  boolean resume(String call, String exchange) {
    SwitchLink link = links.get(exchange);
    if (link == null || knownStarts.startedAgain(exchange)) {
      return false;
    }
    linkByCall.put(call, link);
    link.resume(call);
    return true;
  }

  /** Releases a call that is not tracked but was named as established at a switch. */
  void releaseUntracked(String call, String exchange) {
    SwitchLink link = links.get(exchange);
    if (link != null) {
      link.releaseUntracked(call);
    }
  }

  void probe(ExchangeDirectory.Entry exchange, double sentAt) {
    SwitchLink link = links.get(exchange.id());
    if (link != null) {
      probeSentAt.put(exchange.id(), sentAt);
      link.probe();
    }
  }

  // ---- Reports of the links -----------------------------------------------------------------

  void attemptAnswered(AttemptRequest request, String description) {
    descriptionListener.accept(request.call(), description);
    controller.attemptAnswered(request.call(), request.attempt());
  }

  void attemptEnded(AttemptRequest request, Outcome outcome, Reason reason, Load load) {
    linkByCall.remove(request.call());
    controller.attemptEnded(request.call(), request.attempt(), outcome, reason, 0, load);
  }

  void establishedCallEnded(String call, int attempt, Outcome outcome, Load load) {
    linkByCall.remove(call);
    controller.attemptEnded(call, attempt, outcome, Reason.NONE, 0, load);
  }

  void establishedCallLost(String call, int attempt) {
    establishedCallEnded(call, attempt, Outcome.RESET, Load.UNKNOWN);
  }

  /** A switch released a call that is not tracked; its caller may yet name it as established. */
  void unknownCallReleased(SwitchConnection connection, String call, int cause) {
    if (call.length() != CALL_ID_LENGTH) {
      log.ignored("", connection.name(), "release " + cause + " of what is no call id");
      return;
    }
    log.ignored(call, connection.name(), "release " + cause + " of a call not known, remembered");
    boolean normal = Outcomes.afterAnswer(cause) == Outcome.DONE;
    endedCalls.remember(call, EndedCalls.ReleasedBy.SWITCH, Outcomes.releaseCause(!normal));
  }

  void loadReported(String exchange, Load load) {
    controller.unsolicitedLoadReported(exchange, load);
  }

  void probeCompleted(String exchange, boolean passed) {
    Double sentAt = probeSentAt.remove(exchange);
    if (sentAt != null) {
      controller.probeCompleted(exchange, passed, sentAt);
    }
  }

  /** Number of set-ups that are outstanding or wait for a connection. */
  int outstandingCount() {
    return links.values().stream().mapToInt(SwitchLink::outstandingCount).sum();
  }

  /** Number of ids that the links keep for messages that may still come. */
  int keptIds() {
    return links.values().stream().mapToInt(SwitchLink::keptIds).sum();
  }

  /** Number of connections to switches. */
  int connectionCount() {
    return links.values().stream().mapToInt(SwitchLink::connectionCount).sum();
  }

  /** Number of established calls. */
  int establishedCount() {
    return links.values().stream().mapToInt(SwitchLink::establishedCount).sum();
  }
}
