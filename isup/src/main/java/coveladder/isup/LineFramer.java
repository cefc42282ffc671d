package coveladder.isup;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits an octet stream into lines that end in a line feed, however the octets are distributed
 * over reads. It buffers at most one line.
 */
public final class LineFramer {
  private final int maxLineBytes;
  private byte[] partialLine = new byte[256];
  private int partialLength;

  /**
   * Creates a framer.
   *
   * @param maxLineBytes maximum length of a line, octets
   */
  public LineFramer(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Reads octets and passes each complete line, without its line feed, to the receiver. After an
   * error the stream cannot be framed any further.
   *
   * @throws MalformedException if a line is longer than the limit
   */
  public void feed(byte[] octets, Consumer<byte[]> receiver) throws MalformedException {
    int from = 0;
    for (int index = 0; index < octets.length; index++) {
      if (octets[index] == '\n') {
        receiver.accept(completeLine(octets, from, index));
        from = index + 1;
      }
    }
    append(octets, from, octets.length);
  }

  private byte[] completeLine(byte[] octets, int from, int to) throws MalformedException {
    if (partialLength == 0) {
      checkLength(to - from);
      return Arrays.copyOfRange(octets, from, to);
    }
    append(octets, from, to);
    byte[] line = Arrays.copyOf(partialLine, partialLength);
    partialLength = 0;
    return line;
  }

  private void append(byte[] octets, int from, int to) throws MalformedException {
    int length = partialLength + to - from;
    checkLength(length);
    if (length > partialLine.length) {
      partialLine =
          Arrays.copyOf(
              partialLine, Math.min(maxLineBytes, Math.max(length, 2 * partialLine.length)));
    }
    System.arraycopy(octets, from, partialLine, partialLength, to - from);
    partialLength = length;
  }

  private void checkLength(int length) throws MalformedException {
    if (length > maxLineBytes) {
      throw new MalformedException("a line of more than " + maxLineBytes + " octets");
    }
  }

  /** Whether a line has begun and is not complete. */
  public boolean hasPartialLine() {
    return partialLength > 0;
  }
}
