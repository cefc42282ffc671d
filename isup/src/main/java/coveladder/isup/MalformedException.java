package coveladder.isup;

/** Octets that are no message; what says so tells what was found. */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what was found. */
  public MalformedException(String found) {
    super(found, null, false, false);
  }

  /** Says what was found, unless it is as it should be. */
  public static void expect(boolean so, String found) throws MalformedException {
    if (!so) {
      throw new MalformedException(found);
    }
  }
}
