package coveladder.sip;

/**
 * The INVITE client transaction: RFC 3261 figure 5, with the Accepted state of RFC 6026 section
 * 8.4.
 */
public final class InviteClientTransaction extends ClientTransaction {

  /** States of RFC 3261 figure 5 and RFC 6026. */
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
  private double retransmitIntervalMillis;
  private boolean cancelRequested;
  private boolean resumedAfterRestart;
  private String cancelReason;
  private SipRequest ack;

  InviteClientTransaction(TransactionLayer layer, SipRequest request, Hop hop, Listener listener) {
    super(layer, request, hop, listener);
  }

  @Override
  void start() {
    transmit();
    retransmitIntervalMillis = timing.t1();
    if (!isReliable()) {
      timerA = schedule(retransmitIntervalMillis, this::retransmit);
    }
    timerB = schedule(timing.transactionTimeout(), this::timeOut);
  }

  /**
   * Resumes, after a restart, an INVITE that may have been sent: it is cancelled at once and not
   * sent again. A 481 to the CANCEL, from a remote side that does not know the INVITE, also ends
   * the transaction.
   */
  void cancelAfterRestart(String reason) {
    state = State.PROCEEDING;
    cancelReason = reason;
    resumedAfterRestart = true;
    cancelRequested = true;
    sendCancel();
  }

  private void handleCancelResponse(SipResponse response) {
    if (resumedAfterRestart && response.status() == 481 && isAwaitingFinalResponse()) {
      finish();
      notifyListener(Failure.TIMED_OUT);
    }
  }

  /** Handles the response to the CANCEL. */
  private final class CancelResponseListener implements Listener {
    @Override
    public void response(SipResponse response) {
      handleCancelResponse(response);
    }

    @Override
    public void failed(Failure failure) {
      // The final response to the INVITE, or its timeout, decides the outcome.
    }
  }

  private void retransmit() {
    if (state == State.CALLING) {
      transmit();
      retransmitIntervalMillis *= 2;
      timerA = schedule(retransmitIntervalMillis, this::retransmit);
    }
  }

  @Override
  void receive(SipResponse response) {
    switch (state) {
      case CALLING, PROCEEDING -> receiveWhilePending(response);
      case COMPLETED -> {
        if (response.status() >= 300) {
          layer.host().send(hop(), ack.toBytes());
        }
      }
      case ACCEPTED -> {
        if (response.isSuccess()) {
          notifyListener(response);
        }
      }
      case TERMINATED -> {}
    }
  }

  private void receiveWhilePending(SipResponse response) {
    cancelTimer(timerA);
    if (response.isProvisional()) {
      if (state == State.CALLING) {
        state = State.PROCEEDING;
        cancelTimer(timerB);
        if (cancelRequested) {
          sendCancel();
        }
      }
    } else if (response.isSuccess()) {
      state = State.ACCEPTED;
      cancelTimer(timerB);
      schedule(timing.transactionTimeout(), this::finish);
    } else {
      state = State.COMPLETED;
      cancelTimer(timerB);
      ack = ackFor(response);
      layer.host().send(hop(), ack.toBytes());
      schedule(isReliable() ? 0 : timing.transactionTimeout(), this::finish);
    }
    notifyListener(response);
  }

  /**
   * Cancels the request. The CANCEL is sent only after the first provisional response (RFC 3261
   * section 9.1). The transaction then ends with a final response, or by timeout 64*T1 after the
   * CANCEL.
   *
   * @param reason value of a Reason header field (RFC 3326), or null
   */
  public void cancel(String reason) {
    if (!cancelRequested) {
      cancelRequested = true;
      cancelReason = reason;
      if (state == State.PROCEEDING) {
        sendCancel();
      }
    }
  }

  private void sendCancel() {
    SipRequest cancel = requestWithSameBranch("CANCEL");
    if (cancelReason != null) {
      cancel.add("Reason", cancelReason);
    }
    layer.sendCancel(cancel, hop(), new CancelResponseListener());
    timerB = schedule(timing.transactionTimeout(), this::timeOut);
  }

  /** Creates the ACK to a final response other than 2xx (RFC 3261 section 17.1.1.3). */
  private SipRequest ackFor(SipResponse response) {
    SipRequest ackRequest = requestWithSameBranch("ACK");
    ackRequest.set("To", response.header("To"));
    return ackRequest;
  }

  private SipRequest requestWithSameBranch(String method) {
    SipRequest invite = request();
    SipRequest request = new SipRequest(method, invite.uri());
    request.add("Via", invite.via().toString());
    request.add("Max-Forwards", "70");
    request.copyHeaders("Route", invite);
    request.copyHeaders("From", invite);
    request.copyHeaders("To", invite);
    request.copyHeaders("Call-ID", invite);
    request.add("CSeq", new CSeq(invite.cseq().number(), method).toString());
    return request;
  }

  @Override
  boolean isAwaitingFinalResponse() {
    return state == State.CALLING || state == State.PROCEEDING;
  }

  @Override
  void enterTerminatedState() {
    state = State.TERMINATED;
  }

  @Override
  void stopTimers() {
    cancelTimer(timerA);
    cancelTimer(timerB);
  }
}
