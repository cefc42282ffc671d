package coveladder.sip;

/**
 * Base class of a node with a SIP stack. Unless overridden, it rejects calls with 486 and answers
 * OPTIONS.
 */
public abstract class AbstractSipNode implements SipNode, UserAgent.Owner {
  private final SipStack stack;

  /** Creates a node whose stack runs on the given host. */
  protected AbstractSipNode(SipHost host, Timing timing, SipStack.Limits limits) {
    stack = new SipStack(host, timing, limits, this);
  }

  /** The user agent of the stack. */
  protected final UserAgent userAgent() {
    return stack.userAgent();
  }

  @Override
  public void start() {}

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    stack.receive(from, message, arrivedAtMillis);
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    stack.connectionFailed(hop, failure);
  }

  @Override
  public CallListener incoming(CallLeg leg) {
    leg.reject(leg.response(486));
    return null;
  }

  @Override
  public void callAccepted(CallLeg leg) {}

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    transaction.respond(request.response(request.is("OPTIONS") ? 200 : 481));
  }
}
