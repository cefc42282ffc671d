package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reloads and a stop that are requested while an earlier reload is still running. */
@Timeout(30)
class ConfigurationReloaderTest {
  private final List<String> applied = new CopyOnWriteArrayList<>();
  private final AtomicInteger fileVersion = new AtomicInteger(1);
  private final CountDownLatch firstRead = new CountDownLatch(1);
  private final CountDownLatch secondApplied = new CountDownLatch(1);

  /** Delays the first reload after its read, so that the second could overtake it. */
  private void reload() throws InterruptedException {
    int version = fileVersion.get();
    if (version == 1) {
      firstRead.countDown();
      secondApplied.await(500, TimeUnit.MILLISECONDS);
    }
    applied.add("configuration " + version);
    if (version == 2) {
      secondApplied.countDown();
    }
  }

  @Test
  void anOlderConfigurationIsNeverAppliedAfterANewerOne() throws Exception {
    ConfigurationReloader reloader = new ConfigurationReloader(this::reload);
    reloader.requestReload();
    firstRead.await();
    fileVersion.set(2);
    reloader.requestReload();
    secondApplied.await();
    assertEquals(List.of("configuration 1", "configuration 2"), applied);
  }

  @Test
  void nothingIsAppliedAfterStop() throws Exception {
    CountDownLatch interrupted = new CountDownLatch(1);
    ConfigurationReloader reloader =
        new ConfigurationReloader(
            () -> {
              firstRead.countDown();
              try {
                new CountDownLatch(1).await();
                applied.add("after the end");
              } finally {
                interrupted.countDown();
              }
            });
    reloader.requestReload();
    firstRead.await();
    reloader.stop();
    interrupted.await();
    reloader.requestReload();
    assertEquals(List.of(), applied);
  }
}
