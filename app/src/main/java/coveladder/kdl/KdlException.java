package coveladder.kdl;

/** A document that is not KDL, or not what its reader expects; with the place of it. */
public final class KdlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int line;
  private final int column;
  private final String reason;

  /**
   * Makes the error.
   *
   * @param line line from 1
   * @param column column from 1, in code points
   * @param reason what is wrong and what was expected
   */
  public KdlException(int line, int column, String reason) {
    super(line + ":" + column + ": " + reason);
    this.line = line;
    this.column = column;
    this.reason = reason;
  }

  /** Line from 1. */
  public int line() {
    return line;
  }

  /** Column from 1. */
  public int column() {
    return column;
  }

  /** What is wrong, without the place. */
  public String reason() {
    return reason;
  }
}
