package coveladder.isup;

import java.util.function.Consumer;

/**
 * Splits a caller's octet stream into messages, however the octets are distributed over reads. It
 * buffers at most one message.
 */
public final class CallerFramer {
  private final int maxMessageBytes;

  /** First octet of a length field that is half read; -1 if there is none. */
  private int firstLengthOctet = -1;

  private byte[] body;
  private int filled;

  /**
   * Creates a framer.
   *
   * @param maxMessageBytes maximum size of a message, its length field included, octets
   */
  public CallerFramer(int maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
  }

  /**
   * Reads octets and passes each complete message, without its length field, to the receiver. After
   * an error the stream cannot be framed any further.
   *
   * @throws MalformedException if a length is too short or too long for any message
   */
  public void feed(byte[] octets, Consumer<byte[]> receiver) throws MalformedException {
    int offset = 0;
    while (offset < octets.length) {
      offset = body == null ? readLengthOctet(octets, offset) : readBody(octets, offset);
      if (body != null && filled == body.length) {
        byte[] message = body;
        body = null;
        receiver.accept(message);
      }
    }
  }

  private int readLengthOctet(byte[] octets, int offset) throws MalformedException {
    int octet = octets[offset] & 0xff;
    if (firstLengthOctet < 0) {
      firstLengthOctet = octet;
      return offset + 1;
    }
    int length = firstLengthOctet << 8 | octet;
    firstLengthOctet = -1;
    if (length < 9 || length + 2 > maxMessageBytes) {
      throw new MalformedException("length " + length + ", expected 9 to " + (maxMessageBytes - 2));
    }
    body = new byte[length];
    filled = 0;
    return offset + 1;
  }

  private int readBody(byte[] octets, int offset) {
    int count = Math.min(octets.length - offset, body.length - filled);
    System.arraycopy(octets, offset, body, filled, count);
    filled += count;
    return offset + count;
  }

  /** Whether a message has begun and is not complete. */
  public boolean hasPartialMessage() {
    return firstLengthOctet >= 0 || body != null;
  }
}
