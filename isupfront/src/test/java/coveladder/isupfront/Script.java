package coveladder.isupfront;

import coveladder.CallPolicy;
import java.util.ArrayList;
import java.util.List;

/** A policy that does what a test says: by default it sends each call to s1 and then refuses it. */
class Script implements CallPolicy {
  final List<String> events = new ArrayList<>();
  final Actions actions;

  Script(Actions actions) {
    this.actions = actions;
  }

  List<String> news() {
    List<String> news = List.copyOf(events);
    events.clear();
    return news;
  }

  private static long id(String call) {
    return Long.parseLong(call, 16);
  }

  @Override
  public void onStart(double now) {}

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate news) {
    news.entries().forEach(e -> events.add("list " + e.id() + " " + e.state()));
  }

  @Override
  public void onCall(double now, Call call) {
    events.add("call " + id(call.id()) + " " + Math.round(call.patience()));
    actions.send(call.id(), "s1", 1_000);
  }

  @Override
  public void onEstablished(double now, Established stands) {
    events.add("stands " + id(stands.call()));
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    events.add(
        "ended "
            + id(ended.call())
            + " "
            + ended.outcome()
            + " "
            + ended.reason()
            + (ended.callFinished() ? " last" : ""));
    if (!ended.callFinished()) {
      actions.refuse(ended.call(), 250);
    }
  }

  @Override
  public void onCallerAbandoned(double now, String call) {
    events.add("left " + id(call));
  }

  @Override
  public void onLoadReport(double now, LoadReport report) {
    events.add("report " + report.exchange() + " " + report.load().freeCircuits());
  }

  @Override
  public void onTimer(double now, long label) {}

  @Override
  public void onPeerMessage(double now, int from, byte[] payload) {}
}
