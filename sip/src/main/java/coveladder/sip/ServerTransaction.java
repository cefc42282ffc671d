package coveladder.sip;

/** A server transaction of RFC 3261 section 17.2. */
public abstract sealed class ServerTransaction
    permits InviteServerTransaction, NonInviteServerTransaction {
  final TransactionLayer layer;
  final Timing timing;
  private final SipRequest request;
  private final Hop source;
  private final double arrivalMillis;
  private Hop hop;
  private byte[] lastResponseBytes;
  private Runnable onTermination;

  ServerTransaction(TransactionLayer layer, SipRequest request, Hop source, double arrivalMillis) {
    this.layer = layer;
    this.timing = layer.timing();
    this.request = request;
    this.source = source;
    this.arrivalMillis = arrivalMillis;
    Transport transport = source.transport();
    this.hop = transport.isReliable() ? source : request.via().responseHop(transport);
  }

  /** The request. */
  public SipRequest request() {
    return request;
  }

  /** Where the request came from. */
  public Hop source() {
    return source;
  }

  /** Runs a task once the transaction is over. */
  void onTermination(Runnable task) {
    onTermination = task;
  }

  void notifyTerminated() {
    if (onTermination != null) {
      onTermination.run();
    }
  }

  /** Clock of the request's arrival at this machine, ms. */
  public double arrivalMillis() {
    return arrivalMillis;
  }

  /**
   * Sends a response. One final response leaves at most; what comes after it is dropped. Without a
   * tag in To a final one gets a tag of this transaction.
   */
  public abstract void respond(SipResponse response);

  /** Whether a final response was given. */
  public abstract boolean hasFinalResponse();

  /** The same request came again. */
  abstract void requestRetransmitted();

  boolean isReliable() {
    return hop.transport().isReliable();
  }

  void transmit(SipResponse response) {
    OverloadControl overload = layer.localOverload();
    if (overload != null) {
      overload.write(response);
    }
    lastResponseBytes = response.toBytes();
    layer.host().send(hop, lastResponseBytes);
  }

  void retransmitLastResponse() {
    if (lastResponseBytes != null) {
      layer.host().send(hop, lastResponseBytes);
    }
  }

  /**
   * The connection that the request came by is gone: the last response goes once to the sent-by
   * address of the Via instead (RFC 3261 section 18.2.2).
   */
  void connectionLost() {
    Via via = request.via();
    Hop sentBy = new Hop(source.transport(), via.host(), via.portOrDefault());
    if (lastResponseBytes != null && hop.equals(source) && !sentBy.equals(source)) {
      hop = sentBy;
      retransmitLastResponse();
    }
  }

  SipHost.Timer schedule(double delayMillis, Runnable task) {
    return layer.host().schedule(delayMillis, task);
  }
}
