package coveladder.kdl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads documents in KDL 2 (kdl.dev, specification 2.0.0): nodes, all forms of strings and numbers,
 * comments and slashdash. Type annotations are skipped.
 */
public final class KdlReader {
  private static final int MAX_NESTING_DEPTH = 64;
  private static final String NON_IDENTIFIER_CHARACTERS = "\\/(){};[]\"#=";

  private final KdlScanner scanner;
  private int nestingDepth;

  private KdlReader(String text) {
    scanner = new KdlScanner(text);
  }

  /**
   * Reads a document.
   *
   * @param text the document; a leading byte order mark is ignored
   * @return the top-level nodes in order
   * @throws KdlException if the document is not valid KDL
   */
  public static List<KdlNode> read(String text) throws KdlException {
    KdlReader reader = new KdlReader(text.startsWith("\uFEFF") ? text.substring(1) : text);
    List<KdlNode> nodes = reader.readNodes();
    if (!reader.scanner.atEnd()) {
      throw reader.scanner.error("found '}' without a matching '{'");
    }
    return nodes;
  }

  private List<KdlNode> readNodes() throws KdlException {
    List<KdlNode> nodes = new ArrayList<>();
    while (true) {
      skipNodeSeparators();
      if (scanner.atEnd() || scanner.peek() == '}') {
        return nodes;
      }
      boolean commentedOut = skipSlashdash();
      KdlNode node = readNode();
      if (!commentedOut) {
        nodes.add(node);
      }
    }
  }

  /** Skips blanks, line ends, comments and semicolons between nodes. */
  private void skipNodeSeparators() throws KdlException {
    while (!scanner.atEnd()) {
      if (KdlScanner.isNewline(scanner.peek()) || scanner.peek() == ';') {
        scanner.next();
      } else if (!skipBlank()) {
        return;
      }
    }
  }

  /** Skips one space, comment or line continuation, and returns whether there was one. */
  private boolean skipBlank() throws KdlException {
    if (scanner.atEnd()) {
      return false;
    }
    if (KdlScanner.isSpace(scanner.peek())) {
      scanner.next();
      return true;
    }
    if (scanner.startsWith("//")) {
      scanner.skipLine();
      return true;
    }
    if (scanner.startsWith("/*")) {
      skipBlockComment();
      return true;
    }
    if (scanner.peek() == '\\') {
      skipLineContinuation();
      return true;
    }
    return false;
  }

  private void skipBlockComment() throws KdlException {
    int line = scanner.line();
    int column = scanner.column();
    int nestingLevel = 0;
    do {
      if (scanner.atEnd()) {
        throw new KdlException(line, column, "comment without a closing '*/'");
      }
      if (scanner.startsWith("/*")) {
        nestingLevel++;
        scanner.skip(2);
      } else if (scanner.startsWith("*/")) {
        nestingLevel--;
        scanner.skip(2);
      } else {
        scanner.next();
      }
    } while (nestingLevel > 0);
  }

  private void skipLineContinuation() throws KdlException {
    scanner.next();
    while (!scanner.atEnd() && (KdlScanner.isSpace(scanner.peek()) || scanner.startsWith("/*"))) {
      if (scanner.startsWith("/*")) {
        skipBlockComment();
      } else {
        scanner.next();
      }
    }
    if (scanner.startsWith("//")) {
      scanner.skipLine();
    }
    if (!scanner.atEnd()) {
      if (!KdlScanner.isNewline(scanner.peek())) {
        throw scanner.error("expected the end of the line after '\\'");
      }
      scanner.next();
    }
  }

  /** Skips spaces, comments and line continuations; returns whether there were any. */
  private boolean skipBlanks() throws KdlException {
    boolean skippedAny = false;
    while (skipBlank()) {
      skippedAny = true;
    }
    return skippedAny;
  }

  /** Skips a slashdash, which comments out the next element, and returns whether there was one. */
  private boolean skipSlashdash() throws KdlException {
    if (!scanner.startsWith("/-")) {
      return false;
    }
    scanner.skip(2);
    while (skipBlank() || !scanner.atEnd() && KdlScanner.isNewline(scanner.peek())) {
      if (!scanner.atEnd() && KdlScanner.isNewline(scanner.peek())) {
        scanner.next();
      }
    }
    return true;
  }

  // ---- Nodes --------------------------------------------------------------------------------

  private KdlNode readNode() throws KdlException {
    skipTypeAnnotation();
    int line = scanner.line();
    int column = scanner.column();
    String name = readString("a node's name");
    List<KdlValue> arguments = new ArrayList<>();
    Map<String, KdlValue> properties = new LinkedHashMap<>();
    List<KdlNode> children = List.of();
    boolean childrenRead = false;
    boolean blankBefore = skipBlanks();
    while (!atNodeEnd()) {
      boolean commentedOut = skipSlashdash();
      if (scanner.peek() == '{') {
        List<KdlNode> block = readChildren();
        children = commentedOut ? children : block;
        childrenRead |= !commentedOut;
      } else if (childrenRead || !blankBefore && !commentedOut) {
        throw scanner.error("expected a blank or the end of the node");
      } else {
        readEntry(commentedOut ? new ArrayList<>() : arguments, commentedOut ? null : properties);
      }
      blankBefore = skipBlanks();
    }
    return new KdlNode(name, arguments, properties, children, line, column);
  }

