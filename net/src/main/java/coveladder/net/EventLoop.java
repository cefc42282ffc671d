package coveladder.net;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single thread with timers. All work of the nodes assigned to it runs here sequentially; tasks
 * submitted by other threads wait in a bounded queue.
 */
public final class EventLoop implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Maximum number of queued tasks per iteration. */
  private static final int MAX_BATCH_TASKS = 64;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Longest wait for a task, ms. */
  private static final double MAX_WAIT_MILLIS = 50;

  private final long originNanos;
  private final ArrayBlockingQueue<Runnable> taskQueue;
  private final TurnQueue urgentTasks;
  private final TurnQueue prioritizedTasks;
  private final AtomicBoolean wakeUpQueued = new AtomicBoolean();
  private final TimerQueue timers = new TimerQueue();
  private final AtomicLong droppedTasks = new AtomicLong();
  private final Thread thread;
  private volatile long pausedUntilNanos = Long.MIN_VALUE;
  private volatile boolean running = true;
  private long failedTasks;

  /** Handle of a scheduled timer. */
  public interface Timer {
    /** Cancels the timer, on the loop thread; has no effect once it has run. */
    void cancel();
  }

  /**
   * Creates a loop that is not running yet.
   *
   * @param name thread name
   * @param originNanos value of {@link System#nanoTime} at which this clock reads 0
   * @param queueCapacity maximum number of queued tasks, and of urgent and prioritized ones
   */
  public EventLoop(String name, long originNanos, int queueCapacity) {
    this.originNanos = originNanos;
    this.taskQueue = new ArrayBlockingQueue<>(queueCapacity);
    this.urgentTasks = new TurnQueue(queueCapacity);
    this.prioritizedTasks = new TurnQueue(queueCapacity);
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the loop thread. */
  public void start() {
    thread.start();
  }

  /** Returns whether the loop thread runs. */
  public boolean isAlive() {
    return thread.isAlive();
  }

  /** Returns the monotonic clock, in ms since the origin. */
  public double now() {
    return (System.nanoTime() - originNanos) / NANOS_PER_MILLI;
  }

  /**
   * Submits a task from any thread.
   *
   * @return false if the queue is full and the task was dropped
   */
  public boolean offer(Runnable task) {
    boolean accepted = taskQueue.offer(task);
    if (!accepted) {
      droppedTasks.incrementAndGet();
    }
    return accepted;
  }

  /** Submits a task from any thread and blocks while the queue is full. */
  public void put(Runnable task) throws InterruptedException {
    taskQueue.put(task);
  }

  /**
   * Submits a task that must not be dropped. Other threads block while the queue is full; on the
   * loop thread the task becomes a timer that is due at once.
   */
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      after(0, task);
      return;
    }
    try {
      put(task);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Submits a task that runs before all other queued tasks. Other threads block while the queue of
   * these tasks is full.
   */
  public void executeUrgent(Runnable task) {
    executePreferred(urgentTasks, task);
  }

  /**
   * Submits a task that runs before timers and ordinary tasks, but after those of {@link
   * #executeUrgent}. Input that has already arrived is thus processed before a timer or task acts
   * on outdated state. Other threads block while the queue of these tasks is full.
   */
  public void executePrioritized(Runnable task) {
    executePreferred(prioritizedTasks, task);
  }

  private void executePreferred(TurnQueue queue, Runnable task) {
    try {
      if (Thread.currentThread() == thread) {
        queue.addOnLoop(task);
      } else {
        queue.addFromOutside(task);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    if (wakeUpQueued.compareAndSet(false, true)) {
      execute(this::wakeUp);
    }
  }

  private void wakeUp() {
    wakeUpQueued.set(false);
    runPriorityTasks();
  }

  /**
   * Runs the urgent tasks and then the prioritized ones. Under a flood of them, timers and ordinary
   * tasks have their turn in between, so that no kind of input keeps out another.
   */
  private void runPriorityTasks() {
    urgentTasks.runTurn(this::runGuarded);
    prioritizedTasks.runTurn(this::runGuarded);
  }

  /**
   * Sets a timer, on the loop thread or before the loop starts.
   *
   * @param delayMillis time until the task runs, ms
   */
  public Timer after(double delayMillis, Runnable task) {
    return timers.add(now() + delayMillis, task);
  }

  /**
   * Stops the loop from processing anything for a while, to simulate a stall; from any thread.
   *
   * @param durationMillis length of the pause, ms
   */
  public void pause(double durationMillis) {
    pausedUntilNanos = System.nanoTime() + (long) (durationMillis * NANOS_PER_MILLI);
  }

  /** Returns the number of tasks dropped so far because the queue was full. */
  public long droppedTasks() {
    return droppedTasks.get();
  }

  /** Returns the number of tasks in the queue. */
  public int queuedTasks() {
    return taskQueue.size();
  }

  /** Returns the number of tasks that threw; each was logged and the loop continued. */
  public long failedTasks() {
    return failedTasks;
  }

  /** Runs until the loop is closed; any other end is an error, as nothing would run any more. */
  private void run() {
    try {
      while (running) {
        runOnce();
      }
    } catch (InterruptedException | RuntimeException e) {
      if (running) {
        throw new Error("event loop " + thread.getName() + " ended", e);
      }
    }
  }

  private void runOnce() throws InterruptedException {
    long waitNanos = nanosUntilNextTimer();
    Runnable task = taskQueue.poll();
    if (task == null && waitNanos > 0) {
      urgentTasks.endTurnOfOthers();
      prioritizedTasks.endTurnOfOthers();
      boolean idle = urgentTasks.isEmpty() && prioritizedTasks.isEmpty();
      task = idle ? taskQueue.poll(waitNanos, TimeUnit.NANOSECONDS) : null;
    }
    waitWhilePaused();
    runPriorityTasks();
    for (int i = 0; task != null && i < MAX_BATCH_TASKS; i++) {
      runPriorityTasks();
      runGuarded(task);
      runTimers();
      task = i + 1 < MAX_BATCH_TASKS ? taskQueue.poll() : null;
    }
    runTimers();
  }

  /** Returns the time until the next timer is due, at most 50 ms, in ns. */
  private long nanosUntilNextTimer() {
    double waitMillis = Math.min(MAX_WAIT_MILLIS, timers.nextDueMillis() - now());
    return Math.max(0, (long) (waitMillis * NANOS_PER_MILLI));
  }

  private void waitWhilePaused() {
    while (running
        && System.nanoTime() - pausedUntilNanos < 0
        && pausedUntilNanos != Long.MIN_VALUE) {
      LockSupport.parkNanos(pausedUntilNanos - System.nanoTime());
    }
  }

  /** Runs the due timers, for one turn at most; those left are due in the next iteration. */
  private void runTimers() {
    long endNanos = System.nanoTime() + TurnQueue.MIN_OTHERS_NANOS;
    TimerQueue.ScheduledTask due = timers.peekDue(now());
    while (due != null) {
      if (!due.isCancelled()) {
        runPriorityTasks();
      }
      Runnable task = timers.take(due);
      if (task != null) {
        runGuarded(task);
      }
      due = System.nanoTime() - endNanos < 0 ? timers.peekDue(now()) : null;
    }
  }

  /** Returns the number of timers held, cancelled ones included. */
  int heldTimers() {
    return timers.size();
  }

  /**
   * Runs a task. An exception in it must not end the loop and with it all calls. An error does, and
   * reaches the uncaught exception handler: the state of the calls cannot be relied on any more.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failedTasks++;
      LOG.error("event loop task failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (Thread.currentThread() != thread) {
      thread.interrupt();
      try {
        thread.join(2_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
