package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the timers of the loop and what it keeps of them. */
class EventLoopTest {
  private static final int QUEUE_CAPACITY = 100;

  private static final int FLOOD_QUEUE_CAPACITY = 8_192;

  /** Time within which a release has to be passed on, ms (protocol of the platform). */
  private static final long RELEASE_LIMIT_MILLIS = 1_000;

  private EventLoop loop;

  @BeforeEach
  void startLoop() {
    loop = new EventLoop("test", System.nanoTime(), QUEUE_CAPACITY);
    loop.start();
  }

  @AfterEach
  void stopLoop() {
    loop.close();
  }

  /** Timers of calls that were refused at once stayed in the heap for the calls' whole patience. */
  @Test
  void cancelledTimersDoNotAccumulate() throws Exception {
    CompletableFuture<Integer> held = new CompletableFuture<>();
    loop.execute(
        () -> {
          for (int i = 0; i < 100_000; i++) {
            loop.after(9_000, () -> {}).cancel();
          }
          held.complete(loop.heldTimers());
        });
    assertTrue(held.get(10, TimeUnit.SECONDS) < 200, "timers held: " + held.get());
  }

  @Test
  void pendingTimersRunInOrderBetweenCancelledOnes() throws Exception {
    List<Integer> order = new ArrayList<>();
    CompletableFuture<Integer> held = new CompletableFuture<>();
    loop.execute(
        () -> {
          for (int i = 0; i < 1_000; i++) {
            int number = i;
            EventLoop.Timer timer = loop.after(20, () -> order.add(number));
            if (i % 100 != 0) {
              timer.cancel();
            }
            timer.cancel();
            if (i % 100 == 0) {
              loop.after(20, () -> order.add(number));
            }
          }
          loop.after(40, () -> held.complete(loop.heldTimers()));
        });
    assertEquals(0, held.get(10, TimeUnit.SECONDS));
    assertEquals(List.of(0, 100, 200, 300, 400, 500, 600, 700, 800, 900), order);
  }

  @Test
  void aTimerCancelledByInputOfTheSameTurnDoesNotRun() throws Exception {
    CompletableFuture<String> first = new CompletableFuture<>();
    loop.execute(
        () -> {
          EventLoop.Timer timer = loop.after(0, () -> first.complete("timer"));
          loop.executePrioritized(timer::cancel);
          loop.after(20, () -> first.complete("cancelled"));
        });
    assertEquals("cancelled", first.get(10, TimeUnit.SECONDS));
  }

  /** Callers that sent at full speed kept the answers of switches and timers waiting. */
  @Test
  @Timeout(30)
  void aFloodOfPrioritizedTasksLeavesTurnsToTimersAndOrdinaryTasks() throws Exception {
    AtomicBoolean flooding = new AtomicBoolean(true);
    try (EventLoop flooded = new EventLoop("flooded", System.nanoTime(), FLOOD_QUEUE_CAPACITY)) {
      flooded.start();
      Thread flood = new Thread(() -> flood(flooded, flooding));
      flood.setDaemon(true);
      flood.start();
      while (flood.getState() != Thread.State.WAITING) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      for (int i = 0; i < 5; i++) {
        CountDownLatch task = new CountDownLatch(1);
        CountDownLatch timer = new CountDownLatch(1);
        flooded.put(task::countDown);
        assertTrue(task.await(RELEASE_LIMIT_MILLIS, TimeUnit.MILLISECONDS), "ordinary task");
        flooded.put(() -> flooded.after(1, timer::countDown));
        assertTrue(timer.await(2 * RELEASE_LIMIT_MILLIS, TimeUnit.MILLISECONDS), "timer");
      }
    } finally {
      flooding.set(false);
    }
  }

  private static void flood(EventLoop loop, AtomicBoolean flooding) {
    while (flooding.get()) {
      loop.executePrioritized(() -> busyMillis(1));
    }
  }

  /** With turns of 5 ms, connections were closed before set-ups that had been read. */
  @Test
  @Timeout(30)
  void allInputThatIsQueuedRunsBeforeADueTimerHoweverLongItTakes() throws Exception {
    CountDownLatch unblock = new CountDownLatch(1);
    List<String> order = new ArrayList<>();
    CompletableFuture<List<String>> result = new CompletableFuture<>();
    loop.put(
        () -> {
          loop.after(0, () -> result.complete(List.copyOf(order)));
          awaitUnchecked(unblock);
        });
    for (int i = 0; i < 5; i++) {
      loop.executePrioritized(
          () -> {
            busyMillis(8);
            order.add("input");
          });
    }
    unblock.countDown();
    assertEquals(Collections.nCopies(5, "input"), result.get(10, TimeUnit.SECONDS));
  }

  @Test
  @Timeout(30)
  void otherThreadsWaitWhileTheQueueOfPrioritizedTasksIsFull() throws Exception {
    CountDownLatch unblock = new CountDownLatch(1);
    loop.put(() -> awaitUnchecked(unblock));
    AtomicInteger added = new AtomicInteger();
    Thread adding =
        new Thread(
            () -> {
              for (int i = 0; i < 2 * QUEUE_CAPACITY; i++) {
                loop.executePrioritized(() -> {});
                added.incrementAndGet();
              }
            });
    adding.start();
    while (adding.getState() != Thread.State.WAITING) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertEquals(QUEUE_CAPACITY, added.get());
    unblock.countDown();
    adding.join();
    assertEquals(2 * QUEUE_CAPACITY, added.get());
  }

  private static void busyMillis(long millis) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < endNanos) {
      Thread.onSpinWait();
    }
  }

  private static void awaitUnchecked(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
