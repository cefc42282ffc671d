package coveladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import coveladder.CallPolicy.Call;
import coveladder.core.recovery.SavedCall;
import coveladder.core.recovery.SavedCall.Phase;
import coveladder.store.proto.SavedCallRecord;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVStore;
import org.h2.store.fs.FilePath;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the state folder on working, failing and damaged files. */
class DiskStoreTest {
  @TempDir private Path folder;

  private static SavedCall savedCall(String id, Phase phase, String leg) {
    Call call = new Call(id, 2, 1_500.5, 3, "5551", 4, false, true, false);
    return new SavedCall(
        call, phase, 1, "x1-0", leg.getBytes(), new byte[] {0, -1}, new byte[0], 123_456_789L);
  }

  private DiskStore open() throws Exception {
    return new DiskStore(folder, Runnable::run);
  }

  private DiskStore openWithFaultInjection() throws Exception {
    FilePath.register(new FaultInjectingFilePath());
    return new DiskStore(folder, Runnable::run, 1, 1_000, name -> "faulty:" + name);
  }

  /**
   * A disk failure is reported to callers, and the folder stays marked as out of date over restarts
   * until the controller has caught up.
   */
  @ParameterizedTest
  @ValueSource(strings = {"full", "sync"})
  void diskFailureIsReportedAndFolderIsMarkedBehind(String fault) throws Exception {
    try (DiskStore store = openWithFaultInjection()) {
      store.put(savedCall("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      FaultInjectingFilePath.injectedFault = fault;
      store.put(savedCall("b", Phase.STANDS, "leg"));
      assertFalse(sync(store));
      assertEquals(1, store.failureCount());
      assertFalse(store.failureReason().isEmpty());
    } finally {
      FaultInjectingFilePath.injectedFault = "";
    }
    try (DiskStore store = open()) {
      assertTrue(store.initialContents().outOfDate());
      assertEquals(2, store.initialContents().incarnation());
    }
    try (DiskStore store = open()) {
      assertTrue(store.initialContents().outOfDate());
      store.markUpToDate();
      assertTrue(store.initialContents().calls().contains(savedCall("a", Phase.STANDS, "leg")));
    }
    try (DiskStore store = open()) {
      assertFalse(store.initialContents().outOfDate());
    }
  }

  /** After a failure, a new file receives all calls from the controller and replaces the old. */
  @ParameterizedTest
  @ValueSource(strings = {"full", "sync"})
  void recoveredDiskReceivesAllCallsAgain(String fault) throws Exception {
    SavedCall lateCall = savedCall("late", Phase.STANDS, "leg");
    try (DiskStore store = openWithFaultInjection()) {
      store.onRecreated(() -> store.put(lateCall));
      store.put(savedCall("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      FaultInjectingFilePath.injectedFault = fault;
      store.put(lateCall);
      assertFalse(sync(store));
      FaultInjectingFilePath.injectedFault = "";
      boolean recovered = false;
      for (int i = 0; i < 2_000 && !recovered; i++) {
        recovered = sync(store);
      }
      assertTrue(recovered, store.failureReason());
    } finally {
      FaultInjectingFilePath.injectedFault = "";
    }
    try (DiskStore store = open()) {
      assertFalse(store.initialContents().outOfDate());
      assertEquals(List.of(lateCall), store.initialContents().calls());
    }
  }

  /** The file size stays proportional to the stored calls, however many were added and removed. */
  @Test
  void fileSizeDoesNotGrowWithEndedCalls() throws Exception {
    String leg = "x".repeat(2_000);
    try (DiskStore store = new DiskStore(folder, Runnable::run, 1, 0, name -> name)) {
      for (int i = 0; i < 60_000; i++) {
        store.put(savedCall("c" + i, Phase.STANDS, leg));
        store.remove("c" + (i - 300));
        if (i % 60 == 0) {
          assertTrue(sync(store));
        }
      }
      assertTrue(sync(store));
    }
    long size = Files.size(folder.resolve("calls.mv"));
    assertTrue(size < 30_000_000, "size in bytes: " + size);
    long[] sizes = StateFolderAdmin.compact(folder);
    assertTrue(sizes[1] < 2_000_000, "size in bytes: " + sizes[1]);
    assertEquals(300, StateFolderAdmin.read(folder).calls().size());
  }

  @Test
  void folderInUseCanBeReadButNotCompacted() throws Exception {
    try (DiskStore store = open()) {
      store.put(savedCall("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      assertEquals(
          List.of(savedCall("a", Phase.STANDS, "leg")), StateFolderAdmin.read(folder).calls());
      DiskStore.UnusableFolderException e =
          assertThrows(
              DiskStore.UnusableFolderException.class, () -> StateFolderAdmin.compact(folder));
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
    }
    StateFolderAdmin.compact(folder);
    assertEquals(1, StateFolderAdmin.read(folder).calls().size());
  }

  @Test
  void clockAdvancesWhenWallClockIsSetBack() throws Exception {
    Path file = folder.resolve("clock");
    PersistentMonotonicClock first =
        PersistentMonotonicClock.open(file, "b-1", () -> 5_000_000_000L, 1_000_000);
    assertEquals(1_000_000, first.getAsLong());
    PersistentMonotonicClock restarted =
        PersistentMonotonicClock.open(file, "b-1", () -> 7_000_000_000L, 400);
    assertEquals(1_002_000, restarted.getAsLong());
    PersistentMonotonicClock rebooted =
        PersistentMonotonicClock.open(file, "b-2", () -> 1_000_000_000L, 2_000_000);
    assertEquals(2_000_000, rebooted.getAsLong());
    Files.writeString(file, "nonsense");
    assertEquals(500, PersistentMonotonicClock.open(file, "b-2", () -> 0, 500).getAsLong());
  }

  private static boolean sync(DiskStore store) throws Exception {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    store.sync(done::complete);
    return done.get(10, TimeUnit.SECONDS);
  }

  @Test
  void storedCallsAreRestoredAndRemovedCallsAreNot() throws Exception {
    try (DiskStore store = open()) {
      store.put(savedCall("a", Phase.SETTING_UP, "one"));
      store.put(savedCall("b", Phase.STANDS, "two"));
      store.put(savedCall("a", Phase.STANDS, "three"));
      store.put(savedCall("c", Phase.ANSWERED, "four"));
      store.remove("c");
      assertTrue(sync(store));
      assertFalse(store.initialContents().outOfDate(), "a new folder is not behind");
    }
    try (DiskStore store = open()) {
      assertFalse(store.initialContents().outOfDate());
      assertEquals(
          List.of(savedCall("a", Phase.STANDS, "three"), savedCall("b", Phase.STANDS, "two")),
          store.initialContents().calls());
      assertEquals(List.of(), store.initialContents().damagedRecords());
    }
  }

  @Test
  void manyChangesShareOneCommit() throws Exception {
    try (DiskStore store = open()) {
      for (int i = 0; i < 5_000; i++) {
        store.put(savedCall("c" + i, Phase.STANDS, "leg"));
      }
      assertTrue(sync(store));
      assertTrue(store.commitCount() < 500, "commits: " + store.commitCount());
    }
  }

  @Test
  void folderInUseIsRejected() throws Exception {
    try (DiskStore store = open()) {
      DiskStore.UnusableFolderException e =
          assertThrows(DiskStore.UnusableFolderException.class, this::open);
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
      assertTrue(sync(store));
    }
  }

  @Test
  void damagedAndNewerRecordsAreQuarantinedAndOthersRestored() throws Exception {
    byte[] intact = RecordCodec.encode(savedCall("a", Phase.STANDS, "leg"));
    byte[] truncated = Arrays.copyOf(intact, intact.length - 3);
    byte[] newer = SavedCallRecord.newBuilder().setVersion(99).setId("n").build().toByteArray();
    CRC32C checksum = new CRC32C();
    checksum.update(newer);
    byte[] newerWithChecksum =
        ByteBuffer.allocate(4 + newer.length).putInt((int) checksum.getValue()).put(newer).array();
    try (MVStore rawStore = MVStore.open(folder.resolve("calls.mv").toString())) {
      rawStore.<String, byte[]>openMap("calls").put("a", intact);
      rawStore.<String, byte[]>openMap("calls").put("t", truncated);
      rawStore.<String, byte[]>openMap("calls").put("n", newerWithChecksum);
    }
    try (DiskStore store = open()) {
      assertEquals(List.of(savedCall("a", Phase.STANDS, "leg")), store.initialContents().calls());
      assertEquals(2, store.initialContents().damagedRecords().size());
      assertTrue(store.initialContents().damagedRecords().get(0).contains("version 99"));
      assertTrue(store.initialContents().damagedRecords().get(1).contains("check does not fit"));
    }
    assertEquals(2, Files.readAllLines(folder.resolve("set-aside.txt")).size());
    try (DiskStore store = open()) {
      assertEquals(List.of(), store.initialContents().damagedRecords());
    }
  }

  @Test
  void corruptionOfAnyByteIsDetected() throws Exception {
    byte[] intact = RecordCodec.encode(savedCall("a", Phase.STANDS, "leg"));
    for (int i = 0; i < intact.length; i++) {
      byte[] corrupted = intact.clone();
      corrupted[i] ^= 1;
      assertThrows(
          RecordCodec.UnreadableRecordException.class, () -> RecordCodec.decode(corrupted));
    }
    assertEquals(savedCall("a", Phase.STANDS, "leg"), RecordCodec.decode(intact));
    assertTrue(ByteString.copyFrom(intact).size() < 200);
  }

  /**
   * Truncates the file at many lengths, block ends and the bytes next to them included. The
   * truncated file must hold every change acknowledged before the file reached that length, and its
   * contents must be a state that the store has been in. States never acknowledged on their own
   * have the length {@code Long.MAX_VALUE}.
   */
  @Test
  void truncatedFileHoldsEveryChangeAcknowledgedBeforeThatLength() throws Exception {
    List<Map<String, SavedCall>> states = new ArrayList<>();
    List<Long> acknowledgedLengths = new ArrayList<>();
    Map<String, SavedCall> current = new HashMap<>();
    Path file = folder.resolve("calls.mv");
    try (DiskStore store = open()) {
      for (int i = 0; i < 25; i++) {
        SavedCall call = savedCall("c" + i % 10, Phase.STANDS, "leg" + i);
        current.put(call.id(), call);
        store.put(call);
        states.add(new HashMap<>(current));
        acknowledgedLengths.add(Long.MAX_VALUE);
        if (i % 4 == 3) {
          current.remove("c" + i % 7);
          store.remove("c" + i % 7);
          states.add(new HashMap<>(current));
          acknowledgedLengths.add(Long.MAX_VALUE);
        }
        assertTrue(sync(store));
        acknowledgedLengths.set(acknowledgedLengths.size() - 1, Files.size(file));
      }
      byte[] whole = Files.readAllBytes(file);
      // One byte and three steps of 1365 bytes make a block of 4096 bytes.
      for (int length = 0; length <= whole.length; length += length % 4096 == 0 ? 1 : 1365) {
        assertHoldsAcknowledgedState(
            Arrays.copyOf(whole, length), length, states, acknowledgedLengths);
      }
    }
  }

  private void assertHoldsAcknowledgedState(
      byte[] truncated,
      long length,
      List<Map<String, SavedCall>> states,
      List<Long> acknowledgedLengths)
      throws Exception {
    Path truncatedFolder = Files.createTempDirectory(folder, "cut");
    Files.write(truncatedFolder.resolve("calls.mv"), truncated);
    Map<String, SavedCall> found = new HashMap<>();
    try (DiskStore store = new DiskStore(truncatedFolder, Runnable::run)) {
      store.initialContents().calls().forEach(call -> found.put(call.id(), call));
    }
    int acknowledged = -1;
    for (int i = 0; i < acknowledgedLengths.size(); i++) {
      acknowledged = acknowledgedLengths.get(i) <= length ? i : acknowledged;
    }
    int state = found.isEmpty() ? -1 : states.lastIndexOf(found);
    assertTrue(
        found.isEmpty() || state >= 0,
        "at length " + length + " the contents match no earlier state");
    assertTrue(
        state >= acknowledged,
        "at length " + length + " state " + state + ", acknowledged " + acknowledged);
  }
}
