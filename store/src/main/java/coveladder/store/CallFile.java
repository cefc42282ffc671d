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

/** One MVStore file with a map from call ids to records. */
final class CallFile implements AutoCloseable {
  /**
   * Space of blocks that a commit freed is used again after this, ms. Each commit is synced, so it
   * is enough that no commit takes so long.
   */
  static final int RETENTION_MILLIS = 1_000;

  private static final String OPEN_COUNT_KEY = "lives";
  private static final int TARGET_FILL_PERCENT = 60;
  private static final int MAX_COMPACTION_BYTES = 1 << 20;

  private final MVStore store;
  private final MVMap<String, byte[]> calls;
  private final MVMap<String, Integer> metadata;

  private CallFile(MVStore store, int retentionMillis) {
    this.store = store;
    this.calls = store.openMap("calls");
    this.metadata = store.openMap("about");
    store.setRetentionTime(retentionMillis);
  }

  /** Counts one more opening of the file; how many that makes. */
  int incrementOpenCount() {
    int openCount = metadata.getOrDefault(OPEN_COUNT_KEY, 0) + 1;
    metadata.put(OPEN_COUNT_KEY, openCount);
    return openCount;
  }

  /** Takes over how often the file in whose place this one is had been opened. */
  void setOpenCount(int openCount) {
    metadata.put(OPEN_COUNT_KEY, openCount);
  }

  static CallFile open(String fileName) {
    return open(fileName, RETENTION_MILLIS);
  }

  /** The same with another time until space is used again, ms. */
  static CallFile open(String fileName, int retentionMillis) {
    return new CallFile(builder(fileName).open(), retentionMillis);
  }

  /** A new file that may take the place of the folder's own. */
  static CallFile openNew(StateFolder folder) throws IOException {
    Files.deleteIfExists(folder.newCallsFile());
    return open(folder.newCallsFile().toString());
  }

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

  /** Makes all changes so far safe; whether there were any. */
  boolean commit() {
    boolean changed = store.hasUnsavedChanges();
    if (changed) {
      store.commit();
      store.sync();
    }
    return changed;
  }

  /**
   * Moves some of what lives out of blocks that hold little, so that the file stays in proportion
   * to the calls that are kept however many come and go.
   */
  void compact() {
    store.compact(TARGET_FILL_PERCENT, MAX_COMPACTION_BYTES);
    commit();
  }

  /** Puts all records into another file. */
  void copyTo(CallFile other) {
    calls.forEach(other::put);
    other.setOpenCount(metadata.getOrDefault(OPEN_COUNT_KEY, 0));
    other.commit();
  }

  /**
   * Reads all records, on all processors; one that cannot be used is told with its reason and left
   * out.
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

  /** A record that was read, or why it could not be. */
  private record ReadResult(String id, SavedCall saved, String reason) {
    static ReadResult decode(String id, byte[] record) {
      try {
        return new ReadResult(id, RecordCodec.decode(record), "");
      } catch (RecordCodec.UnreadableRecordException e) {
        return new ReadResult(id, null, e.getMessage());
      }
    }
  }

  /** Reads all records and takes the unusable ones out, written down with their reasons. */
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

  /** Closes without writing anything more. */
  void closeWithoutWriting() {
    store.closeImmediately();
  }
}
