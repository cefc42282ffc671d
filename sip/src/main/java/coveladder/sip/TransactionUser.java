package coveladder.sip;

/** What the transaction layer tells the layer above it. Each thing is told once. */
public interface TransactionUser {

  /** A new request came, with the transaction that answers it. */
  void request(ServerTransaction transaction, SipRequest request);

  /** An ACK to a 2xx came, which belongs to no transaction. */
  void ack(SipRequest ack);

  /** A CANCEL came for an INVITE without final answer; the CANCEL itself is answered. */
  void cancelled(ServerTransaction invite, SipRequest cancel);

  /** A 2xx to an INVITE came whose transaction is over or was never here. */
  void strayOk(SipResponse response);
}
