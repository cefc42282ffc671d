package coveladder.net;

import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread with its timers: everything of the nodes that live on it happens here, one thing after
 * the other. What other threads hand over waits in a queue of fixed length.
 */
public final class EventLoop implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int BATCH = 64;
  private static final double NANOS = 1e6;
  private static final long STOOD_STILL = 100_000_000L;
  private static final long READ_FIRST = 10_000_000L;

  /** Longest time without a rest while tasks wait, and the rest, ns: selectors read meanwhile. */
  private static final long REST_EVERY = 40_000_000L;

  private static final long REST = 1_000_000L;

  private final long origin;
  private final ArrayBlockingQueue<Runnable> queue;
  private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Runnable> early = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Due> timers = new PriorityQueue<>();
  private final AtomicLong droppedTasks = new AtomicLong();
  private final Thread thread;
  private volatile long pausedUntil = Long.MIN_VALUE;
  private volatile boolean running = true;
  private long sequence;
  private long failedTasks;
  private long lastTurn = System.nanoTime();
  private long lastRest = lastTurn;

  /** A timer that was set. */
  public interface Timer {
    /** Stops it; without effect once it ran. */
    void cancel();
  }

  /** A timer; equal times run in the order of their asking. */
  private static final class Due implements Comparable<Due>, Timer {
    private final double time;
    private final long order;
    private Runnable task;

    Due(double time, long order, Runnable task) {
      this.time = time;
      this.order = order;
      this.task = task;
    }

    @Override
    public void cancel() {
      task = null;
    }

    @Override
    public int compareTo(Due other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /**
   * Makes a loop that is not yet running.
   *
   * @param origin nano time that counts as clock 0
   * @param length most tasks that wait
   */
  public EventLoop(String name, long origin, int length) {
    this.origin = origin;
    this.queue = new ArrayBlockingQueue<>(length);
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** The clock, ms since the origin; it never steps back. */
  public double now() {
    return (System.nanoTime() - origin) / NANOS;
  }

  /** Hands a task over from any thread; false where too much waits, and the task is dropped. */
  public boolean offer(Runnable task) {
    boolean taken = queue.offer(task);
    if (!taken) {
      droppedTasks.incrementAndGet();
    }
    return taken;
  }

  /** Hands a task over from any thread, waiting for room. */
  public void put(Runnable task) throws InterruptedException {
    queue.put(task);
  }

  /**
   * Hands a task over that must not be lost: from another thread it waits for room, on the loop's
   * own it becomes a timer that is due.
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
   * Hands a task over that goes before all others that wait. For the few that must be heard first;
   * whoever asks bounds how many there are.
   */
  public void executeUrgent(Runnable task) {
    urgent.add(task);
    execute(this::hear);
  }

  /**
   * Hands a task over that goes before timers and ordinary tasks, after those of {@link
   * #executeFirst}: what was said already is heard before anything acts on what was known before.
   */
  public void executePrioritized(Runnable task) {
    early.add(task);
    execute(this::hear);
  }

  private void hear() {
    for (Runnable task = urgent.poll(); task != null; task = urgent.poll()) {
      guarded(task);
    }
    Runnable task = early.poll();
    for (int i = 1; task != null; i++) {
      guarded(task);
      task = i < BATCH ? early.poll() : null;
    }
  }

  /** Before a task or timer: lets the selectors read where they had no moment for long. */
  private void hearFirst() {
    if (System.nanoTime() - lastRest > REST_EVERY) {
      LockSupport.parkNanos(REST);
      lastRest = System.nanoTime();
    }
    hear();
  }

  /** Sets a timer, on the loop's thread or before it runs. */
  public Timer after(double delay, Runnable task) {
    Due due = new Due(now() + delay, sequence++, task);
    timers.add(due);
    return due;
  }

  /** Makes the loop stand still for so long, ms; from any thread. */
  public void pause(double lasts) {
    pausedUntil = System.nanoTime() + (long) (lasts * NANOS);
  }

  /** Tasks dropped so far for want of room. */
  public long droppedTasks() {
    return droppedTasks.get();
  }

  /** Tasks that wait now. */
  public int queuedTasks() {
    return queue.size();
  }

  /** Tasks that threw; each was logged and the loop went on. */
  public long failedTasks() {
    return failedTasks;
  }

  private void run() {
    while (running) {
      try {
        turn();
      } catch (InterruptedException e) {
        running = false;
      }
    }
  }

  private void turn() throws InterruptedException {
    long wait = untilNextTimer();
    long before = System.nanoTime();
    Runnable task = queue.poll();
    if (task == null) {
      task = queue.poll(wait, TimeUnit.NANOSECONDS);
      lastRest = System.nanoTime();
    }
    standStill();
    catchUp(before, wait);
    for (int i = 0; task != null && i < BATCH; i++) {
      hearFirst();
      guarded(task);
      runTimers();
      task = i + 1 < BATCH ? queue.poll() : null;
    }
    runTimers();
  }

  private long untilNextTimer() {
    Due next = timers.peek();
    if (next == null) {
      return 50_000_000L;
    }
    return Math.max(0, Math.min(50_000_000L, (long) ((next.time - now()) * NANOS)));
  }

  /**
   * Where this thread stood still, the selectors did as well, and what came meanwhile is still
   * unread: they get a moment to read it, so that urgent news is heard before timers and tasks act
   * on what was known before.
   */
  private void catchUp(long before, long wait) {
    long late = Math.max(System.nanoTime() - before - wait, before - lastTurn);
    if (late > STOOD_STILL) {
      LockSupport.parkNanos(READ_FIRST);
    }
    hear();
    lastTurn = System.nanoTime();
  }

  private void standStill() {
    while (running && System.nanoTime() - pausedUntil < 0 && pausedUntil != Long.MIN_VALUE) {
      LockSupport.parkNanos(pausedUntil - System.nanoTime());
    }
  }

  private void runTimers() {
    Due due = timers.peek();
    while (due != null && due.time <= now()) {
      timers.poll();
      if (due.task != null) {
        hearFirst();
      }
      if (due.task != null) {
        guarded(due.task);
      }
      due = timers.peek();
    }
  }

  /** A fault in one event must not end the loop with all its calls. */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failedTasks++;
      LOG.error("an event failed", e);
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
