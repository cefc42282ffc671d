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

/** A stand-in for the exchange list: it knows whether processors run, and tells it late. */
public final class StandinDirectory extends AbstractSipNode {
  private final SipHost host;
  private final Notifier notifier;
  private final double lateness;
  private final Map<String, Entry> lines = new LinkedHashMap<>();
  private long version;

  /**
   * One exchange as the list has it.
   *
   * @param id its id
   * @param number its number
   * @param domain its domain
   * @param address URI of its switch
   * @param state {@code in-service}, {@code draining} or {@code gone}
   * @param startedAtMillis clock of its start, ms; negative: long ago
   */
  public record Entry(
      String id, int number, String domain, String address, String state, double startedAtMillis) {

    /** The same exchange in another state. */
    public Entry withState(String other) {
      return new Entry(id, number, domain, address, other, startedAtMillis);
    }
  }

  /** Makes a list that tells changes so many milliseconds late, give or take a half. */
  public StandinDirectory(SipHost host, Timing timing, double lateness) {
    super(host, timing, SipStack.Limits.DEFAULT);
    this.host = host;
    this.lateness = lateness;
    this.notifier = new Notifier(userAgent(), host, "exchange-list", 1000);
  }

  /** Enters lines that are known from the beginning. */
  public void addEntries(List<Entry> known) {
    version++;
    known.forEach(line -> lines.put(line.id(), line));
  }

  /** Changes lines; subscribers hear of it late. */
  public void scheduleUpdate(List<Entry> news) {
    host.schedule(lateness * (0.5 + host.random().nextDouble()), () -> publish(news));
  }

  private void publish(List<Entry> news) {
    long after = version++;
    for (Entry line : news) {
      if (line.state().equals("gone")) {
        lines.remove(line.id());
      } else {
        lines.put(line.id(), line);
      }
    }
    notifier
        .active()
        .forEach(subscription -> subscription.notify("application/json", body(news, after)));
  }

  private String body(List<Entry> told, long after) {
    boolean full = after < 0;
    StringBuilder out = new StringBuilder("{\"full\":").append(full);
    if (!full) {
      out.append(",\"after\":").append(after);
    }
    out.append(",\"version\":").append(full ? version : after + 1).append(",\"exchanges\":[");
    for (int i = 0; i < told.size(); i++) {
      Entry line = told.get(i);
      out.append(i > 0 ? "," : "").append("{\"id\":\"").append(line.id());
      out.append("\",\"number\":").append(line.number());
      out.append(",\"domain\":\"").append(line.domain());
      out.append("\",\"address\":\"").append(line.address());
      out.append("\",\"state\":\"").append(line.state()).append('"');
      if (line.startedAtMillis() >= 0) {
        out.append(",\"age\":").append(Math.round(host.now() - line.startedAtMillis()));
      }
      out.append('}');
    }
    return out.append("]}").toString();
  }

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    if (!request.is("SUBSCRIBE")) {
      super.request(transaction, request);
      return;
    }
    Notifier.Subscription made = notifier.subscribe(transaction, request);
    if (made != null) {
      made.notify("application/json", body(new ArrayList<>(lines.values()), -1));
    }
  }
}
