package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.Transport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** The host of one run of a machine; after its end no timer runs and no message is sent. */
final class IncarnationHost implements SipHost {
  private final SipHost host;
  private final BooleanSupplier canSend;
  private boolean ended;

  /** Starts a run; messages are lost while {@code canSend} is false. */
  IncarnationHost(SipHost host, BooleanSupplier canSend) {
    this.host = host;
    this.canSend = canSend;
  }

  /** Ends the run. */
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
