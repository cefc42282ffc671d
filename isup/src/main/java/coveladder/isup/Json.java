package coveladder.isup;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jackson streaming as this package uses it. Names stay canonicalized (Jackson bounds its table):
 * without that, it reads octets through a decoder that puts a sign of its own for what is no UTF-8.
 */
public final class Json {
  static final JsonFactory FACTORY =
      new JsonFactoryBuilder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .disable(JsonWriteFeature.ESCAPE_NON_ASCII)
          .build();

  private Json() {}

  /**
   * A document as values by their paths: members after a dot, elements of a list by their number
   * with `count` beside them, a list of plain values also as one value set apart by commas. Nulls
   * are left out.
   *
   * @throws MalformedException where it is no JSON object, whole and alone
   */
  public static Map<String, String> flatten(byte[] document) throws MalformedException {
    Map<String, String> values = new LinkedHashMap<>();
    try (JsonParser parser = FACTORY.createParser(document)) {
      MalformedException.expect(parser.nextToken() == JsonToken.START_OBJECT, "no object");
      object(parser, "", values);
      MalformedException.expect(parser.nextToken() == null, "more than one object");
      return values;
    } catch (IOException e) {
      throw malformed(e);
    }
  }

  static MalformedException malformed(IOException e) {
    String message = String.valueOf(e.getMessage());
    int end = message.indexOf('\n');
    return new MalformedException("no JSON: " + (end < 0 ? message : message.substring(0, end)));
  }

  private static void object(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      value(parser, path.isEmpty() ? name : path + "." + name, values);
    }
  }

  private static void value(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT -> object(parser, path, values);
      case START_ARRAY -> list(parser, path, values);
      case VALUE_NULL -> {}
      default -> values.put(path, parser.getText());
    }
  }

  private static void list(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    StringBuilder plain = new StringBuilder();
    int count = 0;
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (parser.currentToken().isScalarValue()) {
        plain.append(count == 0 ? "" : ",").append(parser.getText());
      }
      value(parser, path + "." + count, values);
      count++;
    }
    values.put(path + ".count", Integer.toString(count));
    if (plain.length() > 0) {
      values.put(path, plain.toString());
    }
  }
}
