package coveladder;

import coveladder.CallPolicy.Actions;
import java.util.ArrayList;
import java.util.List;

/** Actions that only write down what was asked for. */
final class Recorder implements Actions {
  /** One action: what was asked, for which call, toward which exchange, with which figure. */
  record Asked(String what, String call, String exchange, double figure) {}

  final List<Asked> all = new ArrayList<>();

  List<Asked> of(String what) {
    return all.stream().filter(a -> a.what().equals(what)).toList();
  }

  List<String> answers(String call) {
    return all.stream()
        .filter(
            a -> a.call().equals(call) && (a.what().equals("refuse") || a.what().equals("fail")))
        .map(Asked::what)
        .toList();
  }

  List<String> sentTo(String call) {
    return of("send").stream().filter(a -> a.call().equals(call)).map(Asked::exchange).toList();
  }

  @Override
  public void send(String call, String exchange, double within) {
    all.add(new Asked("send", call, exchange, within));
  }

  @Override
  public void cancel(String call, int attempt) {
    all.add(new Asked("cancel", call, "", attempt));
  }

  @Override
  public void refuse(String call, double comeBack) {
    all.add(new Asked("refuse", call, "", comeBack));
  }

  @Override
  public void fail(String call) {
    all.add(new Asked("fail", call, "", 0));
  }

  @Override
  public void startTimer(double delay, long label) {
    all.add(new Asked("wake", String.valueOf(label), "", delay));
  }

  @Override
  public void probe(String exchange) {
    all.add(new Asked("probe", "", exchange, 0));
  }

  @Override
  public void broadcast(byte[] payload) {
    all.add(new Asked("tell", "", "", payload.length));
  }

  @Override
  public void subscribeToDirectory() {
    all.add(new Asked("subscribe", "", "", 0));
  }
}
