package coveladder.core.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A store whose changes are lost in a crash unless a sync had ended; some may live all the same.
 */
final class MemoryStore implements CallStore {
  private final Map<String, SavedCall> safe = new LinkedHashMap<>();
  private final List<Runnable> unsafe = new ArrayList<>();
  private final List<Consumer<Boolean>> waiting = new ArrayList<>();
  private final Runnable boundary;
  boolean diskFails;

  MemoryStore(Runnable boundary) {
    this.boundary = boundary;
  }

  @Override
  public void put(SavedCall call) {
    boundary.run();
    unsafe.add(() -> safe.put(call.id(), call));
    boundary.run();
  }

  @Override
  public void remove(String id) {
    boundary.run();
    unsafe.add(() -> safe.remove(id));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    waiting.add(done);
  }

  @Override
  public Contents initialContents() {
    return new Contents(new ArrayList<>(safe.values()), List.of(), false, 1);
  }

  @Override
  public void markUpToDate() {}

  @Override
  public void onRecreated(Runnable putAll) {}

  /** The disk ends its work: all so far is safe, or is not, and those who wait hear of it. */
  void flush() {
    List<Consumer<Boolean>> told = new ArrayList<>(waiting);
    waiting.clear();
    if (!diskFails) {
      unsafe.forEach(Runnable::run);
      unsafe.clear();
    }
    boundary.run();
    told.forEach(done -> done.accept(!diskFails));
  }

  /** A crash: of what was not safe a part that the seed draws lives, from the first on. */
  void crash(SplittableRandom random) {
    int lives = unsafe.isEmpty() ? 0 : random.nextInt(unsafe.size() + 1);
    unsafe.subList(0, lives).forEach(Runnable::run);
    unsafe.clear();
    waiting.clear();
  }
}
