package coveladder.sip;

/**
 * An element of the network that is driven by its {@link SipHost}: a controller, a switch, an
 * exchange directory or a group of callers.
 */
public interface SipNode {

  /** Starts the node. */
  void start();

  /**
   * Handles a complete message.
   *
   * @param from the source of the message
   * @param arrivedAtMillis clock time of its arrival, ms; earlier than now if it was queued
   */
  void receive(Hop from, byte[] message, double arrivedAtMillis);

  /** Handles a connection that could not be established or was lost. */
  void connectionFailed(Hop hop, Failure failure);
}
