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
 * Reads JSON with Jackson's streaming parser. Canonicalization of names stays enabled (Jackson
 * bounds the table of names): without it, Jackson decodes octets with a decoder that replaces
 * invalid UTF-8 by a substitute character instead of rejecting it.
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
   * Flattens a document to its values by path. A path joins the names of members with dots;
   * elements of a list are named by their index, and {@code count} holds the length of the list.
   * The scalars of a list are also stored at its own path, separated by commas. Nulls are omitted.
   *
   * @throws MalformedException if the document is not exactly one complete JSON object
   */
  public static Map<String, String> flatten(byte[] document) throws MalformedException {
    Map<String, String> values = new LinkedHashMap<>();
    try (JsonParser parser = FACTORY.createParser(document)) {
      MalformedException.expect(parser.nextToken() == JsonToken.START_OBJECT, "no object");
      flattenObject(parser, "", values);
      MalformedException.expect(parser.nextToken() == null, "more than one object");
      return values;
    } catch (IOException e) {
      throw malformed(e);
    }
  }

  /** Converts a parser's error, keeping the first line of its message. */
  static MalformedException malformed(IOException e) {
    String message = String.valueOf(e.getMessage());
    int lineEnd = message.indexOf('\n');
    return new MalformedException(
        "no JSON: " + (lineEnd < 0 ? message : message.substring(0, lineEnd)));
  }

  private static void flattenObject(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      flattenValue(parser, path.isEmpty() ? name : path + "." + name, values);
    }
  }

  private static void flattenValue(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT -> flattenObject(parser, path, values);
      case START_ARRAY -> flattenList(parser, path, values);
      case VALUE_NULL -> {}
      default -> values.put(path, parser.getText());
    }
  }

  private static void flattenList(JsonParser parser, String path, Map<String, String> values)
      throws IOException {
    StringBuilder scalars = new StringBuilder();
    int count = 0;
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (parser.currentToken().isScalarValue()) {
        scalars.append(count == 0 ? "" : ",").append(parser.getText());
      }
      flattenValue(parser, path + "." + count, values);
      count++;
    }
    values.put(path + ".count", Integer.toString(count));
    if (scalars.length() > 0) {
      values.put(path, scalars.toString());
    }
  }
}
