package coveladder.core.recovery;

import coveladder.CallPolicy.Reason;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.recovery.SavedCall.Phase;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Goes on after a restart with what the store held. Calls that stand are held again at once, which
 * sends nothing; set-ups that were cut short are called off and their callers answered; answers on
 * their way are sent once more. All that sends keeps to a pace.
 */
public final class Recovery {
  private static final int ASKED_MOST = 3;
  private static final double ASK_AGAIN = 5_000;

  private final CallController controller;
  private final WriteAheadSignalling writeAhead;
  private final CallStore store;
  private final CallLegs legs;
  private final Scheduler clock;
  private final RecoveryRate pace;
  private final double unsureFor;
  private final ArrayDeque<CutShort> urgent = new ArrayDeque<>();
  private final ArrayDeque<Question> standing = new ArrayDeque<>();
  private final Set<String> over = new HashSet<>();
  private final Map<Phase, Integer> counts = new HashMap<>();
  private boolean behind;
  private int life;
  private double begun;
  private int outstanding;
  private int unsettled;
  private int damagedRecords;
  private int answeredCallers;
  private int releasedCalls;

  /** A call whose caller waits, or may. */
  private static final class CutShort {
    private SavedCall saved;
    private boolean answering;

    CutShort(SavedCall saved) {
      this.saved = saved;
    }
  }

  /** An end of a call that is to be asked after, and how often it was. */
  private record Question(String call, boolean ofCaller, int asked) {}

  /**
   * Makes it; nothing happens before {@link #start}.
   *
   * @param unsureFor how long INVITEs of before can come again after a start, ms (64*T1)
   */
  public Recovery(
      CallController controller,
      WriteAheadSignalling writeAhead,
      CallStore store,
      CallLegs legs,
      Scheduler clock,
      RecoveryRate pace,
      double unsureFor) {
    this.controller = controller;
    this.writeAhead = writeAhead;
    this.store = store;
    this.legs = legs;
    this.clock = clock;
    this.pace = pace;
    this.unsureFor = unsureFor;
  }

  /** Holds again what stood and begins to end the rest. Before the controller takes new calls. */
  public void start() {
    begun = clock.now();
    CallStore.Contents found = store.initialContents();
    damagedRecords = found.damagedRecords().size();
    behind = found.outOfDate();
    life = found.incarnation();
    for (SavedCall saved : found.calls()) {
      counts.merge(saved.phase(), 1, Integer::sum);
      if (saved.phase() == Phase.STANDS) {
        resume(saved);
      } else {
        expect(saved);
      }
    }
    if (behind) {
      clock.schedule(unsureFor, store::markUpToDate);
    }
    clock.schedule(0, this::nextUrgent);
    clock.schedule(pace.firstAfter(), this::nextStanding);
  }

  private void resume(SavedCall saved) {
    writeAhead.adopt(saved);
    controller.resume(saved.call(), saved.attempt(), saved.exchange());
    legs.resume(saved, waitsStill(saved), life);
    standing.add(new Question(saved.id(), true, 0));
    standing.add(new Question(saved.id(), false, 0));
    unsettled += 2;
  }

  /** However many wait, each caller is known from the first moment: its repeat is no new call. */
  private void expect(SavedCall saved) {
    CutShort waiting = new CutShort(behind ? saved.withoutDeadline() : saved);
    if (behind) {
      store.put(waiting.saved);
    }
    legs.restoreCallerLeg(saved, answer -> calledOff(waiting, answer), () -> asksAgain(waiting));
    urgent.add(waiting);
  }

  /** The caller calls off; one that has its answer, or is getting it, gets no other. */
  private void calledOff(CutShort waiting, Runnable answer) {
    if (waiting.saved.hasAnswer() && !waiting.answering) {
      legs.resendFinalAnswer(waiting.saved);
    } else if (!waiting.saved.hasAnswer() && !waiting.saved.isCancelled()) {
      waiting.saved = waiting.saved.cancelled();
      keepThen(waiting.saved, answer);
    }
  }

  /** Out of date as its record may be, a caller that asks again has no answer. */
  private void asksAgain(CutShort waiting) {
    if (waiting.saved.deadline() == 0 && !waiting.saved.hasAnswer()) {
      giveUp(waiting);
    }
  }

  /** Keeps a call that may have been forgotten meanwhile only until its answer has left. */
  private void keepThen(SavedCall saved, Runnable answer) {
    if (over.contains(saved.id())) {
      answer.run();
    } else {
      store.put(saved);
      store.sync(safe -> answer.run());
    }
  }

  private double gap() {
    ExchangeDirectory.Entry own =
        controller.directory().byNumber(controller.settings().localExchange());
    return pace.gap(clock.now(), own == null ? 0 : own.startedAt());
  }

