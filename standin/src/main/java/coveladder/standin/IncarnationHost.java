package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.Transport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** One life of a machine: once it is over, none of its timers runs and nothing leaves. */
final class IncarnationHost implements SipHost {
  private final SipHost host;
  private final BooleanSupplier canSend;
  private boolean ended;

  /** Begins a life; while the machine does not speak, what it sends is lost. */
  IncarnationHost(SipHost host, BooleanSupplier canSend) {
    this.host = host;
    this.canSend = canSend;
  }

  void end() {
    ended = true;
  }

  @Override
  public double now() {
    return host.now();
  }

  @Override
  public Timer schedule(double delayMillis, Runnable task) {
    return host.schedule(
        delayMillis,
        () -> {
          if (!ended) {
            task.run();
          }
        });
  }

  @Override
  public RandomGenerator random() {
    return host.random();
  }

  @Override
  public void send(Hop to, byte[] message) {
    if (!ended && canSend.getAsBoolean()) {
      host.send(to, message);
    }
  }

  @Override
  public Hop localHop(Transport transport) {
    return host.localHop(transport);
  }
}
