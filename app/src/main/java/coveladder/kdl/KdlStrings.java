package coveladder.kdl;

import java.util.ArrayList;
import java.util.List;

/** Quoted strings of KDL 2: escaped and raw, on one line and on many. */
final class KdlStrings {
  private KdlStrings() {}

  static String read(KdlText in) throws KdlException {
    int line = in.line();
    int column = in.column();
    int hashes = 0;
    while (in.peek() == '#') {
      hashes++;
      in.next();
    }
    boolean many = in.starts("\"\"\"");
    in.skip(many ? 3 : 1);
    String end = (many ? "\"\"\"" : "\"") + "#".repeat(hashes);
    String raw = until(in, end, hashes > 0, many, line, column);
    String text = many ? unindented(raw, line, column) : raw;
    return hashes > 0 ? text : unescaped(text, line, column);
  }

  private static String until(
      KdlText in, String end, boolean raw, boolean many, int line, int column) throws KdlException {
    StringBuilder out = new StringBuilder();
    while (!in.end() && !in.starts(end)) {
      if (!many && KdlText.newline(in.peek()) && !continued(out)) {
        throw in.error("a string of one line must end on it");
      }
      int c = in.next();
      out.appendCodePoint(c);
      if (!raw && c == '\\' && !in.end()) {
        out.appendCodePoint(in.next());
      }
    }
    if (in.end()) {
      throw new KdlException(line, column, "string without its " + end);
    }
    in.skip(end.length());
    return out.toString();
  }

  /** Whether an escaped blank stands before, which may run over line ends. */
  private static boolean continued(StringBuilder out) {
    int at = out.length() - 1;
    while (at >= 0 && (KdlText.space(out.charAt(at)) || KdlText.newline(out.charAt(at)))) {
      at--;
    }
    return at >= 0 && at < out.length() - 1 && out.charAt(at) == '\\';
  }

  /** Takes the indent of the last line off all lines. */
  private static String unindented(String raw, int line, int column) throws KdlException {
    List<String> lines = new ArrayList<>(List.of(raw.split("\n", -1)));
    if (lines.size() < 2 || !lines.get(0).isBlank()) {
      throw new KdlException(line, column, "a string of many lines begins on the next line");
    }
    String indent = lines.get(lines.size() - 1);
    if (!indent.isBlank()) {
      throw new KdlException(line, column, "its closing quotes must stand on a line of their own");
    }
    List<String> kept = new ArrayList<>();
    for (String one : lines.subList(1, lines.size() - 1)) {
      if (!one.isBlank() && !one.startsWith(indent)) {
        throw new KdlException(line, column, "each line needs the indent of the closing quotes");
      }
      kept.add(one.isBlank() ? "" : one.substring(indent.length()));
    }
    return String.join("\n", kept);
  }

  private static String unescaped(String text, int line, int column) throws KdlException {
    StringBuilder out = new StringBuilder();
    int at = 0;
    while (at < text.length()) {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
      } else if (at < text.length() && text.charAt(at) == 'u') {
        at = unicode(text, at + 1, out, line, column);
      } else if (at < text.length() && blank(text.charAt(at))) {
        while (at < text.length() && blank(text.charAt(at))) {
          at++;
        }
      } else {
        out.append(plain(at < text.length() ? text.charAt(at) : ' ', line, column));
        at++;
      }
    }
    return out.toString();
  }

  private static boolean blank(char c) {
    return KdlText.space(c) || KdlText.newline(c);
  }

  private static char plain(char c, int line, int column) throws KdlException {
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

  private static int unicode(String text, int at, StringBuilder out, int line, int column)
      throws KdlException {
    int close = text.indexOf('}', at);
    boolean formed = at < text.length() && text.charAt(at) == '{' && close > at + 1;
    String digits = formed ? text.substring(at + 1, close) : "";
    if (!digits.matches("[0-9a-fA-F]{1,6}")) {
      throw new KdlException(line, column, "expected \\u{1 to 6 hexadecimal digits}");
    }
    int point = Integer.parseInt(digits, 16);
    if (point > 0x10ffff || point >= 0xd800 && point <= 0xdfff) {
      throw new KdlException(line, column, "\\u{" + digits + "} is no character");
    }
    out.appendCodePoint(point);
    return close + 1;
  }
}
