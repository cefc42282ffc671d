package coveladder.net;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * A bounded queue of tasks that run before the other tasks of an event loop. While it does not run
 * empty, it has the loop for one turn, and the others for the next.
 */
final class TurnQueue {
  /** Length of a turn; short compared with every time limit of a peer. */
  static final long TURN_NANOS = 5_000_000;

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

  /** Runs tasks until there are none left or the turn is over, unless it is that of the others. */
  void runTurn(Consumer<Runnable> runner) {
    long now = System.nanoTime();
    if (tasks.isEmpty() || now - othersUntilNanos < 0) {
      return;
    }
    long endNanos = now + TURN_NANOS;
    while (now - endNanos < 0 && !tasks.isEmpty()) {
      runner.accept(tasks.poll());
      now = System.nanoTime();
    }
    if (!tasks.isEmpty()) {
      othersUntilNanos = now + TURN_NANOS;
    }
  }

  /** Ends the turn of the others, as they have nothing to run. */
  void endTurnOfOthers() {
    othersUntilNanos = System.nanoTime();
  }
}
