package coveladder.wire;

/** Input that cannot be read; its message says where and why. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Names what was found and what was expected. */
  public WireException(String reason) {
    super(reason);
  }
}
