package coveladder.sip;

/** A request (RFC 3261 section 7.1). */
public final class SipRequest extends SipMessage {
  private final String method;
  private final String uri;

  /** Makes a request without fields. */
  public SipRequest(String method, String uri) {
    this.method = method;
    this.uri = uri;
  }

  /** The method, which is case-sensitive. */
  public String method() {
    return method;
  }

  /** Whether this is the method. */
  public boolean is(String other) {
    return method.equals(other);
  }

  /** The Request-URI as written. */
  public String uri() {
    return uri;
  }

  /** Makes a response with the fields that every response repeats (RFC 3261 section 8.2.6). */
  public SipResponse response(int status) {
    return response(status, SipResponse.reasonPhrase(status));
  }

  /** Makes a response with a reason phrase of one's own. */
  public SipResponse response(int status, String phrase) {
    SipResponse response = new SipResponse(status, phrase);
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
