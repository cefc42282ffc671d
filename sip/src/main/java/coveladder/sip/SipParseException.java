package coveladder.sip;

/** Reports a malformed message; for a request, with what is needed to answer it. */
public final class SipParseException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final transient SipRequest answerableRequest;

  /**
   * Creates the exception for a message that cannot be answered.
   *
   * @param status the status of a response, for example 400 or 505
   * @param reason describes the problem
   */
  public SipParseException(int status, String reason) {
    this(status, reason, null);
  }

  /**
   * Creates the exception.
   *
   * @param status the status of a response, for example 400 or 505
   * @param reason describes the problem; sent as the reason phrase of the response
   * @param answerableRequest the request with the header fields that a response needs; null if some
   *     are missing
   */
  public SipParseException(int status, String reason, SipRequest answerableRequest) {
    super(reason);
    this.status = status;
    this.answerableRequest = answerableRequest;
  }

  /** The status of a response to the message. */
  public int status() {
    return status;
  }

  /** The request as far as it was parsed, if it can be answered; otherwise null. */
  public SipRequest answerableRequest() {
    return answerableRequest;
  }
}
