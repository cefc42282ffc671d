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
 * Continues after a restart with the contents of the store. Established calls are restored at once,
 * which sends nothing, and verified later. Interrupted set-ups are cancelled and their callers
 * answered; final answers that may not have arrived are sent again. All sending is limited to the
 * recovery rate.
 */
public final class Recovery {
  private static final int MAX_REQUESTS_PER_END = 3;

  /** Delay of the first repeated request to an end, ms; each further one waits that much longer. */
  private static final double RETRY_BACKOFF_STEP_MILLIS = 5_000;

  private final CallController controller;
  private final WriteAheadSignalling signalling;
  private final CallStore store;
  private final CallLegs legs;
  private final Scheduler scheduler;
  private final RecoveryRate rate;
  private final double retransmissionWindowMillis;
  private final ArrayDeque<InterruptedCall> interruptedCalls = new ArrayDeque<>();
  private final ArrayDeque<Verification> verifications = new ArrayDeque<>();
  private final Set<String> endedCalls = new HashSet<>();
  private final Map<Phase, Integer> countsByPhase = new HashMap<>();
  private boolean outOfDate;
  private int incarnation;
  private double startedAt;
  private int outstandingCancels;
  private int unfinishedVerifications;
  private int damagedRecords;
  private int answeredCallers;
  private int releasedCalls;

  /** A call interrupted by the restart, whose caller waits for its final answer or may do so. */
  private static final class InterruptedCall {
    private SavedCall saved;

    /** Whether this run gave the final answer; it is sent already or about to be sent. */
    private boolean answerStarted;

    InterruptedCall(SavedCall saved) {
      this.saved = saved;
    }
  }

  /** A check whether a call still exists at one of its ends, with the requests sent so far. */
  private record Verification(String call, boolean callerSide, int requestsSent) {}

  /**
   * Creates a recovery, which does nothing before {@link #start}.
   *
   * @param retransmissionWindowMillis time after a start during which INVITEs sent before it can be
   *     retransmitted, ms (64*T1)
   */
  public Recovery(
      CallController controller,
      WriteAheadSignalling signalling,
      CallStore store,
      CallLegs legs,
      Scheduler scheduler,
      RecoveryRate rate,
      double retransmissionWindowMillis) {
    this.controller = controller;
    this.signalling = signalling;
    this.store = store;
    this.legs = legs;
    this.scheduler = scheduler;
    this.rate = rate;
    this.retransmissionWindowMillis = retransmissionWindowMillis;
  }

  /**
   * Restores the established calls and starts to end all others. Must run before the controller
   * accepts new calls.
   */
  public void start() {
    startedAt = scheduler.now();
    CallStore.Contents contents = store.initialContents();
    damagedRecords = contents.damagedRecords().size();
    outOfDate = contents.outOfDate();
    incarnation = contents.incarnation();
    for (SavedCall saved : contents.calls()) {
      countsByPhase.merge(saved.phase(), 1, Integer::sum);
      if (saved.phase() == Phase.STANDS) {
        resume(saved);
      } else {
        restoreInterrupted(saved);
      }
    }
    if (outOfDate) {
      scheduler.schedule(retransmissionWindowMillis, store::markUpToDate);
    }
    scheduler.schedule(0, this::processNextInterrupted);
    scheduler.schedule(rate.verifyDelayMillis(), this::verifyNext);
  }

  private void resume(SavedCall saved) {
    signalling.adopt(saved);
    controller.resume(saved.call(), saved.attempt(), saved.exchange());
    legs.resume(saved, isCallerWaiting(saved), incarnation);
    verifications.add(new Verification(saved.id(), true, 0));
    verifications.add(new Verification(saved.id(), false, 0));
    unfinishedVerifications += 2;
  }

