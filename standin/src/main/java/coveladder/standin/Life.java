package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.Transport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** One life of a machine: once it is over, none of its timers runs and nothing leaves. */
final class Life implements SipHost {
  private final SipHost host;
  private final BooleanSupplier speaks;
  private boolean over;

  /** Begins a life; while the machine does not speak, what it sends is lost. */
  Life(SipHost host, BooleanSupplier speaks) {
    this.host = host;
    this.speaks = speaks;
  }

  void end() {
    over = true;
  }

  @Override
  public double now() {
    return host.now();
  }

  @Override
  public Timer schedule(double delay, Runnable task) {
    return host.schedule(
        delay,
        () -> {
          if (!over) {
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
    if (!over && speaks.getAsBoolean()) {
      host.send(to, message);
    }
  }

  @Override
  public Hop localHop(Transport transport) {
    return host.localHop(transport);
  }
}
