package coveladder.sip;

import java.util.ArrayList;
import java.util.List;

/** Scans header values, taking quoted strings and angle brackets into account. */
final class HeaderScanner {
  private static final boolean[] TOKEN_CHARS = tokenChars();

  private HeaderScanner() {}

  /**
   * Returns the index of the next occurrence of a character outside quotes and angle brackets, or
   * the length of the text. After an unclosed quote or bracket nothing is found.
   */
  static int indexOfUnquoted(String text, char target, int from) {
    boolean inQuotes = false;
    boolean inBrackets = false;
    for (int i = from; i < text.length(); i++) {
      char c = text.charAt(i);
      if (inQuotes) {
        if (c == '\\') {
          i++;
        } else if (c == '"') {
          inQuotes = false;
        }
      } else if (c == target && !inBrackets) {
        return i;
      } else if (c == '"') {
        inQuotes = true;
      } else if (c == '<') {
        inBrackets = true;
      } else if (c == '>') {
        inBrackets = false;
      }
    }
    return text.length();
  }

  /** Splits a header value at its commas; empty values are omitted. */
  static List<String> splitValues(String text) {
    List<String> values = new ArrayList<>(2);
    int start = 0;
    while (start <= text.length()) {
      int end = indexOfUnquoted(text, ',', start);
      String value = text.substring(start, end).trim();
      if (!value.isEmpty()) {
        values.add(value);
      }
      start = end + 1;
    }
    return values;
  }

  /** Whether every quoted string and angle bracket is closed. */
  static boolean isBalanced(String text) {
    boolean inQuotes = false;
    int openBrackets = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (inQuotes && c == '\\') {
        i++;
      } else if (c == '"') {
        inQuotes = !inQuotes;
      } else if (!inQuotes && c == '<') {
        openBrackets++;
      } else if (!inQuotes && c == '>') {
        openBrackets--;
      }
    }
    return !inQuotes && openBrackets == 0;
  }

  /** Parses a decimal integer from 0 to {@code max}; returns -1 if the text is not one. */
  static long parseNumber(String text, long max) {
    if (text.isEmpty() || text.length() > 18) { // 19 digits may exceed a long.
      return -1;
    }
    long value = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      value = value * 10 + digit;
    }
    return value > max ? -1 : value;
  }

  /** Whether the text is a token as defined in RFC 3261 section 25.1. */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c >= TOKEN_CHARS.length || !TOKEN_CHARS[c]) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private static boolean[] tokenChars() {
    boolean[] tokenChars = new boolean[128];
    for (char c = 0; c < tokenChars.length; c++) {
      boolean alphanumeric = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
      tokenChars[c] = alphanumeric || "-.!%*_+`'~".indexOf(c) >= 0;
    }
    return tokenChars;
  }
}
