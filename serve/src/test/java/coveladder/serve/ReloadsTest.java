package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two words to read the configuration again, and one to end, in any order. */
@Timeout(30)
class ReloadsTest {
  private final List<String> applied = new CopyOnWriteArrayList<>();
  private final AtomicInteger file = new AtomicInteger(1);
  private final CountDownLatch firstRead = new CountDownLatch(1);
  private final CountDownLatch secondApplied = new CountDownLatch(1);

  /** The first reading is held up after it read, until the second is applied if it can be. */
  private void reading() throws InterruptedException {
    int found = file.get();
    if (found == 1) {
      firstRead.countDown();
      secondApplied.await(500, TimeUnit.MILLISECONDS);
    }
    applied.add("configuration " + found);
    if (found == 2) {
      secondApplied.countDown();
    }
  }

  @Test
  void anOlderConfigurationIsNeverAppliedAfterANewerOne() throws Exception {
    Reloads reloads = new Reloads(this::reading);
    reloads.ask();
    firstRead.await();
    file.set(2);
    reloads.ask();
    secondApplied.await();
    assertEquals(List.of("configuration 1", "configuration 2"), applied);
  }

  @Test
  void afterTheEndNothingIsApplied() throws Exception {
    CountDownLatch interrupted = new CountDownLatch(1);
    Reloads reloads =
        new Reloads(
            () -> {
              firstRead.countDown();
              try {
                new CountDownLatch(1).await();
                applied.add("after the end");
              } finally {
                interrupted.countDown();
              }
            });
    reloads.ask();
    firstRead.await();
    reloads.end();
    interrupted.await();
    reloads.ask();
    assertEquals(List.of(), applied);
  }
}
