package coveladder.wire;

/** Thrown when input cannot be read; the message names the place and the cause. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param reason what was found and what was expected
   */
  public WireException(String reason) {
    super(reason);
  }
}
