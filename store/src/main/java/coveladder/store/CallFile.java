package coveladder.store;

import coveladder.core.recovery.SavedCall;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** An MVStore file with a map from call ids to encoded records. */
final class CallFile implements AutoCloseable {
  /**
   * Time after which space freed by a commit is reused. Since each commit is synced, it only has to
   * be longer than a commit takes.
   */
  static final int RETENTION_MILLIS = 1_000;

  private static final String INCARNATION_KEY = "lives";
  private static final int TARGET_FILL_PERCENT = 60;

  /** Approximate amount of data moved by one compaction, bytes. */
  private static final int COMPACTION_STEP_BYTES = 1 << 20;

  private final MVStore store;
  private final MVMap<String, byte[]> calls;
  private final MVMap<String, Integer> metadata;

  private CallFile(MVStore store, int retentionMillis) {
    this.store = store;
    this.calls = store.openMap("calls");
    this.metadata = store.openMap("about");
    store.setRetentionTime(retentionMillis);
  }

  /** Increments the incarnation, the number of times that the file was opened, and returns it. */
  int incrementIncarnation() {
    int incarnation = metadata.getOrDefault(INCARNATION_KEY, 0) + 1;
    metadata.put(INCARNATION_KEY, incarnation);
    return incarnation;
  }

  /** Sets the incarnation to that of the file that this one replaces. */
  void setIncarnation(int incarnation) {
    metadata.put(INCARNATION_KEY, incarnation);
  }

  /** Opens or creates a file. */
  static CallFile open(String fileName) {
    return open(fileName, RETENTION_MILLIS);
  }

  /** Opens or creates a file with the given time until freed space is reused. */
  static CallFile open(String fileName, int retentionMillis) {
    return new CallFile(builder(fileName).open(), retentionMillis);
  }

  /** Creates an empty file that can replace the folder's current call file. */
  static CallFile openNew(StateFolder folder) throws IOException {
    Files.deleteIfExists(folder.newCallFile());
    return open(folder.newCallFile().toString());
  }

  /** Opens an existing file for reading only. */
  static CallFile openReadOnly(String fileName) {
    return new CallFile(builder(fileName).readOnly().open(), RETENTION_MILLIS);
  }

  private static MVStore.Builder builder(String fileName) {
    return new MVStore.Builder().fileName(fileName).autoCommitDisabled().autoCompactFillRate(0);
  }

  void put(String id, byte[] record) {
    calls.put(id, record);
  }

  void remove(String id) {
    calls.remove(id);
  }

  /** Writes and syncs all changes so far; returns whether there were any. */
  boolean commit() {
    boolean changed = store.hasUnsavedChanges();
    if (changed) {
      store.commit();
      store.sync();
    }
    return changed;
  }

  /**
   * Moves live records out of sparsely filled chunks, a limited amount at a time, so that the file
   * size stays proportional to the stored calls, however many have been added and removed.
   */
  void compact() {
    store.compact(TARGET_FILL_PERCENT, COMPACTION_STEP_BYTES);
    commit();
  }

  /** Copies all records and the incarnation to another file, and commits it. */
  void copyTo(CallFile other) {
    calls.forEach(other::put);
    other.setIncarnation(metadata.getOrDefault(INCARNATION_KEY, 0));
    other.commit();
  }

  /**
   * Decodes all records in parallel and returns the readable ones.
   *
   * @param onUnreadable receives the call id of each other record and the reason
   */
  List<SavedCall> readAll(BiConsumer<String, String> onUnreadable) {
    List<Map.Entry<String, byte[]>> entries = new ArrayList<>();
    calls.forEach((id, record) -> entries.add(Map.entry(id, record)));
    List<ReadResult> results =
        entries.parallelStream()
            .map(entry -> ReadResult.decode(entry.getKey(), entry.getValue()))
            .toList();
    List<SavedCall> readable = new ArrayList<>(entries.size());
    for (ReadResult result : results) {
      if (result.saved() != null) {
        readable.add(result.saved());
      } else {
        onUnreadable.accept(result.id(), result.reason());
      }
    }
    return readable;
  }

  /**
   * The result of decoding one record.
   *
   * @param saved the call; null if the record is unreadable
   * @param reason why the record is unreadable; empty if it is readable
   */
  private record ReadResult(String id, SavedCall saved, String reason) {
    static ReadResult decode(String id, byte[] record) {
      try {
        return new ReadResult(id, RecordCodec.decode(record), "");
      } catch (RecordCodec.UnreadableRecordException e) {
        return new ReadResult(id, null, e.getMessage());
      }
    }
  }

  /**
   * Reads all records and moves the unreadable ones to the quarantine file of the folder.
   *
   * @param damaged list to which a description of each unreadable record is added
   */
  List<SavedCall> readAllAndQuarantine(StateFolder folder, List<String> damaged)
      throws IOException {
    List<String> unreadableIds = new ArrayList<>();
    List<String> reasons = new ArrayList<>();
    List<SavedCall> readable =
        readAll(
            (id, reason) -> {
              unreadableIds.add(id);
              reasons.add("record of call " + id + ": " + reason);
            });
    for (int i = 0; i < unreadableIds.size(); i++) {
      folder.quarantineRecord(reasons.get(i), calls.get(unreadableIds.get(i)));
      calls.remove(unreadableIds.get(i));
    }
    damaged.addAll(reasons);
    return readable;
  }

  @Override
  public void close() {
    store.close();
  }

  /** Closes the file and discards uncommitted changes. */
  void closeWithoutWriting() {
    store.closeImmediately();
  }
}
