package coveladder.net;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * A bounded queue of tasks that run before the other tasks of an event loop. A turn runs the tasks
 * that are queued at its start. If more have come meanwhile, the others have the loop for as long
 * before the next turn.
 */
final class TurnQueue {
  /** Shortest turn of the other tasks. */
  static final long MIN_OTHERS_NANOS = 5_000_000;

  /** Longest turn; short compared with every time limit of a peer. */
  private static final long MAX_TURN_NANOS = 100_000_000;

  private final int capacity;

  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Semaphore room;

  /** Clock until which it is the turn of the other tasks, ns; on the loop thread. */
  private long othersUntilNanos = System.nanoTime();

  /**
   * Creates an empty queue.
   *
   * @param capacity maximum number of tasks of other threads than that of the loop
   */
  TurnQueue(int capacity) {
    this.capacity = capacity;
    room = new Semaphore(capacity);
  }

  /** Adds a task, on the loop thread. */
  void addOnLoop(Runnable task) {
    tasks.add(task);
  }

  /** Adds a task, on any other thread, which waits while the queue is full. */
  void addFromOutside(Runnable task) throws InterruptedException {
    room.acquire();
    tasks.add(
        () -> {
          room.release();
          task.run();
        });
  }

  boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Runs the tasks that are queued now, unless it is the turn of the others. */
  void runTurn(Consumer<Runnable> runner) {
    long start = System.nanoTime();
    if (tasks.isEmpty() || start - othersUntilNanos < 0) {
      return;
    }
    long now = start;
    int queued = Math.max(1, capacity - room.availablePermits());
    for (int i = 0; i < queued && !tasks.isEmpty() && now - start < MAX_TURN_NANOS; i++) {
      runner.accept(tasks.poll());
      now = System.nanoTime();
    }
    if (!tasks.isEmpty()) {
      othersUntilNanos = now + Math.max(MIN_OTHERS_NANOS, now - start);
    }
  }

  /** Ends the turn of the others, as they have nothing to run. */
  void endTurnOfOthers() {
    othersUntilNanos = System.nanoTime();
  }
}
