package coveladder.sip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The notifier's side of an event package (RFC 6665 section 4.2). */
public final class Notifier {
  private static final int MAX_EXPIRES_SECONDS = 3600;

  private final UserAgent userAgent;
  private final SipHost host;
  private final String event;
  private final int maxSubscribers;
  private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /**
   * Creates a notifier.
   *
   * @param event the event package
   * @param maxSubscribers number of subscriptions beyond which a new one is answered 503
   */
  public Notifier(UserAgent userAgent, SipHost host, String event, int maxSubscribers) {
    this.userAgent = userAgent;
    this.host = host;
    this.event = event;
    this.maxSubscribers = maxSubscribers;
  }

  /** The subscription of one subscriber. */
  public final class Subscription {
    private final Dialog dialog;
    private final String subscriber;
    private double expiresAtMillis;

    private Subscription(Dialog dialog, String subscriber) {
      this.dialog = dialog;
      this.subscriber = subscriber;
    }

    /** URI of the subscriber. */
    public String subscriber() {
      return subscriber;
    }

    /** Sends a NOTIFY with the given body. */
    public void notify(String contentType, String body) {
      SipRequest notify = dialog.request("NOTIFY");
      notify.add("Event", event);
      long remainingSeconds = Math.max(0, Math.round((expiresAtMillis - host.now()) / 1000));
      notify.add("Subscription-State", "active;expires=" + remainingSeconds);
      notify.body(contentType, body);
      userAgent.send(notify, dialog.hop(), new NotifyResponseListener(dialog.callId()));
    }
  }

  /** Removes the subscription of a subscriber that no longer knows it, or cannot be reached. */
  private final class NotifyResponseListener implements ClientTransaction.Listener {
    private final String callId;

    NotifyResponseListener(String callId) {
      this.callId = callId;
    }

    @Override
    public void response(SipResponse response) {
      if (response.status() == 481) {
        subscriptions.remove(callId);
      }
    }

    @Override
    public void failed(Failure failure) {
      subscriptions.remove(callId);
    }
  }

  /**
   * Answers a SUBSCRIBE.
   *
   * @return the subscription that must be sent the full state now; null if there is none
   */
  public Subscription subscribe(ServerTransaction transaction, SipRequest request) {
    if (!event.equals(request.header("Event", ""))) {
      transaction.respond(request.response(489));
      return null;
    }
    boolean known = subscriptions.containsKey(request.callId());
    if (!known && (request.toTag() != null || subscriptions.size() >= maxSubscribers)) {
      transaction.respond(request.response(request.toTag() != null ? 481 : 503));
      return null;
    }
    return known ? refresh(transaction, request) : accept(transaction, request);
  }

  private Subscription accept(ServerTransaction transaction, SipRequest request) {
    String toHeader = request.header("To") + ";tag=" + userAgent.newTag();
    String contact = userAgent.contact(transaction.source());
    Dialog dialog = Dialog.ofCallee(request, toHeader, contact);
    Subscription subscription = new Subscription(dialog, request.addressHeader("From").uri());
    subscriptions.put(request.callId(), subscription);
    return answer(transaction, request, subscription, toHeader);
  }

  private Subscription refresh(ServerTransaction transaction, SipRequest request) {
    return answer(transaction, request, subscriptions.get(request.callId()), request.header("To"));
  }

  private Subscription answer(
      ServerTransaction transaction,
      SipRequest request,
      Subscription subscription,
      String toHeader) {
    long expiresSeconds =
        Math.min(MAX_EXPIRES_SECONDS, request.numericHeader("Expires", MAX_EXPIRES_SECONDS));
    subscription.expiresAtMillis = host.now() + expiresSeconds * 1000.0;
    SipResponse response = request.response(200);
    response.set("To", toHeader);
    response.add("Expires", Long.toString(expiresSeconds));
    response.add("Contact", userAgent.contact(transaction.source()));
    transaction.respond(response);
    if (expiresSeconds == 0) {
      subscriptions.remove(request.callId());
      return null;
    }
    return subscription;
  }

  /** The subscriptions that have not expired. */
  public List<Subscription> active() {
    subscriptions.values().removeIf(subscription -> subscription.expiresAtMillis < host.now());
    return new ArrayList<>(subscriptions.values());
  }
}
