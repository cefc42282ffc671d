package coveladder.isup;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Encodes and decodes switch messages: one JSON object on each line. */
public final class SwitchCodec {
  /** Value of {@link SwitchMessage#code} if there is none. */
  private static final int NO_CODE = -1;

  private SwitchCodec() {}

  /**
   * Decodes a line.
   *
   * @throws MalformedException if it is not a message
   */
  public static SwitchMessage decode(byte[] line) throws MalformedException {
    try (JsonParser parser = Json.FACTORY.createParser(line)) {
      MalformedException.expect(parser.nextToken() == JsonToken.START_OBJECT, "no object");
      SwitchMessage message = readMessage(parser);
      MalformedException.expect(parser.nextToken() == null, "more than one object in a line");
      return message;
    } catch (IOException e) {
      throw Json.malformed(e);
    }
  }

  private static SwitchMessage readMessage(JsonParser parser)
      throws IOException, MalformedException {
    SwitchMessage.Kind kind = null;
    String sid = "";
    Map<String, String> attrs = Map.of();
    int code = NO_CODE;
    String text = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      switch (name) {
        case "msg" -> kind = parseKind(parser.getText());
        case "sid" -> sid = parser.getText();
        case "attrs" -> attrs = readAttrs(parser);
        case "code" -> {
          MalformedException.expect(token == JsonToken.VALUE_NUMBER_INT, "code is no whole number");
          code = parser.getIntValue();
        }
        case "text" -> {
          MalformedException.expect(token == JsonToken.VALUE_STRING, "text is no string");
          text = parser.getText();
          MalformedException.expect(hasPairedSurrogates(text), "text has half a character");
        }
        default -> parser.skipChildren();
      }
    }
    MalformedException.expect(kind != null, "no msg");
    return new SwitchMessage(kind, sid, attrs, code, text);
  }

  private static SwitchMessage.Kind parseKind(String word) throws MalformedException {
    return switch (word) {
      case "open" -> SwitchMessage.Kind.OPEN;
      case "trying" -> SwitchMessage.Kind.TRYING;
      case "ready" -> SwitchMessage.Kind.READY;
      case "close" -> SwitchMessage.Kind.CLOSE;
      case "closed" -> SwitchMessage.Kind.CLOSED;
      case "probe" -> SwitchMessage.Kind.PROBE;
      case "probed" -> SwitchMessage.Kind.PROBED;
      case "status" -> SwitchMessage.Kind.STATUS;
      default -> throw new MalformedException("unknown msg");
    };
  }

  private static Map<String, String> readAttrs(JsonParser parser)
      throws IOException, MalformedException {
    MalformedException.expect(
        parser.currentToken() == JsonToken.START_OBJECT, "attrs is no object");
    Map<String, String> attrs = new HashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      MalformedException.expect(token.isScalarValue(), "attrs holds more than strings and numbers");
      attrs.put(name, parser.getText());
    }
    return attrs;
  }

  /** Whether all surrogates come in pairs, so that the text can be encoded as UTF-8. */
  private static boolean hasPairedSurrogates(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (Character.isHighSurrogate(character)) {
        i++;
        if (i == text.length() || !Character.isLowSurrogate(text.charAt(i))) {
          return false;
        }
      } else if (Character.isLowSurrogate(character)) {
        return false;
      }
    }
    return true;
  }

  /** Encodes a message as a line that ends in a line feed. */
  public static byte[] encode(SwitchMessage message) {
    ByteArrayOutputStream output = new ByteArrayOutputStream(256);
    try (JsonGenerator generator = Json.FACTORY.createGenerator(output)) {
      generator.writeStartObject();
      generator.writeStringField("msg", message.kind().name().toLowerCase(Locale.ROOT));
      generator.writeStringField("sid", message.sid());
      generator.writeObjectFieldStart("attrs");
      for (Map.Entry<String, String> field : message.attrs().entrySet()) {
        generator.writeStringField(field.getKey(), field.getValue());
      }
      generator.writeEndObject();
      if (message.code() != NO_CODE) {
        generator.writeNumberField("code", message.code());
      }
      if (message.text() != null) {
        generator.writeStringField("text", message.text());
      }
      generator.writeEndObject();
      generator.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write a message to memory", e);
    }
    return output.toByteArray();
  }
}
