package coveladder.standin;

/** A group of circuits between two exchanges; both ends seize from the same circuits. */
public final class CircuitGroup {
  private int size;
  private int busy;

  /** Creates a group of idle circuits. */
  public CircuitGroup(int size) {
    this.size = size;
  }

  /** Seizes {@code width} circuits; false if there were too few. */
  public boolean seize(int width) {
    if (busy + width > size) {
      return false;
    }
    busy += width;
    return true;
  }

  /** Releases {@code width} circuits. */
  public void release(int width) {
    busy -= width;
    if (busy < 0) {
      throw new IllegalStateException("circuits released twice");
    }
  }

  /** Number of idle circuits; zero while the group is smaller than the number of busy circuits. */
  public int free() {
    return Math.max(0, size - busy);
  }

  /** Number of circuits. */
  public int size() {
    return size;
  }

  /** Number of busy circuits. */
  public int busy() {
    return busy;
  }

  /** Changes the number of circuits, as when circuits fail or are restored. */
  public void resize(int newSize) {
    size = newSize;
  }
}