  /**
   * Restores the caller's leg at once, so that no retransmitted INVITE counts as a new call. If the
   * store is out of date, the caller is recorded as not known to wait, see {@link
   * #isCallerWaiting}.
   */
  private void restoreInterrupted(SavedCall saved) {
    InterruptedCall interrupted = new InterruptedCall(outOfDate ? saved.withoutDeadline() : saved);
    if (outOfDate) {
      store.put(interrupted.saved);
    }
    legs.restoreCallerLeg(
        saved,
        sendAnswer -> callerCancelled(interrupted, sendAnswer),
        () -> inviteRetransmitted(interrupted));
    interruptedCalls.add(interrupted);
  }

  /**
   * Handles a CANCEL from the caller. A final answer stored before the restart is sent again; one
   * given by this run is not, as it is sent anyway. A caller without a final answer gets the answer
   * to its CANCEL, unless it has cancelled before.
   */
  private void callerCancelled(InterruptedCall interrupted, Runnable sendAnswer) {
    if (interrupted.saved.hasAnswer() && !interrupted.answerStarted) {
      legs.resendFinalAnswer(interrupted.saved);
    } else if (!interrupted.saved.hasAnswer() && !interrupted.saved.isCancelled()) {
      interrupted.saved = interrupted.saved.asCancelled();
      persistThen(interrupted.saved, sendAnswer);
    }
  }

  /**
   * Answers a caller that was not known to wait: since it retransmits its INVITE, it has no answer,
   * even if its record is out of date.
   */
  private void inviteRetransmitted(InterruptedCall interrupted) {
    if (interrupted.saved.deadline() == 0 && !interrupted.saved.hasAnswer()) {
      refuseInterrupted(interrupted);
    }
  }

  /** Persists a call before its answer is sent, unless it was removed from the store meanwhile. */
  private void persistThen(SavedCall saved, Runnable sendAnswer) {
    if (endedCalls.contains(saved.id())) {
      sendAnswer.run();
    } else {
      store.put(saved);
      store.sync(persisted -> sendAnswer.run());
    }
  }

  private double intervalMillis() {
    ExchangeDirectory.Entry local =
        controller.directory().byNumber(controller.settings().localExchange());
    return rate.intervalMillis(scheduler.now(), local == null ? 0 : local.startedAt());
  }

  // ---- Interrupted set-ups, answers in flight -------------------------------------------------

  /**
   * Ends one interrupted set-up or sends one answer again, and schedules the next. These have
   * priority over the verification of established calls, as their callers wait.
   */
  private void processNextInterrupted() {
    InterruptedCall next = interruptedCalls.poll();
    if (next == null) {
      return;
    }
    if (next.saved.attempt() == SavedCall.NONE) {
      resendIfWaiting(next.saved);
      store.remove(next.saved.id());
    } else {
      endInterrupted(next);
    }
    scheduler.schedule(intervalMillis(), this::processNextInterrupted);
  }

  /**
   * The attempt may or may not have been sent: it is cancelled as if it had. The caller is answered
   * at once if it is known to wait. No second attempt is made, so that two are never outstanding
   * together. The call and its answer stay in the store until the attempt is known to have ended:
   * after a crash in the meantime, the next run must not give another answer.
   */
  private void endInterrupted(InterruptedCall interrupted) {
    outstandingCancels++;
    SavedCall saved = interrupted.saved;
    legs.cancelAfterRestart(saved, () -> attemptEnded(saved.id()));
    if (saved.hasAnswer()) {
      resendIfWaiting(saved);
    } else if (saved.isCancelled()) {
      legs.answerCancelled(saved);
    } else if (isCallerWaiting(saved)) {
      refuseInterrupted(interrupted);
    }
  }

  private void refuseInterrupted(InterruptedCall interrupted) {
    answeredCallers++;
    FinalAnswer answer = new FinalAnswer(FinalAnswer.Kind.SHUT_DOWN, 0, Reason.NONE);
    interrupted.answerStarted = true;
    interrupted.saved =
        interrupted.saved.withAnswer(legs.encodeInterruptedAnswer(interrupted.saved, answer));
    persistThen(interrupted.saved, () -> legs.resendFinalAnswer(interrupted.saved));
  }

