package coveladder.sip;

/**
 * A SIP stack without the transport: parses received messages, passes them to the transaction layer
 * and answers malformed requests. Each node has one. Not thread-safe.
 */
public final class SipStack {
  private final SipHost host;
  private final SipParser parser;
  private final UserAgent userAgent;
  private long malformedMessages;

  /**
   * Creates a stack.
   *
   * @param limits bounds on messages and transactions
   */
  public SipStack(SipHost host, Timing timing, Limits limits, UserAgent.Owner owner) {
    this.host = host;
    this.parser = new SipParser(limits.maxHeaderLines());
    this.userAgent = new UserAgent(host, timing, limits.maxServerTransactions(), owner);
  }

  /**
   * Limits of a stack.
   *
   * @param maxHeaderLines maximum number of header lines of a message
   * @param maxServerTransactions maximum number of concurrent server transactions
   */
  public record Limits(int maxHeaderLines, int maxServerTransactions) {
    /** Limits that suffice for a large controller. */
    public static final Limits DEFAULT = new Limits(128, 400_000);
  }

  /** The user agent. */
  public UserAgent userAgent() {
    return userAgent;
  }

  /** The number of malformed messages so far. */
  public long malformedMessages() {
    return malformedMessages;
  }

  /** Handles a message that has just arrived. */
  public void receive(Hop from, byte[] message) {
    receive(from, message, host.now());
  }

  /**
   * Handles one datagram, or one message extracted from a stream.
   *
   * @param from the source of the message
   * @param arrivedAtMillis clock time of its arrival, ms; earlier than now if it was queued
   */
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    if (isKeepAlive(message)) {
      return;
    }
    try {
      userAgent.transactionLayer().receive(from, parser.parse(message), arrivedAtMillis);
    } catch (SipParseException e) {
      malformedMessages++;
      if (e.answerableRequest() != null) {
        userAgent
            .transactionLayer()
            .rejectMalformed(from, e.answerableRequest(), e.status(), e.getMessage());
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

  /** Handles a connection that could not be established or was lost. */
  public void connectionFailed(Hop hop, Failure failure) {
    userAgent.transactionLayer().connectionFailed(hop, failure);
  }
}
