package coveladder.core.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A store in memory. A simulated crash loses the changes that were not synced, except for the first
 * few of them, whose number is drawn at random.
 */
final class MemoryStore implements CallStore {
  private final Map<String, SavedCall> persisted = new LinkedHashMap<>();
  private final List<Runnable> unsyncedChanges = new ArrayList<>();
  private final List<Consumer<Boolean>> syncCallbacks = new ArrayList<>();
  private final Runnable boundaryHook;
  boolean diskFails;

  /**
   * Creates an empty store.
   *
   * @param boundaryHook called at each boundary of a write, where a test may kill the controller
   */
  MemoryStore(Runnable boundaryHook) {
    this.boundaryHook = boundaryHook;
  }

  @Override
  public void put(SavedCall call) {
    boundaryHook.run();
    unsyncedChanges.add(() -> persisted.put(call.id(), call));
    boundaryHook.run();
  }

  @Override
  public void remove(String id) {
    boundaryHook.run();
    unsyncedChanges.add(() -> persisted.remove(id));
  }

  @Override
  public void sync(Consumer<Boolean> whenSynced) {
    syncCallbacks.add(whenSynced);
  }

  @Override
  public Contents initialContents() {
    return new Contents(new ArrayList<>(persisted.values()), List.of(), false, 1);
  }

  @Override
  public void markUpToDate() {}

  @Override
  public void onRecreated(Runnable rewriteAll) {}

  /** Completes the pending syncs: all changes become durable, unless the disk fails. */
  void flush() {
    List<Consumer<Boolean>> callbacks = new ArrayList<>(syncCallbacks);
    syncCallbacks.clear();
    if (!diskFails) {
      unsyncedChanges.forEach(Runnable::run);
      unsyncedChanges.clear();
    }
    boundaryHook.run();
    callbacks.forEach(whenSynced -> whenSynced.accept(!diskFails));
  }

  /** Simulates a crash: of the unsynced changes only the first few survive, as drawn at random. */
  void crash(SplittableRandom random) {
    int surviving = unsyncedChanges.isEmpty() ? 0 : random.nextInt(unsyncedChanges.size() + 1);
    unsyncedChanges.subList(0, surviving).forEach(Runnable::run);
    unsyncedChanges.clear();
    syncCallbacks.clear();
  }
}
