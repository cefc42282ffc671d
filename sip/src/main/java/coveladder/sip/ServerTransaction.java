package coveladder.sip;

/** A server transaction of RFC 3261 section 17.2. */
public abstract sealed class ServerTransaction
    permits InviteServerTransaction, NonInviteServerTransaction {
  final TransactionLayer layer;
  final Timing timing;
  private final SipRequest request;
  private final Hop source;
  private final double arrived;
  private Hop hop;
  private byte[] last;
  private Runnable whenOver;

  ServerTransaction(TransactionLayer layer, SipRequest request, Hop source, double arrived) {
    this.layer = layer;
    this.timing = layer.timing();
    this.request = request;
    this.source = source;
    this.arrived = arrived;
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
  void whenOver(Runnable task) {
    whenOver = task;
  }

  void tellOver() {
    if (whenOver != null) {
      whenOver.run();
    }
  }

  /** Clock of the request's arrival at this machine, ms. */
  public double arrived() {
    return arrived;
  }

  /**
   * Sends a response. One final response leaves at most; what comes after it is dropped. Without a
   * tag in To a final one gets a tag of this transaction.
   */
  public abstract void respond(SipResponse response);

  /** Whether a final response was given. */
  public abstract boolean answered();

  /** The same request came again. */
  abstract void repeated();

  boolean reliable() {
    return hop.transport().isReliable();
  }

  void transmit(SipResponse response) {
    OverloadControl load = layer.ownLoad();
    if (load != null) {
      load.write(response);
    }
    last = response.toBytes();
    layer.host().send(hop, last);
  }

  void transmitAgain() {
    if (last != null) {
      layer.host().send(hop, last);
    }
  }

  /**
   * The connection that the request came by is gone: the last response goes once to the sent-by
   * address of the Via instead (RFC 3261 section 18.2.2).
   */
  void lost() {
    Via via = request.via();
    Hop other = new Hop(source.transport(), via.host(), via.portOrDefault());
    if (last != null && hop.equals(source) && !other.equals(source)) {
      hop = other;
      transmitAgain();
    }
  }

  SipHost.Timer after(double delay, Runnable task) {
    return layer.host().schedule(delay, task);
  }
}
