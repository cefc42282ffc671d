package coveladder.standin;

/** One group of circuits that two exchanges share; both ends seize from the same circuits. */
public final class CircuitGroup {
  private int size;
  private int busy;

  /** Makes a group of idle circuits. */
  public CircuitGroup(int size) {
    this.size = size;
  }

  /** Takes circuits; whether there were enough. */
  public boolean seize(int width) {
    if (busy + width > size) {
      return false;
    }
    busy += width;
    return true;
  }

  /** Gives circuits back. */
  public void release(int width) {
    busy -= width;
    if (busy < 0) {
      throw new IllegalStateException("circuits released twice");
    }
  }

  /** Idle circuits; none while the group has shrunk below what is busy. */
  public int free() {
    return Math.max(0, size - busy);
  }

  /** Circuits in all. */
  public int size() {
    return size;
  }

  /** Busy circuits. */
  public int busy() {
    return busy;
  }

  /** Changes the size, as when circuits between places are lost or come back. */
  public void resize(int newSize) {
    size = newSize;
  }
}
