package coveladder.sip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The notifier's side of an event package (RFC 6665 section 4.2). */
public final class Notifier {
  private static final int LONGEST = 3600;

  private final UserAgent agent;
  private final SipHost host;
  private final String event;
  private final int most;
  private final Map<String, Subscription> held = new LinkedHashMap<>();

  /** Makes a notifier of an event package for at most so many subscribers. */
  public Notifier(UserAgent agent, SipHost host, String event, int most) {
    this.agent = agent;
    this.host = host;
    this.event = event;
    this.most = most;
  }

  /** One subscriber. */
  public final class Subscription {
    private final Dialog dialog;
    private final String subscriber;
    private double until;

    private Subscription(Dialog dialog, String subscriber) {
      this.dialog = dialog;
      this.subscriber = subscriber;
    }

    /** URI of the subscriber. */
    public String subscriber() {
      return subscriber;
    }

    /** Sends a state. */
    public void notify(String type, String body) {
      SipRequest notify = dialog.request("NOTIFY");
      notify.add("Event", event);
      long left = Math.max(0, Math.round((until - host.now()) / 1000));
      notify.add("Subscription-State", "active;expires=" + left);
      notify.body(type, body);
      agent.send(notify, dialog.hop(), new Answers(dialog.callId()));
    }
  }

  /** Drops a subscriber that does not know its subscription any more, or cannot be reached. */
  private final class Answers implements ClientTransaction.Listener {
    private final String callId;

    Answers(String callId) {
      this.callId = callId;
    }

    @Override
    public void response(SipResponse response) {
      if (response.status() == 481) {
        held.remove(callId);
      }
    }

    @Override
    public void failed(Failure failure) {
      held.remove(callId);
    }
  }

  /**
   * Answers a SUBSCRIBE.
   *
   * @return the subscription that is owed the full state now; null where there is none
   */
  public Subscription subscribe(ServerTransaction transaction, SipRequest request) {
    if (!event.equals(request.header("Event", ""))) {
      transaction.respond(request.response(489));
      return null;
    }
    boolean known = held.containsKey(request.callId());
    if (!known && (request.toTag() != null || held.size() >= most)) {
      transaction.respond(request.response(request.toTag() != null ? 481 : 503));
      return null;
    }
    return known ? refresh(transaction, request) : accept(transaction, request);
  }

  private Subscription accept(ServerTransaction transaction, SipRequest request) {
    String to = request.header("To") + ";tag=" + agent.newTag();
    String contact = agent.contact(transaction.source());
    Dialog dialog = Dialog.ofCallee(request, to, contact);
    Subscription made = new Subscription(dialog, request.addressHeader("From").uri());
    held.put(request.callId(), made);
    return answer(transaction, request, made, to);
  }

  private Subscription refresh(ServerTransaction transaction, SipRequest request) {
    return answer(transaction, request, held.get(request.callId()), request.header("To"));
  }

  private Subscription answer(
      ServerTransaction transaction, SipRequest request, Subscription subscription, String to) {
    long seconds = Math.min(LONGEST, request.numericHeader("Expires", LONGEST));
    subscription.until = host.now() + seconds * 1000.0;
    SipResponse response = request.response(200);
    response.set("To", to);
    response.add("Expires", Long.toString(seconds));
    response.add("Contact", agent.contact(transaction.source()));
    transaction.respond(response);
    if (seconds == 0) {
      held.remove(request.callId());
      return null;
    }
    return subscription;
  }

  /** The subscriptions that have not run out. */
  public List<Subscription> active() {
    held.values().removeIf(subscription -> subscription.until < host.now());
    return new ArrayList<>(held.values());
  }
}
