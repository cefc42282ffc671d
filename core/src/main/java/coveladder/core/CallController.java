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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Drives the policy: tells it what happens, once each, and carries out what it decides. It makes no
 * decision on calls of its own; it only keeps what the policy may count on, that every attempt ends
 * exactly once and every call has one final answer.
 *
 * <p>Events that come up while the policy is deciding wait until it has returned.
 */
public final class CallController {
  private final CallPolicy.Settings settings;
  private final Signalling signalling;
  private final Scheduler clock;
  private final AttemptGuard guard;
  private final Observer journal;
  private final CallPolicy policy;
  private final ExchangeDirectory directory = new ExchangeDirectory();
  private final CircuitGroups circuitGroups = new CircuitGroups();
  private final LoadReports reports = new LoadReports();
  private final Map<String, TrackedCall> calls = new LinkedHashMap<>();
  private final ArrayDeque<Consumer<CallPolicy>> events = new ArrayDeque<>();
  private boolean deciding;
  private boolean ending;

  /** Hears of each step of each call, for logs and counters. */
  public interface Observer {
    /** Keeps nothing. */
    Observer NONE = new Observer() {};

    /** A call was taken. */
    default void callAccepted(TrackedCall call) {}

    /** A set-up left. */
    default void attemptSent(TrackedCall call, AttemptRequest request) {}

    /** A set-up is over, or the standing call that it made. */
    default void attemptEnded(
        TrackedCall call, int attempt, Outcome outcome, Reason reason, double elapsed) {}

    /** The final answer was given. */
    default void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double elapsed) {}

    /** The caller left before it. */
    default void callerAbandoned(TrackedCall call, double elapsed) {}

