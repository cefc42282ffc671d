package coveladder.soak;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A binary message between a caller and a controller. Written for the soak alone: it shares no code
 * with the program under test.
 *
 * @param type type of the message
 * @param call id of the call, 16 hex digits
 * @param parameters values by code
 */
record CallerMessage(int type, String call, Map<Integer, byte[]> parameters) {
  static final int SET_UP = 1;
  static final int ANSWER = 9;
  static final int RELEASE = 12;
  static final int RELEASE_HEARD = 16;
  static final int TEST = 52;
  static final int TESTED = 53;

  static final int CLASS = 16;
  static final int LEFT = 17;
  static final int NUMBER = 20;
  static final int FIGURES = 21;
  static final int CAUSE = 30;
  static final int DESCRIPTION = 31;

  private static final int ID_BYTES = 8;
  private static final int HEADER_BYTES = 1 + ID_BYTES;

  /** Creates a message whose only parameter is a cause. */
  static CallerMessage withCause(int type, String call, int cause) {
    return new CallerMessage(type, call, Map.of(CAUSE, new byte[] {(byte) cause}));
  }

  /** Returns the cause; -1 without one. */
  int cause() {
    byte[] value = parameters.get(CAUSE);
    return value == null || value.length != 1 ? -1 : value[0] & 0xff;
  }

  /** Returns a parameter as text; empty without one. */
  String text(int code) {
    return new String(parameters.getOrDefault(code, new byte[0]), StandardCharsets.UTF_8);
  }

  /** Encodes the message with its length. */
  byte[] encode() {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.write(type);
    body.writeBytes(java.nio.ByteBuffer.allocate(ID_BYTES).putLong(idValue()).array());
    parameters.forEach(
        (code, value) -> {
          body.write(code);
          body.write(value.length >> 8);
          body.write(value.length);
          body.writeBytes(value);
        });
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.write(body.size() >> 8);
    message.write(body.size());
    message.writeBytes(body.toByteArray());
    return message.toByteArray();
  }

  @Override
  public String toString() {
    String figures = text(FIGURES);
    return type + " " + call + (cause() < 0 ? "" : " cause " + cause()) + " " + figures;
  }

  private long idValue() {
    return Long.parseUnsignedLong(call, 16);
  }

  /** Decodes a message without its length. */
  static CallerMessage decode(byte[] body) {
    long id = java.nio.ByteBuffer.wrap(body, 1, ID_BYTES).getLong();
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    int offset = HEADER_BYTES;
    while (offset + 3 <= body.length) {
      int length = (body[offset + 1] & 0xff) << 8 | body[offset + 2] & 0xff;
      byte[] value = java.util.Arrays.copyOfRange(body, offset + 3, offset + 3 + length);
      parameters.put(body[offset] & 0xff, value);
      offset += 3 + length;
    }
    return new CallerMessage(body[0] & 0xff, String.format("%016x", id), parameters);
  }
}
