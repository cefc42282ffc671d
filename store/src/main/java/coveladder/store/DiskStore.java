package coveladder.store;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.SavedCall;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Calls kept in an MVStore file. Changes of many calls reach the disk together: a thread of its own
 * takes what waits, commits and syncs once, and tells all who asked (group commit).
 *
 * <p>A file that cannot be opened is put aside and a new one begun; a record that cannot be read is
 * written to {@code set-aside.txt} with its reason. A folder in use is refused.
 */
public final class DiskStore implements CallStore, AutoCloseable {
  private static final String FILE = "calls.mv";
  private static final String SET_ASIDE = "set-aside.txt";
  private static final int BATCH = 4_096;
  private static final int QUEUE = 100_000;

  private final Path folder;
  private final Executor loop;
  private final MVStore store;
  private final MVMap<String, byte[]> calls;
  private final Found found;
  private final BlockingQueue<Work> queue = new ArrayBlockingQueue<>(QUEUE);
  private final Thread writer = new Thread(this::write, "store");
  private volatile boolean open = true;
  private volatile String failure = "";
  private volatile long commits;

  /** A change, or somebody who waits for all changes before. */
  private record Work(String id, byte[] record, Consumer<Boolean> waits) {}

  /** A folder that cannot be used; the message says why and what to do. */
  public static final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;

    Unusable(String reason) {
      super(reason);
    }
  }

  /**
   * Opens a folder, which is made if need be, and reads all that it holds.
   *
   * @param loop where those who wait for a sync are told
   */
  public DiskStore(Path folder, Executor loop) throws IOException, Unusable {
    this.folder = folder;
    this.loop = loop;
    Files.createDirectories(folder);
    List<String> damaged = new ArrayList<>();
    this.store = openFile(damaged);
    this.calls = store.openMap("calls");
    this.found = readAll(damaged);
    writer.setDaemon(true);
    writer.start();
  }

  private MVStore openFile(List<String> damaged) throws IOException, Unusable {
    Path file = folder.resolve(FILE);
    try {
      return open(file);
    } catch (MVStoreException e) {
      if (e.getErrorCode() == DataUtils.ERROR_FILE_LOCKED) {
        throw new Unusable(folder + " is in use by another process; end that one first");
      }
      Path aside = folder.resolve(FILE + ".damaged-" + Files.getLastModifiedTime(file).toMillis());
      Files.move(file, aside);
      damaged.add(file + " could not be opened and is now " + aside + ": " + e.getMessage());
      return open(file);
    }
  }

  private static MVStore open(Path file) {
    return new MVStore.Builder()
        .fileName(file.toString())
        .autoCommitDisabled()
        .autoCompactFillRate(0)
        .open();
  }

  private Found readAll(List<String> damaged) throws IOException {
    List<SavedCall> read = new ArrayList<>();
    List<String> bad = new ArrayList<>();
    for (String id : calls.keyList()) {
      byte[] octets = calls.get(id);
      try {
        read.add(RecordCodec.read(octets));
      } catch (RecordCodec.BadRecord e) {
        String reason = "record of call " + id + ": " + e.getMessage();
        damaged.add(reason);
        bad.add(id);
        String kept = reason + ": " + Base64.getEncoder().encodeToString(octets) + '\n';
        Files.writeString(
            folder.resolve(SET_ASIDE),
            kept,
            StandardCharsets.UTF_8,
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
      }
    }
    bad.forEach(calls::remove);
    return new Found(List.copyOf(read), List.copyOf(damaged));
  }

  @Override
  public Found found() {
    return found;
  }

  @Override
  public void put(SavedCall call) {
    enqueue(new Work(call.id(), RecordCodec.write(call), null));
  }

  @Override
  public void remove(String id) {
    enqueue(new Work(id, null, null));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    enqueue(new Work(null, null, done));
  }

  /** A queue that is full counts as a disk that fails: calls go on, and the store says so. */
  private void enqueue(Work work) {
    if (!queue.offer(work)) {
      failure = "more than " + QUEUE + " changes wait for the disk";
      if (work.waits() != null) {
        loop.execute(() -> work.waits().accept(false));
      }
    }
  }

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
    boolean safe = failure.isEmpty() && commit(batch);
    for (Work work : batch) {
      if (work.waits() != null) {
        loop.execute(() -> work.waits().accept(safe));
      }
    }
  }

  /** Changes that nobody waits for are committed with the next that somebody does, or when idle. */
  private boolean commit(List<Work> batch) {
    boolean wanted = batch.isEmpty();
    try {
      for (Work work : batch) {
        wanted |= work.waits() != null;
        if (work.record() != null) {
          calls.put(work.id(), work.record());
        } else if (work.id() != null) {
          calls.remove(work.id());
        }
      }
      if (wanted && store.hasUnsavedChanges()) {
        store.commit();
        store.sync();
        commits++;
      }
      return true;
    } catch (MVStoreException e) {
      failure = e.getMessage();
      return false;
    }
  }

  /** Why the disk failed; empty while it works. After a failure nothing more is kept. */
  public String failure() {
    return failure;
  }

  /** Commits so far; each made a group of changes safe. */
  public long commits() {
    return commits;
  }

  /** Writes all that waits and closes the file. */
  @Override
  public void close() {
    open = false;
    try {
      writer.join(10_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (failure.isEmpty()) {
      store.close();
    } else {
      store.closeImmediately();
    }
  }
}
