package coveladder.sip;

/**
 * A CSeq value (RFC 3261 section 20.16).
 *
 * @param number the sequence number, below 2^31
 * @param method the method
 */
public record CSeq(long number, String method) {

  /** Reads the value; null where it is none. */
  public static CSeq parse(String text) {
    String value = text.trim();
    int blank = 0;
    while (blank < value.length() && value.charAt(blank) > ' ') {
      blank++;
    }
    long number = Scan.number(value.substring(0, blank), Integer.MAX_VALUE);
    String method = value.substring(blank).trim();
    return number < 0 || !Scan.token(method) ? null : new CSeq(number, method);
  }

  @Override
  public String toString() {
    return number + " " + method;
  }
}
