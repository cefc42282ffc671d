package coveladder.kdl;

/** Reads the text of a document by code points and tracks the line and column. */
final class KdlScanner {
  private final String text;
  private int position;
  private int line = 1;
  private int column = 1;

  KdlScanner(String text) {
    this.text = text;
  }

  /** Whether a code point ends a line in KDL. */
  static boolean isNewline(int codePoint) {
    return codePoint == '\n'
        || codePoint == '\r'
        || codePoint == 0x0b
        || codePoint == 0x0c
        || codePoint == 0x85
        || codePoint == 0x2028
        || codePoint == 0x2029;
  }

  /** Whether a code point is a space in KDL, other than the end of a line. */
  static boolean isSpace(int codePoint) {
    return codePoint == ' '
        || codePoint == '\t'
        || codePoint == 0xa0
        || codePoint == 0x1680
        || codePoint >= 0x2000 && codePoint <= 0x200a
        || codePoint == 0x202f
        || codePoint == 0x205f
        || codePoint == 0x3000;
  }

  boolean atEnd() {
    return position >= text.length();
  }

  int line() {
    return line;
  }

  int column() {
    return column;
  }

  /** Returns the next code point without consuming it. */
  int peek() {
    return text.codePointAt(position);
  }

  /** Consumes the next code point and returns it; CR LF counts as one, returned as LF. */
  int next() {
    int codePoint = text.codePointAt(position);
    position += Character.charCount(codePoint);
    if (codePoint == '\r' && !atEnd() && text.charAt(position) == '\n') {
      position++;
      codePoint = '\n';
    }
    if (isNewline(codePoint)) {
      line++;
      column = 1;
    } else {
      column++;
    }
    return codePoint;
  }

  /** Consumes a number of code points. */
  void skip(int count) {
    for (int index = 0; index < count; index++) {
      next();
    }
  }

  /** Consumes the rest of the line, without its end. */
  void skipLine() {
    while (!atEnd() && !isNewline(peek())) {
      next();
    }
  }

  boolean startsWith(String prefix) {
    return text.startsWith(prefix, position);
  }

  /** Whether a raw string begins here: one or more {@code #}, then a quote. */
  boolean startsRawString() {
    int index = position;
    while (index < text.length() && text.charAt(index) == '#') {
      index++;
    }
    return index > position && index < text.length() && text.charAt(index) == '"';
  }

  /** Whether a number begins here: an optional sign and point, then a digit. */
  boolean startsNumber() {
    int index = position;
    if (index < text.length() && (text.charAt(index) == '+' || text.charAt(index) == '-')) {
      index++;
    }
    if (index < text.length() && text.charAt(index) == '.') {
      index++;
    }
    return index < text.length() && text.charAt(index) >= '0' && text.charAt(index) <= '9';
  }

  /** Returns an exception for an error at the present position. */
  KdlException error(String reason) {
    return new KdlException(line, column, reason);
  }
}
