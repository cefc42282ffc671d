package coveladder;

/**
 * The size of a circuit group, taken from the load reports of its remote exchange. A report may
 * arrive damaged: figures that no group has are ignored, and a size far from the earlier ones
 * enters no estimate until the next report confirms it.
 */
final class ReportedGroupSize {
  /** Maximum number of circuits of a group: a circuit identification code has 12 bits (Q.763). */
  static final int MAX_CIRCUITS = 4_096;

  /** Largest factor between two sizes that confirm each other. */
  private static final double MAX_CHANGE_FACTOR = 2;

  /** The last reported size; NaN before the first report. */
  private double size = Double.NaN;

  /** The last size that another report confirmed, or the first one; NaN before. */
  private double confirmedSize = Double.NaN;

  /**
   * Whether a group can have these figures; reports are noisy, so that more circuits than there are
   * can be given as free, but not twice as many.
   */
  static boolean isPlausible(double freeCircuits, double size) {
    return size >= 0 && size <= MAX_CIRCUITS && freeCircuits <= MAX_CHANGE_FACTOR * size;
  }

  /** Takes the size of a plausible report; returns whether it ends the estimates made so far. */
  boolean report(double reported) {
    boolean near = confirms(confirmedSize, reported);
    boolean confirmed = near || Double.isNaN(confirmedSize) || confirms(size, reported);
    confirmedSize = confirmed ? reported : confirmedSize;
    size = reported;
    return confirmed && !near;
  }

  /** Returns whether the last reported size may enter estimates. */
  boolean isConfirmed() {
    return confirms(confirmedSize, size);
  }

  private static boolean confirms(double earlier, double later) {
    return later <= MAX_CHANGE_FACTOR * earlier && earlier <= MAX_CHANGE_FACTOR * later;
  }
}
