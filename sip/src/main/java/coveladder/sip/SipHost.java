package coveladder.sip;

import java.util.random.RandomGenerator;

/**
 * What a SIP stack needs of the world around it: a clock, timers, randomness and the wire. Sockets
 * and the simulated network each give one. All calls come from, and lead back to, one thread.
 */
public interface SipHost {

  /** The clock in milliseconds; it never steps back. */
  double now();

  /** Runs the task once after a delay in milliseconds, never within this call. */
  Timer schedule(double delay, Runnable task);

  /** The source of branches, tags and Call-IDs. */
  RandomGenerator random();

  /** Hands a whole message to the transport; a failure comes later through {@link SipStack}. */
  void send(Hop to, byte[] message);

  /** Own address as written into Via and Contact. */
  Hop localHop(Transport transport);

  /** A timer that is running. */
  interface Timer {
    /** Stops it; without effect once it ran. */
    void cancel();
  }
}