  private boolean atNodeEnd() {
    return scanner.atEnd()
        || scanner.peek() == ';'
        || scanner.peek() == '}'
        || KdlScanner.isNewline(scanner.peek());
  }

  private List<KdlNode> readChildren() throws KdlException {
    int line = scanner.line();
    int column = scanner.column();
    if (++nestingDepth > MAX_NESTING_DEPTH) {
      throw scanner.error("nested more than " + MAX_NESTING_DEPTH + " levels deep");
    }
    scanner.next();
    List<KdlNode> nodes = readNodes();
    if (scanner.atEnd()) {
      throw new KdlException(line, column, "'{' without a matching '}'");
    }
    scanner.next();
    nestingDepth--;
    return nodes;
  }

  /**
   * Reads an argument or a property and adds it to the node's own.
   *
   * @param properties null: a property is read and discarded
   */
  private void readEntry(List<KdlValue> arguments, Map<String, KdlValue> properties)
      throws KdlException {
    KdlValue argumentOrName = readValue();
    boolean isProperty =
        argumentOrName.kind() == KdlValue.Kind.STRING && !scanner.atEnd() && scanner.peek() == '=';
    if (!isProperty) {
      arguments.add(argumentOrName);
      return;
    }
    scanner.next();
    KdlValue propertyValue = readValue();
    if (properties != null) {
      // Removed first, so that the last occurrence determines the order as well as the value.
      properties.remove(argumentOrName.text());
      properties.put(argumentOrName.text(), propertyValue);
    }
  }

  private void skipTypeAnnotation() throws KdlException {
    if (!scanner.atEnd() && scanner.peek() == '(') {
      scanner.next();
      skipBlanks();
      readString("a type");
      skipBlanks();
      if (scanner.atEnd() || scanner.peek() != ')') {
        throw scanner.error("expected ')' after a type");
      }
      scanner.next();
      skipBlanks();
    }
  }

  // ---- Values -------------------------------------------------------------------------------

  private KdlValue readValue() throws KdlException {
    skipTypeAnnotation();
    int line = scanner.line();
    int column = scanner.column();
    if (scanner.atEnd()) {
      throw scanner.error("expected a value");
    }
    if (scanner.peek() == '#' && !scanner.startsRawString()) {
      return readKeyword(line, column);
    }
    if (scanner.startsNumber()) {
      return readNumber(line, column);
    }
    return new KdlValue(KdlValue.Kind.STRING, readString("a value"), Double.NaN, line, column);
  }

  private KdlValue readKeyword(int line, int column) throws KdlException {
    scanner.next();
    String word = "#" + readWord();
    return switch (word) {
      case "#true", "#false" -> new KdlValue(KdlValue.Kind.BOOLEAN, word, Double.NaN, line, column);
      case "#null" -> new KdlValue(KdlValue.Kind.NULL, word, Double.NaN, line, column);
      case "#inf" -> numberValue(word, Double.POSITIVE_INFINITY, line, column);
      case "#-inf" -> numberValue(word, Double.NEGATIVE_INFINITY, line, column);
      case "#nan" -> numberValue(word, Double.NaN, line, column);
      default ->
          throw new KdlException(
              line, column, word + " is none of #true, #false, #null, #inf, #-inf, #nan");
    };
  }

  private static KdlValue numberValue(String text, double value, int line, int column) {
    return new KdlValue(KdlValue.Kind.NUMBER, text, value, line, column);
  }

  private KdlValue readNumber(int line, int column) throws KdlException {
    String word = readWord();
    String digits = word.replace("_", "");
    try {
      return numberValue(word, KdlNumbers.parse(word, digits), line, column);
    } catch (NumberFormatException e) {
      throw new KdlException(
          line, column, word + " is not a number; a string that begins like one needs quotes");
    }
  }

  private String readWord() {
    StringBuilder out = new StringBuilder();
    while (!scanner.atEnd() && isIdentifierPart(scanner.peek())) {
      out.appendCodePoint(scanner.next());
    }
    return out.toString();
  }

  private static boolean isIdentifierPart(int codePoint) {
    return NON_IDENTIFIER_CHARACTERS.indexOf(codePoint) < 0
        && !KdlScanner.isSpace(codePoint)
        && !KdlScanner.isNewline(codePoint)
        && codePoint > ' '
        && codePoint != 0x7f;
  }

  private String readString(String expected) throws KdlException {
    if (scanner.atEnd()) {
      throw scanner.error("expected " + expected);
    }
    if (scanner.peek() == '"' || scanner.startsRawString()) {
      return KdlStrings.read(scanner);
    }
    int line = scanner.line();
    int column = scanner.column();
    boolean numberLike = scanner.startsNumber();
    String word = readWord();
    if (word.isEmpty() || numberLike) {
      throw new KdlException(
          line, column, "expected " + expected + ", found " + describeFound(word));
    }
    if (word.matches("true|false|null|inf|-inf|nan")) {
      throw new KdlException(line, column, word + " must be written #" + word);
    }
    return word;
  }

  private String describeFound(String word) {
    if (!word.isEmpty()) {
      return word;
    }
    return scanner.atEnd()
        ? "the end of the document"
        : "'" + Character.toString(scanner.peek()) + "'";
  }
}
