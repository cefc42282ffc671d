package coveladder.soak;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A line between a controller and a switch. Written for the soak alone, on the JSON library.
 *
 * @param type type of the message
 * @param call id of the call; empty without one
 * @param fields further fields
 * @param cause the cause; -1 without one
 * @param description the description; null without one
 */
record SwitchLine(
    String type, String call, Map<String, String> fields, int cause, String description) {
  static final String OPEN = "open";
  static final String READY = "ready";
  static final String CLOSE = "close";

  private static final JsonFactory JSON = new JsonFactory();

  /** Creates a line with a cause alone. */
  static SwitchLine withCause(String type, String call, int cause, Map<String, String> fields) {
    return new SwitchLine(type, call, fields, cause, null);
  }

  /** Encodes the line with its line feed. */
  byte[] encode() {
    ByteArrayOutputStream octets = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(octets)) {
      json.writeStartObject();
      json.writeStringField("msg", type);
      json.writeStringField("sid", call);
      json.writeObjectFieldStart("attrs");
      for (Map.Entry<String, String> field : fields.entrySet()) {
        json.writeStringField(field.getKey(), field.getValue());
      }
      json.writeEndObject();
      if (cause >= 0) {
        json.writeNumberField("code", cause);
      }
      if (description != null) {
        json.writeStringField("text", description);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    octets.write('\n');
    return octets.toByteArray();
  }

  /** Decodes a line. */
  static SwitchLine decode(byte[] line) {
    Map<String, String> fields = new LinkedHashMap<>();
    Map<String, String> top = new LinkedHashMap<>();
    try (JsonParser json = JSON.createParser(line)) {
      String object = "";
      for (JsonToken token = json.nextToken(); token != null; token = json.nextToken()) {
        if (token == JsonToken.START_OBJECT) {
          object = json.currentName() == null ? "" : json.currentName();
        } else if (token == JsonToken.END_OBJECT) {
          object = "";
        } else if (token.isScalarValue()) {
          (object.equals("attrs") ? fields : top).put(json.currentName(), json.getText());
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    int cause = Integer.parseInt(top.getOrDefault("code", "-1"));
    return new SwitchLine(
        top.get("msg"), top.getOrDefault("sid", ""), fields, cause, top.get("text"));
  }
}
