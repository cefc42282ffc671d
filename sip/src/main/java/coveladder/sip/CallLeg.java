package coveladder.sip;

/**
 * One INVITE dialog usage, as caller or callee (RFC 3261 sections 13 to 15), from the first INVITE
 * to the BYE. A method called in a state that does not allow it does nothing, because messages that
 * cross on the network can arrive in any order.
 */
public final class CallLeg {

  /** The state of the call on this leg. */
  public enum State {
    /** The INVITE was sent or received; no final response yet. */
    CALLING,
    /** Caller's side: cancelled; the final response is still awaited. */
    CANCELLING,
    /** A 2xx was sent or received; no ACK yet. */
    ANSWERED,
    /** The call is established. */
    CONFIRMED,
    /** The call has ended. */
    ENDED
  }

  private final UserAgent userAgent;
  private final boolean isCaller;
  private SipRequest invite;
  private final CallListener listener;
  private final String localTag;
  private State state = State.CALLING;
  private Dialog dialog;
  private InviteClientTransaction clientTransaction;
  private ServerTransaction serverTransaction;
  private SipRequest ack;
  private SipResponse okResponse;
  private SipHost.Timer retransmitTimer;
  private SipHost.Timer ackTimeoutTimer;
  private double retransmitIntervalMillis;
  private boolean releasing;

  /** Whether a re-INVITE from this side awaits its final response. */
  private boolean localReinvitePending;

  /** Whether a re-INVITE from the remote side is not answered yet. */
  private boolean remoteReinvitePending;

  /** The local re-INVITE whose ACK waits for the answer to the SDP offer in its 2xx; or null. */
  private ReinviteResponseListener reinviteAwaitingAck;

  /** The hop of the INVITE once its transaction is discarded or after a restart; otherwise null. */
  private Hop peerHop;

  /** The 2xx to a remote re-INVITE that is retransmitted until its ACK arrives; or null. */
  private ReinviteOkRetransmitter unacknowledgedReinviteOk;

  /** Creates the caller's side; {@link #sendInvite} sends the INVITE. */
  CallLeg(UserAgent userAgent, SipRequest invite, CallListener listener) {
    this.userAgent = userAgent;
    this.isCaller = true;
    this.invite = invite;
    this.listener = listener;
    this.localTag = invite.fromTag();
  }

  /** Creates the callee's side. */
  CallLeg(
      UserAgent userAgent,
      ServerTransaction serverTransaction,
      String localTag,
      CallListener listener) {
    this.userAgent = userAgent;
    this.isCaller = false;
    this.invite = serverTransaction.request();
    this.serverTransaction = serverTransaction;
    this.listener = listener;
    this.localTag = localTag;
  }

  /** Resumes, as caller, a call that was established before a restart. */
  void resume(Hop hop, SipResponse okResponse, Dialog.State stored) {
    peerHop = hop;
    replaceDialog(Dialog.ofCaller(invite, okResponse));
    dialog.resume(stored);
    state = State.CONFIRMED;
  }

  /**
   * Resumes, as callee, a call that was answered before a restart.
   *
   * @param okResponse the 2xx, retransmitted until its ACK arrives; null if the ACK had arrived
   *     before the restart
   */
  void resume(String toHeader, SipResponse okResponse, Dialog.State stored) {
    peerHop = serverTransaction.source();
    replaceDialog(Dialog.ofCallee(invite, toHeader, userAgent.contact(peerHop)));
    if (okResponse == null) {
      state = State.CONFIRMED;
    } else {
      accept(okResponse);
    }
    dialog.resume(stored);
  }

  /** Acknowledges a 2xx received after its transaction ended: the remote side missed the ACK. */
  void handleRetransmittedOk(SipResponse response) {
    if (isCaller && state == State.CONFIRMED) {
      userAgent.sendAck(dialog.ack(response.cseq().number()), dialog.hop());
    }
  }

  /** The local tag of this leg. */
  public String localTag() {
    return localTag;
  }

