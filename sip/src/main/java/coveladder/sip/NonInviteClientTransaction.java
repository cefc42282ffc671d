package coveladder.sip;

/** The non-INVITE client transaction: RFC 3261 figure 6. */
public final class NonInviteClientTransaction extends ClientTransaction {

  /** States of RFC 3261 figure 6. */
  enum State {
    TRYING,
    PROCEEDING,
    COMPLETED,
    TERMINATED
  }

  private State state = State.TRYING;
  private SipHost.Timer timerE;
  private SipHost.Timer timerF;
  private double retransmitIntervalMillis;

  NonInviteClientTransaction(
      TransactionLayer layer, SipRequest request, Hop hop, Listener listener) {
    super(layer, request, hop, listener);
  }

  @Override
  void start() {
    transmit();
    retransmitIntervalMillis = timing.t1();
    if (!isReliable()) {
      timerE = schedule(retransmitIntervalMillis, this::retransmit);
    }
    timerF = schedule(timing.transactionTimeout(), this::timeOut);
  }

  private void retransmit() {
    if (state == State.TRYING || state == State.PROCEEDING) {
      transmit();
      retransmitIntervalMillis =
          state == State.PROCEEDING
              ? timing.t2()
              : Math.min(2 * retransmitIntervalMillis, timing.t2());
      timerE = schedule(retransmitIntervalMillis, this::retransmit);
    }
  }

  @Override
  void receive(SipResponse response) {
    if (state != State.TRYING && state != State.PROCEEDING) {
      return;
    }
    if (response.isProvisional()) {
      state = State.PROCEEDING;
    } else {
      state = State.COMPLETED;
      cancelTimer(timerE);
      cancelTimer(timerF);
      schedule(isReliable() ? 0 : timing.t4(), this::finish);
    }
    notifyListener(response);
  }

  @Override
  boolean isAwaitingFinalResponse() {
    return state == State.TRYING || state == State.PROCEEDING;
  }

  @Override
  void enterTerminatedState() {
    state = State.TERMINATED;
  }

  @Override
  void stopTimers() {
    cancelTimer(timerE);
    cancelTimer(timerF);
  }
}
