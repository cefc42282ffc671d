package coveladder.isup;

import java.io.ByteArrayOutputStream;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Octets of caller messages: length:2 type:1 call:8, then parameters code:1 length:2 value. */
public final class CallerCodec {
  private static final HexFormat HEX = HexFormat.of();
  private static final int HEAD = 9;

  private CallerCodec() {}

  /**
   * Reads what follows the length.
   *
   * @throws MalformedException where lengths do not fit, or a parameter stands twice
   */
  public static CallerMessage decode(byte[] body) throws MalformedException {
    if (body.length < HEAD) {
      throw new MalformedException("length " + body.length + ", expected 9 or more");
    }
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    int at = HEAD;
    while (at < body.length) {
      if (body.length - at < 3) {
        throw new MalformedException("a parameter of " + (body.length - at) + " octets");
      }
      int code = body[at] & 0xff;
      int length = (body[at + 1] & 0xff) << 8 | body[at + 2] & 0xff;
      at += 3;
      if (length > body.length - at) {
        throw new MalformedException("parameter " + code + " is longer than its message");
      }
      byte[] value = java.util.Arrays.copyOfRange(body, at, at + length);
      if (parameters.putIfAbsent(code, value) != null) {
        throw new MalformedException("parameter " + code + " stands twice");
      }
      at += length;
    }
    return new CallerMessage(body[0] & 0xff, HEX.formatHex(body, 1, HEAD), parameters);
  }

  /** Writes a message with its length. It must not be longer than the length can tell. */
  public static byte[] encode(CallerMessage message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(64);
    out.write(0);
    out.write(0);
    out.write(message.type());
    out.writeBytes(HEX.parseHex(message.callId()));
    message
        .parameters()
        .forEach(
            (code, value) -> {
              out.write(code);
              out.write(value.length >> 8);
              out.write(value.length);
              out.writeBytes(value);
            });
    byte[] octets = out.toByteArray();
    int length = octets.length - 2;
    octets[0] = (byte) (length >> 8);
    octets[1] = (byte) length;
    return octets;
  }
}