  /** The part of the dialog that changes; null before the dialog exists. */
  public Dialog.State dialogState() {
    return dialog == null ? null : dialog.state();
  }

  /**
   * The initial INVITE; null once the call is established and the transaction has ended, when the
   * INVITE can no longer be retransmitted.
   */
  public SipRequest invite() {
    return invite;
  }

  /** The state of the call on this leg. */
  public State state() {
    return state;
  }

  /** The hop that the INVITE was sent to or received from. */
  public Hop hop() {
    if (peerHop != null) {
      return peerHop;
    }
    return isCaller ? clientTransaction.hop() : serverTransaction.source();
  }

  /**
   * Drops the messages and timers of the INVITE once its transaction has ended. Nothing can refer
   * to them any more, so an established call keeps only its dialog.
   */
  private void discardInviteTransaction() {
    if (state == State.CONFIRMED) {
      peerHop = hop();
      invite = null;
      clientTransaction = null;
      serverTransaction = null;
      ack = null;
      okResponse = null;
      retransmitTimer = null;
      ackTimeoutTimer = null;
    }
  }

  /** The local Contact of this leg. */
  public String contact() {
    return userAgent.contact(hop());
  }

  /** Time since the INVITE arrived at this host, in milliseconds. */
  public double millisSinceInvite(double nowMillis) {
    return nowMillis - serverTransaction.arrivalMillis();
  }

  /** Whether this side is the caller and still awaits the final response to its INVITE. */
  public boolean isOutstanding() {
    return isCaller && (state == State.CALLING || state == State.CANCELLING);
  }

  // ---- Caller's side ------------------------------------------------------------------------

  void prepare(Hop hop) {
    clientTransaction =
        (InviteClientTransaction)
            userAgent.transactionLayer().prepare(invite, hop, new InviteResponseListener());
  }

  /** Sends the INVITE of a leg created by {@link UserAgent#prepare}. */
  public void sendInvite() {
    userAgent.transactionLayer().begin(clientTransaction);
  }

