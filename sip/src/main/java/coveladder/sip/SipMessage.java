package coveladder.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A request or response: header fields in their order, and a body.
 *
 * <p>Text is stored byte for byte (ISO 8859-1), so that fields in UTF-8 or any other encoding are
 * forwarded unchanged. Known header names are stored in their full form, unknown ones as written.
 */
public abstract sealed class SipMessage permits SipRequest, SipResponse {
  private static final byte[] NO_BODY = {};

  private final List<String> names = new ArrayList<>(16);
  private final List<String> values = new ArrayList<>(16);
  private byte[] body = NO_BODY;
  private Via topVia;
  private CSeq cseq;
  private NameAddr from;
  private NameAddr to;

  /** The start line, without its line end. */
  public abstract String startLine();

  /** The number of header fields. */
  public int headerCount() {
    return names.size();
  }

  /** The name of the field at an index. */
  public String headerName(int index) {
    return names.get(index);
  }

  /** The value of the field at an index. */
  public String headerValue(int index) {
    return values.get(index);
  }

  /** Known names are stored as one object each, so that they can be compared by identity. */
  private int indexOf(String name, int start) {
    String canonical = HeaderNames.lookUp(name);
    for (int i = start; i < names.size(); i++) {
      String candidate = names.get(i);
      if (canonical != null ? candidate == canonical : candidate.equalsIgnoreCase(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Discards the parsed values of the header fields. */
  private void clearParsedHeaders() {
    topVia = null;
    cseq = null;
    from = null;
    to = null;
  }

  /** The value of the first field of that name, as written; null if there is none. */
  public String header(String name) {
    int index = indexOf(name, 0);
    return index < 0 ? null : values.get(index);
  }

  /** The value of the first field of that name, or the default value if there is none. */
  public String header(String name, String defaultValue) {
    String value = header(name);
    return value == null ? defaultValue : value;
  }

  /** All values of the fields of that name; values on one line are split at commas. */
  public List<String> headers(String name) {
    List<String> all = new ArrayList<>(2);
    for (int i = indexOf(name, 0); i >= 0; i = indexOf(name, i + 1)) {
      all.addAll(HeaderScanner.splitValues(values.get(i)));
    }
    return all;
  }

  /** The number of header lines of that name. */
  public int headerLineCount(String name) {
    int count = 0;
    for (int i = indexOf(name, 0); i >= 0; i = indexOf(name, i + 1)) {
      count++;
    }
    return count;
  }

  /** Appends a field. */
  public void add(String name, String value) {
    clearParsedHeaders();
    names.add(HeaderNames.canonical(name));
    values.add(value);
  }

  /** Inserts a field before all others. */
  public void addFirst(String name, String value) {
    clearParsedHeaders();
    names.add(0, HeaderNames.canonical(name));
    values.add(0, value);
  }

  /** Replaces all fields of that name by one. */
  public void set(String name, String value) {
    clearParsedHeaders();
    int index = indexOf(name, 0);
    if (index < 0) {
      add(name, value);
      return;
    }
    values.set(index, value);
    for (int i = indexOf(name, index + 1); i >= 0; i = indexOf(name, i)) {
      names.remove(i);
      values.remove(i);
    }
  }

  /** Removes all fields of that name. */
  public void remove(String name) {
    clearParsedHeaders();
    for (int i = indexOf(name, 0); i >= 0; i = indexOf(name, i)) {
      names.remove(i);
      values.remove(i);
    }
  }

  /**
   * Removes and returns the first value of a field, which may share its line with others; null if
   * there is none.
   */
  public String removeFirstValue(String name) {
    clearParsedHeaders();
    int index = indexOf(name, 0);
    if (index < 0) {
      return null;
    }
    String line = values.get(index);
    int comma = HeaderScanner.indexOfUnquoted(line, ',', 0);
    if (comma == line.length()) {
      names.remove(index);
      values.remove(index);
    } else {
      values.set(index, line.substring(comma + 1).trim());
    }
    return line.substring(0, comma).trim();
  }

  /** Replaces the topmost Via. */
  public void replaceTopVia(Via via) {
    clearParsedHeaders();
    int index = indexOf("Via", 0);
    String line = values.get(index);
    int comma = HeaderScanner.indexOfUnquoted(line, ',', 0);
    values.set(index, via + line.substring(comma));
  }

  /** Appends all fields of that name of another message. */
  public void copyHeaders(String name, SipMessage other) {
    clearParsedHeaders();
    for (int i = other.indexOf(name, 0); i >= 0; i = other.indexOf(name, i + 1)) {
      names.add(other.names.get(i));
      values.add(other.values.get(i));
    }
  }

  /** The body; empty if there is none. Callers must not modify it. */
  public byte[] body() {
    return body;
  }

  /** The body decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Sets the body; {@link #toBytes} writes the Content-Length. Null sets an empty body. */
  public void body(byte[] content) {
    body = content == null ? NO_BODY : content;
  }

  /** Sets the body and its Content-Type. */
  public void body(String type, String text) {
    set("Content-Type", type);
    body = text.getBytes(StandardCharsets.UTF_8);
  }

  /** The topmost Via; null if it is missing or malformed. */
  public Via via() {
    String line = topVia == null ? header("Via") : null;
    if (line != null) {
      topVia = Via.parse(line.substring(0, HeaderScanner.indexOfUnquoted(line, ',', 0)));
    }
    return topVia;
  }

  /** The CSeq value; null if it is missing or malformed. */
  public CSeq cseq() {
    String line = cseq == null ? header("CSeq") : null;
    if (line != null) {
      cseq = CSeq.parse(line);
    }
    return cseq;
  }

  /** The address in a field; null if it is missing or malformed. */
  public NameAddr addressHeader(String name) {
    String line = header(name);
    return line == null ? null : NameAddr.parse(line);
  }

  /** The Call-ID; null if there is none. */
  public String callId() {
    return header("Call-ID");
  }

  /** The From address; null if it is missing or malformed. */
  public NameAddr from() {
    if (from == null) {
      from = addressHeader("From");
    }
    return from;
  }

  /** The To address; null if it is missing or malformed. */
  public NameAddr to() {
    if (to == null) {
      to = addressHeader("To");
    }
    return to;
  }

  /** The From tag; null if there is none. */
  public String fromTag() {
    NameAddr address = from();
    return address == null ? null : address.tag();
  }

  /** The To tag; null if there is none. */
  public String toTag() {
    NameAddr address = to();
    return address == null ? null : address.tag();
  }

  /**
   * The integer at the beginning of a field's value, or the default value if the field is missing
   * or does not begin with one.
   */
  public long numericHeader(String name, long defaultValue) {
    String line = header(name);
    if (line == null) {
      return defaultValue;
    }
    int end = 0;
    while (end < line.length() && line.charAt(end) >= '0' && line.charAt(end) <= '9') {
      end++;
    }
    long value = HeaderScanner.parseNumber(line.substring(0, end), Integer.MAX_VALUE);
    return value < 0 ? defaultValue : value;
  }

  /** Serializes the message, with the Content-Length of its body. */
  public byte[] toBytes() {
    StringBuilder out = new StringBuilder(640);
    out.append(startLine()).append("\r\n");
    for (int i = 0; i < names.size(); i++) {
      if (!names.get(i).equals("Content-Length")) {
        out.append(names.get(i)).append(": ").append(values.get(i)).append("\r\n");
      }
    }
    out.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] head = out.toString().getBytes(StandardCharsets.ISO_8859_1);
    if (body.length == 0) {
      return head;
    }
    byte[] whole = new byte[head.length + body.length];
    System.arraycopy(head, 0, whole, 0, head.length);
    System.arraycopy(body, 0, whole, head.length, body.length);
    return whole;
  }

  @Override
  public String toString() {
    return startLine();
  }
}
