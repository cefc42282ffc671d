package coveladder.isup;

/** Thrown for octets that are not a valid message or document. Its message says what was found. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception without a stack trace; {@code problem} says what was found. */
  public MalformedException(String problem) {
    super(problem, null, false, false);
  }

  /**
   * Checks a condition.
   *
   * @param condition what a valid message fulfils
   * @param problem what was found instead
   * @throws MalformedException if the condition is false
   */
  public static void expect(boolean condition, String problem) throws MalformedException {
    if (!condition) {
      throw new MalformedException(problem);
    }
  }
}