    /** Nothing is left of the call here. */
    default void callRemoved(TrackedCall call) {}
  }

  /**
   * Makes a controller.
   *
   * @param policies makes the policy that decides, given where its actions go
   */
  public CallController(
      CallPolicy.Settings settings,
      Signalling signalling,
      AttemptGuard guard,
      Observer journal,
      Function<CallPolicy.Actions, CallPolicy> policies) {
    this.settings = settings;
    this.signalling = signalling;
    this.clock = signalling.scheduler();
    this.guard = guard;
    this.journal = journal;
    this.policy = policies.apply(new Deeds());
  }

  /** Begins: the policy starts without memory. */
  public void start() {
    tell(p -> p.onStart(clock.now()));
    if (!settings.directoryOnRequest()) {
      signalling.subscribeToDirectory();
    }
  }

  /** The exchange list as told so far. */
  public ExchangeDirectory directory() {
    return directory;
  }

  /** The own circuit groups as told so far. */
  public CircuitGroups circuitGroups() {
    return circuitGroups;
  }

  /** The settings that the policy was given. */
  public CallPolicy.Settings settings() {
    return settings;
  }

  /** Calls held, standing ones included. */
  public int callCount() {
    return calls.size();
  }

  /** A call that is held; null if there is none of that id. */
  public TrackedCall call(String id) {
    return calls.get(id);
  }

  /** Calls that are owed their final answer. */
  public long pendingCallCount() {
    return calls.values().stream().filter(call -> !call.isAnswered()).count();
  }

  private void tell(Consumer<CallPolicy> event) {
    events.add(event);
    if (deciding) {
      return;
    }
    deciding = true;
    try {
      for (Consumer<CallPolicy> next = events.poll(); next != null; next = events.poll()) {
        next.accept(policy);
      }
    } finally {
      deciding = false;
    }
  }

  // ---- Calls --------------------------------------------------------------------------------

  /** A call came. Its id must be new. */
  public void callArrived(Call call) {
    double now = clock.now();
    TrackedCall held = new TrackedCall(call, now);
    if (calls.putIfAbsent(call.id(), held) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is held already");
    }
    journal.callAccepted(held);
    if (ending) {
      finalAnswer(held, new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE));
      return;
    }
    held.deadline(clock.schedule(Math.max(0, call.patience()), () -> patienceEnded(held)));
    tell(p -> p.onCall(clock.now(), call));
  }

  /** Guards a caller against a policy that let its time run out. */
  private void patienceEnded(TrackedCall held) {
    if (!held.isAnswered()) {
      finalAnswer(held, new FinalAnswer(FinalAnswer.Kind.FAILED, 0, held.lastReason()));
      tell(p -> p.onCallerAbandoned(clock.now(), held.call().id()));
    }
  }

  /**
   * Holds a call again that stood before a restart. The policy, which begins anew, is not told: the
   * circuits that it holds are in the switch's reports.
   */
  public void resume(Call call, int attempt, String exchange) {
    ExchangeDirectory.Entry first =
        new ExchangeDirectory.Entry(exchange, -1, "", "", CallPolicy.ExchangeState.IN_SERVICE, 0);
    TrackedCall held = new TrackedCall(call, clock.now());
    held.resume(new TrackedCall.Attempt(attempt, first, clock.now()));
    if (calls.putIfAbsent(call.id(), held) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is held already");
    }
  }

  /** The caller called off before the final answer; the front has answered it. */
  public void callerAbandoned(String id) {
    TrackedCall held = calls.get(id);
    if (held != null && held.isEstablished()) {
      // Its CANCEL crossed our 2xx while that waited to be kept: the call is released instead.
      callerReleased(id);
    }
    if (held != null && !held.isAnswered()) {
      held.answer(false);
      journal.callerAbandoned(held, clock.now() - held.acceptedAt());
      cancelCurrent(held);
      tell(p -> p.onCallerAbandoned(clock.now(), id));
      letGo(held);
    }
  }

  /** The caller ended a call that stands. */
  public void callerReleased(String id) {
    TrackedCall held = calls.get(id);
    if (held != null && held.isEstablished() && held.current() != null) {
      signalling.releaseAttempt(id, held.current().number);
      over(held, Outcome.DONE, Reason.NONE, 0, null);
    }
  }

  private void finalAnswer(TrackedCall held, FinalAnswer answer) {
    held.answer(answer.kind() == FinalAnswer.Kind.STANDS);
    journal.finalAnswerGiven(held, answer, clock.now() - held.acceptedAt());
    signalling.answer(held.call().id(), answer);
    if (!held.isEstablished()) {
      cancelCurrent(held);
      letGo(held);
    }
  }

  private void cancelCurrent(TrackedCall held) {
    TrackedCall.Attempt out = held.current();
    if (out != null && out.ending == TrackedCall.Ending.OPEN) {
      out.ending = TrackedCall.Ending.CANCELLED;
      out.stopLimit();
      signalling.cancelAttempt(held.call().id(), out.number);
    }
  }

  private void letGo(TrackedCall held) {
    if (held.isAnswered() && held.current() == null && calls.remove(held.call().id()) != null) {
      journal.callRemoved(held);
    }
  }

  // ---- Attempts -----------------------------------------------------------------------------

  /**
   * An attempt was answered: the call stands. Answers for calls that are over, or attempts that
   * were given up, must not come here; the front releases them and tells {@link #attemptEnded}.
   */
  public void attemptAnswered(String id, int attempt) {
    TrackedCall held = calls.get(id);
    TrackedCall.Attempt out = held == null ? null : held.current();
    if (out == null || out.number != attempt || held.isAnswered()) {
      signalling.releaseAttempt(id, attempt);
      return;
    }
    out.stopLimit();
    double spent = clock.now() - out.sent;
    finalAnswer(held, FinalAnswer.ESTABLISHED);
    tell(p -> p.onEstablished(clock.now(), new Established(id, attempt, spent)));
  }

  /**
   * The callee itself gave a final answer that no other route would change, such as a challenge or
   * an unknown number: it is the call's final answer too, as a 2xx is.
   */
  public void calleeRejected(String id, int attempt) {
    TrackedCall held = calls.get(id);
    TrackedCall.Attempt out = held == null ? null : held.current();
    if (out == null || out.number != attempt) {
      return;
    }
    if (!held.isAnswered()) {
      held.answer(false);
      FinalAnswer passed = new FinalAnswer(FinalAnswer.Kind.PASSED, 0, Reason.NONE);
      journal.finalAnswerGiven(held, passed, clock.now() - held.acceptedAt());
      signalling.answer(id, passed);
    }
    over(held, Outcome.ERROR, Reason.NONE, 0, null);
  }

  /**
   * An attempt is over on the wire: its final answer, its reset, or the end of waiting after a
   * cancel is in. Repeats are ignored.
   */
  public void attemptEnded(
      String id, int attempt, Outcome outcome, Reason reason, double requestedWait) {
    attemptEnded(id, attempt, outcome, reason, requestedWait, null);
  }

  /**
   * An attempt is over, and figures came with its end.
   *
   * @param load the figures, as they came; null: those last held of the exchange
   */
  public void attemptEnded(
      String id, int attempt, Outcome outcome, Reason reason, double requestedWait, Load load) {
    TrackedCall held = calls.get(id);
    if (held == null || held.current() == null || held.current().number != attempt) {
      return;
    }
    if (held.isEstablished()) {
      signalling.releaseCaller(id, outcome != Outcome.DONE);
    }
    over(held, outcome, reason, requestedWait, load);
  }

  private void over(TrackedCall held, Outcome wire, Reason reason, double wait, Load told) {
    TrackedCall.Attempt out = held.current();
    Outcome outcome = outcome(out, wire);
    boolean own = outcome != wire;
    double spent = clock.now() - out.sent;
    out.stopLimit();
    held.attemptOver(unsure(outcome), own ? Reason.NONE : reason, clock.now());
    journal.attemptEnded(held, out.number, outcome, own ? Reason.NONE : reason, spent);
    AttemptEnded ended =
        new AttemptEnded(
            held.call().id(),
            out.number,
            out.first.id(),
            outcome,
            own ? Reason.NONE : reason,
            own ? 0 : wait,
            spent,
            held.isAnswered(),
            told == null ? load(out.first) : told);
    letGo(held);
    tell(p -> p.onAttemptEnded(clock.now(), ended));
  }

  /**
   * An attempt that this controller called off counts as such whatever came last, so that the
   * release guard is kept after a refusal that crossed the CANCEL.
   */
  private static Outcome outcome(TrackedCall.Attempt out, Outcome wire) {
    return switch (out.ending) {
      case OPEN -> wire;
      case TIMED_OUT -> Outcome.TIMED_OUT;
      case CANCELLED -> Outcome.CANCELLED;
    };
  }

  private static boolean unsure(Outcome outcome) {
    return outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED;
  }

  private Load load(ExchangeDirectory.Entry exchange) {
    return reports.load(exchange.id(), circuitGroups.toward(exchange.number()), clock.now());
  }

  private void timedOut(TrackedCall held, TrackedCall.Attempt out) {
    if (held.current() == out && out.ending == TrackedCall.Ending.OPEN && !held.isEstablished()) {
      out.ending = TrackedCall.Ending.TIMED_OUT;
      signalling.cancelAttempt(held.call().id(), out.number);
    }
  }

  // ---- News ---------------------------------------------------------------------------------

  /** The list sent news; whether it must be asked for whole, as something is missing. */
  public boolean updateDirectory(ExchangeDirectory.Update update) {
    ExchangeDirectory.UpdateResult taken = directory.apply(update, clock.now());
    if (taken == ExchangeDirectory.UpdateResult.APPLIED) {
      List<CallPolicy.Exchange> entries = new ArrayList<>();
      update.entries().forEach(entry -> entries.add(entry.forPolicy()));
      tell(
          p ->
              p.onDirectoryUpdate(
                  clock.now(), new DirectoryUpdate(false, update.complete(), entries)));
      retellCircuits(update.entries());
    }
    return taken == ExchangeDirectory.UpdateResult.GAP;
  }

  /** Groups may be told before the list names the exchange at their other end. */
  private void retellCircuits(List<ExchangeDirectory.Entry> entries) {
    for (ExchangeDirectory.Entry entry : entries) {
      if (circuitGroups.toward(entry.number()) != null && directory.byId(entry.id()) != null) {
        tell(p -> p.onLoadReport(clock.now(), new LoadReport(entry.id(), true, 0, load(entry))));
      }
    }
  }

  /** The list could not be had; the old one stays. */
  public void directoryUnavailable() {
    tell(p -> p.onDirectoryUpdate(clock.now(), new DirectoryUpdate(true, false, List.of())));
  }

  /** The own switch told the free circuits of a group. */
  public void circuitsReported(int number, int free, int size, long version) {
    ExchangeDirectory.Entry far = directory.byNumber(number);
    if (circuitGroups.update(number, free, size, version) && far != null) {
      tell(p -> p.onLoadReport(clock.now(), new LoadReport(far.id(), true, 0, load(far))));
    }
  }

  /** An exchange told figures unasked, those of the group toward it among them. */
  public void unsolicitedLoadReported(String exchange, Load load) {
    if (directory.byId(exchange) != null) {
      tell(p -> p.onLoadReport(clock.now(), new LoadReport(exchange, true, 0, load)));
    }
  }

  /** Load figures came with an answer of an exchange. */
  public void overloadReported(String exchange, LoadReports.Report report) {
    reports.update(exchange, report);
  }

  /** A probe was answered, or was not. */
  public void probeCompleted(String exchange, boolean answered, double sentAt) {
    ExchangeDirectory.Entry entry = directory.byId(exchange);
    if (entry != null) {
      LoadReport report = new LoadReport(exchange, answered, clock.now() - sentAt, load(entry));
      tell(p -> p.onLoadReport(clock.now(), report));
    }
  }

  /** A message from another controller came. */
  public void peerMessageReceived(int from, byte[] payload) {
    tell(p -> p.onPeerMessage(clock.now(), from, payload));
  }

  // ---- The end ------------------------------------------------------------------------------

  /** Takes nothing new: calls that come are refused, those in flight go on. */
  public void drain() {
    ending = true;
  }

  /**
   * Takes nothing new and gives each call in flight its one final answer. Attempts out are called
   * off; calls that stand go on without this controller's decisions.
   */
  public void shutDown() {
    drain();
    for (TrackedCall held : new ArrayList<>(calls.values())) {
      if (!held.isAnswered()) {
        finalAnswer(held, new FinalAnswer(atTheEnd(held), 0, Reason.NONE));
        tell(p -> p.onCallerAbandoned(clock.now(), held.call().id()));
      }
    }
  }

  /** A call that may have run, of a class that is not simply repeated, has failed. */
  private FinalAnswer.Kind atTheEnd(TrackedCall held) {
    boolean harmless =
        held.attemptCount() == 0 || settings.classes().get(held.call().type()).repeatAnywhere();
    return harmless ? FinalAnswer.Kind.SHUT_DOWN : FinalAnswer.Kind.FAILED;
  }

  /** Ends the calls that stand, from both sides. */
  public void releaseEstablished() {
    for (TrackedCall held : new ArrayList<>(calls.values())) {
      if (held.isEstablished() && held.current() != null) {
        signalling.releaseAttempt(held.call().id(), held.current().number);
        signalling.releaseCaller(held.call().id(), true);
        over(held, Outcome.CANCELLED, Reason.NONE, 0, null);
      }
    }
  }

  /** Attempts that are out, calls already answered included. */
  public long outstandingAttempts() {
    return calls.values().stream().filter(c -> c.current() != null && !c.isEstablished()).count();
  }

  // ---- What the policy asks for -------------------------------------------------------------

  /** Carries out the policy's actions. */
  private final class Deeds implements CallPolicy.Actions {

    @Override
    public void send(String id, String exchange, double within) {
      TrackedCall held = calls.get(id);
      ExchangeDirectory.Entry first = directory.byId(exchange);
      if (held == null) {
        return;
      }
      int number = held.nextAttempt();
      if (first == null || !guard.permits(held, directory.closedSince(exchange), clock.now())) {
        skipped(held, number, exchange);
        return;
      }
      TrackedCall.Attempt out = new TrackedCall.Attempt(number, first, clock.now());
      held.begin(out);
      out.limit = clock.schedule(Math.max(0, within), () -> timedOut(held, out));
      ExchangeDirectory.Entry destination = directory.byNumber(held.call().destination());
      AttemptRequest order =
          new AttemptRequest(id, number, first, destination, held.call().number(), within);
      journal.attemptSent(held, order);
      signalling.startAttempt(order);
    }

    private void skipped(TrackedCall held, int number, String exchange) {
      AttemptEnded ended =
          new AttemptEnded(
              held.call().id(),
              number,
              exchange,
              Outcome.SKIPPED,
              Reason.NONE,
              0,
              0,
              held.isAnswered(),
              Load.UNKNOWN);
      journal.attemptEnded(held, number, Outcome.SKIPPED, Reason.NONE, 0);
      tell(p -> p.onAttemptEnded(clock.now(), ended));
    }

    @Override
    public void cancel(String id, int attempt) {
      TrackedCall held = calls.get(id);
      if (held != null && held.current() != null && held.current().number == attempt) {
        if (!held.isEstablished()) {
          cancelCurrent(held);
        }
      }
    }

    @Override
    public void refuse(String id, double comeBack) {
      end(id, FinalAnswer.Kind.REFUSED, comeBack);
    }

    @Override
    public void fail(String id) {
      end(id, FinalAnswer.Kind.FAILED, 0);
    }

    private void end(String id, FinalAnswer.Kind kind, double comeBack) {
      TrackedCall held = calls.get(id);
      if (held != null && !held.isAnswered()) {
        finalAnswer(held, new FinalAnswer(kind, comeBack, held.lastReason()));
      }
    }

    @Override
    public void startTimer(double delay, long label) {
      clock.schedule(delay, () -> tell(p -> p.onTimer(clock.now(), label)));
    }

    @Override
    public void probe(String exchange) {
      ExchangeDirectory.Entry entry = directory.byId(exchange);
      if (entry != null) {
        signalling.probe(entry, clock.now());
      }
    }

    @Override
    public void broadcast(byte[] payload) {
      signalling.broadcast(payload.clone());
    }

    private void tell(Consumer<CallPolicy> event) {
      CallController.this.tell(event);
    }

    @Override
    public void subscribeToDirectory() {
      signalling.subscribeToDirectory();
    }
  }
}
