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
 * Write-ahead logging between the core and the protocol front end: whatever must survive a restart
 * is durable before it is visible on the wire, a set-up before it is sent and a final answer before
 * the caller gets it. All other changes go to the store without waiting; docs/restart.md discusses
 * each crash point.
 *
 * <p>A failing disk does not stop calls: their actions proceed unpersisted and are counted.
 */
public final class WriteAheadSignalling implements Signalling {
  private final Signalling delegate;
  private final CallLegs legs;
  private final CallStore store;
  private final Scheduler scheduler;
  private final double answerRetentionMillis;
  private final Map<String, Entry> entries = new HashMap<>();
  private CallController controller;
  private long unpersistedActions;

  /** The stored record of a call, and which of its changes still wait for the disk. */
  private static final class Entry {
    private SavedCall saved;

    /** Number of the attempt that waits for the disk; -1 if there is none. */
    private int unsyncedAttempt = -1;

    /** Whether that attempt was cancelled while it waited. */
    private boolean attemptCancelled;

    /** Whether the controller no longer tracks the call. */
    private boolean callRemoved;

    Entry(SavedCall saved) {
      this.saved = saved;
    }
  }

  /**
   * Creates the write-ahead layer.
   *
   * @param delegate the protocol front end
   * @param legs encodes the legs of calls
   * @param store the persistent store of calls
   * @param answerRetentionMillis time for which a final answer other than 2xx is stored, for
   *     retransmissions of its INVITE, ms (64*T1)
   */
  public WriteAheadSignalling(
      Signalling delegate, CallLegs legs, CallStore store, double answerRetentionMillis) {
    this.delegate = delegate;
    this.legs = legs;
    this.store = store;
    this.scheduler = delegate.scheduler();
    this.answerRetentionMillis = answerRetentionMillis;
    store.onRecreated(this::rewriteAll);
  }

  /** Stores all records again after the store failed and was recreated. */
  private void rewriteAll() {
    entries.values().forEach(entry -> store.put(entry.saved));
  }

  /** Sets the controller, which is notified of attempts that were cancelled before being sent. */
  public void setController(CallController callController) {
    controller = callController;
  }

  /** Number of actions that proceeded although the disk had failed. */
  public long unpersistedActions() {
    return unpersistedActions;
  }

  /** Number of stored calls. */
  public int persistedCallCount() {
    return entries.size();
  }

  /** Takes over the record of a call that was found in the store and is tracked again. */
  void adopt(SavedCall saved) {
    entries.put(saved.id(), new Entry(saved));
  }

  // ---- Set-ups ------------------------------------------------------------------------------

  @Override
  public void startAttempt(AttemptRequest request) {
    TrackedCall tracked = controller.call(request.call());
    byte[] leg = legs.prepareAttempt(request);
    long deadline =
        legs.persistentClockMillis() + Math.round(tracked.patienceLeft(scheduler.now()));
    SavedCall saved =
        new SavedCall(
            tracked.call(),
            Phase.SETTING_UP,
            request.attempt(),
            request.nextExchange().id(),
            legs.encodeCallerLeg(request.call()),
            leg,
            new byte[0],
            deadline);
    Entry entry = entries.computeIfAbsent(request.call(), id -> new Entry(saved));
    entry.saved = saved;
    entry.unsyncedAttempt = request.attempt();
    entry.attemptCancelled = false;
    store.put(saved);
    afterSync(() -> startSyncedAttempt(request, entry));
  }

  /**
   * Runs the action once all changes so far are durable. If the disk failed, the action runs
   * unpersisted and is counted.
   */
  private void afterSync(Runnable action) {
    store.sync(
        persisted -> {
          unpersistedActions += persisted ? 0 : 1;
          action.run();
        });
  }

  private void startSyncedAttempt(AttemptRequest request, Entry entry) {
    entry.unsyncedAttempt = -1;
    if (entry.attemptCancelled) {
      controller.attemptEnded(request.call(), request.attempt(), Outcome.CANCELLED, Reason.NONE, 0);
    } else {
      delegate.startAttempt(request);
    }
  }

