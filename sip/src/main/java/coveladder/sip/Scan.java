package coveladder.sip;

import java.util.ArrayList;
import java.util.List;

/** Walks over header values with an eye on quoted strings and angle brackets. */
final class Scan {
  private static final boolean[] TOKEN = tokenSigns();

  private Scan() {}

  /**
   * The next place of a sign outside quotes and angle brackets, or the length of the text. A quote
   * or bracket that never closes hides the rest.
   */
  static int find(String text, char sign, int from) {
    boolean quoted = false;
    boolean angled = false;
    for (int i = from; i < text.length(); i++) {
      char c = text.charAt(i);
      if (quoted) {
        if (c == '\\') {
          i++;
        } else if (c == '"') {
          quoted = false;
        }
      } else if (c == sign && !angled) {
        return i;
      } else if (c == '"') {
        quoted = true;
      } else if (c == '<') {
        angled = true;
      } else if (c == '>') {
        angled = false;
      }
    }
    return text.length();
  }

  /** Splits a value that may hold several, set apart by commas. */
  static List<String> values(String text) {
    List<String> values = new ArrayList<>(2);
    int at = 0;
    while (at <= text.length()) {
      int next = find(text, ',', at);
      String value = text.substring(at, next).trim();
      if (!value.isEmpty()) {
        values.add(value);
      }
      at = next + 1;
    }
    return values;
  }

  /** Whether every quoted string and angle bracket closes. */
  static boolean balanced(String text) {
    boolean quoted = false;
    int angles = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (quoted && c == '\\') {
        i++;
      } else if (c == '"') {
        quoted = !quoted;
      } else if (!quoted && c == '<') {
        angles++;
      } else if (!quoted && c == '>') {
        angles--;
      }
    }
    return !quoted && angles == 0;
  }

  /** Reads a whole number of at most {@code most}; -1 where the text is none. */
  static long number(String text, long most) {
    if (text.isEmpty() || text.length() > 18) {
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
    return value > most ? -1 : value;
  }

  /** Whether the text is a token of RFC 3261 section 25.1. */
  static boolean token(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c >= TOKEN.length || !TOKEN[c]) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private static boolean[] tokenSigns() {
    boolean[] signs = new boolean[128];
    for (char c = 0; c < signs.length; c++) {
      boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
      signs[c] = letter || "-.!%*_+`'~".indexOf(c) >= 0;
    }
    return signs;
  }
}
