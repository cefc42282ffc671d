package coveladder.kdl;

/**
 * An argument or the value of a property, with its position.
 *
 * @param kind the type of the value
 * @param text text of a string; any other value as written
 * @param number value of a number; NaN for any other value
 * @param line line of the value, from 1
 * @param column column of the value, from 1, in code points
 */
public record KdlValue(Kind kind, String text, double number, int line, int column) {

  /** Types of values. */
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

  /** Whether this is {@code #true}. */
  public boolean booleanValue() {
    return kind == Kind.BOOLEAN && text.equals("#true");
  }
}
