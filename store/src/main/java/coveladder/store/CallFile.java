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
  static final int RETENTION = 1_000;

  private static final String LIVES = "lives";
  private static final int FILL_WANTED = 60;
  private static final int MOVED_AT_A_TIME = 1 << 20;

  private final MVStore store;
  private final MVMap<String, byte[]> calls;
  private final MVMap<String, Integer> about;

  private CallFile(MVStore store, int retention) {
    this.store = store;
    this.calls = store.openMap("calls");
    this.about = store.openMap("about");
    store.setRetentionTime(retention);
  }

  /** Counts one more opening of the file; how many that makes. */
  int beginLife() {
    int life = about.getOrDefault(LIVES, 0) + 1;
    about.put(LIVES, life);
    return life;
  }

  /** Takes over how often the file in whose place this one is had been opened. */
  void life(int count) {
    about.put(LIVES, count);
  }

  static CallFile open(String name) {
    return open(name, RETENTION);
  }

  /** The same with another time until space is used again, ms. */
  static CallFile open(String name, int retention) {
    return new CallFile(builder(name).open(), retention);
  }

  /** A new file that may take the place of the folder's own. */
  static CallFile openFresh(StateFolder folder) throws IOException {
    Files.deleteIfExists(folder.fresh());
    return open(folder.fresh().toString());
  }

  static CallFile openToRead(String name) {
    return new CallFile(builder(name).readOnly().open(), RETENTION);
  }

  private static MVStore.Builder builder(String name) {
    return new MVStore.Builder().fileName(name).autoCommitDisabled().autoCompactFillRate(0);
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
  void tidy() {
    store.compact(FILL_WANTED, MOVED_AT_A_TIME);
    commit();
  }

  /** Puts all records into another file. */
  void copyTo(CallFile other) {
    calls.forEach(other::put);
    other.life(about.getOrDefault(LIVES, 0));
    other.commit();
  }

  /**
   * Reads all records, on all processors; one that cannot be used is told with its reason and left
   * out.
   */
  List<SavedCall> readAll(BiConsumer<String, String> bad) {
    List<Map.Entry<String, byte[]>> all = new ArrayList<>();
    calls.forEach((id, record) -> all.add(Map.entry(id, record)));
    List<Read> read = all.parallelStream().map(e -> Read.of(e.getKey(), e.getValue())).toList();
    List<SavedCall> sound = new ArrayList<>(all.size());
    for (Read one : read) {
      if (one.saved() != null) {
        sound.add(one.saved());
      } else {
        bad.accept(one.id(), one.reason());
      }
    }
    return sound;
  }

  /** A record that was read, or why it could not be. */
  private record Read(String id, SavedCall saved, String reason) {
    static Read of(String id, byte[] record) {
      try {
        return new Read(id, RecordCodec.read(record), "");
      } catch (RecordCodec.BadRecord e) {
        return new Read(id, null, e.getMessage());
      }
    }
  }

  /** Reads all records and takes the unusable ones out, written down with their reasons. */
  List<SavedCall> readAll(StateFolder folder, List<String> damaged) throws IOException {
    List<String> bad = new ArrayList<>();
    List<String> reasons = new ArrayList<>();
    List<SavedCall> read =
        readAll(
            (id, reason) -> {
              bad.add(id);
              reasons.add("record of call " + id + ": " + reason);
            });
    for (int i = 0; i < bad.size(); i++) {
      folder.setAside(reasons.get(i), calls.get(bad.get(i)));
      calls.remove(bad.get(i));
    }
    damaged.addAll(reasons);
    return read;
  }

  @Override
  public void close() {
    store.close();
  }

  /** Closes without writing anything more. */
  void abandon() {
    store.closeImmediately();
  }
}
