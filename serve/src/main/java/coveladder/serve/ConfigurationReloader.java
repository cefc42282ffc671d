package coveladder.serve;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Reads a configuration again when asked, off the loop, one reading after the other: what is read
 * later is applied later. One that is asked for while another waits is that other; after the end
 * nothing more is applied.
 */
final class ConfigurationReloader {
  private final ThreadPoolExecutor executor;
  private final ReloadTask reloadTask;

  /** Reads and applies once, trying again where it must. */
  interface ReloadTask {
    /** Returns when it has applied what it read, or given up; ends early where interrupted. */
    void run() throws InterruptedException;
  }

  ConfigurationReloader(ReloadTask reloadTask) {
    this.reloadTask = reloadTask;
    this.executor =
        new ThreadPoolExecutor(
            0,
            1,
            1,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1),
            task -> {
              Thread thread = new Thread(task, "reload");
              thread.setDaemon(true);
              return thread;
            },
            new ThreadPoolExecutor.DiscardPolicy());
  }

  /** Asks for a reading; from any thread. */
  void requestReload() {
    executor.execute(
        () -> {
          try {
            reloadTask.run();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Ends: a reading under way is interrupted, and none begins. */
  void stop() {
    executor.shutdownNow();
  }
}
