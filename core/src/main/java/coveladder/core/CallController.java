package coveladder.core;

import coveladder.CallPolicy;
import coveladder.CallPolicy.AttemptEnded;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.DirectoryUpdate;
import coveladder.CallPolicy.Established;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.LoadReport;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Drives the routing policy: reports each event to it once and carries out the actions that it
 * requests. The controller makes no routing decisions; it guarantees that every attempt ends
 * exactly once and that every call gets one final answer.
 *
 * <p>Events that arise while the policy handles another event are queued until it returns.
 */
public final class CallController {
  private final CallPolicy.Settings settings;
  private final Signalling signalling;
  private final Scheduler scheduler;
  private final AttemptGuard attemptGuard;
  private final Observer observer;
  private final CallPolicy policy;
  private final ExchangeDirectory directory = new ExchangeDirectory();
  private final CircuitGroups circuitGroups = new CircuitGroups();
  private final LoadReports loadReports = new LoadReports();
  private final Map<String, TrackedCall> calls = new LinkedHashMap<>();
  private final ArrayDeque<Consumer<CallPolicy>> queuedEvents = new ArrayDeque<>();

  /** Pending timers of the policy, by label. */
  private final Map<Long, Scheduler.Timer> policyTimers = new HashMap<>();

  private boolean dispatching;
  private boolean draining;

  /** Receives each step of each call, for logs and counters. */
  public interface Observer {
    /** Ignores all steps. */
    Observer NONE = new Observer() {};

    /** A call was accepted. */
    default void callAccepted(TrackedCall call) {}

    /** An attempt was started. */
    default void attemptSent(TrackedCall call, AttemptRequest request) {}

    /** An attempt, or the call that it established, ended; {@code elapsed} is in ms. */
    default void attemptEnded(
        TrackedCall call, int attempt, Outcome outcome, Reason reason, double elapsed) {}

    /** The final answer was given {@code elapsed} ms after the call was accepted. */
    default void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double elapsed) {}

    /** The caller abandoned the call before its final answer, after {@code elapsed} ms. */
    default void callerAbandoned(TrackedCall call, double elapsed) {}

