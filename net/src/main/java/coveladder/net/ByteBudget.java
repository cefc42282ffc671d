package coveladder.net;

import java.util.concurrent.Semaphore;

/** The bound on octets that were read and wait for the loop: a selector waits for room. */
public final class ByteBudget {
  private final Semaphore room;
  private final int most;

  /** Sets the bound, octets. */
  public ByteBudget(int most) {
    this.most = most;
    this.room = new Semaphore(most);
  }

  /** Waits for room, in a selector's thread; false where it was told to end. */
  public boolean acquire(int length) {
    try {
      room.acquire(Math.min(length, most));
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Makes room again, once the loop has had the octets. */
  public void release(int length) {
    room.release(Math.min(length, most));
  }
}
