package coveladder.sip;

/** A message that is not SIP; carries the answer that a request deserves. */
public final class SipParseException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final transient SipRequest answerable;

  /**
   * Makes the error.
   *
   * @param status the status for an answer, 400 or 505 among others
   * @param reason what is wrong, where, and what was expected
   */
  public SipParseException(int status, String reason) {
    this(status, reason, null);
  }

  /** Makes the error with as much of the request as an answer needs; null if there is not. */
  public SipParseException(int status, String reason, SipRequest answerable) {
    super(reason);
    this.status = status;
    this.answerable = answerable;
  }

  /** The status that fits. */
  public int status() {
    return status;
  }

  /** The request so far, if Via, From, To, Call-ID and CSeq could be read; else null. */
  public SipRequest answerable() {
    return answerable;
  }
}
