package coveladder.kdl;

import java.util.ArrayList;
import java.util.List;

/** Reads quoted strings of KDL 2: escaped and raw, single-line and multi-line. */
final class KdlStrings {
  private KdlStrings() {}

  /** Reads the string that begins at the scanner's position, with its quote or first {@code #}. */
  static String read(KdlScanner scanner) throws KdlException {
    int line = scanner.line();
    int column = scanner.column();
    int hashCount = 0;
    while (scanner.peek() == '#') {
      hashCount++;
      scanner.next();
    }
    boolean multiline = scanner.startsWith("\"\"\"");
    scanner.skip(multiline ? 3 : 1);
    String terminator = (multiline ? "\"\"\"" : "\"") + "#".repeat(hashCount);
    String content = readUntil(scanner, terminator, hashCount > 0, multiline, line, column);
    String text = multiline ? removeIndent(content, line, column) : content;
    return hashCount > 0 ? text : unescape(text, line, column);
  }

  /** Reads up to and including the terminator; returns the text before it, not unescaped. */
  private static String readUntil(
      KdlScanner scanner, String terminator, boolean isRaw, boolean multiline, int line, int column)
      throws KdlException {
    StringBuilder out = new StringBuilder();
    while (!scanner.atEnd() && !scanner.startsWith(terminator)) {
      if (!multiline && KdlScanner.isNewline(scanner.peek()) && !endsInEscapedWhitespace(out)) {
        throw scanner.error("a single-line string must end on the line where it begins");
      }
      int codePoint = scanner.next();
      out.appendCodePoint(codePoint);
      if (!isRaw && codePoint == '\\' && !scanner.atEnd()) {
        out.appendCodePoint(scanner.next());
      }
    }
    if (scanner.atEnd()) {
      throw new KdlException(line, column, "string without its " + terminator);
    }
    scanner.skip(terminator.length());
    return out.toString();
  }

  /**
   * Whether the text ends in whitespace after a backslash, an escape that may include line ends.
   */
  private static boolean endsInEscapedWhitespace(StringBuilder out) {
    int index = out.length() - 1;
    while (index >= 0
        && (KdlScanner.isSpace(out.charAt(index)) || KdlScanner.isNewline(out.charAt(index)))) {
      index--;
    }
    return index >= 0 && index < out.length() - 1 && out.charAt(index) == '\\';
  }

  /** Removes the indent of the last line, which holds the closing quotes, from all lines. */
  private static String removeIndent(String content, int line, int column) throws KdlException {
    List<String> lines = new ArrayList<>(List.of(content.split("\n", -1)));
    if (lines.size() < 2 || !lines.get(0).isBlank()) {
      throw new KdlException(
          line, column, "a multi-line string must begin on the line after its opening quotes");
    }
    String indent = lines.get(lines.size() - 1);
    if (!indent.isBlank()) {
      throw new KdlException(
          line, column, "the closing quotes of a multi-line string need a line of their own");
    }
    List<String> unindented = new ArrayList<>();
    for (String contentLine : lines.subList(1, lines.size() - 1)) {
      if (!contentLine.isBlank() && !contentLine.startsWith(indent)) {
        throw new KdlException(
            line, column, "each line of the string needs the indent of its closing quotes");
      }
      unindented.add(contentLine.isBlank() ? "" : contentLine.substring(indent.length()));
    }
    return String.join("\n", unindented);
  }

  private static String unescape(String text, int line, int column) throws KdlException {
    StringBuilder out = new StringBuilder();
    int index = 0;
    while (index < text.length()) {
      char c = text.charAt(index++);
      if (c != '\\') {
        out.append(c);
      } else if (index < text.length() && text.charAt(index) == 'u') {
        index = appendUnicodeEscape(text, index + 1, out, line, column);
      } else if (index < text.length() && isWhitespace(text.charAt(index))) {
        while (index < text.length() && isWhitespace(text.charAt(index))) {
          index++;
        }
      } else {
        out.append(
            unescapeCharacter(index < text.length() ? text.charAt(index) : ' ', line, column));
        index++;
      }
    }
    return out.toString();
  }

  private static boolean isWhitespace(char c) {
    return KdlScanner.isSpace(c) || KdlScanner.isNewline(c);
  }

  private static char unescapeCharacter(char c, int line, int column) throws KdlException {
    return switch (c) {
      case 'n' -> '\n';
      case 'r' -> '\r';
      case 't' -> '\t';
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 's' -> ' ';
      case '"' -> '"';
      case '\\' -> '\\';
      default -> throw new KdlException(line, column, "unknown escape \\" + c + " in a string");
    };
  }

  /** Appends the character of a Unicode escape and returns the index after the escape. */
  private static int appendUnicodeEscape(
      String text, int start, StringBuilder out, int line, int column) throws KdlException {
    int closingBrace = text.indexOf('}', start);
    boolean braced = start < text.length() && text.charAt(start) == '{' && closingBrace > start + 1;
    String digits = braced ? text.substring(start + 1, closingBrace) : "";
    if (!digits.matches("[0-9a-fA-F]{1,6}")) {
      throw new KdlException(line, column, "expected \\u{1 to 6 hexadecimal digits}");
    }
    int codePoint = Integer.parseInt(digits, 16);
    if (codePoint > 0x10ffff || codePoint >= 0xd800 && codePoint <= 0xdfff) {
      throw new KdlException(line, column, "\\u{" + digits + "} is not a Unicode character");
    }
    out.appendCodePoint(codePoint);
    return closingBrace + 1;
  }
}
