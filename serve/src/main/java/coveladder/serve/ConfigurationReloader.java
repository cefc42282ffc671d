package coveladder.serve;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Reloads the configuration on request, on a thread other than the event loop. Reloads run one
 * after the other, so that a newer configuration is never replaced by an older one. A request made
 * while another is queued is merged with it. Nothing is applied after a stop.
 */
final class ConfigurationReloader {
  private final ThreadPoolExecutor executor;
  private final ReloadTask reloadTask;

  /** Reads the configuration and applies it. */
  interface ReloadTask {
    /**
     * Returns once the configuration is applied or the attempts to read it are used up.
     *
     * @throws InterruptedException if the reloader was stopped
     */
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

  /** Requests a reload; may be called from any thread. */
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

  /** Interrupts a running reload and prevents later ones. */
  void stop() {
    executor.shutdownNow();
  }
}
