package coveladder.core.recovery;

import coveladder.CallPolicy.Reason;
import coveladder.core.CallController;
import coveladder.core.Clockwork;
import coveladder.core.FinalAnswer;
import coveladder.core.recovery.SavedCall.Phase;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Goes on after a restart with what the store held. Calls that stand are held again at once, which
 * sends nothing; set-ups that were cut short are called off and their callers answered; answers on
 * their way are sent once more. All that sends keeps to a budget, so that controllers which come
 * back together do not push over a processor that has just started, and new calls keep their share.
 */
public final class Recovery {
  private final CallController controller;
  private final WriteAhead writeAhead;
  private final CallStore store;
  private final Legs legs;
  private final Clockwork clock;
  private final Budget budget;
  private final ArrayDeque<SavedCall> urgent = new ArrayDeque<>();
  private final ArrayDeque<String> standing = new ArrayDeque<>();
  private final Map<Phase, Integer> counts = new HashMap<>();
  private int outstanding;
  private int damaged;

  /**
   * How much recovery may send.
   *
   * @param perSecond calls a second that are called off, answered again or asked after
   * @param firstAfter time until the first is asked after, ms: peers come back too
   */
  public record Budget(double perSecond, double firstAfter) {
    /** Checks the figures. */
    public Budget {
      if (!(perSecond > 0) || !(firstAfter >= 0)) {
        throw new IllegalArgumentException(
            "unusable recovery budget " + perSecond + " a second after " + firstAfter + " ms");
      }
    }
  }

  /** Makes it; nothing happens before {@link #begin}. */
  public Recovery(
      CallController controller,
      WriteAhead writeAhead,
      CallStore store,
      Legs legs,
      Clockwork clock,
      Budget budget) {
    this.controller = controller;
    this.writeAhead = writeAhead;
    this.store = store;
    this.legs = legs;
    this.clock = clock;
    this.budget = budget;
  }

  /** Holds again what stood and begins to end the rest. Before the controller takes new calls. */
  public void begin() {
    CallStore.Found found = store.found();
    damaged = found.damaged().size();
    List<SavedCall> calls = found.calls();
    for (SavedCall saved : calls) {
      counts.merge(saved.phase(), 1, Integer::sum);
      if (saved.phase() == Phase.STANDS) {
        resume(saved);
      } else {
        urgent.add(saved);
      }
    }
    clock.after(0, this::nextUrgent);
    clock.after(budget.firstAfter(), this::nextStanding);
  }

  private void resume(SavedCall saved) {
    writeAhead.adopt(saved);
    controller.resume(saved.call(), saved.attempt(), saved.exchange());
    legs.resume(saved);
    standing.add(saved.id());
  }

  private double gap() {
    return 1000 / budget.perSecond();
  }

  /** Set-ups cut short and answers on their way come first: their callers wait. */
  private void nextUrgent() {
    SavedCall saved = urgent.poll();
    if (saved == null) {
      return;
    }
    if (saved.phase() == Phase.ANSWERED) {
      legs.answerAgain(saved);
      store.remove(saved.id());
    } else {
      cutShort(saved);
    }
    clock.after(gap(), this::nextUrgent);
  }

  /**
   * The attempt may or may not have left: it is called off as if it had. The caller is answered at
   * once, unless its time is up; no second attempt is made for it, so none can be out beside the
   * first. It stays in the store until the attempt is known to be over, for a crash meanwhile.
   */
  private void cutShort(SavedCall saved) {
    outstanding++;
    legs.callOff(saved, () -> calledOff(saved));
    if (legs.wallClock() < saved.deadline()) {
      FinalAnswer answer = new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE);
      legs.answerCutShort(saved, answer);
    }
  }

  private void calledOff(SavedCall saved) {
    outstanding--;
    store.remove(saved.id());
  }

  /** Asks after calls that stood, one by one: their ends may have left while nobody listened. */
  private void nextStanding() {
    String id = standing.poll();
    if (id != null) {
      if (controller.call(id) != null) {
        legs.verify(id);
      }
      clock.after(urgent.isEmpty() ? gap() : 2 * gap(), this::nextStanding);
    }
  }

  /** Calls found in a phase. */
  public int found(Phase phase) {
    return counts.getOrDefault(phase, 0);
  }

  /** Records that could not be read and were set aside. */
  public int damaged() {
    return damaged;
  }

  /** Whether all is done: nothing waits to be called off, answered or asked after. */
  public boolean done() {
    return urgent.isEmpty() && standing.isEmpty() && outstanding == 0;
  }
}
