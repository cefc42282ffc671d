package coveladder.isup;

import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts octets into lines ended by a line feed, however they arrive. Holds one line at most. */
public final class LineFramer {
  private final int most;
  private byte[] held = new byte[256];
  private int filled;

  /**
   * Makes a framer.
   *
   * @param most most octets of a line
   */
  public LineFramer(int most) {
    this.most = most;
  }

  /**
   * Takes octets in and hands on whole lines without their ends. After an error the stream is of no
   * further use.
   *
   * @throws MalformedException where a line is longer than the bound
   */
  public void feed(byte[] octets, Consumer<byte[]> lines) throws MalformedException {
    int from = 0;
    for (int at = 0; at < octets.length; at++) {
      if (octets[at] == '\n') {
        lines.accept(whole(octets, from, at));
        from = at + 1;
      }
    }
    keep(octets, from, octets.length);
  }

  private byte[] whole(byte[] octets, int from, int to) throws MalformedException {
    if (filled == 0) {
      check(to - from);
      return Arrays.copyOfRange(octets, from, to);
    }
    keep(octets, from, to);
    byte[] line = Arrays.copyOf(held, filled);
    filled = 0;
    return line;
  }

  private void keep(byte[] octets, int from, int to) throws MalformedException {
    int length = filled + to - from;
    check(length);
    if (length > held.length) {
      held = Arrays.copyOf(held, Math.min(most, Math.max(length, 2 * held.length)));
    }
    System.arraycopy(octets, from, held, filled, to - from);
    filled = length;
  }

  private void check(int length) throws MalformedException {
    if (length > most) {
      throw new MalformedException("a line of more than " + most + " octets");
    }
  }

  /** Whether a line has begun and is not whole. */
  public boolean hasPartialLine() {
    return filled > 0;
  }
}
