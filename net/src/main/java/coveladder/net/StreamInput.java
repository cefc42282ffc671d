package coveladder.net;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The input of one stream on its way from the selector thread, which adds what it reads, to the
 * event loop, which takes it in parts. While much of it waits, nothing more is read from the
 * stream: a peer that sends faster than it is served waits itself, and holds up no other stream.
 */
public final class StreamInput {
  /** Number of waiting bytes from which the stream is not read. */
  static final int SUSPEND_BYTES = 8_192;

  /** Number of waiting bytes of all streams together from which each waits for its own. */
  static final int TOTAL_SUSPEND_BYTES = 1 << 20;

  private final Stream stream;
  private final AtomicLong totalWaitingBytes;
  private final ConcurrentLinkedQueue<Part> added = new ConcurrentLinkedQueue<>();

  /** Parts taken over by the event loop; only the first can be delivered in part. */
  private final ArrayDeque<Part> taken = new ArrayDeque<>();

  private final AtomicInteger waitingBytes = new AtomicInteger();
  private final AtomicBoolean suspended = new AtomicBoolean();
  private final AtomicBoolean scheduled = new AtomicBoolean();

  /**
   * Bytes that were read.
   *
   * @param octets the bytes
   * @param arrivedMillis event loop clock at the read, ms
   */
  public record Part(byte[] octets, double arrivedMillis) {}

  StreamInput(Stream stream, AtomicLong totalWaitingBytes) {
    this.stream = stream;
    this.totalWaitingBytes = totalWaitingBytes;
  }

  /**
   * Adds what was read, on the selector thread.
   *
   * @return whether the event loop must be told to take it
   */
  public boolean add(byte[] octets, double arrivedMillis) {
    waitingBytes.addAndGet(octets.length);
    totalWaitingBytes.addAndGet(octets.length);
    added.add(new Part(octets, arrivedMillis));
    if (mustWait()) {
      suspended.set(true);
      stream.suspendReading();
      // The event loop may have taken all of it meanwhile.
      resumeIfPossible();
    }
    return scheduled.compareAndSet(false, true);
  }

  private boolean mustWait() {
    int waiting = waitingBytes.get();
    return waiting >= SUSPEND_BYTES
        || waiting > 0 && totalWaitingBytes.get() >= TOTAL_SUSPEND_BYTES;
  }

  private void resumeIfPossible() {
    if (!mustWait() && suspended.compareAndSet(true, false)) {
      stream.resumeReading();
    }
  }

  /**
   * Takes the next bytes, on the event loop.
   *
   * @param maxBytes maximum number of bytes
   * @return the bytes; null if none wait
   */
  public Part take(int maxBytes) {
    for (Part next = added.poll(); next != null; next = added.poll()) {
      taken.add(next);
    }
    Part first = taken.poll();
    if (first == null) {
      return null;
    }
    Part part = first;
    if (first.octets().length > maxBytes) {
      byte[] rest = Arrays.copyOfRange(first.octets(), maxBytes, first.octets().length);
      part = new Part(Arrays.copyOf(first.octets(), maxBytes), first.arrivedMillis());
      taken.addFirst(new Part(rest, first.arrivedMillis()));
    }
    waitingBytes.addAndGet(-part.octets().length);
    totalWaitingBytes.addAndGet(-part.octets().length);
    resumeIfPossible();
    return part;
  }

  /**
   * Ends a visit of the event loop.
   *
   * @return whether it must come again, as more waits
   */
  public boolean visitAgain() {
    if (hasWaiting()) {
      return true;
    }
    scheduled.set(false);
    return hasWaiting() && scheduled.compareAndSet(false, true);
  }

  /** Discards what waits, on the event loop; returns the number of bytes. */
  public int discard() {
    int discarded = 0;
    for (Part part = take(Integer.MAX_VALUE); part != null; part = take(Integer.MAX_VALUE)) {
      discarded += part.octets().length;
    }
    return discarded;
  }

  int waitingBytes() {
    return waitingBytes.get();
  }

  /**
   * Returns whether bytes wait for the event loop. They count from just before they can be taken,
   * so that none are read and not known.
   */
  public boolean hasWaiting() {
    return waitingBytes.get() > 0;
  }
}
