package coveladder.sip;

/** The non-INVITE client transaction: RFC 3261 figure 6. */
public final class NonInviteClientTransaction extends ClientTransaction {

  /** The states of the figure. */
  enum State {
    TRYING,
    PROCEEDING,
    COMPLETED,
    TERMINATED
  }

  private State state = State.TRYING;
  private SipHost.Timer timerE;
  private SipHost.Timer timerF;
  private double gap;

  NonInviteClientTransaction(
      TransactionLayer layer, SipRequest request, Hop hop, Listener listener) {
    super(layer, request, hop, listener);
  }

  @Override
  void start() {
    transmit();
    gap = timing.t1();
    if (!reliable()) {
      timerE = after(gap, this::repeat);
    }
    timerF = after(timing.transactionTimeout(), this::timeOut);
  }

  private void repeat() {
    if (state == State.TRYING || state == State.PROCEEDING) {
      transmit();
      gap = state == State.PROCEEDING ? timing.t2() : Math.min(2 * gap, timing.t2());
      timerE = after(gap, this::repeat);
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
      stop(timerE);
      stop(timerF);
      after(reliable() ? 0 : timing.t4(), this::finish);
    }
    tell(response);
  }

  @Override
  boolean waits() {
    return state == State.TRYING || state == State.PROCEEDING;
  }

  @Override
  void terminate() {
    state = State.TERMINATED;
  }

  @Override
  void stopTimers() {
    stop(timerE);
    stop(timerF);
  }
}
