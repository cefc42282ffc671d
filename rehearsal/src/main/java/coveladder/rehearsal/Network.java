package coveladder.rehearsal;

import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A network with nodes on it, on sockets or simulated. Scripts run alike in both. */
public interface Network extends AutoCloseable {

  /** Keeps an address for a node; UDP and TCP share its port. */
  Hop reserveAddress(String name);

  /**
   * Puts a node on its address.
   *
   * @param thread nodes of one crew share one thread
   */
  <N extends SipNode> N addNode(String name, String thread, Function<SipHost, N> factory);

  /** Does something to a node, on its thread, at a clock time in milliseconds. */
  void schedule(double time, String name, Runnable action);

  /** Stops a node from reading, sending and timing for so long, ms; what comes meanwhile waits. */
  void freeze(String name, double durationMillis);

  /** Takes a node off the network, its connections reset; or puts it back. */
  void setReachable(String name, boolean reachable);

  /** Resets all stream connections of a node. */
  void resetConnections(String name);

  /** What the network does to messages from now on. */
  void setConditions(Conditions conditions);

  /** Lets time go on until the clock, or until all is done, whichever is first. */
  void runUntil(double until, BooleanSupplier done);

  /** The clock, ms from the world's beginning. */
  double now();

  /** What crossed the wire. */
  MessageRecorder recorder();

  @Override
  void close();

  /**
   * What a network does to messages.
   *
   * @param minDelayMillis least time on the way, ms
   * @param maxDelayMillis longest time on the way, ms; datagrams with different times overtake each
   *     other
   * @param lossRate share of datagrams that are lost
   * @param duplicationRate share of datagrams that come twice
   */
  record Conditions(
      double minDelayMillis, double maxDelayMillis, double lossRate, double duplicationRate) {
    /** A sound network. */
    public static final Conditions NORMAL = new Conditions(0.2, 1, 0, 0);
  }
}
