package coveladder.soak;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits a stream of octets into caller messages or lines. */
final class MessageSplitter {
  private final boolean lines;
  private final Consumer<byte[]> receiver;
  private byte[] rest = new byte[0];

  private MessageSplitter(boolean lines, Consumer<byte[]> receiver) {
    this.lines = lines;
    this.receiver = receiver;
  }

  /** Splits into messages with a length of two octets, which is left out. */
  static MessageSplitter ofMessages(Consumer<byte[]> receiver) {
    return new MessageSplitter(false, receiver);
  }

  /** Splits into lines, without their line feed. */
  static MessageSplitter ofLines(Consumer<byte[]> receiver) {
    return new MessageSplitter(true, receiver);
  }

  void feed(byte[] octets) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    joined.writeBytes(rest);
    joined.writeBytes(octets);
    rest = joined.toByteArray();
    int end = lines ? lineEnd() : messageEnd();
    while (end > 0) {
      byte[] whole = Arrays.copyOfRange(rest, lines ? 0 : 2, lines ? end - 1 : end);
      rest = Arrays.copyOfRange(rest, end, rest.length);
      receiver.accept(whole);
      end = lines ? lineEnd() : messageEnd();
    }
  }

  /** Returns the offset after the first line; 0 without a whole one. */
  private int lineEnd() {
    for (int i = 0; i < rest.length; i++) {
      if (rest[i] == '\n') {
        return i + 1;
      }
    }
    return 0;
  }

  /** Returns the offset after the first message; 0 without a whole one. */
  private int messageEnd() {
    if (rest.length < 2) {
      return 0;
    }
    int end = 2 + ((rest[0] & 0xff) << 8 | rest[1] & 0xff);
    return rest.length >= end ? end : 0;
  }
}
