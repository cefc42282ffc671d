package coveladder;

import coveladder.CallPolicy.Actions;
import java.util.ArrayList;
import java.util.List;

/** Actions that only write down what was asked for. */
final class RecordingActions implements Actions {
  /** One action: what was asked, for which call, toward which exchange, with which figure. */
  record RecordedAction(String type, String call, String exchange, double value) {}

  final List<RecordedAction> recorded = new ArrayList<>();

  List<RecordedAction> ofType(String type) {
    return recorded.stream().filter(action -> action.type().equals(type)).toList();
  }

  List<String> finalAnswers(String call) {
    return recorded.stream()
        .filter(
            action ->
                action.call().equals(call)
                    && (action.type().equals("refuse") || action.type().equals("fail")))
        .map(RecordedAction::type)
        .toList();
  }

  List<String> exchangesTried(String call) {
    return ofType("send").stream()
        .filter(action -> action.call().equals(call))
        .map(RecordedAction::exchange)
        .toList();
  }

  @Override
  public void send(String call, String exchange, double timeoutMillis) {
    recorded.add(new RecordedAction("send", call, exchange, timeoutMillis));
  }

  @Override
  public void cancel(String call, int attempt) {
    recorded.add(new RecordedAction("cancel", call, "", attempt));
  }

  @Override
  public void refuse(String call, double retryAfterMillis) {
    recorded.add(new RecordedAction("refuse", call, "", retryAfterMillis));
  }

  @Override
  public void fail(String call) {
    recorded.add(new RecordedAction("fail", call, "", 0));
  }

  @Override
  public void startTimer(double delayMillis, long label) {
    recorded.add(new RecordedAction("wake", String.valueOf(label), "", delayMillis));
  }

  @Override
  public void probe(String exchange) {
    recorded.add(new RecordedAction("probe", "", exchange, 0));
  }

  @Override
  public void broadcast(byte[] payload) {
    recorded.add(new RecordedAction("tell", "", "", payload.length));
  }

  @Override
  public void subscribeToDirectory() {
    recorded.add(new RecordedAction("subscribe", "", "", 0));
  }
}