  // ---- Set-ups cut short, answers on their way ------------------------------------------------

  /** Set-ups cut short and answers on their way come first: their callers wait. */
  private void nextUrgent() {
    CutShort next = urgent.poll();
    if (next == null) {
      return;
    }
    if (next.saved.attempt() == SavedCall.NONE) {
      answerAgain(next.saved);
      store.remove(next.saved.id());
    } else {
      cutShort(next);
    }
    clock.schedule(gap(), this::nextUrgent);
  }

  /**
   * The attempt may or may not have left: it is called off as if it had. The caller is answered at
   * once, if it is known to wait still; no second attempt is made for it, so none can be out beside
   * the first. It stays in the store until the attempt is known to be over, for a crash meanwhile,
   * and so does its answer: the next life must not give another.
   */
  private void cutShort(CutShort waiting) {
    outstanding++;
    SavedCall saved = waiting.saved;
    legs.cancelAfterRestart(saved, () -> attemptOver(saved.id()));
    if (saved.hasAnswer()) {
      answerAgain(saved);
    } else if (saved.isCancelled()) {
      legs.answerCancelled(saved);
    } else if (waitsStill(saved)) {
      giveUp(waiting);
    }
  }

  private void giveUp(CutShort waiting) {
    answeredCallers++;
    FinalAnswer answer = new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE);
    waiting.answering = true;
    waiting.saved = waiting.saved.answered(legs.encodeInterruptedAnswer(waiting.saved, answer));
    keepThen(waiting.saved, () -> legs.resendFinalAnswer(waiting.saved));
  }

  /** An answer that may not have left leaves late nowhere: a caller that had it needs no other. */
  private void answerAgain(SavedCall saved) {
    if (waitsStill(saved)) {
      legs.resendFinalAnswer(saved);
    }
  }

  /**
   * Only a caller that waits still may get an answer: one that left would get it late. Whether it
   * had a 2xx that was about to leave is found by asking after the call.
   *
   * <p>A store that is behind may call a set-up what has been answered since: a second answer must
   * not go out, nor after the next crash, when the store is in step again. A deadline further away
   * than the whole patience says that the clock was set back.
   */
  private boolean waitsStill(SavedCall saved) {
    long left = saved.deadline() - legs.wallClockMillis();
    return !behind && left > 0 && left <= saved.call().patience() + 1;
  }

  private void attemptOver(String id) {
    outstanding--;
    over.add(id);
    store.remove(id);
  }

  // ---- Calls that stand -----------------------------------------------------------------------

  /** Asks after calls that stood, one by one: their ends may have left while nobody listened. */
  private void nextStanding() {
    Question next = standing.poll();
    if (next != null) {
      ask(next);
      clock.schedule((urgent.isEmpty() ? 1 : 2) * gap() / 2, this::nextStanding);
    }
  }

  private void ask(Question question) {
    if (controller.call(question.call()) == null) {
      unsettled--;
    } else {
      legs.verify(question.call(), question.ofCaller(), held -> told(question, held));
    }
  }

  private void told(Question question, CallLegs.LegStatus held) {
    boolean isOver = controller.call(question.call()) == null;
    boolean again = held == CallLegs.LegStatus.UNKNOWN && question.asked() + 1 < ASKED_MOST;
    if (isOver || held == CallLegs.LegStatus.ACTIVE) {
      unsettled--;
    } else if (again) {
      Question next = new Question(question.call(), question.ofCaller(), question.asked() + 1);
      clock.schedule(ASK_AGAIN * next.asked(), () -> ask(next));
    } else {
      unsettled--;
      releasedCalls++;
      legs.releaseLost(question.call(), question.ofCaller());
    }
  }

  // ---- Figures --------------------------------------------------------------------------------

  /**
   * Whether a call that comes may be one of before that was not kept, with an attempt out. The
   * store stays marked as behind for that long, so that a crash meanwhile changes nothing of it.
   */
  public boolean mayMissPendingCalls() {
    return behind && clock.now() < begun + unsureFor;
  }

  /** Calls found in a phase. */
  public int recoveredIn(Phase phase) {
    return counts.getOrDefault(phase, 0);
  }

  /** Records that could not be read and were set aside. */
  public int damagedRecords() {
    return damagedRecords;
  }

  /** Callers of set-ups cut short that were answered. */
  public int answeredCallers() {
    return answeredCallers;
  }

  /** Calls released because an end did not hold them any more. */
  public int releasedCalls() {
    return releasedCalls;
  }

  /** Whether all is done: nothing waits to be called off, answered or asked after. */
  public boolean isComplete() {
    return urgent.isEmpty() && unsettled == 0 && outstanding == 0;
  }
}
