package coveladder.isup;

/** Octets that are no message; what says so tells what was found. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what was found. */
  public MalformedException(String found) {
    super(found, null, false, false);
  }
}
