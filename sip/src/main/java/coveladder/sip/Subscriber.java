package coveladder.sip;

/**
 * The subscriber's side of one subscription (RFC 6665 section 4.1): subscribes, refreshes, takes
 * NOTIFYs, and begins anew with growing pauses when the notifier is lost.
 */
public final class Subscriber {
  private static final double INITIAL_RETRY_DELAY_MILLIS = 500;
  private static final double MAX_RETRY_DELAY_MILLIS = 30_000;
  private static final int EXPIRES_SECONDS = 600;

  private final UserAgent userAgent;
  private final SipHost host;
  private final String event;
  private final String target;
  private final Hop hop;
  private final Watcher watcher;
  private String callId;
  private String fromHeader;
  private String toHeader;
  private long sequence;
  private long lastNotifySequence;
  private double retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
  private SipHost.Timer subscribeTimer;
  private boolean stopped;

  /** Who is told of what the notifier says. */
  public interface Watcher {
    /** A NOTIFY in order came with this body. */
    void notified(SipRequest notify);

    /** The subscription could not be had, or broke; it is tried again. */
    void lost(String reason);
  }

  /**
   * Makes a subscription that is not yet asked for.
   *
   * @param event the event package
   * @param localUri own URI, for From
   * @param target URI of the notifier
   */
  public Subscriber(
      UserAgent userAgent,
      SipHost host,
      String event,
      String localUri,
      String target,
      Hop hop,
      Watcher watcher) {
    this.userAgent = userAgent;
    this.host = host;
    this.event = event;
    this.target = target;
    this.hop = hop;
    this.watcher = watcher;
    this.fromHeader = '<' + localUri + '>';
  }

  /** Asks for the subscription, or asks anew: the notifier then sends the full state. */
  public void subscribe() {
    stopped = false;
    callId = userAgent.newTag();
    fromHeader =
        fromHeader.substring(0, fromHeader.indexOf('>') + 1) + ";tag=" + userAgent.newTag();
    toHeader = '<' + target + '>';
    sequence = 0;
    lastNotifySequence = -1;
    sendSubscribe(EXPIRES_SECONDS);
  }

  /** Ends the subscription. */
  public void stop() {
    if (!stopped && callId != null) {
      stopped = true;
      ClientTransaction.cancelTimer(subscribeTimer);
      sendSubscribe(0);
    }
  }

  private void sendSubscribe(int expiresSeconds) {
    SipRequest request = new SipRequest("SUBSCRIBE", target);
    request.add("Max-Forwards", "70");
    request.add("From", fromHeader);
    request.add("To", toHeader);
    request.add("Call-ID", callId);
    sequence++;
    request.add("CSeq", new CSeq(sequence, "SUBSCRIBE").toString());
    request.add("Contact", userAgent.contact(hop));
    request.add("Event", event);
    request.add("Expires", Integer.toString(expiresSeconds));
    userAgent.sendOutsideDialog(request, hop, new SubscribeResponseListener(callId));
  }

  /** Hears the answers to one SUBSCRIBE. */
  private final class SubscribeResponseListener implements ClientTransaction.Listener {
    private final String requestCallId;

    SubscribeResponseListener(String requestCallId) {
      this.requestCallId = requestCallId;
    }

    @Override
    public void response(SipResponse response) {
      if (!requestCallId.equals(callId) || stopped || response.isProvisional()) {
        return;
      }
      if (response.isSuccess()) {
        toHeader = response.header("To");
        retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
        double grantedSeconds = Math.max(1, response.numericHeader("Expires", EXPIRES_SECONDS));
        scheduleSubscribe(grantedSeconds * 800, () -> sendSubscribe(EXPIRES_SECONDS));
      } else {
        retryAfterLoss("answered " + response.status());
      }
    }

    @Override
    public void failed(Failure failure) {
      if (requestCallId.equals(callId) && !stopped) {
        retryAfterLoss("failed: " + failure);
      }
    }
  }

  private void retryAfterLoss(String reason) {
    watcher.lost(reason);
    double jitter = 0.5 + host.random().nextDouble();
    scheduleSubscribe(retryDelayMillis * jitter, this::subscribe);
    retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
  }

  private void scheduleSubscribe(double delayMillis, Runnable task) {
    ClientTransaction.cancelTimer(subscribeTimer);
    subscribeTimer = host.schedule(delayMillis, task);
  }

  /** Takes a NOTIFY if it is of this subscription, and answers it; whether it was. */
  public boolean receiveNotify(ServerTransaction transaction, SipRequest notify) {
    if (callId == null || !callId.equals(notify.callId())) {
      return false;
    }
    transaction.respond(notify.response(200));
    if (notify.cseq().number() > lastNotifySequence) {
      lastNotifySequence = notify.cseq().number();
      watcher.notified(notify);
      boolean terminated = notify.header("Subscription-State", "").startsWith("terminated");
      if (terminated && !stopped) {
        retryAfterLoss("terminated by the notifier");
      }
    }
    return true;
  }
}
