package coveladder.store;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.SavedCall;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores calls in an MVStore file with group commit: a writer thread takes all queued changes,
 * commits and syncs them once, and then notifies every caller that waits for a sync.
 *
 * <p>A disk failure is never silent: the folder is marked as out of date, waiting callers are told
 * that the sync failed, and every five seconds the store tries to create a new file, into which the
 * controller writes all calls again. The messages for operators call a folder "behind" if it is out
 * of date.
 */
public final class DiskStore implements CallStore, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DiskStore.class);

  /** Value of {@link WriteRequest#rewriteAttempt} for a request made by {@link #markUpToDate}. */
  private static final int MARK_UP_TO_DATE = -1;

  private static final int MAX_BATCH_REQUESTS = 4_096;

  /** Maximum number of requests that wait for the writer; a full queue counts as a disk failure. */
  private static final int MAX_QUEUED_REQUESTS = 100_000;

  private static final long CLOSE_TIMEOUT_MILLIS = 10_000;
  private static final long COMPACTION_INTERVAL_NANOS = 1_000_000_000;

  private final StateFolder folder;
  private final UnaryOperator<String> fileNameMapper;
  private final Executor callbackExecutor;
  private final long retryIntervalMillis;
  private final int retentionMillis;
  private final Contents initialContents;
  private final BlockingQueue<WriteRequest> queue = new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS);
  private final Thread writer = new Thread(this::runWriter, "store");
  private final FileChannel lock;
  private CallFile callFile;
  private volatile Runnable rewriteAllCalls = () -> {};
  private volatile boolean running = true;
  private volatile String failureReason = "";
  private volatile long commitCount;
  private volatile long failureCount;
  private long lastRetryNanos;
  private int rewriteAttempts;
  private volatile boolean rewriting;
  private long lastCompactionNanos;

  /**
   * An entry of the writer's queue: a change of one call, a request to be notified of a sync, or a
   * marker.
   *
   * @param id id of the call that is stored or removed; null: not a change
   * @param call the call to store; null: the call is removed, or this is not a change
   * @param onSynced told whether all earlier changes are on disk; null: nobody waits
   * @param rewriteAttempt 0: this is not a marker; above 0: marks that all calls have been queued
   *     again for the new file of the attempt with this number; {@link #MARK_UP_TO_DATE}: marks
   *     that the state found at the opening has been brought up to date
   */
  private record WriteRequest(
      String id, SavedCall call, Consumer<Boolean> onSynced, int rewriteAttempt) {}

  /** Thrown for a state folder that cannot be used; the message says why and what to do. */
  public static final class UnusableFolderException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableFolderException(String reason) {
      super(reason);
    }
  }

  /**
   * Opens a state folder, creating it if it does not exist, and reads all calls in it.
   *
   * @param callbackExecutor runs the callbacks of {@link #sync} and {@link #onRecreated}
   */
  public DiskStore(Path folder, Executor callbackExecutor)
      throws IOException, UnusableFolderException {
    this(folder, callbackExecutor, 5_000, CallFile.RETENTION_MILLIS, UnaryOperator.identity());
  }

  /**
   * Opens a state folder with the given timing and file system.
   *
   * @param callbackExecutor runs the callbacks of {@link #sync} and {@link #onRecreated}
   * @param retryIntervalMillis time between attempts to create a new file after a failure, ms
   * @param retentionMillis time until freed space in the file is reused, ms
   * @param fileNameMapper maps a path to the file name that MVStore opens
   */
  DiskStore(
      Path path,
      Executor callbackExecutor,
      long retryIntervalMillis,
      int retentionMillis,
      UnaryOperator<String> fileNameMapper)
      throws IOException, UnusableFolderException {
    this.folder = new StateFolder(path);
    this.fileNameMapper = fileNameMapper;
    this.callbackExecutor = callbackExecutor;
    this.retryIntervalMillis = retryIntervalMillis;
    this.retentionMillis = retentionMillis;
    this.lock = folder.tryLock();
    if (lock == null) {
      throw new UnusableFolderException(path + " is in use by another process; end that one first");
    }
    List<String> damaged = new ArrayList<>();
    boolean outOfDate = folder.isOutOfDate();
    this.callFile = openOrReplaceCallFile(damaged);
    List<SavedCall> calls = callFile.readAllAndQuarantine(folder, damaged);
    int incarnation = callFile.incrementIncarnation();
    callFile.commit();
    if (!outOfDate) {
      folder.markUpToDate();
    }
    this.initialContents =
        new Contents(List.copyOf(calls), List.copyOf(damaged), outOfDate, incarnation);
    writer.setDaemon(true);
    writer.start();
  }

  /** Opens the call file; one that cannot be opened is quarantined and replaced by a new one. */
  private CallFile openOrReplaceCallFile(List<String> damaged)
      throws IOException, UnusableFolderException {
    boolean existed = folder.hasCallFile();
    try {
      return openCallFile(folder.callFile());
    } catch (MVStoreException e) {
      if (!existed) {
        throw new UnusableFolderException(folder.path() + " cannot be written: " + e.getMessage());
      }
      Path quarantined = folder.quarantineCallFile();
      damaged.add(
          folder.callFile() + " could not be opened, now " + quarantined + ": " + e.getMessage());
      return openCallFile(folder.callFile());
    }
  }

  private CallFile openCallFile(Path path) {
    return CallFile.open(fileNameMapper.apply(path.toString()), retentionMillis);
  }

  @Override
  public Contents initialContents() {
    return initialContents;
  }

  @Override
  public void onRecreated(Runnable putAll) {
    rewriteAllCalls = putAll;
  }

  @Override
  public void markUpToDate() {
    enqueue(new WriteRequest(null, null, null, MARK_UP_TO_DATE));
  }

  @Override
  public void put(SavedCall call) {
    enqueue(new WriteRequest(call.id(), call, null, 0));
  }

  @Override
  public void remove(String id) {
    enqueue(new WriteRequest(id, null, null, 0));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    enqueue(new WriteRequest(null, null, done, 0));
  }

  /**
   * Queues a request and returns whether there was room. A full queue is handled as a disk failure:
   * calls continue, and the failure is reported.
   */
  private boolean enqueue(WriteRequest request) {
    boolean accepted = queue.offer(request);
    if (!accepted) {
      recordFailure("more than " + MAX_QUEUED_REQUESTS + " changes wait for the disk");
      if (request.onSynced() != null) {
        callbackExecutor.execute(() -> request.onSynced().accept(false));
      }
    }
    return accepted;
  }

  // ---- Writer thread ------------------------------------------------------------------------

  private void runWriter() {
    List<WriteRequest> batch = new ArrayList<>(MAX_BATCH_REQUESTS);
    while (running || !queue.isEmpty()) {
      try {
        WriteRequest first = queue.poll(50, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, MAX_BATCH_REQUESTS - 1);
        }
        processBatch(batch);
        batch.clear();
      } catch (InterruptedException e) {
        running = false;
      }
    }
  }

  /** Writes the changes of a batch, then acts on its sync requests and markers. */
  private void processBatch(List<WriteRequest> batch) {
    if (!failureReason.isEmpty() && !rewriting) {
      tryNewCallFile();
    }
    boolean durable = callFile != null && commit(batch) && failureReason.isEmpty();
    for (WriteRequest request : batch) {
      if (request.onSynced() != null) {
        callbackExecutor.execute(() -> request.onSynced().accept(durable));
      } else if (request.rewriteAttempt() == MARK_UP_TO_DATE && durable) {
        markFolderUpToDate();
      } else if (request.rewriteAttempt() == rewriteAttempts
          && request.rewriteAttempt() > 0
          && callFile != null) {
        installRewrittenFile();
      }
    }
  }

  /**
   * Writes the changes of a batch; false if the disk failed. They are committed at once only if the
   * batch holds a sync request or a marker; otherwise with the next such batch, or when the queue
   * is idle.
   */
  private boolean commit(List<WriteRequest> batch) {
    boolean commitNeeded = batch.isEmpty();
    try {
      for (WriteRequest request : batch) {
        commitNeeded |= request.onSynced() != null || request.rewriteAttempt() != 0;
        if (request.call() != null) {
          callFile.put(request.id(), RecordCodec.encode(request.call()));
        } else if (request.id() != null) {
          callFile.remove(request.id());
        }
      }
      if (commitNeeded && callFile.commit()) {
        commitCount++;
      }
      if (System.nanoTime() - lastCompactionNanos > COMPACTION_INTERVAL_NANOS) {
        lastCompactionNanos = System.nanoTime();
        callFile.compact();
      }
      return true;
    } catch (MVStoreException e) {
      recordFailure(e.getMessage());
      abandonCallFile();
      return false;
    }
  }

  // ---- Failure and rewrite ------------------------------------------------------------------

  /**
   * Records why the disk failed and marks the folder as out of date. Further failures are ignored
   * until the store works again. If the folder cannot be marked, the log tells the operator to
   * empty it.
   */
  private synchronized void recordFailure(String reason) {
    if (!failureReason.isEmpty()) {
      return;
    }
    failureReason = reason;
    failureCount++;
    LOG.error("calls are not kept: {}; they go on, and a new file is tried", reason);
    try {
      folder.markOutOfDate();
    } catch (IOException e) {
      LOG.error(
          "{} cannot be marked as behind: empty it before the next start: {}",
          folder.path(),
          e.getMessage());
    }
  }

  /** Closes the failed file without writing to it and starts the wait for the next attempt. */
  private void abandonCallFile() {
    rewriting = false;
    if (callFile != null) {
      callFile.closeWithoutWriting();
      callFile = null;
    }
    lastRetryNanos = System.nanoTime();
  }

  /**
   * Creates a new file next to the failed one and asks the controller to store all calls again;
   * does nothing before the retry interval has passed.
   */
  private void tryNewCallFile() {
    if (callFile != null) {
      abandonCallFile();
    }
    if (System.nanoTime() - lastRetryNanos < retryIntervalMillis * 1_000_000 || !running) {
      return;
    }
    lastRetryNanos = System.nanoTime();
    try {
      Files.deleteIfExists(folder.newCallFile());
      callFile = openCallFile(folder.newCallFile());
      callFile.setIncarnation(initialContents.incarnation());
      rewriting = true;
      rewriteAttempts++;
      int attempt = rewriteAttempts;
      callbackExecutor.execute(() -> rewriteCalls(attempt));
    } catch (MVStoreException | IOException e) {
      LOG.warn("a new file for calls cannot be begun: {}", e.getMessage());
    }
  }

  /** Queues all calls again, followed by the marker that ends this attempt. */
  private void rewriteCalls(int attempt) {
    rewriteAllCalls.run();
    if (!enqueue(new WriteRequest(null, null, null, attempt))) {
      rewriting = false;
    }
  }

  private void markFolderUpToDate() {
    try {
      folder.markUpToDate();
    } catch (IOException e) {
      recordFailure(e.getMessage());
    }
  }

  /**
   * Replaces the failed file with the new one, which by now holds every stored call, synced to
   * disk.
   */
  private void installRewrittenFile() {
    try {
      folder.installNewCallFile();
      folder.markUpToDate();
      rewriting = false;
      failureReason = "";
      LOG.info("calls are kept again");
    } catch (IOException e) {
      LOG.warn("the new file for calls cannot be taken: {}", e.getMessage());
      abandonCallFile();
    }
  }

  // ---- Statistics ---------------------------------------------------------------------------

  /** Returns why the disk fails; empty while it works. */
  public String failureReason() {
    return failureReason;
  }

  /** Returns how many times the disk went from working to failing. */
  public long failureCount() {
    return failureCount;
  }

  /** Returns the number of commits so far; each put a group of changes on disk. */
  public long commitCount() {
    return commitCount;
  }

  /** Returns the number of requests that wait for the writer thread. */
  public int queuedRequests() {
    return queue.size();
  }

  /** Writes all queued changes, closes the file and releases the lock. */
  @Override
  public void close() {
    running = false;
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (callFile != null && failureReason.isEmpty()) {
      callFile.close();
    } else if (callFile != null) {
      callFile.closeWithoutWriting();
    }
    try {
      lock.close();
    } catch (IOException e) {
      LOG.warn("{} may stay locked until this process ends", folder.path());
    }
  }
}
