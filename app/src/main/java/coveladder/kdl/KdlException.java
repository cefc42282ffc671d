package coveladder.kdl;

/** Thrown for a document that is not valid KDL; gives the position of the error. */
public final class KdlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int line;
  private final int column;
  private final String reason;

  /**
   * Creates the exception.
   *
   * @param line line of the error, from 1
   * @param column column of the error, from 1, in code points
   * @param reason what is wrong and what was expected
   */
  public KdlException(int line, int column, String reason) {
    super(line + ":" + column + ": " + reason);
    this.line = line;
    this.column = column;
    this.reason = reason;
  }

  /** Returns the line of the error, from 1. */
  public int line() {
    return line;
  }

  /** Returns the column of the error, from 1, in code points. */
  public int column() {
    return column;
  }

  /** Returns what is wrong, without the position. */
  public String reason() {
    return reason;
  }
}
