package coveladder.sip;

/**
 * The INVITE server transaction: RFC 3261 figure 7, with the Accepted state of RFC 6026 section
 * 8.5.
 */
public final class InviteServerTransaction extends ServerTransaction {
  /** A 100 is sent automatically after this delay (RFC 3261 section 17.2.1). */
  private static final double TRYING_DELAY_MILLIS = 200;

  /** States of RFC 3261 figure 7 and RFC 6026. */
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
  private SipHost.Timer tryingTimer;
  private double retransmitIntervalMillis;
  private Runnable onRetransmission;

  InviteServerTransaction(
      TransactionLayer layer, SipRequest request, Hop source, double arrivalMillis) {
    super(layer, request, source, arrivalMillis);
    tryingTimer = schedule(TRYING_DELAY_MILLIS, this::sendTrying);
  }

  /** Suppresses the automatic 100: the caller may have received a response before a restart. */
  void suppressTrying() {
    tryingTimer.cancel();
  }

  /**
   * Resumes a transaction whose 2xx was acknowledged before a restart: INVITE retransmissions are
   * absorbed.
   */
  void resumeAccepted() {
    state = State.ACCEPTED;
    schedule(timing.transactionTimeout(), this::finish);
  }

  /** Ends without a response: the caller already has one, or has disconnected. */
  void abandon() {
    if (state == State.PROCEEDING) {
      tryingTimer.cancel();
      finish();
    }
  }

  private void sendTrying() {
    if (state == State.PROCEEDING && !provisionalSent) {
      respond(request().response(100));
    }
  }

  @Override
  public void respond(SipResponse response) {
    if (state == State.PROCEEDING) {
      provisionalSent = true;
      tryingTimer.cancel();
      if (response.isSuccess()) {
        state = State.ACCEPTED;
        schedule(timing.transactionTimeout(), this::finish);
      } else if (!response.isProvisional()) {
        state = State.COMPLETED;
        retransmitIntervalMillis = timing.t1();
        timerG = isReliable() ? null : schedule(retransmitIntervalMillis, this::retransmit);
        timerH = schedule(timing.transactionTimeout(), this::finish);
      }
      transmit(response);
    } else if (state == State.ACCEPTED && response.isSuccess()) {
      transmit(response);
    }
  }

  private void retransmit() {
    if (state == State.COMPLETED) {
      retransmitLastResponse();
      retransmitIntervalMillis = Math.min(2 * retransmitIntervalMillis, timing.t2());
      timerG = schedule(retransmitIntervalMillis, this::retransmit);
    }
  }

  @Override
  public boolean hasFinalResponse() {
    return state != State.PROCEEDING;
  }

  /** Sets a task to run when the INVITE is retransmitted before any response was sent. */
  void onRetransmission(Runnable task) {
    onRetransmission = task;
  }

  @Override
  void requestRetransmitted() {
    if (state == State.PROCEEDING && !provisionalSent && onRetransmission != null) {
      onRetransmission.run();
    }
    if (state == State.PROCEEDING || state == State.COMPLETED) {
      retransmitLastResponse();
    }
  }

  /** Handles an ACK with this branch; returns whether this transaction absorbs it. */
  boolean receiveAck() {
    if (state == State.COMPLETED) {
      state = State.CONFIRMED;
      ClientTransaction.cancelTimer(timerG);
      ClientTransaction.cancelTimer(timerH);
      schedule(isReliable() ? 0 : timing.t4(), this::finish);
    }
    return state != State.ACCEPTED;
  }

  private void finish() {
    if (state != State.TERMINATED) {
      state = State.TERMINATED;
      ClientTransaction.cancelTimer(timerG);
      ClientTransaction.cancelTimer(timerH);
      layer.transactionTerminated(this);
    }
  }
}
