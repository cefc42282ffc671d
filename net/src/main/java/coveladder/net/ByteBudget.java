package coveladder.net;

import java.util.concurrent.Semaphore;

/** Limits the bytes that were read and not yet processed by the event loop; readers block on it. */
public final class ByteBudget {
  private final Semaphore permits;
  private final int maxBytes;

  /**
   * Creates a budget.
   *
   * @param maxBytes maximum number of unprocessed bytes
   */
  public ByteBudget(int maxBytes) {
    this.maxBytes = maxBytes;
    this.permits = new Semaphore(maxBytes);
  }

  /**
   * Reserves bytes, on a selector thread, and blocks until the budget allows it. A length above the
   * maximum reserves the whole budget.
   *
   * @return false if the thread was interrupted
   */
  public boolean acquire(int length) {
    try {
      permits.acquire(Math.min(length, maxBytes));
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns reserved bytes to the budget once the event loop has processed them. */
  public void release(int length) {
    permits.release(Math.min(length, maxBytes));
  }
}
