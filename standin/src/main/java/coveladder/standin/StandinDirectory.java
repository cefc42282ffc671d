package coveladder.standin;

import coveladder.sip.AbstractSipNode;
import coveladder.sip.Notifier;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipHost;
import coveladder.sip.SipRequest;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the directory server: it reports the state of all exchanges, with a delay. */
public final class StandinDirectory extends AbstractSipNode {
  private final SipHost host;
  private final Notifier notifier;
  private final double meanDelayMillis;
  private final Map<String, Entry> entriesById = new LinkedHashMap<>();
  private long version;

  /**
   * The directory entry of an exchange.
   *
   * @param id id of its present processor
   * @param number number of the exchange
   * @param domain domain of the exchange
   * @param address URI of its switch
   * @param state {@code in-service}, {@code draining} or {@code gone}
   * @param startedAtMillis clock time at which it started, ms; negative if long ago: its age is not
   *     reported
   */
  public record Entry(
      String id, int number, String domain, String address, String state, double startedAtMillis) {

    /** The same entry in another state. */
    public Entry withState(String newState) {
      return new Entry(id, number, domain, address, newState, startedAtMillis);
    }
  }

  /**
   * Creates an empty directory.
   *
   * @param meanDelayMillis mean delay of an update, ms; each is delayed by 0.5 to 1.5 times that
   */
  public StandinDirectory(SipHost host, Timing timing, double meanDelayMillis) {
    super(host, timing, SipStack.Limits.DEFAULT);
    this.host = host;
    this.meanDelayMillis = meanDelayMillis;
    this.notifier = new Notifier(userAgent(), host, "exchange-list", 1000);
  }

  /** Adds the initial entries; subscribers are not notified. */
  public void addEntries(List<Entry> entries) {
    version++;
    entries.forEach(entry -> entriesById.put(entry.id(), entry));
  }

  /**
   * Applies changes after the delay and notifies the subscribers. An entry in state {@code gone} is
   * removed.
   */
  public void scheduleUpdate(List<Entry> changes) {
    host.schedule(meanDelayMillis * (0.5 + host.random().nextDouble()), () -> publish(changes));
  }

  private void publish(List<Entry> changes) {
    long previousVersion = version++;
    for (Entry entry : changes) {
      if (entry.state().equals("gone")) {
        entriesById.remove(entry.id());
      } else {
        entriesById.put(entry.id(), entry);
      }
    }
    notifier
        .active()
        .forEach(
            subscription ->
                subscription.notify("application/json", body(changes, previousVersion)));
  }

  /** A full body if {@code previousVersion} is negative; otherwise the changes since then. */
  private String body(List<Entry> entries, long previousVersion) {
    boolean full = previousVersion < 0;
    StringBuilder json = new StringBuilder("{\"full\":").append(full);
    if (!full) {
      json.append(",\"after\":").append(previousVersion);
    }
    json.append(",\"version\":")
        .append(full ? version : previousVersion + 1)
        .append(",\"exchanges\":[");
    for (int i = 0; i < entries.size(); i++) {
      Entry entry = entries.get(i);
      json.append(i > 0 ? "," : "").append("{\"id\":\"").append(entry.id());
      json.append("\",\"number\":").append(entry.number());
      json.append(",\"domain\":\"").append(entry.domain());
      json.append("\",\"address\":\"").append(entry.address());
      json.append("\",\"state\":\"").append(entry.state()).append('"');
      if (entry.startedAtMillis() >= 0) {
        json.append(",\"age\":").append(Math.round(host.now() - entry.startedAtMillis()));
      }
      json.append('}');
    }
    return json.append("]}").toString();
  }

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    if (!request.is("SUBSCRIBE")) {
      super.request(transaction, request);
      return;
    }
    Notifier.Subscription subscription = notifier.subscribe(transaction, request);
    if (subscription != null) {
      subscription.notify("application/json", body(new ArrayList<>(entriesById.values()), -1));
    }
  }
}
