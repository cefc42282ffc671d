package coveladder.sip;

/**
 * The INVITE server transaction: RFC 3261 figure 7 with the Accepted state of RFC 6026 section 8.5.
 */
public final class InviteServerTransaction extends ServerTransaction {
  /** A 100 goes out by itself after this, ms (RFC 3261 section 17.2.1). */
  private static final double TRYING_AFTER = 200;

  /** The states of the figure. */
  enum State {
    PROCEEDING,
    COMPLETED,
    CONFIRMED,
    ACCEPTED,
    TERMINATED
  }

  private State state = State.PROCEEDING;
  private boolean provisionalSent;
  private SipHost.Timer timerG;
  private SipHost.Timer timerH;
  private SipHost.Timer trying;
  private double gap;
  private Runnable whenRepeated;

  InviteServerTransaction(TransactionLayer layer, SipRequest request, Hop source, double arrived) {
    super(layer, request, source, arrived);
    trying = after(TRYING_AFTER, this::sayTrying);
  }

  /** Says nothing of itself: the caller may have had its answer before a restart. */
  void keepQuiet() {
    trying.cancel();
  }

  /** Its 2xx was sent and acknowledged before a restart: repeats of it are absorbed. */
  void takeAsAccepted() {
    state = State.ACCEPTED;
    after(timing.transactionTimeout(), this::finish);
  }

  /** Ends without any answer: the caller had one, or has left. */
  void abandon() {
    if (state == State.PROCEEDING) {
      trying.cancel();
      finish();
    }
  }

  private void sayTrying() {
    if (state == State.PROCEEDING && !provisionalSent) {
      respond(request().response(100));
    }
  }

  @Override
  public void respond(SipResponse response) {
    if (state == State.PROCEEDING) {
      provisionalSent = true;
      trying.cancel();
      if (response.isSuccess()) {
        state = State.ACCEPTED;
        after(timing.transactionTimeout(), this::finish);
      } else if (!response.isProvisional()) {
        state = State.COMPLETED;
        gap = timing.t1();
        timerG = reliable() ? null : after(gap, this::repeat);
        timerH = after(timing.transactionTimeout(), this::finish);
      }
      transmit(response);
    } else if (state == State.ACCEPTED && response.isSuccess()) {
      transmit(response);
    }
  }

  private void repeat() {
    if (state == State.COMPLETED) {
      transmitAgain();
      gap = Math.min(2 * gap, timing.t2());
      timerG = after(gap, this::repeat);
    }
  }

  @Override
  public boolean answered() {
    return state != State.PROCEEDING;
  }

  /** Runs a task when the INVITE comes again before anything was answered. */
  void whenRepeated(Runnable task) {
    whenRepeated = task;
  }

  @Override
  void repeated() {
    if (state == State.PROCEEDING && !provisionalSent && whenRepeated != null) {
      whenRepeated.run();
    }
    if (state == State.PROCEEDING || state == State.COMPLETED) {
      transmitAgain();
    }
  }

  /** An ACK with this branch came; whether it was for this transaction. */
  boolean acknowledged() {
    if (state == State.COMPLETED) {
      state = State.CONFIRMED;
      ClientTransaction.stop(timerG);
      ClientTransaction.stop(timerH);
      after(reliable() ? 0 : timing.t4(), this::finish);
    }
    return state != State.ACCEPTED;
  }

  private void finish() {
    if (state != State.TERMINATED) {
      state = State.TERMINATED;
      ClientTransaction.stop(timerG);
      ClientTransaction.stop(timerH);
      layer.over(this);
    }
  }
}
