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

  /** The hop that the request came from. */
  public Hop source() {
    return source;
  }

  /** Sets a task to run when the transaction has terminated. */
  void onTermination(Runnable task) {
    onTermination = task;
  }

  void notifyTerminated() {
    if (onTermination != null) {
      onTermination.run();
    }
  }

  /** Time of the request's arrival at this host, in milliseconds on the host's clock. */
  public double arrivalMillis() {
    return arrivalMillis;
  }

  /**
   * Sends a response. Only one final response is sent; later responses are dropped, except
   * retransmissions of a 2xx to an INVITE.
   */
  public abstract void respond(SipResponse response);

  /** Whether a final response was sent. */
  public abstract boolean hasFinalResponse();

  /** Handles a retransmission of the request. */
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
   * Handles the loss of the connection that the request arrived on: the last response is sent once
   * more, to the sent-by address of the Via (RFC 3261 section 18.2.2).
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
