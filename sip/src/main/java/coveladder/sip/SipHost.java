package coveladder.sip;

import java.util.random.RandomGenerator;

/**
 * The environment of a SIP stack: clock, timers, random numbers and transport. Implemented on
 * sockets and by the simulated network. All calls and callbacks happen on one thread.
 */
public interface SipHost {

  /** The monotonic clock, in milliseconds. */
  double now();

  /** Runs the task once after a delay in milliseconds, never during this call. */
  Timer schedule(double delayMillis, Runnable task);

  /** The random generator for branches, tags and Call-IDs. */
  RandomGenerator random();

  /**
   * Hands a complete message to the transport. A failure is reported later through {@link
   * SipStack#connectionFailed}.
   */
  void send(Hop to, byte[] message);

  /** The local address, as written into Via and Contact. */
  Hop localHop(Transport transport);

  /** A pending timer. */
  interface Timer {
    /** Cancels the timer; has no effect once its task has run. */
    void cancel();
  }
}
