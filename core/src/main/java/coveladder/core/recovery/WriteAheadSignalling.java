package coveladder.core.recovery;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.Signalling;
import coveladder.core.TrackedCall;
import coveladder.core.recovery.SavedCall.Phase;
import java.util.HashMap;
import java.util.Map;

/**
 * Stands between the core and the front and sees that what must survive a restart is safe before it
 * shows on the wire: a set-up before it leaves, a final answer before the caller gets it. All other
 * changes go to the store without waiting; docs/restart.md argues each crash point.
 *
 * <p>A disk that fails does not stop calls: acts go on unkept, and are counted.
 */
public final class WriteAheadSignalling implements Signalling {
  private final Signalling front;
  private final CallLegs legs;
  private final CallStore store;
  private final Scheduler clock;
  private final double answeredKept;
  private final Map<String, Kept> kept = new HashMap<>();
  private CallController setController;
  private long unpersistedActions;

  /** What is kept of a call, and what of it still waits for the disk. */
  private static final class Kept {
    private SavedCall saved;
    private int waiting = -1;
    private boolean calledOff;
    private boolean ended;

    Kept(SavedCall saved) {
      this.saved = saved;
    }
  }

  /**
   * Makes it.
   *
   * @param answeredKept how long a final answer other than 2xx is kept, for repeats of its INVITE,
   *     ms (64*T1)
   */
  public WriteAheadSignalling(
      Signalling front, CallLegs legs, CallStore store, double answeredKept) {
    this.front = front;
    this.legs = legs;
    this.store = store;
    this.clock = front.scheduler();
    this.answeredKept = answeredKept;
    store.onRecreated(this::putAll);
  }

  /** The store failed and works again: all that is kept goes to it once more. */
  private void putAll() {
    kept.values().forEach(entry -> store.put(entry.saved));
  }

  /** Names the controller, which hears of attempts that were called off before they left. */
  public void setController(CallController driven) {
    setController = driven;
  }

  /** Acts that went on although the disk had failed. */
  public long unpersistedActions() {
    return unpersistedActions;
  }

  /** Calls kept. */
  public int persistedCallCount() {
    return kept.size();
  }

  /** A call that was found in the store and is held again. */
  void adopt(SavedCall saved) {
    kept.put(saved.id(), new Kept(saved));
  }

  // ---- Set-ups ------------------------------------------------------------------------------

  @Override
  public void startAttempt(AttemptRequest order) {
    TrackedCall held = setController.call(order.call());
    byte[] leg = legs.prepareAttempt(order);
    long deadline = legs.wallClockMillis() + Math.round(held.patienceLeft(clock.now()));
    SavedCall saved =
        new SavedCall(
            held.call(),
            Phase.SETTING_UP,
            order.attempt(),
            order.nextExchange().id(),
            legs.encodeCallerLeg(order.call()),
            leg,
            new byte[0],
            deadline);
    Kept entry = kept.computeIfAbsent(order.call(), id -> new Kept(saved));
    entry.saved = saved;
    entry.waiting = order.attempt();
    entry.calledOff = false;
    store.put(saved);
    whenSafe(() -> safeToStart(order, entry));
  }

  /** Acts once all that was put is safe, or cannot be made so, which is counted. */
  private void whenSafe(Runnable act) {
    store.sync(
        safe -> {
          unpersistedActions += safe ? 0 : 1;
          act.run();
        });
  }

  private void safeToStart(AttemptRequest order, Kept entry) {
    entry.waiting = -1;
    if (entry.calledOff) {
      setController.attemptEnded(order.call(), order.attempt(), Outcome.CANCELLED, Reason.NONE, 0);
    } else {
      front.startAttempt(order);
    }
  }

  @Override
  public void cancelAttempt(String call, int attempt) {
    Kept entry = kept.get(call);
    if (entry != null && entry.waiting == attempt) {
      entry.calledOff = true;
    } else {
      front.cancelAttempt(call, attempt);
    }
  }

