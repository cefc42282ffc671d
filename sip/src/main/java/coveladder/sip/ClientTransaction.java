package coveladder.sip;

/** A client transaction of RFC 3261 section 17.1. */
public abstract sealed class ClientTransaction
    permits InviteClientTransaction, NonInviteClientTransaction {
  final TransactionLayer layer;
  final Timing timing;
  private final SipRequest request;
  private final Listener listener;
  private Hop hop;
  private byte[] wire;
  private boolean enlarged;

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
    default void over() {}
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
  abstract boolean waits();

  /** Enters the last state. */
  abstract void terminate();

  abstract void stopTimers();

  /** The transport could not deliver to this hop, or lost its connection. */
  void lost(Failure failure) {
    if (waits()) {
      stopTimers();
      if (!fellBack(failure)) {
        fail(failure);
      }
    }
  }

  void timeOut() {
    if (waits()) {
      fail(Failure.TIMED_OUT);
    }
  }

  private void fail(Failure failure) {
    finish();
    tell(failure);
  }

  void finish() {
    terminate();
    stopTimers();
    layer.over(this);
  }

  /** The request's octets, made once. */
  byte[] wire() {
    if (wire == null) {
      wire = request.toBytes();
    }
    return wire;
  }

  void transmit() {
    layer.host().send(hop, wire());
  }

  /** Goes by TCP as the request is too large for a datagram; it may fall back to UDP. */
  void enlarge() {
    enlarged = true;
    moveTo(hop.withTransport(Transport.TCP));
  }

  /**
   * Goes back to UDP where no connection could be had for a large request (RFC 3261 section
   * 18.1.1); whether it did.
   */
  boolean fellBack(Failure failure) {
    if (failure != Failure.REFUSED || !enlarged) {
      return false;
    }
    enlarged = false;
    layer.unlink(this);
    moveTo(hop.withTransport(Transport.UDP));
    start();
    return true;
  }

  private void moveTo(Hop other) {
    Via via = request.via();
    Hop local = layer.host().localHop(other.transport());
    String named = other.transport().name();
    request.topVia(new Via(named, local.host(), local.port(), via.params()));
    hop = other;
    wire = null;
  }

  boolean reliable() {
    return hop.transport().isReliable();
  }

  SipHost.Timer after(double delay, Runnable task) {
    return layer.host().schedule(delay, task);
  }

  void tell(SipResponse response) {
    listener.response(response);
  }

  void tell(Failure failure) {
    listener.failed(failure);
  }

  void tellOver() {
    listener.over();
  }

  static void stop(SipHost.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
