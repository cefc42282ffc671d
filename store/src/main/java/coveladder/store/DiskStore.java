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
  private static final int BATCH = 4_096;
  private static final int QUEUE = 100_000;
  private static final long CLOSE_WITHIN = 10_000;
  private static final long TIDY_EVERY = 1_000_000_000;

  private final StateFolder folder;
  private final UnaryOperator<String> names;
  private final Executor loop;
  private final long retry;
  private final int retention;
  private final Found found;
  private final BlockingQueue<Work> queue = new ArrayBlockingQueue<>(QUEUE);
  private final Thread writer = new Thread(this::write, "store");
  private final FileChannel lock;
  private CallFile file;
  private volatile Runnable putAll = () -> {};
  private volatile boolean open = true;
  private volatile String failureReason = "";
  private volatile long commitCount;
  private volatile long failureCount;
  private long triedAt;
  private int tries;
  private volatile boolean beginning;
  private long tidiedAt;

  /**
   * A change, or somebody who waits for all changes before, or the word that all was put again.
   *
   * @param fresh which try to begin anew all was put again for; 0: none, -1: none, but all that was
   *     found behind has been set right
   */
  private record Work(String id, SavedCall call, Consumer<Boolean> waits, int fresh) {}

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
   * @param loop where those who wait for a sync are told
   */
  public DiskStore(Path folder, Executor loop) throws IOException, UnusableFolderException {
    this(folder, loop, 5_000, CallFile.RETENTION, UnaryOperator.identity());
  }

  /**
   * Opens a folder.
   *
   * @param retry time between tries to begin anew after a failure, ms
   * @param retention time until space in the file is used again, ms
   * @param names file names as the store is to use them
   */
  DiskStore(Path path, Executor loop, long retry, int retention, UnaryOperator<String> names)
      throws IOException, UnusableFolderException {
    this.folder = new StateFolder(path);
    this.names = names;
    this.loop = loop;
    this.retry = retry;
    this.retention = retention;
    this.lock = folder.lock();
    if (lock == null) {
      throw new UnusableFolderException(path + " is in use by another process; end that one first");
    }
    List<String> damaged = new ArrayList<>();
    boolean behind = folder.behind();
    this.file = openFile(damaged);
    List<SavedCall> calls = file.readAll(folder, damaged);
    int life = file.beginLife();
    file.commit();
    if (!behind) {
      folder.markInStep();
    }
    this.found = new Found(List.copyOf(calls), List.copyOf(damaged), behind, life);
    writer.setDaemon(true);
    writer.start();
  }

  private CallFile openFile(List<String> damaged) throws IOException, UnusableFolderException {
    boolean existed = folder.exists();
    try {
      return open(folder.file());
    } catch (MVStoreException e) {
      if (!existed) {
        throw new UnusableFolderException(folder.path() + " cannot be written: " + e.getMessage());
      }
      Path aside = folder.putAside();
      damaged.add(folder.file() + " could not be opened, now " + aside + ": " + e.getMessage());
      return open(folder.file());
    }
  }

  private CallFile open(Path path) {
    return CallFile.open(names.apply(path.toString()), retention);
  }

  @Override
  public Found found() {
    return found;
  }

  @Override
  public void begunAnew(Runnable all) {
    putAll = all;
  }

  @Override
  public void caughtUp() {
    enqueue(new Work(null, null, null, CAUGHT_UP));
  }

  @Override
  public void put(SavedCall call) {
    enqueue(new Work(call.id(), call, null, 0));
  }

  @Override
  public void remove(String id) {
    enqueue(new Work(id, null, null, 0));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    enqueue(new Work(null, null, done, 0));
  }

  /** A queue that is full counts as a disk that fails: calls go on, and the store says so. */
  private boolean enqueue(Work work) {
    boolean taken = queue.offer(work);
    if (!taken) {
      failed("more than " + QUEUE + " changes wait for the disk");
      if (work.waits() != null) {
        loop.execute(() -> work.waits().accept(false));
      }
    }
    return taken;
  }

  // ---- The writer ---------------------------------------------------------------------------

  private void write() {
    List<Work> batch = new ArrayList<>(BATCH);
    while (open || !queue.isEmpty()) {
      try {
        Work first = queue.poll(50, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, BATCH - 1);
        }
        write(batch);
        batch.clear();
      } catch (InterruptedException e) {
        open = false;
      }
    }
  }

  private void write(List<Work> batch) {
    if (!failureReason.isEmpty() && !beginning) {
      tryAnew();
    }
    boolean safe = file != null && commit(batch) && failureReason.isEmpty();
    for (Work work : batch) {
      if (work.waits() != null) {
        loop.execute(() -> work.waits().accept(safe));
      } else if (work.fresh() == CAUGHT_UP && safe) {
        markInStep();
      } else if (work.fresh() == tries && work.fresh() > 0 && file != null) {
        inStepAgain();
      }
    }
  }

  /** Changes that nobody waits for are committed with the next that somebody does, or when idle. */
  private boolean commit(List<Work> batch) {
    boolean wanted = batch.isEmpty();
    try {
      for (Work work : batch) {
        wanted |= work.waits() != null || work.fresh() != 0;
        if (work.call() != null) {
          file.put(work.id(), RecordCodec.write(work.call()));
        } else if (work.id() != null) {
          file.remove(work.id());
        }
      }
      if (wanted && file.commit()) {
        commitCount++;
      }
      if (System.nanoTime() - tidiedAt > TIDY_EVERY) {
        tidiedAt = System.nanoTime();
        file.tidy();
      }
      return true;
    } catch (MVStoreException e) {
      failed(e.getMessage());
      letGo();
      return false;
    }
  }

  // ---- Failure ------------------------------------------------------------------------------

  /** The first failure marks the folder; the marks of a folder that cannot be marked are logged. */
  private synchronized void failed(String why) {
    if (!failureReason.isEmpty()) {
      return;
    }
    failureReason = why;
    failureCount++;
    LOG.error("calls are not kept: {}; they go on, and a new file is tried", why);
    try {
      folder.markBehind();
    } catch (IOException e) {
      LOG.error(
          "{} cannot be marked as behind: empty it before the next start: {}",
          folder.path(),
          e.getMessage());
    }
  }

  private void letGo() {
    beginning = false;
    if (file != null) {
      file.abandon();
      file = null;
    }
    triedAt = System.nanoTime();
  }

  /** Begins a new file beside the failed one; the controller is asked to put everything again. */
  private void tryAnew() {
    if (file != null) {
      letGo();
    }
    if (System.nanoTime() - triedAt < retry * 1_000_000 || !open) {
      return;
    }
    triedAt = System.nanoTime();
    try {
      Files.deleteIfExists(folder.fresh());
      file = open(folder.fresh());
      file.life(found.life());
      beginning = true;
      tries++;
      int own = tries;
      loop.execute(() -> putAgain(own));
    } catch (MVStoreException | IOException e) {
      LOG.warn("a new file for calls cannot be begun: {}", e.getMessage());
    }
  }

  private void putAgain(int own) {
    putAll.run();
    if (!enqueue(new Work(null, null, null, own))) {
      beginning = false;
    }
  }

  private void markInStep() {
    try {
      folder.markInStep();
    } catch (IOException e) {
      failed(e.getMessage());
    }
  }

  /** All that is kept is in the new file, and safe: it takes the place of the failed one. */
  private void inStepAgain() {
    try {
      folder.takeFresh();
      folder.markInStep();
      beginning = false;
      failureReason = "";
      LOG.info("calls are kept again");
    } catch (IOException e) {
      LOG.warn("the new file for calls cannot be taken: {}", e.getMessage());
      letGo();
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
    open = false;
    try {
      writer.join(CLOSE_WITHIN);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (file != null && failureReason.isEmpty()) {
      file.close();
    } else if (file != null) {
      file.abandon();
    }
    try {
      lock.close();
    } catch (IOException e) {
      LOG.warn("{} may stay locked until this process ends", folder.path());
    }
  }
}
