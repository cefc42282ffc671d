package coveladder.sip;

/** One element of the network, as a world drives it: a controller, a switch, a list, callers. */
public interface SipNode {

  /** Begins. */
  void start();

  /**
   * A whole message came.
   *
   * @param from where it came from
   * @param arrived clock of its arrival, ms; before now where it waited unread
   */
  void receive(Hop from, byte[] message, double arrived);

  /** A connection could not be made, or broke. */
  void connectionFailed(Hop hop, Failure failure);
}
