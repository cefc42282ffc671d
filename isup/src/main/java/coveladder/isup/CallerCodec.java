package coveladder.isup;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodes and decodes caller messages. On the wire a message is a length (2 octets, not counting
 * themselves), a type (1 octet), a call id (8 octets) and parameters, each of a code (1 octet), a
 * length (2 octets) and a value.
 */
public final class CallerCodec {
  private static final HexFormat HEX = HexFormat.of();

  /** Octets of the type and the call id. */
  private static final int HEADER_BYTES = 9;

  private CallerCodec() {}

  /**
   * Decodes the octets that follow the length field.
   *
   * @throws MalformedException if a length does not fit or a parameter is duplicated
   */
  public static CallerMessage decode(byte[] body) throws MalformedException {
    if (body.length < HEADER_BYTES) {
      throw new MalformedException("length " + body.length + ", expected 9 or more");
    }
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    int offset = HEADER_BYTES;
    while (offset < body.length) {
      if (body.length - offset < 3) {
        throw new MalformedException("a parameter of " + (body.length - offset) + " octets");
      }
      int code = body[offset] & 0xff;
      int length = (body[offset + 1] & 0xff) << 8 | body[offset + 2] & 0xff;
      offset += 3;
      if (length > body.length - offset) {
        throw new MalformedException("parameter " + code + " is longer than its message");
      }
      byte[] value = Arrays.copyOfRange(body, offset, offset + length);
      if (parameters.putIfAbsent(code, value) != null) {
        throw new MalformedException("parameter " + code + " stands twice");
      }
      offset += length;
    }
    return new CallerMessage(body[0] & 0xff, HEX.formatHex(body, 1, HEADER_BYTES), parameters);
  }

  /**
   * Encodes a message with its length field. What follows the field must not exceed 65,535 octets.
   */
  public static byte[] encode(CallerMessage message) {
    ByteArrayOutputStream output = new ByteArrayOutputStream(64);
    output.write(0);
    output.write(0);
    output.write(message.type());
    output.writeBytes(HEX.parseHex(message.callId()));
    message
        .parameters()
        .forEach(
            (code, value) -> {
              output.write(code);
              output.write(value.length >> 8);
              output.write(value.length);
              output.writeBytes(value);
            });
    byte[] octets = output.toByteArray();
    int length = octets.length - 2;
    octets[0] = (byte) (length >> 8);
    octets[1] = (byte) length;
    return octets;
  }
}
