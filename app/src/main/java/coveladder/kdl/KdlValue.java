package coveladder.kdl;

/**
 * A value with its place.
 *
 * @param kind what it is
 * @param text a string's text, or a number as written
 * @param number a number's value; NaN for what is none
 * @param line line from 1
 * @param column column from 1
 */
public record KdlValue(Kind kind, String text, double number, int line, int column) {

  /** Kinds of values. */
  public enum Kind {
    /** Any form of string. */
    STRING,
    /** A number, infinities and not-a-number included. */
    NUMBER,
    /** {@code #true} or {@code #false}. */
    BOOLEAN,
    /** {@code #null}. */
    NULL
  }

  /** A flag's value. */
  public boolean booleanValue() {
    return kind == Kind.BOOLEAN && text.equals("#true");
  }
}
