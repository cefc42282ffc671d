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
 * Calls kept in an MVStore file. Changes of many calls reach the disk together: a thread of its own
 * takes what waits, commits and syncs once, and tells all who asked (group commit).
 *
 * <p>A disk that fails loses nothing silently: the folder is marked as behind, those who wait are
 * told, and every some seconds a new file is tried, into which all calls are put once more.
 */
public final class DiskStore implements CallStore, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DiskStore.class);
  private static final int CAUGHT_UP = -1;
  private static final int MAX_BATCH_SIZE = 4_096;
  private static final int QUEUE_CAPACITY = 100_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 10_000;
  private static final long COMPACTION_INTERVAL_NANOS = 1_000_000_000;

  private final StateFolder folder;
  private final UnaryOperator<String> fileNameMapper;
  private final Executor callbackExecutor;
  private final long retryIntervalMillis;
  private final int retentionMillis;
  private final Found found;
  private final BlockingQueue<WriteRequest> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Thread writer = new Thread(this::runWriter, "store");
  private final FileChannel lock;
  private CallFile callFile;
  private volatile Runnable rewriteAllCalls = () -> {};
  private volatile boolean running = true;
  private volatile String failureReason = "";
  private volatile long commitCount;
  private volatile long failureCount;
  private long lastAttemptNanos;
  private int rewriteAttempts;
  private volatile boolean rewriting;
  private long lastCompactionNanos;

  /**
   * A change, or somebody who waits for all changes before, or the word that all was put again.
   *
   * @param rewriteAttempt which try to begin anew all was put again for; 0: none, -1: none, but all
   *     that was found behind has been set right
   */
  private record WriteRequest(
      String id, SavedCall call, Consumer<Boolean> onSynced, int rewriteAttempt) {}

  /** A folder that cannot be used; the message says why and what to do. */
  public static final class UnusableFolderException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableFolderException(String reason) {
      super(reason);
    }
  }

  /**
   * Opens a folder, which is made if need be, and reads all that it holds.
   *
   * @param callbackExecutor where those who wait for a sync are told
   */
  public DiskStore(Path folder, Executor callbackExecutor)
      throws IOException, UnusableFolderException {
    this(folder, callbackExecutor, 5_000, CallFile.RETENTION_MILLIS, UnaryOperator.identity());
  }

  /**
   * Opens a folder.
   *
   * @param retryIntervalMillis time between tries to begin anew after a failure, ms
   * @param retentionMillis time until space in the file is used again, ms
   * @param fileNameMapper file names as the store is to use them
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
    boolean behind = folder.isBehind();
    this.callFile = openOrReplaceCallFile(damaged);
    List<SavedCall> calls = callFile.readAllAndQuarantine(folder, damaged);
    int openCount = callFile.incrementOpenCount();
    callFile.commit();
    if (!behind) {
      folder.markInStep();
    }
    this.found = new Found(List.copyOf(calls), List.copyOf(damaged), behind, openCount);
    writer.setDaemon(true);
    writer.start();
  }

  private CallFile openOrReplaceCallFile(List<String> damaged)
      throws IOException, UnusableFolderException {
    boolean existed = folder.hasCallsFile();
    try {
      return openCallFile(folder.callsFile());
    } catch (MVStoreException e) {
      if (!existed) {
        throw new UnusableFolderException(folder.path() + " cannot be written: " + e.getMessage());
      }
      Path quarantined = folder.quarantineCallsFile();
      damaged.add(
          folder.callsFile() + " could not be opened, now " + quarantined + ": " + e.getMessage());
      return openCallFile(folder.callsFile());
    }
  }

  private CallFile openCallFile(Path path) {
    return CallFile.open(fileNameMapper.apply(path.toString()), retentionMillis);
  }

  @Override
  public Found found() {
    return found;
  }

  @Override
  public void begunAnew(Runnable putAll) {
    rewriteAllCalls = putAll;
  }

  @Override
  public void caughtUp() {
    enqueue(new WriteRequest(null, null, null, CAUGHT_UP));
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

  /** A queue that is full counts as a disk that fails: calls go on, and the store says so. */
  private boolean enqueue(WriteRequest request) {
    boolean accepted = queue.offer(request);
    if (!accepted) {
      recordFailure("more than " + QUEUE_CAPACITY + " changes wait for the disk");
      if (request.onSynced() != null) {
        callbackExecutor.execute(() -> request.onSynced().accept(false));
      }
    }
    return accepted;
  }

  // ---- The writer ---------------------------------------------------------------------------

  private void runWriter() {
    List<WriteRequest> batch = new ArrayList<>(MAX_BATCH_SIZE);
    while (running || !queue.isEmpty()) {
      try {
        WriteRequest first = queue.poll(50, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, MAX_BATCH_SIZE - 1);
        }
        processBatch(batch);
        batch.clear();
      } catch (InterruptedException e) {
        running = false;
      }
    }
  }

  private void processBatch(List<WriteRequest> batch) {
    if (!failureReason.isEmpty() && !rewriting) {
      tryNewCallFile();
    }
    boolean durable = callFile != null && commit(batch) && failureReason.isEmpty();
    for (WriteRequest request : batch) {
      if (request.onSynced() != null) {
        callbackExecutor.execute(() -> request.onSynced().accept(durable));
      } else if (request.rewriteAttempt() == CAUGHT_UP && durable) {
        markInStep();
      } else if (request.rewriteAttempt() == rewriteAttempts
          && request.rewriteAttempt() > 0
          && callFile != null) {
        installRewrittenFile();
      }
    }
  }

  /** Changes that nobody waits for are committed with the next that somebody does, or when idle. */
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

  // ---- Failure ------------------------------------------------------------------------------

  /** The first failure marks the folder; the marks of a folder that cannot be marked are logged. */
  private synchronized void recordFailure(String reason) {
    if (!failureReason.isEmpty()) {
      return;
    }
    failureReason = reason;
    failureCount++;
    LOG.error("calls are not kept: {}; they go on, and a new file is tried", reason);
    try {
      folder.markBehind();
    } catch (IOException e) {
      LOG.error(
          "{} cannot be marked as behind: empty it before the next start: {}",
          folder.path(),
          e.getMessage());
    }
  }

  private void abandonCallFile() {
    rewriting = false;
    if (callFile != null) {
      callFile.closeWithoutWriting();
      callFile = null;
    }
    lastAttemptNanos = System.nanoTime();
  }

  /** Begins a new file beside the failed one; the controller is asked to put everything again. */
  private void tryNewCallFile() {
    if (callFile != null) {
      abandonCallFile();
    }
    if (System.nanoTime() - lastAttemptNanos < retryIntervalMillis * 1_000_000 || !running) {
      return;
    }
    lastAttemptNanos = System.nanoTime();
    try {
      Files.deleteIfExists(folder.newCallsFile());
      callFile = openCallFile(folder.newCallsFile());
      callFile.setOpenCount(found.life());
      rewriting = true;
      rewriteAttempts++;
      int attempt = rewriteAttempts;
      callbackExecutor.execute(() -> rewriteCalls(attempt));
    } catch (MVStoreException | IOException e) {
      LOG.warn("a new file for calls cannot be begun: {}", e.getMessage());
    }
  }

  private void rewriteCalls(int attempt) {
    rewriteAllCalls.run();
    if (!enqueue(new WriteRequest(null, null, null, attempt))) {
      rewriting = false;
    }
  }

  private void markInStep() {
    try {
      folder.markInStep();
    } catch (IOException e) {
      recordFailure(e.getMessage());
    }
  }

  /** All that is kept is in the new file, and safe: it takes the place of the failed one. */
  private void installRewrittenFile() {
    try {
      folder.installNewCallsFile();
      folder.markInStep();
      rewriting = false;
      failureReason = "";
      LOG.info("calls are kept again");
    } catch (IOException e) {
      LOG.warn("the new file for calls cannot be taken: {}", e.getMessage());
      abandonCallFile();
    }
  }

  // ---- Figures ------------------------------------------------------------------------------

  /** Why the disk fails; empty while it works. */
  public String failureReason() {
    return failureReason;
  }

  /** How often the disk began to fail. */
  public long failureCount() {
    return failureCount;
  }

  /** Commits so far; each made a group of changes safe. */
  public long commitCount() {
    return commitCount;
  }

  /** Changes that wait for the disk. */
  public int pendingChanges() {
    return queue.size();
  }

  /** Writes all that waits and closes the file. */
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
