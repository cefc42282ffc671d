package coveladder.sip;

/**
 * A plain element with a stack: it takes no calls and answers OPTIONS, unless it says otherwise.
 */
public abstract class AbstractSipNode implements SipNode, UserAgent.Owner {
  private final SipStack stack;

  /** Makes an element on a world. */
  protected AbstractSipNode(SipHost host, Timing timing, SipStack.Limits limits) {
    stack = new SipStack(host, timing, limits, this);
  }

  /** Its user agent. */
  protected final UserAgent userAgent() {
    return stack.userAgent();
  }

  @Override
  public void start() {}

  @Override
  public void receive(Hop from, byte[] message, double arrived) {
    stack.receive(from, message, arrived);
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
  public void taken(CallLeg leg) {}

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    transaction.respond(request.response(request.is("OPTIONS") ? 200 : 481));
  }
}