  /**
   * Sends a stored answer again, as it may not have been sent before the restart, but only to a
   * caller that is known to wait: one that already has the answer needs no other.
   */
  private void resendIfWaiting(SavedCall saved) {
    if (isCallerWaiting(saved)) {
      legs.resendFinalAnswer(saved);
    }
  }

  /**
   * Whether the caller is known to wait. Only then may it get an answer: one that has left would
   * get it late. Whether a 2xx that was about to be sent has arrived is found by verifying the
   * call.
   *
   * <p>A store that is out of date may record as a pending set-up a call that has been answered
   * since. It must not be answered a second time, neither now nor after the next crash, when the
   * store is up to date again. A deadline further away than the caller's whole patience, with 1 ms
   * for rounding, means that the clock was set back.
   */
  private boolean isCallerWaiting(SavedCall saved) {
    long patienceLeft = saved.deadline() - legs.persistentClockMillis();
    return !outOfDate && patienceLeft > 0 && patienceLeft <= saved.call().patience() + 1;
  }

  private void attemptEnded(String id) {
    outstandingCancels--;
    endedCalls.add(id);
    store.remove(id);
  }

  // ---- Established calls ----------------------------------------------------------------------

  /**
   * Verifies one end of the next established call: that end may have left while the controller was
   * down. As a call has two ends, the interval is half of that between calls; it is doubled while
   * interrupted calls remain, which have priority.
   */
  private void verifyNext() {
    Verification next = verifications.poll();
    if (next != null) {
      verify(next);
      scheduler.schedule(
          (interruptedCalls.isEmpty() ? 1 : 2) * intervalMillis() / 2, this::verifyNext);
    }
  }

  private void verify(Verification verification) {
    if (controller.call(verification.call()) == null) {
      unfinishedVerifications--;
    } else {
      legs.verify(
          verification.call(), verification.callerSide(), status -> verified(verification, status));
    }
  }

  private void verified(Verification verification, CallLegs.LegStatus status) {
    boolean ended = controller.call(verification.call()) == null;
    boolean retry =
        status == CallLegs.LegStatus.UNKNOWN
            && verification.requestsSent() + 1 < MAX_REQUESTS_PER_END;
    if (ended || status == CallLegs.LegStatus.ACTIVE) {
      unfinishedVerifications--;
    } else if (retry) {
      Verification next =
          new Verification(
              verification.call(), verification.callerSide(), verification.requestsSent() + 1);
      scheduler.schedule(RETRY_BACKOFF_STEP_MILLIS * next.requestsSent(), () -> verify(next));
    } else {
      unfinishedVerifications--;
      releasedCalls++;
      legs.releaseLost(verification.call(), verification.callerSide());
    }
  }

  // ---- Status ---------------------------------------------------------------------------------

  /**
   * Whether an arriving call may be one from before the restart that was not persisted and has an
   * outstanding attempt. The store stays marked as out of date for that long, so that a crash in
   * the meantime does not lose this knowledge.
   */
  public boolean newCallsMayPredateRestart() {
    return outOfDate && scheduler.now() < startedAt + retransmissionWindowMillis;
  }

  /** Number of calls that the store held in a phase. */
  public int recoveredCalls(Phase phase) {
    return countsByPhase.getOrDefault(phase, 0);
  }

  /** Number of records that could not be read and were set aside. */
  public int damagedRecords() {
    return damagedRecords;
  }

  /** Number of callers of interrupted set-ups that were answered. */
  public int answeredCallers() {
    return answeredCallers;
  }

  /** Number of calls released because they no longer existed at one end. */
  public int releasedCalls() {
    return releasedCalls;
  }

  /** Whether recovery is complete: no call waits to be cancelled, answered or verified. */
  public boolean isComplete() {
    return interruptedCalls.isEmpty() && unfinishedVerifications == 0 && outstandingCancels == 0;
  }
}
