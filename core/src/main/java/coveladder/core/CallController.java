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
  private final Clockwork clock;
  private final AttemptGuard guard;
  private final Journal journal;
  private final CallPolicy policy;
  private final ExchangeList list = new ExchangeList();
  private final CircuitGroups groups = new CircuitGroups();
  private final LoadReports reports = new LoadReports();
  private final Map<String, HeldCall> calls = new LinkedHashMap<>();
  private final ArrayDeque<Consumer<CallPolicy>> events = new ArrayDeque<>();
  private boolean deciding;
  private boolean ending;

  /** Hears of each step of each call, for logs and counters. */
  public interface Journal {
    /** Keeps nothing. */
    Journal NONE = new Journal() {};

    /** A call was taken. */
    default void taken(HeldCall call) {}

    /** A set-up left. */
    default void sent(HeldCall call, AttemptOrder order) {}

    /** A set-up is over, or the standing call that it made. */
    default void over(HeldCall call, int attempt, Outcome outcome, Reason reason, double spent) {}

    /** The final answer was given. */
    default void answered(HeldCall call, FinalAnswer answer, double after) {}

    /** The caller left before it. */
    default void callerLeft(HeldCall call, double after) {}

    /** Nothing is left of the call here. */
    default void ended(HeldCall call) {}
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
      Journal journal,
      Function<CallPolicy.Actions, CallPolicy> policies) {
    this.settings = settings;
    this.signalling = signalling;
    this.clock = signalling.clockwork();
    this.guard = guard;
    this.journal = journal;
    this.policy = policies.apply(new Deeds());
  }

  /** Begins: the policy starts without memory. */
  public void start() {
    tell(p -> p.onStart(clock.now()));
    if (!settings.directoryOnRequest()) {
      signalling.subscribeList();
    }
  }

  /** The exchange list as told so far. */
  public ExchangeList list() {
    return list;
  }

  /** The own circuit groups as told so far. */
  public CircuitGroups groups() {
    return groups;
  }

  /** The settings that the policy was given. */
  public CallPolicy.Settings settings() {
    return settings;
  }

  /** Calls held, standing ones included. */
  public int held() {
    return calls.size();
  }

  /** A call that is held; null if there is none of that id. */
  public HeldCall call(String id) {
    return calls.get(id);
  }

  /** Calls that are owed their final answer. */
  public long unanswered() {
    return calls.values().stream().filter(call -> !call.answered()).count();
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
    HeldCall held = new HeldCall(call, now);
    if (calls.putIfAbsent(call.id(), held) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is held already");
    }
    journal.taken(held);
    if (ending) {
      finalAnswer(held, new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE));
      return;
    }
    held.deadline(clock.after(Math.max(0, call.patience()), () -> patienceEnded(held)));
    tell(p -> p.onCall(clock.now(), call));
  }

  /** Guards a caller against a policy that let its time run out. */
  private void patienceEnded(HeldCall held) {
    if (!held.answered()) {
      finalAnswer(held, new FinalAnswer(FinalAnswer.Kind.FAILED, 0, held.lastReason()));
      tell(p -> p.onCallerAbandoned(clock.now(), held.call().id()));
    }
  }

  /**
   * Holds a call again that stood before a restart. The policy, which begins anew, is not told: the
   * circuits that it holds are in the switch's reports.
   */
  public void resume(Call call, int attempt, String exchange) {
    ExchangeList.Entry first =
        new ExchangeList.Entry(exchange, -1, "", "", CallPolicy.ExchangeState.IN_SERVICE, 0);
    HeldCall held = new HeldCall(call, clock.now());
    held.resume(new HeldCall.Attempt(attempt, first, clock.now()));
    if (calls.putIfAbsent(call.id(), held) != null) {
      throw new IllegalArgumentException("call " + call.id() + " is held already");
    }
  }

  /** The caller called off before the final answer; the front has answered it. */
  public void callerLeft(String id) {
    HeldCall held = calls.get(id);
    if (held != null && held.standing()) {
      // Its CANCEL crossed our 2xx while that waited to be kept: the call is released instead.
      callerReleased(id);
    }
    if (held != null && !held.answered()) {
      held.answer(false);
      journal.callerLeft(held, clock.now() - held.taken());
      cancelCurrent(held);
      tell(p -> p.onCallerAbandoned(clock.now(), id));
      letGo(held);
    }
  }

  /** The caller ended a call that stands. */
  public void callerReleased(String id) {
    HeldCall held = calls.get(id);
    if (held != null && held.standing() && held.current() != null) {
      signalling.releaseAttempt(id, held.current().number);
      over(held, Outcome.DONE, Reason.NONE, 0, null);
    }
  }

  private void finalAnswer(HeldCall held, FinalAnswer answer) {
    held.answer(answer.kind() == FinalAnswer.Kind.STANDS);
    journal.answered(held, answer, clock.now() - held.taken());
    signalling.answer(held.call().id(), answer);
    if (!held.standing()) {
      cancelCurrent(held);
      letGo(held);
    }
  }

  private void cancelCurrent(HeldCall held) {
    HeldCall.Attempt out = held.current();
    if (out != null && out.ending == HeldCall.Ending.OPEN) {
      out.ending = HeldCall.Ending.CANCELLED;
      out.stopLimit();
      signalling.cancelAttempt(held.call().id(), out.number);
    }
  }

  private void letGo(HeldCall held) {
    if (held.answered() && held.current() == null && calls.remove(held.call().id()) != null) {
      journal.ended(held);
    }
  }

  // ---- Attempts -----------------------------------------------------------------------------

  /**
   * An attempt was answered: the call stands. Answers for calls that are over, or attempts that
   * were given up, must not come here; the front releases them and tells {@link #attemptOver}.
   */
  public void attemptStands(String id, int attempt) {
    HeldCall held = calls.get(id);
    HeldCall.Attempt out = held == null ? null : held.current();
    if (out == null || out.number != attempt || held.answered()) {
      signalling.releaseAttempt(id, attempt);
      return;
    }
    out.stopLimit();
    double spent = clock.now() - out.sent;
    finalAnswer(held, FinalAnswer.STANDS);
    tell(p -> p.onEstablished(clock.now(), new Established(id, attempt, spent)));
  }

  /**
   * The callee itself gave a final answer that no other route would change, such as a challenge or
   * an unknown number: it is the call's final answer too, as a 2xx is.
   */
  public void attemptConclusive(String id, int attempt) {
    HeldCall held = calls.get(id);
    HeldCall.Attempt out = held == null ? null : held.current();
    if (out == null || out.number != attempt) {
      return;
    }
    if (!held.answered()) {
      held.answer(false);
      FinalAnswer passed = new FinalAnswer(FinalAnswer.Kind.PASSED, 0, Reason.NONE);
      journal.answered(held, passed, clock.now() - held.taken());
      signalling.answer(id, passed);
    }
    over(held, Outcome.ERROR, Reason.NONE, 0, null);
  }

  /**
   * An attempt is over on the wire: its final answer, its reset, or the end of waiting after a
   * cancel is in. Repeats are ignored.
   */
  public void attemptOver(String id, int attempt, Outcome outcome, Reason reason, double wait) {
    attemptOver(id, attempt, outcome, reason, wait, null);
  }

  /**
   * An attempt is over, and figures came with its end.
   *
   * @param told the figures, as they came; null: those last held of the exchange
   */
  public void attemptOver(
      String id, int attempt, Outcome outcome, Reason reason, double wait, Load told) {
    HeldCall held = calls.get(id);
    if (held == null || held.current() == null || held.current().number != attempt) {
      return;
    }
    if (held.standing()) {
      signalling.releaseCaller(id, outcome != Outcome.DONE);
    }
    over(held, outcome, reason, wait, told);
  }

  private void over(HeldCall held, Outcome wire, Reason reason, double wait, Load told) {
    HeldCall.Attempt out = held.current();
    Outcome outcome = outcome(out, wire);
    boolean own = outcome != wire;
    double spent = clock.now() - out.sent;
    out.stopLimit();
    held.attemptOver(unsure(outcome), own ? Reason.NONE : reason, clock.now());
    journal.over(held, out.number, outcome, own ? Reason.NONE : reason, spent);
    AttemptEnded ended =
        new AttemptEnded(
            held.call().id(),
            out.number,
            out.first.id(),
            outcome,
            own ? Reason.NONE : reason,
            own ? 0 : wait,
            spent,
            held.answered(),
            told == null ? load(out.first) : told);
    letGo(held);
    tell(p -> p.onAttemptEnded(clock.now(), ended));
  }

  /**
   * An attempt that this controller called off counts as such whatever came last, so that the
   * release guard is kept after a refusal that crossed the CANCEL.
   */
  private static Outcome outcome(HeldCall.Attempt out, Outcome wire) {
    return switch (out.ending) {
      case OPEN -> wire;
      case TIMED_OUT -> Outcome.TIMED_OUT;
      case CANCELLED -> Outcome.CANCELLED;
    };
  }

  private static boolean unsure(Outcome outcome) {
    return outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED;
  }

  private Load load(ExchangeList.Entry exchange) {
    return reports.load(exchange.id(), groups.toward(exchange.number()), clock.now());
  }

  private void timedOut(HeldCall held, HeldCall.Attempt out) {
    if (held.current() == out && out.ending == HeldCall.Ending.OPEN && !held.standing()) {
      out.ending = HeldCall.Ending.TIMED_OUT;
      signalling.cancelAttempt(held.call().id(), out.number);
    }
  }

  // ---- News ---------------------------------------------------------------------------------

  /** The list sent news; whether it must be asked for whole, as something is missing. */
  public boolean listNews(ExchangeList.News news) {
    ExchangeList.Taken taken = list.take(news, clock.now());
    if (taken == ExchangeList.Taken.CHANGED) {
      List<CallPolicy.Exchange> entries = new ArrayList<>();
      news.entries().forEach(entry -> entries.add(entry.forPolicy()));
      tell(p -> p.onDirectoryUpdate(clock.now(), new DirectoryUpdate(false, news.full(), entries)));
      retellCircuits(news.entries());
    }
    return taken == ExchangeList.Taken.GAP;
  }

  /** Groups may be told before the list names the exchange at their other end. */
  private void retellCircuits(List<ExchangeList.Entry> entries) {
    for (ExchangeList.Entry entry : entries) {
      if (groups.toward(entry.number()) != null && list.byId(entry.id()) != null) {
        tell(p -> p.onLoadReport(clock.now(), new LoadReport(entry.id(), true, 0, load(entry))));
      }
    }
  }

  /** The list could not be had; the old one stays. */
  public void listFailed() {
    tell(p -> p.onDirectoryUpdate(clock.now(), new DirectoryUpdate(true, false, List.of())));
  }

  /** The own switch told the free circuits of a group. */
  public void circuits(int number, int free, int size, long version) {
    ExchangeList.Entry far = list.byNumber(number);
    if (groups.take(number, free, size, version) && far != null) {
      tell(p -> p.onLoadReport(clock.now(), new LoadReport(far.id(), true, 0, load(far))));
    }
  }

  /** An exchange told figures unasked, those of the group toward it among them. */
  public void figures(String exchange, Load told) {
    if (list.byId(exchange) != null) {
      tell(p -> p.onLoadReport(clock.now(), new LoadReport(exchange, true, 0, told)));
    }
  }

  /** Load figures came with an answer of an exchange. */
  public void loadReport(String exchange, LoadReports.Report report) {
    reports.take(exchange, report);
  }

  /** A probe was answered, or was not. */
  public void probed(String exchange, boolean good, double askedAt) {
    ExchangeList.Entry entry = list.byId(exchange);
    if (entry != null) {
      LoadReport report = new LoadReport(exchange, good, clock.now() - askedAt, load(entry));
      tell(p -> p.onLoadReport(clock.now(), report));
    }
  }

  /** A message from another controller came. */
  public void peer(int from, byte[] payload) {
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
    for (HeldCall held : new ArrayList<>(calls.values())) {
      if (!held.answered()) {
        finalAnswer(held, new FinalAnswer(atTheEnd(held), 0, Reason.NONE));
        tell(p -> p.onCallerAbandoned(clock.now(), held.call().id()));
      }
    }
  }

  /** A call that may have run, of a class that is not simply repeated, has failed. */
  private FinalAnswer.Kind atTheEnd(HeldCall held) {
    boolean harmless =
        held.attempts() == 0 || settings.classes().get(held.call().type()).repeatAnywhere();
    return harmless ? FinalAnswer.Kind.SHUT_DOWN : FinalAnswer.Kind.FAILED;
  }

  /** Ends the calls that stand, from both sides. */
  public void releaseStanding() {
    for (HeldCall held : new ArrayList<>(calls.values())) {
      if (held.standing() && held.current() != null) {
        signalling.releaseAttempt(held.call().id(), held.current().number);
        signalling.releaseCaller(held.call().id(), true);
        over(held, Outcome.CANCELLED, Reason.NONE, 0, null);
      }
    }
  }

  /** Attempts that are out, calls already answered included. */
  public long outstanding() {
    return calls.values().stream().filter(c -> c.current() != null && !c.standing()).count();
  }

  // ---- What the policy asks for -------------------------------------------------------------

  /** Carries out the policy's actions. */
  private final class Deeds implements CallPolicy.Actions {

    @Override
    public void send(String id, String exchange, double within) {
      HeldCall held = calls.get(id);
      ExchangeList.Entry first = list.byId(exchange);
      if (held == null) {
        return;
      }
      int number = held.nextAttempt();
      if (first == null || !guard.permits(held, list.closedSince(exchange), clock.now())) {
        skipped(held, number, exchange);
        return;
      }
      HeldCall.Attempt out = new HeldCall.Attempt(number, first, clock.now());
      held.begin(out);
      out.limit = clock.after(Math.max(0, within), () -> timedOut(held, out));
      ExchangeList.Entry destination = list.byNumber(held.call().destination());
      AttemptOrder order =
          new AttemptOrder(id, number, first, destination, held.call().number(), within);
      journal.sent(held, order);
      signalling.startAttempt(order);
    }

    private void skipped(HeldCall held, int number, String exchange) {
      AttemptEnded ended =
          new AttemptEnded(
              held.call().id(),
              number,
              exchange,
              Outcome.SKIPPED,
              Reason.NONE,
              0,
              0,
              held.answered(),
              Load.UNKNOWN);
      journal.over(held, number, Outcome.SKIPPED, Reason.NONE, 0);
      tell(p -> p.onAttemptEnded(clock.now(), ended));
    }

    @Override
    public void cancel(String id, int attempt) {
      HeldCall held = calls.get(id);
      if (held != null && held.current() != null && held.current().number == attempt) {
        if (!held.standing()) {
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
      HeldCall held = calls.get(id);
      if (held != null && !held.answered()) {
        finalAnswer(held, new FinalAnswer(kind, comeBack, held.lastReason()));
      }
    }

    @Override
    public void startTimer(double delay, long label) {
      clock.after(delay, () -> tell(p -> p.onTimer(clock.now(), label)));
    }

    @Override
    public void probe(String exchange) {
      ExchangeList.Entry entry = list.byId(exchange);
      if (entry != null) {
        signalling.probe(entry, clock.now());
      }
    }

    @Override
    public void broadcast(byte[] payload) {
      signalling.tell(payload.clone());
    }

    private void tell(Consumer<CallPolicy> event) {
      CallController.this.tell(event);
    }

    @Override
    public void subscribeToDirectory() {
      signalling.subscribeList();
    }
  }
}
