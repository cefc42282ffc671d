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
public final class StandinList extends AbstractSipNode {
  private final SipHost host;
  private final Notifier notifier;
  private final double lateness;
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private long version;

  /**
   * One exchange as the list has it.
   *
   * @param id its id
   * @param number its number
   * @param domain its domain
   * @param address URI of its switch
   * @param state {@code in-service}, {@code draining} or {@code gone}
   * @param started clock of its start, ms; negative: long ago
   */
  public record Line(
      String id, int number, String domain, String address, String state, double started) {

    /** The same exchange in another state. */
    public Line in(String other) {
      return new Line(id, number, domain, address, other, started);
    }
  }

  /** Makes a list that tells changes so many milliseconds late, give or take a half. */
  public StandinList(SipHost host, Timing timing, double lateness) {
    super(host, timing, SipStack.Limits.DEFAULT);
    this.host = host;
    this.lateness = lateness;
    this.notifier = new Notifier(userAgent(), host, "exchange-list", 1000);
  }

  /** Enters lines that are known from the beginning. */
  public void enter(List<Line> known) {
    version++;
    known.forEach(line -> lines.put(line.id(), line));
  }

  /** Changes lines; subscribers hear of it late. */
  public void change(List<Line> news) {
    host.schedule(lateness * (0.5 + host.random().nextDouble()), () -> publish(news));
  }

  private void publish(List<Line> news) {
    long after = version++;
    for (Line line : news) {
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

  private String body(List<Line> told, long after) {
    boolean full = after < 0;
    StringBuilder out = new StringBuilder("{\"full\":").append(full);
    if (!full) {
      out.append(",\"after\":").append(after);
    }
    out.append(",\"version\":").append(full ? version : after + 1).append(",\"exchanges\":[");
    for (int i = 0; i < told.size(); i++) {
      Line line = told.get(i);
      out.append(i > 0 ? "," : "").append("{\"id\":\"").append(line.id());
      out.append("\",\"number\":").append(line.number());
      out.append(",\"domain\":\"").append(line.domain());
      out.append("\",\"address\":\"").append(line.address());
      out.append("\",\"state\":\"").append(line.state()).append('"');
      if (line.started() >= 0) {
        out.append(",\"age\":").append(Math.round(host.now() - line.started()));
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