  // ---- Answers ------------------------------------------------------------------------------

  @Override
  public void answer(String call, FinalAnswer answer) {
    Kept entry = kept.get(call);
    if (entry == null) {
      front.answer(call, answer);
      return;
    }
    boolean stands = answer.kind() == FinalAnswer.Kind.STANDS;
    SavedCall before = entry.saved;
    if (stands) {
      legs.prepareSuccess(call);
    }
    entry.saved =
        new SavedCall(
            before.call(),
            stands ? Phase.STANDS : Phase.ANSWERED,
            setController.call(call).hasAttempt() ? before.attempt() : SavedCall.NONE,
            before.exchange(),
            legs.encodeCallerLeg(call),
            stands ? legs.encodeAttemptLeg(call) : before.attemptLeg(),
            stands ? new byte[0] : legs.encodeFinalAnswer(call, answer),
            before.deadline());
    store.put(entry.saved);
    whenSafe(() -> safeToAnswer(call, answer));
  }

  private void safeToAnswer(String call, FinalAnswer answer) {
    front.answer(call, answer);
    if (answer.kind() != FinalAnswer.Kind.STANDS) {
      clock.schedule(answeredKept, () -> forget(call));
    }
  }

  /**
   * The caller called off: its answer to that must be safe before it leaves, or the next life would
   * give it another. Where another answer waits for the disk already, that one leaves instead.
   *
   * @param answer sends it
   */
  public void callerCancelled(String call, Runnable answer) {
    Kept entry = kept.get(call);
    if (entry == null) {
      answer.run();
    } else if (entry.saved.phase() == Phase.SETTING_UP) {
      entry.saved = entry.saved.cancelled();
      store.put(entry.saved);
      whenSafe(answer);
    }
  }

  /** Something of a call that stands has changed, such as an address; the store learns it late. */
  public void callChanged(String call) {
    Kept entry = kept.get(call);
    if (entry != null && entry.saved.phase() == Phase.STANDS) {
      SavedCall before = entry.saved;
      entry.saved =
          new SavedCall(
              before.call(),
              Phase.STANDS,
              before.attempt(),
              before.exchange(),
              legs.updateLeg(call, true, before.callerLeg()),
              legs.updateLeg(call, false, before.attemptLeg()),
              before.answer(),
              before.deadline());
      store.put(entry.saved);
    }
  }

  /**
   * A call is let go by the core. It is kept until its ends have answered to its release: one that
   * did not hear of it is found by asking after a crash. Lost in a crash, the removal leaves a call
   * that stood to be found gone by asking its ends, and an answer to be sent once more alike.
   */
  public void callRemoved(String call) {
    Kept entry = kept.get(call);
    if (entry != null && entry.saved.phase() != Phase.ANSWERED) {
      entry.ended = true;
      if (!legs.isReleasing(call)) {
        forget(call);
      }
    }
  }

  /** All ends that were told of a call's release have answered, or will not. */
  public void releaseCompleted(String call) {
    Kept entry = kept.get(call);
    if (entry != null && entry.ended) {
      forget(call);
    }
  }

  private void forget(String call) {
    if (kept.remove(call) != null) {
      store.remove(call);
    }
  }

  // ---- What passes --------------------------------------------------------------------------

  @Override
  public void releaseAttempt(String call, int attempt) {
    front.releaseAttempt(call, attempt);
  }

  @Override
  public void releaseCaller(String call, boolean cut) {
    front.releaseCaller(call, cut);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double askedAt) {
    front.probe(exchange, askedAt);
  }

  @Override
  public void broadcast(byte[] payload) {
    front.broadcast(payload);
  }

  @Override
  public void subscribeToDirectory() {
    front.subscribeToDirectory();
  }

  @Override
  public Scheduler scheduler() {
    return clock;
  }
}
