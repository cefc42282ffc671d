package coveladder.sip;

/** Receives the events of a call leg. */
public interface CallListener {

  /** Caller's side: a provisional response other than 100 arrived. */
  default void progress(CallLeg leg, SipResponse response) {}

  /**
   * Caller's side: any response to the INVITE arrived. It is called before the response is
   * processed, because every response may carry overload control figures.
   */
  default void responseReceived(CallLeg leg, SipResponse response) {}

  /** Caller's side: the call was answered. The listener must call {@link CallLeg#ack}. */
  default void answered(CallLeg leg, SipResponse response) {}

  /** Caller's side: a final response other than 2xx arrived, which ended the leg. */
  default void rejected(CallLeg leg, SipResponse response) {}

  /** Caller's side: no final response will arrive; the leg has ended. */
  default void failed(CallLeg leg, Failure failure) {}

  /** Caller's side: a 2xx arrived after the CANCEL. It is being released; the leg has ended. */
  default void answeredLate(CallLeg leg, SipResponse response) {}

  /**
   * Callee's side: the caller cancelled. By default the 487 is sent at once and {@link #cancelled}
   * is called; a listener overrides this to do something before the response is sent.
   *
   * @param sendResponse sends the 487
   */
  default void cancelRequested(CallLeg leg, Runnable sendResponse) {
    sendResponse.run();
    cancelled(leg);
  }

  /**
   * Callee's side: the caller cancelled before a final response; the 487 was sent and the leg has
   * ended.
   */
  default void cancelled(CallLeg leg) {}

  /** Callee's side, after a restart: a pending INVITE without a response was retransmitted. */
  default void inviteRetransmitted(CallLeg leg) {}

  /** Callee's side: the ACK to a 2xx arrived. */
  default void acknowledged(CallLeg leg, SipRequest ack) {}

  /** A request within the dialog, other than ACK and BYE, arrived; the listener must answer it. */
  default void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
    transaction.respond(request.response(488));
  }

  /** The local BYE, or the release of a late 2xx, was answered, or will not be answered. */
  default void released(CallLeg leg) {}

  /**
   * The answered call has ended; {@code bye} is the remote BYE, or null if the ACK never arrived.
   */
  default void ended(CallLeg leg, SipRequest bye) {}
}
