package coveladder.sip;

/** Receives the events of the transaction layer. Each event is reported once. */
public interface TransactionUser {

  /** A new request arrived, with the transaction to answer it by. */
  void request(ServerTransaction transaction, SipRequest request);

  /** An ACK to a 2xx arrived, which belongs to no transaction. */
  void ack(SipRequest ack);

  /** A CANCEL arrived for an INVITE without final response; the CANCEL itself was answered. */
  void cancelled(ServerTransaction invite, SipRequest cancel);

  /** A 2xx to an INVITE arrived whose transaction has terminated or was never known here. */
  void strayOk(SipResponse response);
}
