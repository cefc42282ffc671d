package coveladder.simhost;

import coveladder.CallPolicy.Actions;
import java.util.Base64;

/** Writes the actions of one instance to the reply. */
final class WireActions implements Actions {
  private final int who;
  private final StringBuilder reply;

  WireActions(int who, StringBuilder reply) {
    this.who = who;
    this.reply = reply;
  }

  private StringBuilder begin(String action) {
    return reply.append(action).append(" who=").append(who);
  }

  @Override
  public void send(String call, String exchange, double within) {
    begin("RELAY").append(" handle=").append(call).append(" switch=").append(exchange);
    reply.append(" within=").append(within).append('\n');
  }

  @Override
  public void cancel(String call, int attempt) {
    begin("DROP_ATTEMPT").append(" handle=").append(call).append(" trial=").append(attempt);
    reply.append('\n');
  }

  @Override
  public void refuse(String call, double comeBack) {
    begin("TURN_AWAY").append(" handle=").append(call).append(" comeBack=").append(comeBack);
    reply.append('\n');
  }

  @Override
  public void fail(String call) {
    begin("END_FAILED").append(" handle=").append(call).append('\n');
  }

  @Override
  public void startTimer(double delay, long label) {
    begin("WAKE_AT").append(" sleepFor=").append(delay).append(" label=").append(label);
    reply.append('\n');
  }

  @Override
  public void probe(String exchange) {
    begin("SOUND_OUT").append(" switch=").append(exchange).append('\n');
  }

  @Override
  public void broadcast(byte[] payload) {
    String text = payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload);
    begin("BROADCAST_TO").append(" dst=all payload=").append(text).append('\n');
  }

  @Override
  public void subscribeToDirectory() {
    begin("OBSERVE").append(" want=1\n");
  }
}
