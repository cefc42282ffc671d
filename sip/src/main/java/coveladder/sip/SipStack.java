package coveladder.sip;

/**
 * A whole SIP element without its wire: reads what came, hands it to the transactions, and answers
 * what cannot be read. One for each node; single-threaded.
 */
public final class SipStack {
  private final SipHost host;
  private final SipParser parser;
  private final UserAgent userAgent;
  private long malformedMessages;

  /**
   * Makes a stack.
   *
   * @param limits bounds on what is read and held
   */
  public SipStack(SipHost host, Timing timing, Limits limits, UserAgent.Owner owner) {
    this.host = host;
    this.parser = new SipParser(limits.maxHeaderLines());
    this.userAgent = new UserAgent(host, timing, limits.maxServerTransactions(), owner);
  }

  /**
   * Bounds of a stack.
   *
   * @param maxHeaderLines most header lines of a message
   * @param maxServerTransactions most server transactions at a time
   */
  public record Limits(int maxHeaderLines, int maxServerTransactions) {
    /** Bounds that a large controller can live with. */
    public static final Limits DEFAULT = new Limits(128, 400_000);
  }

  /** The user agent. */
  public UserAgent userAgent() {
    return userAgent;
  }

  /** Messages that could not be read so far. */
  public long malformedMessages() {
    return malformedMessages;
  }

  /** Takes one datagram, or one message cut from a stream, that has only now arrived. */
  public void receive(Hop from, byte[] message) {
    receive(from, message, host.now());
  }

  /**
   * Takes one datagram, or one message cut from a stream.
   *
   * @param arrived clock of its arrival, ms; before now where it waited
   */
  public void receive(Hop from, byte[] message, double arrived) {
    if (isKeepAlive(message)) {
      return;
    }
    try {
      userAgent.layer().receive(from, parser.parse(message), arrived);
    } catch (SipParseException e) {
      malformedMessages++;
      if (e.answerable() != null) {
        userAgent.layer().refuseUnread(from, e.answerable(), e.status(), e.getMessage());
      }
    }
  }

  private static boolean isKeepAlive(byte[] message) {
    for (byte octet : message) {
      if (octet != '\r' && octet != '\n' && octet != 0) {
        return false;
      }
    }
    return true;
  }

  /** A connection could not be made, or broke. */
  public void connectionFailed(Hop hop, Failure failure) {
    userAgent.layer().failed(hop, failure);
  }
}
