package coveladder.sip;

/** The non-INVITE server transaction: RFC 3261 figure 8. */
public final class NonInviteServerTransaction extends ServerTransaction {

  /** States of RFC 3261 figure 8. */
  enum State {
    TRYING,
    PROCEEDING,
    COMPLETED,
    TERMINATED
  }

  private State state = State.TRYING;

  NonInviteServerTransaction(
      TransactionLayer layer, SipRequest request, Hop source, double arrivalMillis) {
    super(layer, request, source, arrivalMillis);
    schedule(timing.transactionTimeout(), this::expireUnanswered);
  }

  @Override
  public void respond(SipResponse response) {
    if (state == State.TRYING || state == State.PROCEEDING) {
      state = response.isProvisional() ? State.PROCEEDING : State.COMPLETED;
      transmit(response);
      if (state == State.COMPLETED) {
        schedule(isReliable() ? 0 : timing.transactionTimeout(), this::finish);
      }
    }
  }

  @Override
  public boolean hasFinalResponse() {
    return state == State.COMPLETED || state == State.TERMINATED;
  }

  @Override
  void requestRetransmitted() {
    if (state == State.PROCEEDING || state == State.COMPLETED) {
      retransmitLastResponse();
    }
  }

  /** Ends a transaction that its user never answers; the client has timed out by then. */
  private void expireUnanswered() {
    if (!hasFinalResponse()) {
      finish();
    }
  }

  private void finish() {
    if (state != State.TERMINATED) {
      state = State.TERMINATED;
      layer.transactionTerminated(this);
    }
  }
}
