package coveladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the timers of the loop and what it keeps of them. */
class EventLoopTest {
  private EventLoop loop;

  @BeforeEach
  void startLoop() {
    loop = new EventLoop("test", System.nanoTime(), 100);
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
}