  /** Handles the responses to the initial INVITE. */
  private final class InviteResponseListener implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      listener.responseReceived(CallLeg.this, response);
      if (response.isProvisional()) {
        handleProvisional(response);
      } else if (response.isSuccess()) {
        handleSuccess(response);
      } else if (isOutstanding()) {
        end();
        listener.rejected(CallLeg.this, response);
      }
    }

    @Override
    public void failed(Failure failure) {
      if (isOutstanding()) {
        end();
        listener.failed(CallLeg.this, failure);
      }
    }

    @Override
    public void terminated() {
      discardInviteTransaction();
    }
  }

  private void handleProvisional(SipResponse response) {
    if (response.status() > 100 && state == State.CALLING) {
      if (dialog == null && response.toTag() != null) {
        replaceDialog(Dialog.ofCaller(invite, response));
      }
      listener.progress(this, response);
    }
  }

  /**
   * Handles a 2xx, including one that crosses the CANCEL, a retransmission, and a second 2xx from
   * another fork.
   */
  private void handleSuccess(SipResponse response) {
    boolean first = dialog == null || isOutstanding();
    if (state == State.CANCELLING) {
      replaceDialog(Dialog.ofCaller(invite, response));
      releasing = true;
      userAgent.release(invite, response, this::notifyReleased);
      end();
      listener.answeredLate(this, response);
    } else if (first && state == State.CALLING) {
      replaceDialog(Dialog.ofCaller(invite, response));
      state = State.ANSWERED;
      listener.answered(this, response);
    } else if (dialog == null || !dialog.remoteTag().equals(response.toTag())) {
      userAgent.release(invite, response, () -> {});
    } else if (ack != null) {
      userAgent.resendAck(ack, dialog.hop());
    }
  }

  /**
   * Acknowledges the 2xx.
   *
   * @param bodySource message whose body is copied, the SDP answer to an offer in the 2xx; or null
   */
  public void ack(SipMessage bodySource) {
    if (isCaller && state == State.ANSWERED) {
      state = State.CONFIRMED;
      ack = dialog.ack(invite.cseq().number());
      copyBody(bodySource, ack);
      userAgent.sendAck(ack, dialog.hop());
    }
  }

  /** Cancels the INVITE. A 2xx that still arrives is released at once. */
  public void cancel(String reason) {
    if (isCaller && state == State.CALLING) {
      state = State.CANCELLING;
      clientTransaction.cancel(reason);
    }
  }

  // ---- Callee's side ------------------------------------------------------------------------

  /** Creates a response to the INVITE with this leg's tag and Contact. */
  public SipResponse response(int status) {
    return response(status, SipResponse.reasonPhrase(status));
  }

  /** Like {@link #response(int)}, with the given reason phrase. */
  public SipResponse response(int status, String phrase) {
    SipResponse response = invite.response(status, phrase);
    if (status > 100) {
      response.set("To", withLocalTag(invite.header("To")));
    }
    if (status < 300 && status > 100) {
      response.copyHeaders("Record-Route", invite);
      response.add("Contact", userAgent.contact(serverTransaction.source()));
    }
    return response;
  }

  private String withLocalTag(String toHeader) {
    NameAddr address = NameAddr.parse(toHeader);
    if (address.tag() != null) {
      return toHeader;
    }
    return toHeader + ";tag=" + localTag;
  }

  /** Sends a provisional response created by {@link #response}. */
  public void progress(SipResponse response) {
    if (!isCaller && state == State.CALLING) {
      createEarlyDialog(response);
      serverTransaction.respond(response);
    }
  }

  private void createEarlyDialog(SipResponse response) {
    if (dialog == null && response.status() > 100) {
      String contact = userAgent.contact(serverTransaction.source());
      replaceDialog(Dialog.ofCallee(invite, response.header("To"), contact));
    }
  }

  /** Answers with a 2xx created by {@link #response}, retransmitted until the ACK arrives. */
  public void accept(SipResponse response) {
    if (!isCaller && state == State.CALLING) {
      createEarlyDialog(response);
      state = State.ANSWERED;
      okResponse = response;
      userAgent.inviteAnswered(serverTransaction);
      retransmitIntervalMillis = userAgent.timing().t1();
      serverTransaction.onTermination(this::discardInviteTransaction);
      serverTransaction.respond(response);
      retransmitTimer = userAgent.schedule(retransmitIntervalMillis, this::retransmitOk);
      ackTimeoutTimer =
          userAgent.schedule(userAgent.timing().transactionTimeout(), this::handleAckTimeout);
    }
  }

  private void retransmitOk() {
    if (state == State.ANSWERED) {
      serverTransaction.respond(okResponse);
      retransmitIntervalMillis = Math.min(2 * retransmitIntervalMillis, userAgent.timing().t2());
      retransmitTimer = userAgent.schedule(retransmitIntervalMillis, this::retransmitOk);
    }
  }

  private void handleAckTimeout() {
    if (state == State.ANSWERED) {
      bye(null);
      listener.ended(this, null);
    }
  }

  /** Answers with a final response other than 2xx, which ends the leg. */
  public void reject(SipResponse response) {
    if (!isCaller && state == State.CALLING) {
      end();
      serverTransaction.respond(response);
    }
  }

  /** Ends the leg without a response: the caller already has one, or has disconnected. */
  public void abandon() {
    if (!isCaller && state == State.CALLING) {
      end();
      ((InviteServerTransaction) serverTransaction).abandon();
    }
  }

  void handleCancel() {
    if (!isCaller && state == State.CALLING) {
      listener.cancelRequested(this, () -> reject(response(487)));
    }
  }

  // ---- Within the dialog --------------------------------------------------------------------

  /** Ends an answered call; {@code reason} is the value of a Reason header field, or null. */
  public void bye(String reason) {
    if (state == State.ANSWERED || state == State.CONFIRMED) {
      if (isCaller && state == State.ANSWERED) {
        ack(null);
      }
      SipRequest bye = dialog.request("BYE");
      if (reason != null) {
        bye.add("Reason", reason);
      }
      end();
      releasing = true;
      userAgent.send(bye, dialog.hop(), new ByeResponseListener());
    }
  }

  /** Whether a BYE from this side is outstanding. */
  public boolean isReleasing() {
    return releasing;
  }

  private void notifyReleased() {
    releasing = false;
    listener.released(this);
  }

  /** Reports the release once the BYE has any final response or has failed. */
  private final class ByeResponseListener implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        notifyReleased();
      }
    }

    @Override
    public void failed(Failure failure) {
      notifyReleased();
    }
  }

  /**
   * Sends a request within the dialog, INVITE and UPDATE included. Returns false, without sending
   * it, if there is no active dialog, or for an INVITE while another is in progress (RFC 3261
   * section 14.1).
   *
   * @param source message whose body and end-to-end header fields are copied
   */
  public boolean send(
      String method, SipMessage source, ClientTransaction.Listener responseListener) {
    return send(method, source, null, responseListener);
  }

  /**
   * Like {@link #send(String, SipMessage, ClientTransaction.Listener)}, with the value of a RAck
   * header field (RFC 3262), or null.
   */
  public boolean send(
      String method, SipMessage source, String rack, ClientTransaction.Listener responseListener) {
    boolean reinvite = method.equals("INVITE");
    if (dialog == null
        || state == State.ENDED
        || reinvite && (localReinvitePending || remoteReinvitePending)) {
      return false;
    }
    SipRequest request = dialog.request(method);
    EndToEndHeaders.copy(source, request);
    if (rack != null) {
      request.add("RAck", rack);
    }
    localReinvitePending |= reinvite;
    userAgent.send(
        request,
        dialog.hop(),
        reinvite ? new ReinviteResponseListener(request, responseListener) : responseListener);
    return true;
  }

  /** Handles the responses to a re-INVITE and acknowledges each 2xx. */
  private final class ReinviteResponseListener implements ClientTransaction.Listener {
    private final SipRequest reinvite;
    private final ClientTransaction.Listener delegate;
    private boolean answered;
    private SipRequest reinviteAck;

    ReinviteResponseListener(SipRequest reinvite, ClientTransaction.Listener delegate) {
      this.reinvite = reinvite;
      this.delegate = delegate;
    }

    @Override
    public void response(SipResponse response) {
      if (answered) {
        if (response.isSuccess()) {
          sendAckUnlessDeferred();
        }
        return;
      }
      if (response.isSuccess()) {
        dialog.refresh(response);
        answered = true;
        reinviteAck = dialog.ack(reinvite.cseq().number());
        boolean okHasOffer = reinvite.body().length == 0 && response.body().length > 0;
        reinviteAwaitingAck = okHasOffer ? this : null;
        if (!okHasOffer) {
          sendAckUnlessDeferred();
        }
      }
      localReinvitePending &= response.isProvisional();
      delegate.response(response);
    }

    /**
     * Sends the ACK, also again for a retransmitted 2xx, unless it still waits for the SDP answer.
     */
    private void sendAckUnlessDeferred() {
      if (reinviteAwaitingAck != this) {
        userAgent.resendAck(reinviteAck, dialog.hop());
      }
    }

    @Override
    public void failed(Failure failure) {
      localReinvitePending = false;
      delegate.failed(failure);
    }
  }

  /** Acknowledges a re-INVITE whose 2xx carried an SDP offer, with the answer to it. */
  public void acknowledgeReinvite(SipMessage bodySource) {
    if (reinviteAwaitingAck != null) {
      ReinviteResponseListener pendingReinvite = reinviteAwaitingAck;
      reinviteAwaitingAck = null;
      copyBody(bodySource, pendingReinvite.reinviteAck);
      pendingReinvite.sendAckUnlessDeferred();
    }
  }

  private static void copyBody(SipMessage from, SipMessage to) {
    if (from != null && from.body().length > 0) {
      to.set("Content-Type", from.header("Content-Type", "application/sdp"));
      to.body(from.body());
    }
  }

  void receive(ServerTransaction transaction, SipRequest request) {
    if (dialog.receive(request)) {
      handleInOrder(transaction, request);
    } else {
      transaction.respond(request.response(500));
    }
  }

  /**
   * Handles a request whose sequence number is in order. A re-INVITE that collides with another
   * INVITE is rejected (RFC 3261 section 14.2).
   */
  private void handleInOrder(ServerTransaction transaction, SipRequest request) {
    if (request.is("BYE")) {
      transaction.respond(request.response(200));
      handleBye(request);
    } else if (request.is("INVITE") && (localReinvitePending || state == State.ANSWERED)) {
      transaction.respond(request.response(491));
    } else if (request.is("INVITE") && (remoteReinvitePending || state != State.CONFIRMED)) {
      SipResponse retryLater = request.response(500);
      retryLater.add("Retry-After", "1");
      transaction.respond(retryLater);
    } else {
      remoteReinvitePending |= request.is("INVITE");
      listener.request(this, transaction, request);
    }
  }

  /** Answers a re-INVITE reported by {@link CallListener#request}. */
  public void answerReinvite(ServerTransaction transaction, SipResponse response) {
    if (!response.isProvisional()) {
      remoteReinvitePending = false;
      if (response.isSuccess()) {
        new ReinviteOkRetransmitter(transaction, response).start();
      }
    }
    transaction.respond(response);
  }

  /** Retransmits a 2xx to a re-INVITE until its ACK arrives, over UDP and TCP alike. */
  private final class ReinviteOkRetransmitter {
    private final ServerTransaction transaction;
    private final SipResponse response;
    private double intervalMillis = userAgent.timing().t1();
    private double elapsedMillis;

    ReinviteOkRetransmitter(ServerTransaction transaction, SipResponse response) {
      this.transaction = transaction;
      this.response = response;
    }

    void start() {
      unacknowledgedReinviteOk = this;
      userAgent.schedule(intervalMillis, this::retransmit);
    }

    private void retransmit() {
      elapsedMillis += intervalMillis;
      if (unacknowledgedReinviteOk == this
          && state == State.CONFIRMED
          && elapsedMillis < userAgent.timing().transactionTimeout()) {
        transaction.respond(response);
        intervalMillis = Math.min(2 * intervalMillis, userAgent.timing().t2());
        userAgent.schedule(intervalMillis, this::retransmit);
      }
    }
  }

  /** Handles a BYE; on an early dialog it ends the call as a CANCEL does. */
  private void handleBye(SipRequest bye) {
    if (state == State.CALLING && !isCaller) {
      handleCancel();
    } else if (state == State.ANSWERED || state == State.CONFIRMED) {
      end();
      listener.ended(this, bye);
    }
  }

  /**
   * Handles an ACK to the 2xx of the initial INVITE or of a re-INVITE; repeated ones are ignored.
   */
  void handleAck(SipRequest ackRequest) {
    boolean first = state == State.ANSWERED && !isCaller;
    if (first) {
      state = State.CONFIRMED;
      okResponse = null;
      retransmitTimer.cancel();
      ackTimeoutTimer.cancel();
    }
    if (first || unacknowledgedReinviteOk != null) {
      unacknowledgedReinviteOk = null;
      listener.acknowledged(this, ackRequest);
    }
  }

  private void replaceDialog(Dialog newDialog) {
    if (dialog != null) {
      userAgent.unregister(dialog);
    }
    dialog = newDialog;
    userAgent.register(dialog, this);
  }

  private void end() {
    state = State.ENDED;
    if (retransmitTimer != null) {
      retransmitTimer.cancel();
      ackTimeoutTimer.cancel();
    }
    if (dialog != null) {
      userAgent.unregister(dialog);
    }
    if (serverTransaction != null) {
      userAgent.inviteAnswered(serverTransaction);
    }
  }
}
