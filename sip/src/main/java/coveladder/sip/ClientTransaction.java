package coveladder.sip;

/** A client transaction of RFC 3261 section 17.1. */
public abstract sealed class ClientTransaction
    permits InviteClientTransaction, NonInviteClientTransaction {
  final TransactionLayer layer;
  final Timing timing;
  private final SipRequest request;
  private final Listener listener;
  private Hop hop;
  private byte[] encodedRequest;
  private boolean switchedToTcp;

  ClientTransaction(TransactionLayer layer, SipRequest request, Hop hop, Listener listener) {
    this.layer = layer;
    this.timing = layer.timing();
    this.request = request;
    this.hop = hop;
    this.listener = listener;
  }

  /** Receives the outcome of a transaction. */
  public interface Listener {
    /** Ignores all events. */
    Listener IGNORE =
        new Listener() {
          @Override
          public void response(SipResponse response) {}

          @Override
          public void failed(Failure failure) {}
        };

    /**
     * A response arrived: any number of provisional ones and one final one, or several 2xx to an
     * INVITE.
     */
    void response(SipResponse response);

    /** No final response will arrive. */
    void failed(Failure failure);

    /** The transaction has terminated: retransmitted responses are no longer matched to it. */
    default void terminated() {}
  }

  /** The request as it was sent. */
  public SipRequest request() {
    return request;
  }

  /** The hop that the request is sent to. */
  public Hop hop() {
    return hop;
  }

  /** Key of the transaction: branch and method (RFC 3261 section 17.1.3). */
  String key() {
    return request.via().branch() + ' ' + request.method();
  }

  abstract void start();

  abstract void receive(SipResponse response);

  /** Whether a final response is still awaited. */
  abstract boolean isAwaitingFinalResponse();

  /** Sets the state to terminated. */
  abstract void enterTerminatedState();

  abstract void stopTimers();

  /** Handles a transport that could not deliver to this hop, or lost its connection. */
  void deliveryFailed(Failure failure) {
    if (isAwaitingFinalResponse()) {
      stopTimers();
      if (!fallBackToUdp(failure)) {
        fail(failure);
      }
    }
  }

  void timeOut() {
    if (isAwaitingFinalResponse()) {
      fail(Failure.TIMED_OUT);
    }
  }

  private void fail(Failure failure) {
    finish();
    notifyListener(failure);
  }

  void finish() {
    enterTerminatedState();
    stopTimers();
    layer.transactionTerminated(this);
  }

  /** The encoded request, cached. */
  byte[] encodedRequest() {
    if (encodedRequest == null) {
      encodedRequest = request.toBytes();
    }
    return encodedRequest;
  }

  void transmit() {
    layer.host().send(hop, encodedRequest());
  }

  /** Switches to TCP because the request is too large for a datagram; it may fall back to UDP. */
  void switchToTcp() {
    switchedToTcp = true;
    changeHop(hop.withTransport(Transport.TCP));
  }

  /**
   * Falls back to UDP if a large request could not be sent because the TCP connection was refused
   * (RFC 3261 section 18.1.1). Returns whether it did.
   */
  boolean fallBackToUdp(Failure failure) {
    if (failure != Failure.REFUSED || !switchedToTcp) {
      return false;
    }
    switchedToTcp = false;
    layer.unlink(this);
    changeHop(hop.withTransport(Transport.UDP));
    start();
    return true;
  }

  private void changeHop(Hop newHop) {
    Via via = request.via();
    Hop local = layer.host().localHop(newHop.transport());
    String transportName = newHop.transport().name();
    request.replaceTopVia(new Via(transportName, local.host(), local.port(), via.params()));
    hop = newHop;
    encodedRequest = null;
  }

  boolean isReliable() {
    return hop.transport().isReliable();
  }

  SipHost.Timer schedule(double delayMillis, Runnable task) {
    return layer.host().schedule(delayMillis, task);
  }

  void notifyListener(SipResponse response) {
    listener.response(response);
  }

  void notifyListener(Failure failure) {
    listener.failed(failure);
  }

  void notifyTerminated() {
    listener.terminated();
  }

  static void cancelTimer(SipHost.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
