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

class DiskStoreTest {
  @TempDir private Path folder;

  private static SavedCall saved(String id, Phase phase, String leg) {
    Call call = new Call(id, 2, 1_500.5, 3, "5551", 4, false, true, false);
    return new SavedCall(
        call, phase, 1, "x1-0", leg.getBytes(), new byte[] {0, -1}, new byte[0], 123_456_789L);
  }

  private DiskStore open() throws Exception {
    return new DiskStore(folder, Runnable::run);
  }

  private DiskStore faulty() throws Exception {
    FilePath.register(new FaultyFiles());
    return new DiskStore(folder, Runnable::run, 1, 1_000, name -> "faulty:" + name);
  }

  /** The disk fails: it is said, and after a crash the folder says that it is behind. */
  @ParameterizedTest
  @ValueSource(strings = {"full", "sync"})
  void aDiskThatFailsIsSaidAndItsFolderIsBehind(String fault) throws Exception {
    try (DiskStore store = faulty()) {
      store.put(saved("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      FaultyFiles.fault = fault;
      store.put(saved("b", Phase.STANDS, "leg"));
      assertFalse(sync(store));
      assertEquals(1, store.failureCount());
      assertFalse(store.failureReason().isEmpty());
    } finally {
      FaultyFiles.fault = "";
    }
    try (DiskStore store = open()) {
      assertTrue(store.found().behind());
      assertEquals(2, store.found().life());
    }
    try (DiskStore store = open()) {
      assertTrue(store.found().behind());
      store.caughtUp();
      assertTrue(store.found().calls().contains(saved("a", Phase.STANDS, "leg")));
    }
    try (DiskStore store = open()) {
      assertFalse(store.found().behind());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"full", "sync"})
  void aDiskThatWorksAgainGetsAllCallsOnceMore(String fault) throws Exception {
    SavedCall late = saved("late", Phase.STANDS, "leg");
    try (DiskStore store = faulty()) {
      store.begunAnew(() -> store.put(late));
      store.put(saved("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      FaultyFiles.fault = fault;
      store.put(late);
      assertFalse(sync(store));
      FaultyFiles.fault = "";
      boolean again = false;
      for (int i = 0; i < 2_000 && !again; i++) {
        again = sync(store);
      }
      assertTrue(again, store.failureReason());
    } finally {
      FaultyFiles.fault = "";
    }
    try (DiskStore store = open()) {
      assertFalse(store.found().behind());
      assertEquals(List.of(late), store.found().calls());
    }
  }

  /** However many calls come and go, the file stays in proportion to those that are kept. */
  @Test
  void theFileDoesNotGrowWithTheCallsThatAreOver() throws Exception {
    String leg = "x".repeat(2_000);
    try (DiskStore store = new DiskStore(folder, Runnable::run, 1, 0, name -> name)) {
      for (int i = 0; i < 60_000; i++) {
        store.put(saved("c" + i, Phase.STANDS, leg));
        store.remove("c" + (i - 300));
        if (i % 60 == 0) {
          assertTrue(sync(store));
        }
      }
      assertTrue(sync(store));
    }
    long size = Files.size(folder.resolve("calls.mv"));
    assertTrue(size < 30_000_000, "octets " + size);
    long[] sizes = StateFolderAdmin.compact(folder);
    assertTrue(sizes[1] < 2_000_000, "octets " + sizes[1]);
    assertEquals(300, StateFolderAdmin.read(folder).calls().size());
  }

  @Test
  void aFolderInUseIsReadButNotCompacted() throws Exception {
    try (DiskStore store = open()) {
      store.put(saved("a", Phase.STANDS, "leg"));
      assertTrue(sync(store));
      assertEquals(List.of(saved("a", Phase.STANDS, "leg")), StateFolderAdmin.read(folder).calls());
      DiskStore.UnusableFolderException e =
          assertThrows(
              DiskStore.UnusableFolderException.class, () -> StateFolderAdmin.compact(folder));
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
    }
    StateFolderAdmin.compact(folder);
    assertEquals(1, StateFolderAdmin.read(folder).calls().size());
  }

  @Test
  void theClockGoesOnThoughTheWallClockIsSetBack() throws Exception {
    Path file = folder.resolve("clock");
    PersistentMonotonicClock first =
        PersistentMonotonicClock.open(file, "b-1", () -> 5_000_000_000L, 1_000_000);
    assertEquals(1_000_000, first.getAsLong());
    PersistentMonotonicClock next =
        PersistentMonotonicClock.open(file, "b-1", () -> 7_000_000_000L, 400);
    assertEquals(1_002_000, next.getAsLong());
    PersistentMonotonicClock booted =
        PersistentMonotonicClock.open(file, "b-2", () -> 1_000_000_000L, 2_000_000);
    assertEquals(2_000_000, booted.getAsLong());
    Files.writeString(file, "nonsense");
    assertEquals(500, PersistentMonotonicClock.open(file, "b-2", () -> 0, 500).getAsLong());
  }

  private static boolean sync(DiskStore store) throws Exception {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    store.sync(done::complete);
    return done.get(10, TimeUnit.SECONDS);
  }

  @Test
  void whatWasKeptIsFoundAgainAndWhatWasRemovedIsNot() throws Exception {
    try (DiskStore store = open()) {
      store.put(saved("a", Phase.SETTING_UP, "one"));
      store.put(saved("b", Phase.STANDS, "two"));
      store.put(saved("a", Phase.STANDS, "three"));
      store.put(saved("c", Phase.ANSWERED, "four"));
      store.remove("c");
      assertTrue(sync(store));
      assertFalse(store.found().behind(), "a new folder is in step");
    }
    try (DiskStore store = open()) {
      assertFalse(store.found().behind());
      assertEquals(
          List.of(saved("a", Phase.STANDS, "three"), saved("b", Phase.STANDS, "two")),
          store.found().calls());
      assertEquals(List.of(), store.found().damaged());
    }
  }

  @Test
  void manyChangesShareOneCommit() throws Exception {
    try (DiskStore store = open()) {
      for (int i = 0; i < 5_000; i++) {
        store.put(saved("c" + i, Phase.STANDS, "leg"));
      }
      assertTrue(sync(store));
      assertTrue(store.commitCount() < 500, "commits " + store.commitCount());
    }
  }

  @Test
  void aFolderInUseIsRefused() throws Exception {
    try (DiskStore store = open()) {
      DiskStore.UnusableFolderException e =
          assertThrows(DiskStore.UnusableFolderException.class, this::open);
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
      assertTrue(sync(store));
    }
  }

  @Test
  void damagedRecordsAndNewerOnesAreSetAsideAndTheRestGoesOn() throws Exception {
    byte[] sound = RecordCodec.write(saved("a", Phase.STANDS, "leg"));
    byte[] torn = Arrays.copyOf(sound, sound.length - 3);
    byte[] newer = SavedCallRecord.newBuilder().setVersion(99).setId("n").build().toByteArray();
    CRC32C check = new CRC32C();
    check.update(newer);
    byte[] checked =
        ByteBuffer.allocate(4 + newer.length).putInt((int) check.getValue()).put(newer).array();
    try (MVStore raw = MVStore.open(folder.resolve("calls.mv").toString())) {
      raw.<String, byte[]>openMap("calls").put("a", sound);
      raw.<String, byte[]>openMap("calls").put("t", torn);
      raw.<String, byte[]>openMap("calls").put("n", checked);
    }
    try (DiskStore store = open()) {
      assertEquals(List.of(saved("a", Phase.STANDS, "leg")), store.found().calls());
      assertEquals(2, store.found().damaged().size());
      assertTrue(store.found().damaged().get(0).contains("version 99"));
      assertTrue(store.found().damaged().get(1).contains("check does not fit"));
    }
    assertEquals(2, Files.readAllLines(folder.resolve("set-aside.txt")).size());
    try (DiskStore store = open()) {
      assertEquals(List.of(), store.found().damaged());
    }
  }

  @Test
  void everyOctetOfARecordTurnedIsSeen() throws Exception {
    byte[] sound = RecordCodec.write(saved("a", Phase.STANDS, "leg"));
    for (int i = 0; i < sound.length; i++) {
      byte[] turned = sound.clone();
      turned[i] ^= 1;
      assertThrows(RecordCodec.BadRecord.class, () -> RecordCodec.read(turned));
    }
    assertEquals(saved("a", Phase.STANDS, "leg"), RecordCodec.read(sound));
    assertTrue(ByteString.copyFrom(sound).size() < 200);
  }

  /**
   * The file is cut at many places, block ends and their neighbours among them: whatever was
   * acknowledged before the file reached that length is there, and nothing that never was a state.
   */
  @Test
  void aFileCutAnywhereHoldsAllThatWasAcknowledgedByThen() throws Exception {
    List<Map<String, SavedCall>> states = new ArrayList<>();
    List<Long> lengths = new ArrayList<>();
    Map<String, SavedCall> now = new HashMap<>();
    Path file = folder.resolve("calls.mv");
    try (DiskStore store = open()) {
      for (int i = 0; i < 25; i++) {
        SavedCall call = saved("c" + i % 10, Phase.STANDS, "leg" + i);
        now.put(call.id(), call);
        store.put(call);
        states.add(new HashMap<>(now));
        lengths.add(Long.MAX_VALUE);
        if (i % 4 == 3) {
          now.remove("c" + i % 7);
          store.remove("c" + i % 7);
          states.add(new HashMap<>(now));
          lengths.add(Long.MAX_VALUE);
        }
        assertTrue(sync(store));
        lengths.set(lengths.size() - 1, Files.size(file));
      }
      byte[] whole = Files.readAllBytes(file);
      for (int cut = 0; cut <= whole.length; cut += cut % 4096 == 0 ? 1 : 1365) {
        check(Arrays.copyOf(whole, cut), cut, states, lengths);
      }
    }
  }

  private void check(
      byte[] octets, long cut, List<Map<String, SavedCall>> states, List<Long> lengths)
      throws Exception {
    Path other = Files.createTempDirectory(folder, "cut");
    Files.write(other.resolve("calls.mv"), octets);
    Map<String, SavedCall> found = new HashMap<>();
    try (DiskStore store = new DiskStore(other, Runnable::run)) {
      store.found().calls().forEach(call -> found.put(call.id(), call));
    }
    int acknowledged = -1;
    for (int i = 0; i < lengths.size(); i++) {
      acknowledged = lengths.get(i) <= cut ? i : acknowledged;
    }
    int state = found.isEmpty() ? -1 : states.lastIndexOf(found);
    assertTrue(found.isEmpty() || state >= 0, "cut at " + cut + " gives what never was");
    assertTrue(state >= acknowledged, "cut at " + cut + " gives " + state + " of " + acknowledged);
  }
}
