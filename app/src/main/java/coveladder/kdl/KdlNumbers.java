package coveladder.kdl;

import java.util.regex.Pattern;

/** Numbers of KDL 2: decimal, hexadecimal, octal, binary, with underscores between digits. */
final class KdlNumbers {
  private static final Pattern DECIMAL =
      Pattern.compile("[+-]?[0-9][0-9_]*(\\.[0-9][0-9_]*)?([eE][+-]?[0-9][0-9_]*)?");
  private static final Pattern HEX = Pattern.compile("[+-]?0x[0-9a-fA-F][0-9a-fA-F_]*");
  private static final Pattern OCTAL = Pattern.compile("[+-]?0o[0-7][0-7_]*");
  private static final Pattern BINARY = Pattern.compile("[+-]?0b[01][01_]*");

  private KdlNumbers() {}

  /** Value of a number; {@code digits} is the word without underscores. */
  static double parse(String word, String digits) {
    if (DECIMAL.matcher(word).matches()) {
      return Double.parseDouble(digits);
    }
    if (HEX.matcher(word).matches()) {
      return whole(digits, 16);
    }
    if (OCTAL.matcher(word).matches()) {
      return whole(digits, 8);
    }
    if (BINARY.matcher(word).matches()) {
      return whole(digits, 2);
    }
    throw new NumberFormatException(word);
  }

  private static double whole(String digits, int base) {
    boolean minus = digits.startsWith("-");
    String bare = digits.substring(digits.indexOf('0') + 2);
    double value = new java.math.BigInteger(bare, base).doubleValue();
    return minus ? -value : value;
  }
}
