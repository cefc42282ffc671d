package coveladder.rehearsal;

import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A network of nodes, on sockets or simulated. The same scenarios run on both. */
public interface Network extends AutoCloseable {

  /** Reserves the address of a node and returns it; UDP and TCP share its port. */
  Hop reserveAddress(String name);

  /**
   * Adds a node at its address.
   *
   * @param threadName nodes with the same thread name share one thread
   */
  <N extends SipNode> N addNode(String name, String threadName, Function<SipHost, N> factory);

  /** Runs an action on a node's thread at a clock time in milliseconds. */
  void schedule(double timeMillis, String name, Runnable action);

  /** Freezes a node for a time in milliseconds: messages and timers wait until its end. */
  void freeze(String name, double durationMillis);

  /** Disconnects a node from the network, which resets its connections, or reconnects it. */
  void setReachable(String name, boolean reachable);

  /** Resets all stream connections of a node. */
  void resetConnections(String name);

  /** Sets the delays, loss and duplication of messages from now on. */
  void setConditions(Conditions conditions);

  /** Runs until a clock time in milliseconds or until {@code done}, whichever is earlier. */
  void runUntil(double untilMillis, BooleanSupplier done);

  /** Time since the start of the network, ms. */
  double now();

  /** The record of all messages. */
  MessageRecorder recorder();

  @Override
  void close();

  /**
   * Delays, loss and duplication of messages.
   *
   * @param minDelayMillis minimum delay of a message, ms
   * @param maxDelayMillis maximum delay of a message, ms; datagrams with different delays may be
   *     reordered
   * @param lossRate share of datagrams that are lost, 0 to 1
   * @param duplicationRate share of datagrams that arrive twice, 0 to 1
   */
  record Conditions(
      double minDelayMillis, double maxDelayMillis, double lossRate, double duplicationRate) {
    /** A network without faults. */
    public static final Conditions NORMAL = new Conditions(0.2, 1, 0, 0);
  }
}
