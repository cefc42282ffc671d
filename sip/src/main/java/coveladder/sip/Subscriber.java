package coveladder.sip;

/**
 * The subscriber's side of one subscription (RFC 6665 section 4.1): subscribes, refreshes, receives
 * NOTIFYs, and subscribes again with exponential backoff when the subscription is lost.
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

  /** Receives the notifications of a subscription. */
  public interface Watcher {
    /** A NOTIFY arrived in order. */
    void notified(SipRequest notify);

    /** The subscription was refused or lost; it will be retried. */
    void lost(String reason);
  }

  /**
   * Creates a subscriber; {@link #subscribe} sends the first request.
   *
   * @param event the event package
   * @param localUri local URI, for the From header field
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

  /** Starts a new subscription; the notifier then sends the full state. */
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

  /** Handles the responses to one SUBSCRIBE. */
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
        // Refreshes after 80 % of the granted time, converted to milliseconds.
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

  /** Answers a NOTIFY if it belongs to this subscription; returns whether it does. */
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