  @Override
  public void cancelAttempt(String call, int attempt) {
    Entry entry = entries.get(call);
    if (entry != null && entry.unsyncedAttempt == attempt) {
      entry.attemptCancelled = true;
    } else {
      delegate.cancelAttempt(call, attempt);
    }
  }

  // ---- Answers ------------------------------------------------------------------------------

  @Override
  public void answer(String call, FinalAnswer answer) {
    Entry entry = entries.get(call);
    if (entry == null) {
      delegate.answer(call, answer);
      return;
    }
    boolean established = answer.kind() == FinalAnswer.Kind.STANDS;
    SavedCall previous = entry.saved;
    if (established) {
      legs.prepareSuccess(call);
    }
    entry.saved =
        new SavedCall(
            previous.call(),
            established ? Phase.STANDS : Phase.ANSWERED,
            controller.call(call).hasAttempt() ? previous.attempt() : SavedCall.NONE,
            previous.exchange(),
            legs.encodeCallerLeg(call),
            established ? legs.encodeAttemptLeg(call) : previous.attemptLeg(),
            established ? new byte[0] : legs.encodeFinalAnswer(call, answer),
            previous.deadline());
    store.put(entry.saved);
    afterSync(() -> sendSyncedAnswer(call, answer));
  }

  private void sendSyncedAnswer(String call, FinalAnswer answer) {
    delegate.answer(call, answer);
    if (answer.kind() != FinalAnswer.Kind.STANDS) {
      scheduler.schedule(answerRetentionMillis, () -> remove(call));
    }
  }

  /**
   * The caller cancelled. The answer to that must be durable before it is sent, or the next run of
   * the controller would give another. If another answer waits for the disk already, that one is
   * sent instead.
   *
   * @param sendAnswer sends the answer to the cancel
   */
  public void callerCancelled(String call, Runnable sendAnswer) {
    Entry entry = entries.get(call);
    if (entry == null) {
      sendAnswer.run();
    } else if (entry.saved.phase() == Phase.SETTING_UP) {
      entry.saved = entry.saved.asCancelled();
      store.put(entry.saved);
      afterSync(sendAnswer);
    }
  }

  /** Stores a change of an established call, such as a new address, without waiting for a sync. */
  public void callChanged(String call) {
    Entry entry = entries.get(call);
    if (entry != null && entry.saved.phase() == Phase.STANDS) {
      SavedCall previous = entry.saved;
      entry.saved =
          new SavedCall(
              previous.call(),
              Phase.STANDS,
              previous.attempt(),
              previous.exchange(),
              legs.updateLeg(call, true, previous.callerLeg()),
              legs.updateLeg(call, false, previous.attemptLeg()),
              previous.answer(),
              previous.deadline());
      store.put(entry.saved);
    }
  }

  /**
   * The controller no longer tracks a call. Its record stays stored until both ends have answered
   * the release, so that after a crash recovery can ask an end that missed it. A crash that loses
   * the removal itself does no harm: recovery asks the ends of an established call and finds that
   * it is gone, and sends a final answer again unchanged.
   */
  public void callRemoved(String call) {
    Entry entry = entries.get(call);
    if (entry != null && entry.saved.phase() != Phase.ANSWERED) {
      entry.callRemoved = true;
      if (!legs.isReleasing(call)) {
        remove(call);
      }
    }
  }

  /** All ends to which the release was sent have answered, or never will. */
  public void releaseCompleted(String call) {
    Entry entry = entries.get(call);
    if (entry != null && entry.callRemoved) {
      remove(call);
    }
  }

  private void remove(String call) {
    if (entries.remove(call) != null) {
      store.remove(call);
    }
  }

  // ---- Passed on unchanged ------------------------------------------------------------------

  @Override
  public void releaseAttempt(String call, int attempt) {
    delegate.releaseAttempt(call, attempt);
  }

  @Override
  public void releaseCaller(String call, boolean disconnected) {
    delegate.releaseCaller(call, disconnected);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double sentAt) {
    delegate.probe(exchange, sentAt);
  }

  @Override
  public void broadcast(byte[] payload) {
    delegate.broadcast(payload);
  }

  @Override
  public void subscribeToDirectory() {
    delegate.subscribeToDirectory();
  }

  @Override
  public Scheduler scheduler() {
    return scheduler;
  }
}
