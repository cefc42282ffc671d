package coveladder.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A request or response: header fields in their order and a body.
 *
 * <p>Text is held byte for byte (ISO 8859-1), so that fields in UTF-8 or any other code leave as
 * they came. Names are held in full form; unknown ones stay as written.
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

  /** The first line, without its end. */
  public abstract String startLine();

  /** Number of header fields. */
  public int headerCount() {
    return names.size();
  }

  /** Name of the field at a place. */
  public String headerName(int at) {
    return names.get(at);
  }

  /** Value of the field at a place. */
  public String headerValue(int at) {
    return values.get(at);
  }

  /** Known names are held in one spelling, each one object, so that these compare at once. */
  private int find(String name, int start) {
    String known = HeaderNames.known(name);
    for (int i = start; i < names.size(); i++) {
      String held = names.get(i);
      if (known != null ? held == known : held.equalsIgnoreCase(name)) {
        return i;
      }
    }
    return -1;
  }

  /** What was read out of the fields holds no longer. */
  private void changed() {
    topVia = null;
    cseq = null;
    from = null;
    to = null;
  }

  /** The first field of that name, as written; null if there is none. */
  public String header(String name) {
    int at = find(name, 0);
    return at < 0 ? null : values.get(at);
  }

  /** The field's value, or another where there is none. */
  public String header(String name, String absent) {
    String value = header(name);
    return value == null ? absent : value;
  }

  /** All values of a field, those on one line taken apart at their commas. */
  public List<String> headers(String name) {
    List<String> all = new ArrayList<>(2);
    for (int i = find(name, 0); i >= 0; i = find(name, i + 1)) {
      all.addAll(Scan.values(values.get(i)));
    }
    return all;
  }

  /** How many lines bear this name. */
  public int headerLineCount(String name) {
    int count = 0;
    for (int i = find(name, 0); i >= 0; i = find(name, i + 1)) {
      count++;
    }
    return count;
  }

  /** Appends a field. */
  public void add(String name, String value) {
    changed();
    names.add(HeaderNames.canonical(name));
    values.add(value);
  }

  /** Puts a field before all others of any name. */
  public void addFirst(String name, String value) {
    changed();
    names.add(0, HeaderNames.canonical(name));
    values.add(0, value);
  }

  /** Replaces all fields of that name by one. */
  public void set(String name, String value) {
    changed();
    int at = find(name, 0);
    if (at < 0) {
      add(name, value);
      return;
    }
    values.set(at, value);
    for (int i = find(name, at + 1); i >= 0; i = find(name, i)) {
      names.remove(i);
      values.remove(i);
    }
  }

  /** Takes all fields of that name away. */
  public void remove(String name) {
    changed();
    for (int i = find(name, 0); i >= 0; i = find(name, i)) {
      names.remove(i);
      values.remove(i);
    }
  }

  /** Takes the first value of a field away, whether it shares its line or not; returns it. */
  public String removeFirstValue(String name) {
    changed();
    int at = find(name, 0);
    if (at < 0) {
      return null;
    }
    String line = values.get(at);
    int comma = Scan.find(line, ',', 0);
    if (comma == line.length()) {
      names.remove(at);
      values.remove(at);
    } else {
      values.set(at, line.substring(comma + 1).trim());
    }
    return line.substring(0, comma).trim();
  }

  /** Replaces the topmost Via by another. */
  public void topVia(Via via) {
    changed();
    int at = find("Via", 0);
    String line = values.get(at);
    int comma = Scan.find(line, ',', 0);
    values.set(at, via + line.substring(comma));
  }

  /** Copies all fields of that name from another message, behind those held. */
  public void copyHeaders(String name, SipMessage other) {
    changed();
    for (int i = other.find(name, 0); i >= 0; i = other.find(name, i + 1)) {
      names.add(other.names.get(i));
      values.add(other.values.get(i));
    }
  }

  /** The body; empty if none. Not to be written to. */
  public byte[] body() {
    return body;
  }

  /** The body as text in UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Sets the body; its length is written by {@link #toBytes}. */
  public void body(byte[] content) {
    body = content == null ? NO_BODY : content;
  }

  /** Sets a body with its type. */
  public void body(String type, String text) {
    set("Content-Type", type);
    body = text.getBytes(StandardCharsets.UTF_8);
  }

  /** The topmost Via; null if it cannot be read. */
  public Via via() {
    String line = topVia == null ? header("Via") : null;
    if (line != null) {
      topVia = Via.parse(line.substring(0, Scan.find(line, ',', 0)));
    }
    return topVia;
  }

  /** The sequence number and method; null if they cannot be read. */
  public CSeq cseq() {
    String line = cseq == null ? header("CSeq") : null;
    if (line != null) {
      cseq = CSeq.parse(line);
    }
    return cseq;
  }

  /** An address; null if it is missing or cannot be read. */
  public NameAddr addressHeader(String name) {
    String line = header(name);
    return line == null ? null : NameAddr.parse(line);
  }

  /** The Call-ID; null if there is none. */
  public String callId() {
    return header("Call-ID");
  }

  /** The From address; null if it is missing or cannot be read. */
  public NameAddr from() {
    if (from == null) {
      from = addressHeader("From");
    }
    return from;
  }

  /** The To address; null if it is missing or cannot be read. */
  public NameAddr to() {
    if (to == null) {
      to = addressHeader("To");
    }
    return to;
  }

  /** Tag of From; null if there is none. */
  public String fromTag() {
    NameAddr address = from();
    return address == null ? null : address.tag();
  }

  /** Tag of To; null if there is none. */
  public String toTag() {
    NameAddr address = to();
    return address == null ? null : address.tag();
  }

  /** A whole number in a field, or another where it is missing or none. */
  public long numericHeader(String name, long absent) {
    String line = header(name);
    if (line == null) {
      return absent;
    }
    int end = 0;
    while (end < line.length() && line.charAt(end) >= '0' && line.charAt(end) <= '9') {
      end++;
    }
    long value = Scan.number(line.substring(0, end), Integer.MAX_VALUE);
    return value < 0 ? absent : value;
  }

  /** The message as it goes on the wire, with the Content-Length of its body. */
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
