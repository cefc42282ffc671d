package coveladder.kdl;

/** The text of a document by code points, with line and column. */
final class KdlText {
  private final String text;
  private int at;
  private int line = 1;
  private int column = 1;

  KdlText(String text) {
    this.text = text;
  }

  static boolean newline(int c) {
    return c == '\n'
        || c == '\r'
        || c == 0x0b
        || c == 0x0c
        || c == 0x85
        || c == 0x2028
        || c == 0x2029;
  }

  static boolean space(int c) {
    return c == ' '
        || c == '\t'
        || c == 0xa0
        || c == 0x1680
        || c >= 0x2000 && c <= 0x200a
        || c == 0x202f
        || c == 0x205f
        || c == 0x3000;
  }

  boolean end() {
    return at >= text.length();
  }

  int line() {
    return line;
  }

  int column() {
    return column;
  }

  int peek() {
    return text.codePointAt(at);
  }

  /** Takes the next code point; CR and LF together are one. */
  int next() {
    int c = text.codePointAt(at);
    at += Character.charCount(c);
    if (c == '\r' && !end() && text.charAt(at) == '\n') {
      at++;
      c = '\n';
    }
    if (newline(c)) {
      line++;
      column = 1;
    } else {
      column++;
    }
    return c;
  }

  void skip(int count) {
    for (int i = 0; i < count; i++) {
      next();
    }
  }

  void skipLine() {
    while (!end() && !newline(peek())) {
      next();
    }
  }

  boolean starts(String word) {
    return text.startsWith(word, at);
  }

  /** Whether a raw string begins here: signs '#', then a quote. */
  boolean startsRaw() {
    int i = at;
    while (i < text.length() && text.charAt(i) == '#') {
      i++;
    }
    return i > at && i < text.length() && text.charAt(i) == '"';
  }

  boolean startsNumber() {
    int i = at;
    if (i < text.length() && (text.charAt(i) == '+' || text.charAt(i) == '-')) {
      i++;
    }
    if (i < text.length() && text.charAt(i) == '.') {
      i++;
    }
    return i < text.length() && text.charAt(i) >= '0' && text.charAt(i) <= '9';
  }

  KdlException error(String reason) {
    return new KdlException(line, column, reason);
  }
}
