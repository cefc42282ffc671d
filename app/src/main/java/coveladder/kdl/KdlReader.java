package coveladder.kdl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads documents in KDL 2 (kdl.dev, specification 2.0.0): nodes, all forms of strings and numbers,
 * comments, slashdash. Type annotations are read and passed over.
 */
public final class KdlReader {
  private static final int DEEPEST = 64;
  private static final String NO_IDENTIFIER = "\\/(){};[]\"#=";

  private final KdlText in;
  private int depth;

  private KdlReader(String text) {
    in = new KdlText(text);
  }

  /** Reads a document. */
  public static List<KdlNode> read(String text) throws KdlException {
    KdlReader reader = new KdlReader(text.startsWith("\uFEFF") ? text.substring(1) : text);
    List<KdlNode> nodes = reader.nodes();
    if (!reader.in.end()) {
      throw reader.in.error("found '}' without its '{'");
    }
    return nodes;
  }

  private List<KdlNode> nodes() throws KdlException {
    List<KdlNode> nodes = new ArrayList<>();
    while (true) {
      between();
      if (in.end() || in.peek() == '}') {
        return nodes;
      }
      boolean dropped = slashdash();
      KdlNode node = node();
      if (!dropped) {
        nodes.add(node);
      }
    }
  }

  /** Passes over what may stand between nodes. */
  private void between() throws KdlException {
    while (!in.end()) {
      if (KdlText.newline(in.peek()) || in.peek() == ';') {
        in.next();
      } else if (!blank()) {
        return;
      }
    }
  }

  /** Passes over one blank, comment or continued line end; whether there was one. */
  private boolean blank() throws KdlException {
    if (in.end()) {
      return false;
    }
    if (KdlText.space(in.peek())) {
      in.next();
      return true;
    }
    if (in.starts("//")) {
      in.skipLine();
      return true;
    }
    if (in.starts("/*")) {
      comment();
      return true;
    }
    if (in.peek() == '\\') {
      continuation();
      return true;
    }
    return false;
  }

  private void comment() throws KdlException {
    int line = in.line();
    int column = in.column();
    int open = 0;
    do {
      if (in.end()) {
        throw new KdlException(line, column, "comment without its '*/'");
      }
      if (in.starts("/*")) {
        open++;
        in.skip(2);
      } else if (in.starts("*/")) {
        open--;
        in.skip(2);
      } else {
        in.next();
      }
    } while (open > 0);
  }

  private void continuation() throws KdlException {
    in.next();
    while (!in.end() && (KdlText.space(in.peek()) || in.starts("/*"))) {
      if (in.starts("/*")) {
        comment();
      } else {
        in.next();
      }
    }
    if (in.starts("//")) {
      in.skipLine();
    }
    if (!in.end()) {
      if (!KdlText.newline(in.peek())) {
        throw in.error("expected the end of the line behind '\\'");
      }
      in.next();
    }
  }

  private boolean blanks() throws KdlException {
    boolean any = false;
    while (blank()) {
      any = true;
    }
    return any;
  }

  private boolean slashdash() throws KdlException {
    if (!in.starts("/-")) {
      return false;
    }
    in.skip(2);
    while (blank() || !in.end() && KdlText.newline(in.peek())) {
      if (!in.end() && KdlText.newline(in.peek())) {
        in.next();
      }
    }
    return true;
  }

  // ---- Nodes --------------------------------------------------------------------------------

  private KdlNode node() throws KdlException {
    annotation();
    int line = in.line();
    int column = in.column();
    String name = string("a node's name");
    List<KdlValue> arguments = new ArrayList<>();
    Map<String, KdlValue> properties = new LinkedHashMap<>();
    List<KdlNode> children = List.of();
    boolean closed = false;
    boolean spaced = blanks();
    while (!atEnd()) {
      boolean dropped = slashdash();
      if (in.peek() == '{') {
        List<KdlNode> block = children();
        children = dropped ? children : block;
        closed |= !dropped;
      } else if (closed || !spaced && !dropped) {
        throw in.error("expected a blank or the end of the node");
      } else {
        entry(dropped ? new ArrayList<>() : arguments, dropped ? null : properties);
      }
      spaced = blanks();
    }
    return new KdlNode(name, arguments, properties, children, line, column);
  }

