package coveladder.net;

import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
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

  /**
   * Time for which urgent tasks, prioritized ones and all others each run in turn while none of
   * them run out; short compared with every time limit of a peer.
   */
  private static final long TURN_NANOS = 5_000_000;

  /** Number of cancelled timers that may stay in the heap, whatever its size. */
  private static final int MAX_IDLE_CANCELLED_TIMERS = 64;

  private static final double NANOS_PER_MILLI = 1e6;

  private final long originNanos;
  private final ArrayBlockingQueue<Runnable> taskQueue;
  private final PreferredQueue urgentTasks;
  private final PreferredQueue prioritizedTasks;
  private final AtomicBoolean wakeUpQueued = new AtomicBoolean();
  private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
  private final AtomicLong droppedTasks = new AtomicLong();
  private final Thread thread;
  private volatile long pausedUntilNanos = Long.MIN_VALUE;
  private volatile boolean running = true;
  private long nextSequenceNumber;
  private long failedTasks;

  /** Number of entries of {@code timers} that are cancelled. */
  private int cancelledTimers;

  /** Tasks that run before timers and ordinary tasks, for one turn at a time. */
  private final class PreferredQueue {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Semaphore room;

    /** Clock until which it is the turn of the other tasks, ns. */
    private long othersUntilNanos = System.nanoTime();

    PreferredQueue(int capacity) {
      room = new Semaphore(capacity);
    }

    /** Adds a task. Other threads than that of the loop wait while the queue is full. */
    void add(Runnable task) throws InterruptedException {
      if (Thread.currentThread() == thread) {
        tasks.add(task);
      } else {
        room.acquire();
        tasks.add(
            () -> {
              room.release();
              task.run();
            });
      }
    }

    boolean isEmpty() {
      return tasks.isEmpty();
    }

    /** Runs tasks until there are none left or the turn is over, unless it is that of others. */
    void runTurn() {
      long now = System.nanoTime();
      if (tasks.isEmpty() || now - othersUntilNanos < 0) {
        return;
      }
      long endNanos = now + TURN_NANOS;
      while (now - endNanos < 0 && runNext(tasks)) {
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

  private boolean runNext(Queue<Runnable> tasks) {
    Runnable task = tasks.poll();
    if (task != null) {
      runGuarded(task);
    }
    return task != null;
  }

  /** Handle of a scheduled timer. */
  public interface Timer {
    /** Cancels the timer, on the loop thread; has no effect once it has run. */
    void cancel();
  }

  /** A scheduled task; tasks due at the same time run in the order in which they were set. */
  private final class ScheduledTask implements Comparable<ScheduledTask>, Timer {
    private final double timeMillis;
    private final long sequenceNumber;

    /** The task; null once it was cancelled or begun. */
    private Runnable task;

    ScheduledTask(double timeMillis, long sequenceNumber, Runnable task) {
      this.timeMillis = timeMillis;
      this.sequenceNumber = sequenceNumber;
      this.task = task;
    }

    @Override
    public void cancel() {
      if (task != null) {
        task = null;
        cancelledTimers++;
        removeCancelledTimers();
      }
    }

    /** Returns the task, which cannot be cancelled any more; null if it was cancelled before. */
    private Runnable takeTask() {
      Runnable taken = task;
      task = null;
      return taken;
    }

    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(timeMillis, other.timeMillis);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
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
    this.urgentTasks = new PreferredQueue(queueCapacity);
    this.prioritizedTasks = new PreferredQueue(queueCapacity);
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

  private void executePreferred(PreferredQueue queue, Runnable task) {
    try {
      queue.add(task);
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
    urgentTasks.runTurn();
    prioritizedTasks.runTurn();
  }

  /**
   * Sets a timer, on the loop thread or before the loop starts.
   *
   * @param delayMillis time until the task runs, ms
   */
  public Timer after(double delayMillis, Runnable task) {
    ScheduledTask timer = new ScheduledTask(now() + delayMillis, nextSequenceNumber++, task);
    timers.add(timer);
    return timer;
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
    ScheduledTask next = timers.peek();
    if (next == null) {
      return 50_000_000L;
    }
    return Math.max(0, Math.min(50_000_000L, (long) ((next.timeMillis - now()) * NANOS_PER_MILLI)));
  }

  private void waitWhilePaused() {
    while (running
        && System.nanoTime() - pausedUntilNanos < 0
        && pausedUntilNanos != Long.MIN_VALUE) {
      LockSupport.parkNanos(pausedUntilNanos - System.nanoTime());
    }
  }

  private void runTimers() {
    ScheduledTask due = timers.peek();
    while (due != null && due.timeMillis <= now()) {
      if (due.task != null) {
        runPriorityTasks();
      }
      runDue(due);
      due = timers.peek();
    }
  }

  /** Removes a due timer and runs its task, unless the input just processed has cancelled it. */
  private void runDue(ScheduledTask due) {
    if (!timers.remove(due)) {
      return;
    }
    Runnable task = due.takeTask();
    if (task == null) {
      cancelledTimers--;
    } else {
      runGuarded(task);
    }
  }

  /**
   * Removes the cancelled timers once they are the greater part of the heap, so that its size
   * follows the number of pending timers at a constant cost for each.
   */
  private void removeCancelledTimers() {
    if (cancelledTimers > MAX_IDLE_CANCELLED_TIMERS && 2 * cancelledTimers > timers.size()) {
      timers.removeIf(timer -> timer.task == null);
      cancelledTimers = 0;
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
