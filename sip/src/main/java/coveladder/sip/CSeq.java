package coveladder.sip;

/**
 * A CSeq value (RFC 3261 section 20.16).
 *
 * @param number the sequence number, below 2^31
 * @param method the method
 */
public record CSeq(long number, String method) {

  /** Parses a CSeq value; returns null if the text is not one. */
  public static CSeq parse(String text) {
    String value = text.trim();
    int numberEnd = 0;
    while (numberEnd < value.length() && value.charAt(numberEnd) > ' ') {
      numberEnd++;
    }
    long number = HeaderScanner.parseNumber(value.substring(0, numberEnd), Integer.MAX_VALUE);
    String method = value.substring(numberEnd).trim();
    return number < 0 || !HeaderScanner.isToken(method) ? null : new CSeq(number, method);
  }

  @Override
  public String toString() {
    return number + " " + method;
  }
}
