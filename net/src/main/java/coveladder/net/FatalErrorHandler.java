package coveladder.net;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process when one of its threads meets an {@link Error}, such as exhausted memory.
 * Without its event loop or a selector thread, a process would keep its connections open and never
 * answer again; once it has ended, its peers see that and others take over.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
  /** Exit status after an error: an internal software error, as in sysexits.h. */
  public static final int EXIT_STATUS = 70;

  private static final Logger LOG = LoggerFactory.getLogger(FatalErrorHandler.class);

  /** Time after which the process ends even if its log cannot be written, ms. */
  private static final long LOG_TIMEOUT_MILLIS = 500;

  /** Written first, as it needs no memory. */
  private static final byte[] LAST_LINE =
      ("a thread met an error, the process ends with status " + EXIT_STATUS + "\n")
          .getBytes(StandardCharsets.US_ASCII);

  private final CountDownLatch failed = new CountDownLatch(1);
  private final FileOutputStream standardError = new FileOutputStream(FileDescriptor.err);

  private FatalErrorHandler() {}

  /** Handles the errors of all threads of the process from now on. */
  public static void install() {
    FatalErrorHandler handler = new FatalErrorHandler();
    Thread watchdog = new Thread(handler::haltAfterFailure, "fatal-error-watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
    Thread.setDefaultUncaughtExceptionHandler(handler);
  }

  /**
   * Hands an error to the handler of the current thread. For code that is called by a library which
   * catches all that is thrown.
   *
   * @return the error, to be thrown on
   */
  static Error report(Error error) {
    Thread thread = Thread.currentThread();
    thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
    return error;
  }

  @Override
  public void uncaughtException(Thread thread, Throwable cause) {
    if (!(cause instanceof Error)) {
      LOG.error("thread {} ended by an exception", thread.getName(), cause);
      return;
    }
    failed.countDown();
    try {
      standardError.write(LAST_LINE);
      LOG.error("thread {} met an error, exit status {}", thread.getName(), EXIT_STATUS, cause);
    } catch (IOException e) {
      // Nobody reads the log: the exit status remains.
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }

  /** Ends the process if the thread that failed is still busy writing the log. */
  private void haltAfterFailure() {
    try {
      failed.await();
      TimeUnit.MILLISECONDS.sleep(LOG_TIMEOUT_MILLIS);
      Runtime.getRuntime().halt(EXIT_STATUS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
