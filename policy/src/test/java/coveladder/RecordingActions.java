package coveladder;

import coveladder.CallPolicy.Actions;
import java.util.ArrayList;
import java.util.List;

/** Actions that are recorded and not carried out. */
final class RecordingActions implements Actions {
  /**
   * A requested action.
   *
   * @param type name of the action
   * @param call id of the call, or the label of a started timer; empty: none
   * @param exchange id of the exchange; empty: none
   * @param value number that belongs to the action, such as a delay in ms; 0: none
   */
  record RecordedAction(String type, String call, String exchange, double value) {}

  final List<RecordedAction> recorded = new ArrayList<>();

  List<RecordedAction> ofType(String type) {
    return recorded.stream().filter(action -> action.type().equals(type)).toList();
  }

  /** Returns the types of the final answers given to a call. */
  List<String> finalAnswers(String call) {
    return recorded.stream()
        .filter(
            action ->
                action.call().equals(call)
                    && (action.type().equals("refuse") || action.type().equals("fail")))
        .map(RecordedAction::type)
        .toList();
  }

  /** Returns the ids of the exchanges to which the attempts of a call were sent, in order. */
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
    recorded.add(new RecordedAction("startTimer", String.valueOf(label), "", delayMillis));
  }

  @Override
  public void cancelTimer(long label) {
    recorded.add(new RecordedAction("cancelTimer", String.valueOf(label), "", 0));
  }

  @Override
  public void probe(String exchange) {
    recorded.add(new RecordedAction("probe", "", exchange, 0));
  }

  @Override
  public void broadcast(byte[] payload) {
    recorded.add(new RecordedAction("broadcast", "", "", payload.length));
  }

  @Override
  public void subscribeToDirectory() {
    recorded.add(new RecordedAction("subscribeToDirectory", "", "", 0));
  }
}
