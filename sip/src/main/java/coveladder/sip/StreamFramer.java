package coveladder.sip;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Splits a stream into complete messages by Content-Length (RFC 3261 section 18.3) and detects the
 * keep-alive of RFC 5626 section 3.5.1: a double CRLF between messages is a ping, a single CRLF its
 * pong. Buffers at most one message of bounded size.
 */
public final class StreamFramer {
  private final int maxHeaderBytes;
  private final int maxBodyBytes;
  private byte[] buffer = new byte[2048];

  /** Number of bytes in the buffer. */
  private int buffered;

  /** Number of buffered bytes already searched for the end of the header. */
  private int scannedBytes;

  /** Length of the message at the start of the buffer; -1 until its header is complete. */
  private int messageLength = -1;

  /**
   * Creates a framer.
   *
   * @param maxHeaderBytes maximum length of start line and header fields
   * @param maxBodyBytes maximum length of a body
   */
  public StreamFramer(int maxHeaderBytes, int maxBodyBytes) {
    this.maxHeaderBytes = maxHeaderBytes;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Processes the next octets of the stream.
   *
   * @param onMessage called with each message that is complete
   * @param onPing run for each keep-alive ping, which must be answered with a CRLF
   * @throws SipParseException if the stream can no longer be split into messages; the connection
   *     must then be closed
   */
  public void feed(byte[] data, int from, int length, Consumer<byte[]> onMessage, Runnable onPing)
      throws SipParseException {
    // Until the length of the message is known, at most 4096 octets are buffered at a time, so that
    // the limit on the header also bounds the buffer.
    int at = from;
    int end = from + length;
    while (at < end) {
      int maxCount = messageLength >= 0 ? messageLength - buffered : Math.min(end - at, 4096);
      int count = Math.min(maxCount, end - at);
      append(data, at, count);
      at += count;
      extractMessages(onMessage, onPing);
    }
  }

  /** The number of octets buffered until the rest of their message arrives. */
  public int bufferedBytes() {
    return buffered;
  }

  private void append(byte[] data, int at, int count) {
    if (buffered + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffered + count, buffer.length * 2));
    }
    System.arraycopy(data, at, buffer, buffered, count);
    buffered += count;
  }

  private void extractMessages(Consumer<byte[]> onMessage, Runnable onPing)
      throws SipParseException {
    boolean more = true;
    while (more) {
      more = messageLength < 0 ? findHeader(onPing) : buffered >= messageLength;
      if (messageLength >= 0 && buffered >= messageLength) {
        onMessage.accept(Arrays.copyOf(buffer, messageLength));
        discard(messageLength);
        messageLength = -1;
      }
    }
  }

  /** Looks for the end of the header; returns whether it was found or line ends were discarded. */
  private boolean findHeader(Runnable onPing) throws SipParseException {
    if (buffered > 0 && (buffer[0] == '\r' || buffer[0] == '\n')) {
      return consumeLineEnds(onPing);
    }
    int end = findHeaderEnd();
    if (end < 0) {
      if (buffered > maxHeaderBytes) {
        throw new SipParseException(513, "header longer than " + maxHeaderBytes + " octets");
      }
      return false;
    }
    messageLength = end + contentLength(end);
    return true;
  }

  /**
   * Consumes line ends between messages: pings, pongs and stray line ends. Returns false if more
   * octets are needed.
   */
  private boolean consumeLineEnds(Runnable onPing) {
    if (buffer[0] == '\n') {
      discard(1);
      return true;
    }
    if (buffered < 2 || buffered < 4 && buffer[1] == '\n' && (buffered == 2 || buffer[2] == '\r')) {
      return false;
    }
    boolean isPing = buffer[1] == '\n' && buffered >= 4 && buffer[2] == '\r' && buffer[3] == '\n';
    if (isPing) {
      onPing.run();
    }
    discard(isPing ? 4 : buffer[1] == '\n' ? 2 : 1);
    return true;
  }

  private int findHeaderEnd() {
    for (int i = Math.max(1, scannedBytes); i < buffered; i++) {
      boolean endsHeader = buffer[i] == '\n' && (buffer[i - 1] == '\n' || followsLfCr(i));
      if (endsHeader) {
        return i + 1;
      }
    }
    scannedBytes = buffered;
    return -1;
  }

  private boolean followsLfCr(int i) {
    return i >= 2 && buffer[i - 1] == '\r' && buffer[i - 2] == '\n';
  }

  private int contentLength(int headerEnd) throws SipParseException {
    String header = new String(buffer, 0, headerEnd, StandardCharsets.ISO_8859_1);
    String lower = header.toLowerCase(Locale.ROOT);
    int found = -1;
    for (String name : new String[] {"content-length", "l"}) {
      for (int at = lower.indexOf("\n" + name); at >= 0; at = lower.indexOf("\n" + name, at + 1)) {
        int colon = at + 1 + name.length();
        while (colon < headerEnd && (header.charAt(colon) == ' ' || header.charAt(colon) == '\t')) {
          colon++;
        }
        if (header.charAt(colon) == ':') {
          found = parseContentLength(header, colon + 1, found);
        }
      }
    }
    return Math.max(0, found);
  }

  private int parseContentLength(String header, int from, int previous) throws SipParseException {
    int lineEnd = header.indexOf('\n', from);
    long length =
        HeaderScanner.parseNumber(header.substring(from, lineEnd).trim(), Integer.MAX_VALUE);
    if (length < 0 || previous >= 0 && previous != length) {
      throw new SipParseException(
          400, "Content-Length is not a number or has two different values");
    }
    if (length > maxBodyBytes) {
      throw new SipParseException(513, "body longer than " + maxBodyBytes + " octets");
    }
    return (int) length;
  }

  private void discard(int count) {
    System.arraycopy(buffer, count, buffer, 0, buffered - count);
    buffered -= count;
    scannedBytes = 0;
    if (buffered == 0 && buffer.length > 65536) { // Frees the memory of a large message.
      buffer = new byte[2048];
    }
  }
}
