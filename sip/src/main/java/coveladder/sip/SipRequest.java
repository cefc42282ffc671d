package coveladder.sip;

/** A request (RFC 3261 section 7.1). */
public final class SipRequest extends SipMessage {
  private final String method;
  private final String uri;

  /** Creates a request without header fields. */
  public SipRequest(String method, String uri) {
    this.method = method;
    this.uri = uri;
  }

  /** The method, which is case-sensitive. */
  public String method() {
    return method;
  }

  /** Whether the request has the given method. */
  public boolean is(String other) {
    return method.equals(other);
  }

  /** The Request-URI as written. */
  public String uri() {
    return uri;
  }

  /**
   * Creates a response with the header fields that are copied from the request (RFC 3261 section
   * 8.2.6).
   */
  public SipResponse response(int status) {
    return response(status, SipResponse.reasonPhrase(status));
  }

  /** Creates a response as {@link #response(int)} does, with the given reason phrase. */
  public SipResponse response(int status, String reasonPhrase) {
    SipResponse response = new SipResponse(status, reasonPhrase);
    response.copyHeaders("Via", this);
    response.copyHeaders("From", this);
    response.copyHeaders("To", this);
    response.copyHeaders("Call-ID", this);
    response.copyHeaders("CSeq", this);
    return response;
  }

  @Override
  public String startLine() {
    return method + " " + uri + " SIP/2.0";
  }
}
