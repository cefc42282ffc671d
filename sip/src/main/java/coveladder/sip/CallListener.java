package coveladder.sip;

/** What the owner of a call leg hears of it. */
public interface CallListener {

  /** Caller's side: a provisional answer other than 100. */
  default void progress(CallLeg leg, SipResponse response) {}

  /**
   * Caller's side: any answer at all to the INVITE, before anything else is made of it. Load
   * figures ride on every one of them.
   */
  default void responseReceived(CallLeg leg, SipResponse response) {}

  /** Caller's side: the call is answered. {@link CallLeg#ack} is owed. */
  default void answered(CallLeg leg, SipResponse response) {}

  /** Caller's side: a final answer other than 2xx; the leg is over. */
  default void rejected(CallLeg leg, SipResponse response) {}

  /** Caller's side: no final answer will come; the leg is over. */
  default void failed(CallLeg leg, Failure failure) {}

  /** Caller's side: a 2xx came after the cancel. ACK and BYE are out; the leg is over. */
  default void answeredLate(CallLeg leg, SipResponse response) {}

  /**
   * Callee's side: the caller called off. It is answered and told as {@link #cancelled}, unless the
   * owner has something to do before the answer leaves.
   *
   * @param sendResponse sends the 487
   */
  default void cancelRequested(CallLeg leg, Runnable sendResponse) {
    sendResponse.run();
    cancelled(leg);
  }

  /** Callee's side: the caller called off before a final answer; 487 is out, the leg is over. */
  default void cancelled(CallLeg leg) {}

  /** Callee's side, after a restart: an INVITE that had no answer came again. */
  default void inviteRetransmitted(CallLeg leg) {}

  /** Callee's side: the ACK to the 2xx came. */
  default void acknowledged(CallLeg leg, SipRequest ack) {}

  /** A request within the dialog, other than ACK and BYE; an answer is owed. */
  default void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
    transaction.respond(request.response(488));
  }

  /** Our BYE, or the release of a late 2xx, was answered, or no answer will come. */
  default void released(CallLeg leg) {}

  /** The answered call is over: by BYE from the other side, or null where it fell silent. */
  default void ended(CallLeg leg, SipRequest bye) {}
}
