package coveladder.kdl;

import java.math.BigInteger;
import java.util.regex.Pattern;

/**
 * Parses numbers of KDL 2: decimal, hexadecimal, octal or binary, with underscores between digits.
 */
final class KdlNumbers {
  private static final Pattern DECIMAL =
      Pattern.compile("[+-]?[0-9][0-9_]*(\\.[0-9][0-9_]*)?([eE][+-]?[0-9][0-9_]*)?");
  private static final Pattern HEX = Pattern.compile("[+-]?0x[0-9a-fA-F][0-9a-fA-F_]*");
  private static final Pattern OCTAL = Pattern.compile("[+-]?0o[0-7][0-7_]*");
  private static final Pattern BINARY = Pattern.compile("[+-]?0b[01][01_]*");

  private KdlNumbers() {}

  /**
   * Parses a number.
   *
   * @param word the number as written
   * @param digits the word without underscores
   * @throws NumberFormatException if the word is not a number
   */
  static double parse(String word, String digits) {
    if (DECIMAL.matcher(word).matches()) {
      return Double.parseDouble(digits);
    }
    if (HEX.matcher(word).matches()) {
      return parseInteger(digits, 16);
    }
    if (OCTAL.matcher(word).matches()) {
      return parseInteger(digits, 8);
    }
    if (BINARY.matcher(word).matches()) {
      return parseInteger(digits, 2);
    }
    throw new NumberFormatException(word);
  }

  private static double parseInteger(String digits, int radix) {
    boolean negative = digits.startsWith("-");
    String magnitude = digits.substring(digits.indexOf('0') + 2);
    double value = new BigInteger(magnitude, radix).doubleValue();
    return negative ? -value : value;
  }
}