  private boolean atEnd() {
    return in.end() || in.peek() == ';' || in.peek() == '}' || KdlText.newline(in.peek());
  }

  private List<KdlNode> children() throws KdlException {
    int line = in.line();
    int column = in.column();
    if (++depth > DEEPEST) {
      throw in.error("nested more than " + DEEPEST + " deep");
    }
    in.next();
    List<KdlNode> nodes = nodes();
    if (in.end()) {
      throw new KdlException(line, column, "'{' without its '}'");
    }
    in.next();
    depth--;
    return nodes;
  }

  private void entry(List<KdlValue> arguments, Map<String, KdlValue> properties)
      throws KdlException {
    KdlValue value = value();
    boolean named = value.kind() == KdlValue.Kind.STRING && !in.end() && in.peek() == '=';
    if (!named) {
      arguments.add(value);
      return;
    }
    in.next();
    KdlValue given = value();
    if (properties != null) {
      properties.remove(value.text());
      properties.put(value.text(), given);
    }
  }

  private void annotation() throws KdlException {
    if (!in.end() && in.peek() == '(') {
      in.next();
      blanks();
      string("a type");
      blanks();
      if (in.end() || in.peek() != ')') {
        throw in.error("expected ')' behind a type");
      }
      in.next();
      blanks();
    }
  }

  // ---- Values -------------------------------------------------------------------------------

  private KdlValue value() throws KdlException {
    annotation();
    int line = in.line();
    int column = in.column();
    if (in.end()) {
      throw in.error("expected a value");
    }
    if (in.peek() == '#' && !in.startsRaw()) {
      return keyword(line, column);
    }
    if (in.startsNumber()) {
      return number(line, column);
    }
    return new KdlValue(KdlValue.Kind.STRING, string("a value"), Double.NaN, line, column);
  }

  private KdlValue keyword(int line, int column) throws KdlException {
    in.next();
    String word = "#" + word();
    return switch (word) {
      case "#true", "#false" -> new KdlValue(KdlValue.Kind.BOOLEAN, word, Double.NaN, line, column);
      case "#null" -> new KdlValue(KdlValue.Kind.NULL, word, Double.NaN, line, column);
      case "#inf" -> numeric(word, Double.POSITIVE_INFINITY, line, column);
      case "#-inf" -> numeric(word, Double.NEGATIVE_INFINITY, line, column);
      case "#nan" -> numeric(word, Double.NaN, line, column);
      default ->
          throw new KdlException(
              line, column, word + " is none of #true, #false, #null, #inf, #-inf, #nan");
    };
  }

  private static KdlValue numeric(String text, double value, int line, int column) {
    return new KdlValue(KdlValue.Kind.NUMBER, text, value, line, column);
  }

  private KdlValue number(int line, int column) throws KdlException {
    String word = word();
    String digits = word.replace("_", "");
    try {
      return numeric(word, KdlNumbers.parse(word, digits), line, column);
    } catch (NumberFormatException e) {
      throw new KdlException(line, column, word + " is no number; put quotes around a string");
    }
  }

  private String word() {
    StringBuilder out = new StringBuilder();
    while (!in.end() && identifierPart(in.peek())) {
      out.appendCodePoint(in.next());
    }
    return out.toString();
  }

  private static boolean identifierPart(int c) {
    return NO_IDENTIFIER.indexOf(c) < 0
        && !KdlText.space(c)
        && !KdlText.newline(c)
        && c > ' '
        && c != 0x7f;
  }

  private String string(String what) throws KdlException {
    if (in.end()) {
      throw in.error("expected " + what);
    }
    if (in.peek() == '"' || in.startsRaw()) {
      return KdlStrings.read(in);
    }
    int line = in.line();
    int column = in.column();
    boolean digit = in.startsNumber();
    String word = word();
    if (word.isEmpty() || digit) {
      throw new KdlException(line, column, "expected " + what + ", found " + found(word));
    }
    if (word.matches("true|false|null|inf|-inf|nan")) {
      throw new KdlException(line, column, word + " is written #" + word);
    }
    return word;
  }

  private String found(String word) {
    if (!word.isEmpty()) {
      return word;
    }
    return in.end() ? "the end" : "'" + Character.toString(in.peek()) + "'";
  }
}
