package coveladder.simhost;

import coveladder.CallPolicy.Actions;
import java.util.Base64;

/** Appends the actions that an instance requests to the reply, one line each. */
final class WireActions implements Actions {
  private final int instanceId;
  private final StringBuilder reply;

  WireActions(int instanceId, StringBuilder reply) {
    this.instanceId = instanceId;
    this.reply = reply;
  }

  private StringBuilder appendAction(String action) {
    return reply.append(action).append(" who=").append(instanceId);
  }

  @Override
  public void send(String call, String exchange, double timeoutMillis) {
    appendAction("RELAY").append(" handle=").append(call).append(" switch=").append(exchange);
    reply.append(" within=").append(timeoutMillis).append('\n');
  }

  @Override
  public void cancel(String call, int attempt) {
    appendAction("DROP_ATTEMPT").append(" handle=").append(call).append(" trial=").append(attempt);
    reply.append('\n');
  }

  @Override
  public void refuse(String call, double retryAfterMillis) {
    appendAction("TURN_AWAY")
        .append(" handle=")
        .append(call)
        .append(" comeBack=")
        .append(retryAfterMillis);
    reply.append('\n');
  }

  @Override
  public void fail(String call) {
    appendAction("END_FAILED").append(" handle=").append(call).append('\n');
  }

  @Override
  public void startTimer(double delayMillis, long label) {
    appendAction("WAKE_AT")
        .append(" sleepFor=")
        .append(delayMillis)
        .append(" label=")
        .append(label);
    reply.append('\n');
  }

  @Override
  public void probe(String exchange) {
    appendAction("SOUND_OUT").append(" switch=").append(exchange).append('\n');
  }

  @Override
  public void broadcast(byte[] payload) {
    String text = payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload);
    appendAction("BROADCAST_TO").append(" dst=all payload=").append(text).append('\n');
  }

  @Override
  public void subscribeToDirectory() {
    appendAction("OBSERVE").append(" want=1\n");
  }
}
