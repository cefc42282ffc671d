package coveladder.sip;

/**
 * The INVITE client transaction: RFC 3261 figure 5 with the Accepted state of RFC 6026 section 8.4.
 */
public final class InviteClientTransaction extends ClientTransaction {

  /** The states of the figure. */
  enum State {
    CALLING,
    PROCEEDING,
    COMPLETED,
    ACCEPTED,
    TERMINATED
  }

  private State state = State.CALLING;
  private SipHost.Timer timerA;
  private SipHost.Timer timerB;
  private double gap;
  private boolean cancelWanted;
  private boolean revived;
  private String cancelReason;
  private SipRequest ack;

  InviteClientTransaction(TransactionLayer layer, SipRequest request, Hop hop, Listener listener) {
    super(layer, request, hop, listener);
  }

  @Override
  void start() {
    transmit();
    gap = timing.t1();
    if (!reliable()) {
      timerA = after(gap, this::repeat);
    }
    timerB = after(timing.transactionTimeout(), this::timeOut);
  }

  /**
   * Goes on, after a restart, with an INVITE that may have left: it is not sent again, and called
   * off at once. That the other side does not know it (481 to the CANCEL) is an end as well.
   */
  void callOffRevived(String reason) {
    state = State.PROCEEDING;
    cancelReason = reason;
    revived = true;
    cancelWanted = true;
    sendCancel();
  }

  private void cancelAnswered(SipResponse response) {
    if (revived && response.status() == 481 && waits()) {
      finish();
      tell(Failure.TIMED_OUT);
    }
  }

  /** Hears what becomes of the CANCEL. */
  private final class CancelAnswers implements Listener {
    @Override
    public void response(SipResponse response) {
      cancelAnswered(response);
    }

    @Override
    public void failed(Failure failure) {
      // The INVITE's own end, or its timer, tells what is to be known.
    }
  }

  private void repeat() {
    if (state == State.CALLING) {
      transmit();
      gap *= 2;
      timerA = after(gap, this::repeat);
    }
  }

  @Override
  void receive(SipResponse response) {
    switch (state) {
      case CALLING, PROCEEDING -> first(response);
      case COMPLETED -> {
        if (response.status() >= 300) {
          layer.host().send(hop(), ack.toBytes());
        }
      }
      case ACCEPTED -> {
        if (response.isSuccess()) {
          tell(response);
        }
      }
      case TERMINATED -> {}
    }
  }

  private void first(SipResponse response) {
    stop(timerA);
    if (response.isProvisional()) {
      if (state == State.CALLING) {
        state = State.PROCEEDING;
        stop(timerB);
        if (cancelWanted) {
          sendCancel();
        }
      }
    } else if (response.isSuccess()) {
      state = State.ACCEPTED;
      stop(timerB);
      after(timing.transactionTimeout(), this::finish);
    } else {
      state = State.COMPLETED;
      stop(timerB);
      ack = ackTo(response);
      layer.host().send(hop(), ack.toBytes());
      after(reliable() ? 0 : timing.transactionTimeout(), this::finish);
    }
    tell(response);
  }

  /**
   * Calls the request off. The CANCEL waits for the first provisional answer (RFC 3261 section
   * 9.1); then the end is a final answer, or a time-out 64*T1 after the CANCEL.
   *
   * @param reason value of a Reason field (RFC 3326), or null
   */
  public void cancel(String reason) {
    if (!cancelWanted) {
      cancelWanted = true;
      cancelReason = reason;
      if (state == State.PROCEEDING) {
        sendCancel();
      }
    }
  }

  private void sendCancel() {
    SipRequest cancel = sameBranch("CANCEL");
    if (cancelReason != null) {
      cancel.add("Reason", cancelReason);
    }
    layer.sendCancel(cancel, hop(), new CancelAnswers());
    timerB = after(timing.transactionTimeout(), this::timeOut);
  }

  /** The ACK to a final answer other than 2xx (RFC 3261 section 17.1.1.3). */
  private SipRequest ackTo(SipResponse response) {
    SipRequest made = sameBranch("ACK");
    made.set("To", response.header("To"));
    return made;
  }

  private SipRequest sameBranch(String method) {
    SipRequest invite = request();
    SipRequest made = new SipRequest(method, invite.uri());
    made.add("Via", invite.via().toString());
    made.add("Max-Forwards", "70");
    made.copyHeaders("Route", invite);
    made.copyHeaders("From", invite);
    made.copyHeaders("To", invite);
    made.copyHeaders("Call-ID", invite);
    made.add("CSeq", new CSeq(invite.cseq().number(), method).toString());
    return made;
  }

  @Override
  boolean waits() {
    return state == State.CALLING || state == State.PROCEEDING;
  }

  @Override
  void terminate() {
    state = State.TERMINATED;
  }

  @Override
  void stopTimers() {
    stop(timerA);
    stop(timerB);
  }
}
