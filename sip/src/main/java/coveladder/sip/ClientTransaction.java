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

  /** What the owner of a transaction hears of it. */
  public interface Listener {
    /** Takes no interest in what comes. */
    Listener IGNORE =
        new Listener() {
          @Override
          public void response(SipResponse response) {}

          @Override
          public void failed(Failure failure) {}
        };

    /** A response came; several provisional ones may, and one final, or more 2xx to an INVITE. */
    void response(SipResponse response);

    /** No final answer will come. */
    void failed(Failure failure);

    /** The transaction is over: repeats of its answers are no longer taken. */
    default void terminated() {}
  }

  /** The request as it was sent. */
  public SipRequest request() {
    return request;
  }

  /** Where it was sent. */
  public Hop hop() {
    return hop;
  }

  /** Key of the transaction: branch and method (RFC 3261 section 17.1.3). */
  String key() {
    return request.via().branch() + ' ' + request.method();
  }

  abstract void start();

  abstract void receive(SipResponse response);

  /** Whether a final answer is still awaited. */
  abstract boolean isAwaitingFinalResponse();

  /** Enters the last state. */
  abstract void enterTerminatedState();

  abstract void stopTimers();

  /** The transport could not deliver to this hop, or lost its connection. */
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

  /** The request's octets, made once. */
  byte[] encodedRequest() {
    if (encodedRequest == null) {
      encodedRequest = request.toBytes();
    }
    return encodedRequest;
  }

  void transmit() {
    layer.host().send(hop, encodedRequest());
  }

  /** Goes by TCP as the request is too large for a datagram; it may fall back to UDP. */
  void switchToTcp() {
    switchedToTcp = true;
    changeHop(hop.withTransport(Transport.TCP));
  }

  /**
   * Goes back to UDP where no connection could be had for a large request (RFC 3261 section
   * 18.1.1); whether it did.
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
    request.topVia(new Via(transportName, local.host(), local.port(), via.params()));
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