    /** The call has ended and is no longer tracked. */
    default void callRemoved(TrackedCall call) {}
  }

  /**
   * Creates a controller.
   *
   * @param settings the settings of the policy
   * @param signalling the protocol front end
   * @param attemptGuard checks each set-up before it is sent
   * @param observer receives each step of each call
   * @param policyFactory creates the policy, given the receiver of its actions
   */
  public CallController(
      CallPolicy.Settings settings,
      Signalling signalling,
      AttemptGuard attemptGuard,
      Observer observer,
      Function<CallPolicy.Actions, CallPolicy> policyFactory) {
    this.settings = settings;
    this.signalling = signalling;
    this.scheduler = signalling.scheduler();
    this.attemptGuard = attemptGuard;
    this.observer = observer;
    this.policy = policyFactory.apply(new PolicyActions());
  }

  /** Starts the controller and its policy, which has no state from an earlier run. */
  public void start() {
    dispatch(p -> p.onStart(scheduler.now()));
    if (!settings.directoryOnRequest()) {
      signalling.subscribeToDirectory();
    }
  }

  /** The exchange directory as reported so far. */
  public ExchangeDirectory directory() {
    return directory;
  }

  /** The circuit groups of the local exchange as reported so far. */
  public CircuitGroups circuitGroups() {
    return circuitGroups;
  }

  /** The settings of the policy. */
  public CallPolicy.Settings settings() {
    return settings;
  }

  /** Number of tracked calls, established ones included. */
  public int callCount() {
    return calls.size();
  }

  /** The tracked call with this id; null if there is none. */
  public TrackedCall call(String id) {
    return calls.get(id);
  }

  /** Number of calls without a final answer. */
  public long pendingCallCount() {
    return calls.values().stream().filter(call -> !call.isAnswered()).count();
  }

  private void dispatch(Consumer<CallPolicy> event) {
    queuedEvents.add(event);
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      for (Consumer<CallPolicy> next = queuedEvents.poll();
          next != null;
          next = queuedEvents.poll()) {
        next.accept(policy);
      }
    } finally {
      dispatching = false;
    }
  }

  // ---- Calls --------------------------------------------------------------------------------

  /**
   * A call arrived.
   *
   * @throws IllegalArgumentException if a call with the same id is tracked already
   */
  public void callArrived(Call call) {
    double now = scheduler.now();
    TrackedCall tracked = new TrackedCall(call, now);
    if (calls.putIfAbsent(call.id(), tracked) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is tracked already");
    }
    observer.callAccepted(tracked);
    if (draining) {
      giveFinalAnswer(tracked, new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE));
      return;
    }
    tracked.setPatienceTimer(
        scheduler.schedule(Math.max(0, call.patience()), () -> patienceExpired(tracked)));
    dispatch(p -> p.onCall(scheduler.now(), call));
  }

  /** Answers a caller whose patience ended before the policy gave a final answer. */
  private void patienceExpired(TrackedCall tracked) {
    if (!tracked.isAnswered()) {
      giveFinalAnswer(tracked, new FinalAnswer(FinalAnswer.Kind.FAILED, 0, tracked.lastReason()));
      dispatch(p -> p.onCallerAbandoned(scheduler.now(), tracked.call().id()));
    }
  }

  /**
   * Restores a call that was established before a restart. It is not reported to the policy, which
   * starts without state: the switch's reports account for the circuits that the call occupies.
   *
   * @throws IllegalArgumentException if a call with the same id is tracked already
   */
  public void resume(Call call, int attempt, String exchange) {
    ExchangeDirectory.Entry entry =
        new ExchangeDirectory.Entry(exchange, -1, "", "", CallPolicy.ExchangeState.IN_SERVICE, 0);
    TrackedCall tracked = new TrackedCall(call, scheduler.now());
    tracked.restoreEstablished(new TrackedCall.Attempt(attempt, entry, scheduler.now()));
    if (calls.putIfAbsent(call.id(), tracked) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is tracked already");
    }
  }

  /** The caller cancelled before the final answer; the front end has answered the cancel. */
  public void callerAbandoned(String id) {
    TrackedCall tracked = calls.get(id);
    if (tracked != null && tracked.isEstablished()) {
      // The CANCEL arrived while the 2xx waited to be persisted: release the call instead.
      callerReleased(id);
    }
    if (tracked != null && !tracked.isAnswered()) {
      tracked.markAnswered(false);
      observer.callerAbandoned(tracked, scheduler.now() - tracked.acceptedAt());
      cancelCurrentAttempt(tracked);
      dispatch(p -> p.onCallerAbandoned(scheduler.now(), id));
      removeIfFinished(tracked);
    }
  }

  /** The caller released an established call. */
  public void callerReleased(String id) {
    TrackedCall tracked = calls.get(id);
    if (tracked != null && tracked.isEstablished() && tracked.currentAttempt() != null) {
      signalling.releaseAttempt(id, tracked.currentAttempt().number);
      endAttempt(tracked, Outcome.DONE, Reason.NONE, 0, null);
    }
  }

  private void giveFinalAnswer(TrackedCall tracked, FinalAnswer answer) {
    tracked.markAnswered(answer.kind() == FinalAnswer.Kind.STANDS);
    observer.finalAnswerGiven(tracked, answer, scheduler.now() - tracked.acceptedAt());
    signalling.answer(tracked.call().id(), answer);
    if (!tracked.isEstablished()) {
      cancelCurrentAttempt(tracked);
      removeIfFinished(tracked);
    }
  }

  private void cancelCurrentAttempt(TrackedCall tracked) {
    TrackedCall.Attempt current = tracked.currentAttempt();
    if (current != null && current.ending == TrackedCall.LocalEnding.NONE) {
      current.ending = TrackedCall.LocalEnding.CANCELLED;
      current.cancelTimeout();
      signalling.cancelAttempt(tracked.call().id(), current.number);
    }
  }

  private void removeIfFinished(TrackedCall tracked) {
    if (tracked.isAnswered()
        && tracked.currentAttempt() == null
        && calls.remove(tracked.call().id()) != null) {
      observer.callRemoved(tracked);
    }
  }

  // ---- Attempts -----------------------------------------------------------------------------

  /**
   * An attempt was answered: the call is established. If the call has ended or the attempt was
   * given up, the front end must not report the answer here, but release the attempt itself and
   * report {@link #attemptEnded}. If it reports such an answer nevertheless, the attempt is
   * released and nothing else happens.
   */
  public void attemptAnswered(String id, int attempt) {
    TrackedCall tracked = calls.get(id);
    TrackedCall.Attempt current = tracked == null ? null : tracked.currentAttempt();
    if (current == null || current.number != attempt || tracked.isAnswered()) {
      signalling.releaseAttempt(id, attempt);
      return;
    }
    current.cancelTimeout();
    double elapsed = scheduler.now() - current.sentAt;
    giveFinalAnswer(tracked, FinalAnswer.ESTABLISHED);
    dispatch(p -> p.onEstablished(scheduler.now(), new Established(id, attempt, elapsed)));
  }

  /**
   * The callee gave a final answer that no other route would change, such as a challenge or an
   * unknown number. Like a 2xx, it is also the final answer of the call.
   */
  public void calleeRejected(String id, int attempt) {
    TrackedCall tracked = calls.get(id);
    TrackedCall.Attempt current = tracked == null ? null : tracked.currentAttempt();
    if (current == null || current.number != attempt) {
      return;
    }
    if (!tracked.isAnswered()) {
      tracked.markAnswered(false);
      FinalAnswer passed = new FinalAnswer(FinalAnswer.Kind.PASSED, 0, Reason.NONE);
      observer.finalAnswerGiven(tracked, passed, scheduler.now() - tracked.acceptedAt());
      signalling.answer(id, passed);
    }
    endAttempt(tracked, Outcome.ERROR, Reason.NONE, 0, null);
  }

  /**
   * An attempt ended: with its final answer, with a reset, or when the wait after its cancel is
   * over. Repeated reports are ignored.
   *
   * @param requestedWait waiting time that a full processor asks for, ms; 0: none given
   */
  public void attemptEnded(
      String id, int attempt, Outcome outcome, Reason reason, double requestedWait) {
    attemptEnded(id, attempt, outcome, reason, requestedWait, null);
  }

  /**
   * An attempt ended, and load figures came with its end.
   *
   * @param requestedWait waiting time that a full processor asks for, ms; 0: none given
   * @param load the load figures that came with it; null: the last known ones are used
   */
  public void attemptEnded(
      String id, int attempt, Outcome outcome, Reason reason, double requestedWait, Load load) {
    TrackedCall tracked = calls.get(id);
    if (tracked == null
        || tracked.currentAttempt() == null
        || tracked.currentAttempt().number != attempt) {
      return;
    }
    if (tracked.isEstablished()) {
      signalling.releaseCaller(id, outcome != Outcome.DONE);
    }
    endAttempt(tracked, outcome, reason, requestedWait, load);
  }

  private void endAttempt(
      TrackedCall tracked, Outcome reported, Reason reason, double requestedWait, Load load) {
    TrackedCall.Attempt current = tracked.currentAttempt();
    Outcome outcome = effectiveOutcome(current, reported);
    boolean overridden = outcome != reported;
    double elapsed = scheduler.now() - current.sentAt;
    current.cancelTimeout();
    tracked.attemptEnded(isUncertain(outcome), overridden ? Reason.NONE : reason, scheduler.now());
    observer.attemptEnded(
        tracked, current.number, outcome, overridden ? Reason.NONE : reason, elapsed);
    AttemptEnded ended =
        new AttemptEnded(
            tracked.call().id(),
            current.number,
            current.exchange.id(),
            outcome,
            overridden ? Reason.NONE : reason,
            overridden ? 0 : requestedWait,
            elapsed,
            tracked.isAnswered(),
            load == null ? currentLoad(current.exchange) : load);
    removeIfFinished(tracked);
    dispatch(p -> p.onAttemptEnded(scheduler.now(), ended));
  }

  /**
   * Returns the local outcome for an attempt that this controller ended, whatever was reported
   * last, so that the guard time is observed after a refusal that crossed the CANCEL.
   */
  private static Outcome effectiveOutcome(TrackedCall.Attempt current, Outcome reported) {
    return switch (current.ending) {
      case NONE -> reported;
      case TIMED_OUT -> Outcome.TIMED_OUT;
      case CANCELLED -> Outcome.CANCELLED;
    };
  }

  /** Whether an attempt with this outcome may have taken effect at the remote end. */
  private static boolean isUncertain(Outcome outcome) {
    return outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED;
  }

  private Load currentLoad(ExchangeDirectory.Entry exchange) {
    return loadReports.load(
        exchange.id(), circuitGroups.toward(exchange.number()), scheduler.now());
  }

  private void attemptTimedOut(TrackedCall tracked, TrackedCall.Attempt current) {
    if (tracked.currentAttempt() == current
        && current.ending == TrackedCall.LocalEnding.NONE
        && !tracked.isEstablished()) {
      current.ending = TrackedCall.LocalEnding.TIMED_OUT;
      signalling.cancelAttempt(tracked.call().id(), current.number);
    }
  }

  // ---- Directory, load reports and messages ---------------------------------------------------

  /**
   * An update of the exchange directory arrived.
   *
   * @return whether an earlier update is missing and the complete directory must be requested
   */
  public boolean updateDirectory(ExchangeDirectory.Update update) {
    ExchangeDirectory.UpdateResult result = directory.apply(update, scheduler.now());
    if (result == ExchangeDirectory.UpdateResult.APPLIED) {
      List<CallPolicy.Exchange> entries = new ArrayList<>();
      update.entries().forEach(entry -> entries.add(entry.forPolicy()));
      dispatch(
          p ->
              p.onDirectoryUpdate(
                  scheduler.now(), new DirectoryUpdate(false, update.complete(), entries)));
      reportKnownCircuits(update.entries());
    }
    return result == ExchangeDirectory.UpdateResult.GAP;
  }

  /**
   * Reports the circuits toward exchanges that were just listed: a circuit group may be reported
   * before the directory lists its remote exchange.
   */
  private void reportKnownCircuits(List<ExchangeDirectory.Entry> entries) {
    for (ExchangeDirectory.Entry entry : entries) {
      if (circuitGroups.toward(entry.number()) != null && directory.byId(entry.id()) != null) {
        dispatch(
            p ->
                p.onLoadReport(
                    scheduler.now(), new LoadReport(entry.id(), true, 0, currentLoad(entry))));
      }
    }
  }

  /** The exchange directory could not be fetched; the present one stays in force. */
  public void directoryUnavailable() {
    dispatch(
        p -> p.onDirectoryUpdate(scheduler.now(), new DirectoryUpdate(true, false, List.of())));
  }

  /**
   * The local switch reported the free circuits of the group toward an exchange.
   *
   * @param number number of the remote exchange
   * @param free free circuits
   * @param size number of circuits in the group
   * @param version version of the report; one that is not newer than the last is ignored
   */
  public void circuitsReported(int number, int free, int size, long version) {
    ExchangeDirectory.Entry remote = directory.byNumber(number);
    if (circuitGroups.update(number, free, size, version) && remote != null) {
      dispatch(
          p ->
              p.onLoadReport(
                  scheduler.now(), new LoadReport(remote.id(), true, 0, currentLoad(remote))));
    }
  }

  /** An exchange sent unsolicited load figures, those of the circuit group toward it included. */
  public void unsolicitedLoadReported(String exchange, Load load) {
    if (directory.byId(exchange) != null) {
      dispatch(p -> p.onLoadReport(scheduler.now(), new LoadReport(exchange, true, 0, load)));
    }
  }

  /** An overload report came with an answer of an exchange. */
  public void overloadReported(String exchange, LoadReports.Report report) {
    loadReports.update(exchange, report);
  }

  /**
   * A probe was answered, or failed.
   *
   * @param sentAt clock at which it was sent, ms
   */
  public void probeCompleted(String exchange, boolean answered, double sentAt) {
    ExchangeDirectory.Entry entry = directory.byId(exchange);
    if (entry != null) {
      LoadReport report =
          new LoadReport(exchange, answered, scheduler.now() - sentAt, currentLoad(entry));
      dispatch(p -> p.onLoadReport(scheduler.now(), report));
    }
  }

  /** A message from another controller arrived. */
  public void peerMessageReceived(int from, byte[] payload) {
    dispatch(p -> p.onPeerMessage(scheduler.now(), from, payload));
  }

  // ---- Shutdown -----------------------------------------------------------------------------

  /** Refuses new calls from now on; pending and established calls continue. */
  public void drain() {
    draining = true;
  }

  /**
   * Refuses new calls and gives each pending call its one final answer. Outstanding attempts are
   * cancelled; established calls continue without further decisions by this controller.
   */
  public void shutDown() {
    drain();
    for (TrackedCall tracked : new ArrayList<>(calls.values())) {
      if (!tracked.isAnswered()) {
        giveFinalAnswer(tracked, new FinalAnswer(shutdownAnswer(tracked), 0, Reason.NONE));
        dispatch(p -> p.onCallerAbandoned(scheduler.now(), tracked.call().id()));
      }
    }
  }

  /**
   * The kind of answer at shutdown: FAILED for a call that may have taken effect and whose class is
   * not safe to repeat anywhere; otherwise SHUT_DOWN.
   */
  private FinalAnswer.Kind shutdownAnswer(TrackedCall tracked) {
    boolean safeToRetry =
        tracked.attemptCount() == 0
            || settings.classes().get(tracked.call().type()).repeatAnywhere();
    return safeToRetry ? FinalAnswer.Kind.SHUT_DOWN : FinalAnswer.Kind.FAILED;
  }

  /** Releases all established calls, on both sides. */
  public void releaseEstablished() {
    for (TrackedCall tracked : new ArrayList<>(calls.values())) {
      if (tracked.isEstablished() && tracked.currentAttempt() != null) {
        signalling.releaseAttempt(tracked.call().id(), tracked.currentAttempt().number);
        signalling.releaseCaller(tracked.call().id(), true);
        endAttempt(tracked, Outcome.CANCELLED, Reason.NONE, 0, null);
      }
    }
  }

  /** Number of outstanding attempts, those of calls with a final answer included. */
  public long outstandingAttempts() {
    return calls.values().stream()
        .filter(call -> call.currentAttempt() != null && !call.isEstablished())
        .count();
  }

  // ---- Actions of the policy ------------------------------------------------------------------

  /** Carries out the actions that the policy requests. */
  private final class PolicyActions implements CallPolicy.Actions {

    @Override
    public void send(String id, String exchange, double timeoutMillis) {
      TrackedCall tracked = calls.get(id);
      ExchangeDirectory.Entry entry = directory.byId(exchange);
      if (tracked == null) {
        return;
      }
      int number = tracked.nextAttempt();
      if (entry == null
          || !attemptGuard.permits(tracked, directory.closedSince(exchange), scheduler.now())) {
        skipAttempt(tracked, number, exchange);
        return;
      }
      TrackedCall.Attempt current = new TrackedCall.Attempt(number, entry, scheduler.now());
      tracked.attemptStarted(current);
      current.timeoutTimer =
          scheduler.schedule(Math.max(0, timeoutMillis), () -> attemptTimedOut(tracked, current));
      ExchangeDirectory.Entry destination = directory.byNumber(tracked.call().destination());
      AttemptRequest request =
          new AttemptRequest(
              id, number, entry, destination, tracked.call().number(), timeoutMillis);
      observer.attemptSent(tracked, request);
      signalling.startAttempt(request);
    }

    private void skipAttempt(TrackedCall tracked, int number, String exchange) {
      AttemptEnded ended =
          new AttemptEnded(
              tracked.call().id(),
              number,
              exchange,
              Outcome.SKIPPED,
              Reason.NONE,
              0,
              0,
              tracked.isAnswered(),
              Load.UNKNOWN);
      observer.attemptEnded(tracked, number, Outcome.SKIPPED, Reason.NONE, 0);
      dispatch(p -> p.onAttemptEnded(scheduler.now(), ended));
    }

    @Override
    public void cancel(String id, int attempt) {
      TrackedCall tracked = calls.get(id);
      if (tracked != null
          && tracked.currentAttempt() != null
          && tracked.currentAttempt().number == attempt) {
        if (!tracked.isEstablished()) {
          cancelCurrentAttempt(tracked);
        }
      }
    }

    @Override
    public void refuse(String id, double retryAfterMillis) {
      answerIfPending(id, FinalAnswer.Kind.REFUSED, retryAfterMillis);
    }

    @Override
    public void fail(String id) {
      answerIfPending(id, FinalAnswer.Kind.FAILED, 0);
    }

    private void answerIfPending(String id, FinalAnswer.Kind kind, double retryAfterMillis) {
      TrackedCall tracked = calls.get(id);
      if (tracked != null && !tracked.isAnswered()) {
        giveFinalAnswer(tracked, new FinalAnswer(kind, retryAfterMillis, tracked.lastReason()));
      }
    }

    @Override
    public void startTimer(double delayMillis, long label) {
      policyTimers.put(label, scheduler.schedule(delayMillis, () -> timerExpired(label)));
    }

    private void timerExpired(long label) {
      policyTimers.remove(label);
      dispatch(p -> p.onTimer(scheduler.now(), label));
    }

    @Override
    public void cancelTimer(long label) {
      Scheduler.Timer timer = policyTimers.remove(label);
      if (timer != null) {
        timer.stop();
      }
    }

    @Override
    public void probe(String exchange) {
      ExchangeDirectory.Entry entry = directory.byId(exchange);
      if (entry != null) {
        signalling.probe(entry, scheduler.now());
      }
    }

    @Override
    public void broadcast(byte[] payload) {
      signalling.broadcast(payload.clone());
    }

    private void dispatch(Consumer<CallPolicy> event) {
      CallController.this.dispatch(event);
    }

    @Override
    public void subscribeToDirectory() {
      signalling.subscribeToDirectory();
    }
  }
}
