package coveladder.sip;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Cuts a stream into whole messages by Content-Length (RFC 3261 section 18.3) and answers the
 * keep-alive of RFC 5626 section 3.5.1: a double CRLF between messages is a ping, one CRLF its
 * pong. Holds at most one message of bounded size.
 */
public final class StreamFramer {
  private final int maxHead;
  private final int maxBody;
  private byte[] buffer = new byte[2048];
  private int held;
  private int scanned;
  private int whole = -1;

  /**
   * Makes a framer.
   *
   * @param maxHead most octets of start line and header fields
   * @param maxBody most octets of a body
   */
  public StreamFramer(int maxHead, int maxBody) {
    this.maxHead = maxHead;
    this.maxBody = maxBody;
  }

  /**
   * Takes the next octets and hands out each message that they complete.
   *
   * @param ping run for each keep-alive ping, which deserves a CRLF
   * @throws SipParseException where the stream can no longer be cut into messages; the connection
   *     is then of no more use
   */
  public void feed(byte[] data, int from, int length, Consumer<byte[]> message, Runnable ping)
      throws SipParseException {
    int at = from;
    int end = from + length;
    while (at < end) {
      int room = whole >= 0 ? whole - held : Math.min(end - at, 4096);
      int taken = Math.min(room, end - at);
      append(data, at, taken);
      at += taken;
      cut(message, ping);
    }
  }

  /** Octets waiting for the rest of their message. */
  public int bufferedBytes() {
    return held;
  }

  private void append(byte[] data, int at, int count) {
    if (held + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(held + count, buffer.length * 2));
    }
    System.arraycopy(data, at, buffer, held, count);
    held += count;
  }

  private void cut(Consumer<byte[]> message, Runnable ping) throws SipParseException {
    boolean more = true;
    while (more) {
      more = whole < 0 ? head(ping) : held >= whole;
      if (whole >= 0 && held >= whole) {
        message.accept(Arrays.copyOf(buffer, whole));
        drop(whole);
        whole = -1;
      }
    }
  }

  /** Looks for the end of the header; whether something was found or dropped. */
  private boolean head(Runnable ping) throws SipParseException {
    if (held > 0 && (buffer[0] == '\r' || buffer[0] == '\n')) {
      return blank(ping);
    }
    int end = headEnd();
    if (end < 0) {
      if (held > maxHead) {
        throw new SipParseException(513, "header longer than " + maxHead + " octets");
      }
      return false;
    }
    whole = end + contentLength(end);
    return true;
  }

  /** Deals with line ends between messages: pings, pongs and leftovers. */
  private boolean blank(Runnable ping) {
    if (buffer[0] == '\n') {
      drop(1);
      return true;
    }
    if (held < 2 || held < 4 && buffer[1] == '\n' && (held == 2 || buffer[2] == '\r')) {
      return false;
    }
    boolean two = buffer[1] == '\n' && held >= 4 && buffer[2] == '\r' && buffer[3] == '\n';
    if (two) {
      ping.run();
    }
    drop(two ? 4 : buffer[1] == '\n' ? 2 : 1);
    return true;
  }

  private int headEnd() {
    for (int i = Math.max(1, scanned); i < held; i++) {
      boolean blank = buffer[i] == '\n' && (buffer[i - 1] == '\n' || blankBefore(i));
      if (blank) {
        return i + 1;
      }
    }
    scanned = held;
    return -1;
  }

  private boolean blankBefore(int i) {
    return i >= 2 && buffer[i - 1] == '\r' && buffer[i - 2] == '\n';
  }

  private int contentLength(int end) throws SipParseException {
    String head = new String(buffer, 0, end, StandardCharsets.ISO_8859_1);
    String lower = head.toLowerCase(Locale.ROOT);
    int found = -1;
    for (String name : new String[] {"content-length", "l"}) {
      for (int at = lower.indexOf("\n" + name); at >= 0; at = lower.indexOf("\n" + name, at + 1)) {
        int colon = at + 1 + name.length();
        while (colon < end && (head.charAt(colon) == ' ' || head.charAt(colon) == '\t')) {
          colon++;
        }
        if (head.charAt(colon) == ':') {
          found = value(head, colon + 1, found);
        }
      }
    }
    return Math.max(0, found);
  }

  private int value(String head, int from, int before) throws SipParseException {
    int lineEnd = head.indexOf('\n', from);
    long length = Scan.number(head.substring(from, lineEnd).trim(), Integer.MAX_VALUE);
    if (length < 0 || before >= 0 && before != length) {
      throw new SipParseException(400, "Content-Length is no number or stands twice");
    }
    if (length > maxBody) {
      throw new SipParseException(513, "body longer than " + maxBody + " octets");
    }
    return (int) length;
  }

  private void drop(int count) {
    System.arraycopy(buffer, count, buffer, 0, held - count);
    held -= count;
    scanned = 0;
    if (held == 0 && buffer.length > 65536) {
      buffer = new byte[2048];
    }
  }
}
