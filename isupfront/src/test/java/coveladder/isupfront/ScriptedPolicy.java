package coveladder.isupfront;

import coveladder.CallPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * A policy that records its events. It sends each call to switch s1 with a time limit of 1 s and
 * refuses it when that attempt fails.
 */
class ScriptedPolicy implements CallPolicy {
  final List<String> events = new ArrayList<>();
  final Actions actions;

  ScriptedPolicy(Actions actions) {
    this.actions = actions;
  }

  /** Returns the events recorded since the previous call. */
  List<String> takeEvents() {
    List<String> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  private static long parseId(String call) {
    return Long.parseLong(call, 16);
  }

  @Override
  public void onStart(double now) {}

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate update) {
    update
        .entries()
        .forEach(exchange -> events.add("directory " + exchange.id() + " " + exchange.state()));
  }

  @Override
  public void onCall(double now, Call call) {
    events.add("call " + parseId(call.id()) + " " + Math.round(call.patience()));
    actions.send(call.id(), "s1", 1_000);
  }

  @Override
  public void onEstablished(double now, Established established) {
    events.add("established " + parseId(established.call()));
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    events.add(
        "ended "
            + parseId(ended.call())
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
    events.add("abandoned " + parseId(call));
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
