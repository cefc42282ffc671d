package coveladder.isup;

import java.util.function.Consumer;

/** Cuts a caller's octets into messages, however they arrive. Holds one message at most. */
public final class CallerFramer {
  private final int most;
  private int head = -1;
  private byte[] body;
  private int filled;

  /**
   * Makes a framer.
   *
   * @param most most octets of a message, its length included
   */
  public CallerFramer(int most) {
    this.most = most;
  }

  /**
   * Takes octets in and hands on what is whole. After an error the stream is of no further use.
   *
   * @throws MalformedException where a length is too short or too long for any message
   */
  public void feed(byte[] octets, Consumer<byte[]> messages) throws MalformedException {
    int at = 0;
    while (at < octets.length) {
      at = body == null ? length(octets, at) : fill(octets, at);
      if (body != null && filled == body.length) {
        byte[] whole = body;
        body = null;
        messages.accept(whole);
      }
    }
  }

  private int length(byte[] octets, int at) throws MalformedException {
    int octet = octets[at] & 0xff;
    if (head < 0) {
      head = octet;
      return at + 1;
    }
    int length = head << 8 | octet;
    head = -1;
    if (length < 9 || length + 2 > most) {
      throw new MalformedException("length " + length + ", expected 9 to " + (most - 2));
    }
    body = new byte[length];
    filled = 0;
    return at + 1;
  }

  private int fill(byte[] octets, int at) {
    int count = Math.min(octets.length - at, body.length - filled);
    System.arraycopy(octets, at, body, filled, count);
    filled += count;
    return at + count;
  }

  /** Whether a message has begun and is not whole. */
  public boolean hasPartialMessage() {
    return head >= 0 || body != null;
  }
}
