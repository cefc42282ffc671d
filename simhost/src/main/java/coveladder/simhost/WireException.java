package coveladder.simhost;

/** Input that cannot be read; its message goes to standard error. */
final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String reason) {
    super(reason);
  }
}
