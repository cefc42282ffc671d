package coveladder.sip;

/**
 * The subscriber's side of one subscription (RFC 6665 section 4.1): subscribes, refreshes, takes
 * NOTIFYs, and begins anew with growing pauses when the notifier is lost.
 */
public final class Subscriber {
  private static final double FIRST_PAUSE = 500;
  private static final double LONGEST_PAUSE = 30_000;
  private static final int SECONDS = 600;

  private final UserAgent agent;
  private final SipHost host;
  private final String event;
  private final String target;
  private final Hop hop;
  private final Watcher watcher;
  private String callId;
  private String from;
  private String to;
  private long sequence;
  private long notified;
  private double pause = FIRST_PAUSE;
  private SipHost.Timer refresh;
  private boolean stopped;

  /** Who is told of what the notifier says. */
  public interface Watcher {
    /** A NOTIFY in order came with this body. */
    void notified(SipRequest notify);

    /** The subscription could not be had, or broke; it is tried again. */
    void lost(String why);
  }

  /**
   * Makes a subscription that is not yet asked for.
   *
   * @param event the event package
   * @param self own URI, for From
   * @param target URI of the notifier
   */
  public Subscriber(
      UserAgent agent,
      SipHost host,
      String event,
      String self,
      String target,
      Hop hop,
      Watcher watcher) {
    this.agent = agent;
    this.host = host;
    this.event = event;
    this.target = target;
    this.hop = hop;
    this.watcher = watcher;
    this.from = '<' + self + '>';
  }

  /** Asks for the subscription, or asks anew: the notifier then sends the full state. */
  public void subscribe() {
    stopped = false;
    callId = agent.newTag();
    from = from.substring(0, from.indexOf('>') + 1) + ";tag=" + agent.newTag();
    to = '<' + target + '>';
    sequence = 0;
    notified = -1;
    ask(SECONDS);
  }

  /** Ends the subscription. */
  public void stop() {
    if (!stopped && callId != null) {
      stopped = true;
      ClientTransaction.stop(refresh);
      ask(0);
    }
  }

  private void ask(int seconds) {
    SipRequest request = new SipRequest("SUBSCRIBE", target);
    request.add("Max-Forwards", "70");
    request.add("From", from);
    request.add("To", to);
    request.add("Call-ID", callId);
    sequence++;
    request.add("CSeq", new CSeq(sequence, "SUBSCRIBE").toString());
    request.add("Contact", agent.contact(hop));
    request.add("Event", event);
    request.add("Expires", Integer.toString(seconds));
    agent.sendOutsideDialog(request, hop, new Answers(callId));
  }

  /** Hears the answers to one SUBSCRIBE. */
  private final class Answers implements ClientTransaction.Listener {
    private final String asked;

    Answers(String asked) {
      this.asked = asked;
    }

    @Override
    public void response(SipResponse response) {
      if (!asked.equals(callId) || stopped || response.isProvisional()) {
        return;
      }
      if (response.isSuccess()) {
        to = response.header("To");
        pause = FIRST_PAUSE;
        double seconds = Math.max(1, response.numericHeader("Expires", SECONDS));
        again(seconds * 800, () -> ask(SECONDS));
      } else {
        lose("answered " + response.status());
      }
    }

    @Override
    public void failed(Failure failure) {
      if (asked.equals(callId) && !stopped) {
        lose("failed: " + failure);
      }
    }
  }

  private void lose(String why) {
    watcher.lost(why);
    double spread = 0.5 + host.random().nextDouble();
    again(pause * spread, this::subscribe);
    pause = Math.min(2 * pause, LONGEST_PAUSE);
  }

  private void again(double delay, Runnable task) {
    ClientTransaction.stop(refresh);
    refresh = host.schedule(delay, task);
  }

  /** Takes a NOTIFY if it is of this subscription, and answers it; whether it was. */
  public boolean receiveNotify(ServerTransaction transaction, SipRequest notify) {
    if (callId == null || !callId.equals(notify.callId())) {
      return false;
    }
    transaction.respond(notify.response(200));
    if (notify.cseq().number() > notified) {
      notified = notify.cseq().number();
      watcher.notified(notify);
      boolean over = notify.header("Subscription-State", "").startsWith("terminated");
      if (over && !stopped) {
        lose("terminated by the notifier");
      }
    }
    return true;
  }
}
