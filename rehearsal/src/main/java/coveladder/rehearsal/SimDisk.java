package coveladder.rehearsal;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.SavedCall;
import coveladder.sip.SipHost;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A controller's disk in virtual time. A sync takes time and takes what waits with it; a crash
 * loses what was not safe, but for a part from the first on that the seed draws, and the record
 * after that may be torn. It can be made to fail, and then works again only when told.
 */
public final class SimDisk implements CallStore {
  private static final double AGAIN = 500;

  private final Map<String, SavedCall> safe = new LinkedHashMap<>();
  private final List<Change> unsafe = new ArrayList<>();
  private final List<Consumer<Boolean>> waiting = new ArrayList<>();
  private final SplittableRandom random;
  private final Runnable boundary;
  private final double least;
  private final double most;
  private SipHost host;
  private Runnable putAll = () -> {};
  private boolean syncing;
  private boolean failing;
  private boolean broken;
  private boolean behind;
  private boolean catching;
  private int life;
  private List<String> torn = List.of();

  /** A change; no call means that it is forgotten. */
  private record Change(String id, SavedCall call) {}

  /**
   * Makes an empty disk.
   *
   * @param least least time of a sync, ms
   * @param most longest time of a sync, ms
   * @param boundary runs before and after a sync takes effect, where a script may end the process
   */
  public SimDisk(SplittableRandom random, double least, double most, Runnable boundary) {
    this.random = random;
    this.least = least;
    this.most = most;
    this.boundary = boundary;
  }

  /** Puts it into the machine that uses it from now on; that one's timers are gone with it. */
  public void into(SipHost machine) {
    host = machine;
  }

  @Override
  public void put(SavedCall call) {
    unsafe.add(new Change(call.id(), call));
  }

  @Override
  public void remove(String id) {
    unsafe.add(new Change(id, null));
  }

  @Override
  public void sync(Consumer<Boolean> done) {
    waiting.add(done);
    if (!syncing) {
      syncing = true;
      host.schedule(least + (most - least) * random.nextDouble(), this::synced);
    }
  }

  private void synced() {
    boundary.run();
    broken |= failing;
    boolean well = !broken;
    behind = broken || behind && !catching;
    catching = false;
    List<Consumer<Boolean>> told = new ArrayList<>(waiting);
    waiting.clear();
    syncing = false;
    if (well) {
      flush();
    } else {
      unsafe.clear();
    }
    boundary.run();
    told.forEach(done -> done.accept(well));
  }

  /** Makes all safe that was put, as happens a little later to what nobody waits for. */
  public void flush() {
    unsafe.forEach(this::take);
    unsafe.clear();
  }

  private void take(Change change) {
    if (change.call() == null) {
      safe.remove(change.id());
    } else {
      safe.put(change.id(), change.call());
    }
  }

  /** Makes it fail from now on, or work again: then all is put once more. */
  public void failing(boolean on) {
    failing = on;
    if (!on && broken && host != null) {
      host.schedule(AGAIN, this::beginAnew);
    }
  }

  private void beginAnew() {
    safe.clear();
    unsafe.clear();
    putAll.run();
    flush();
    broken = false;
    behind = false;
  }

  /** The machine stops at once. */
  public void crash() {
    host = null;
    int lives = unsafe.isEmpty() ? 0 : random.nextInt(unsafe.size() + 1);
    if (broken || failing) {
      behind |= !unsafe.isEmpty();
      lives = 0;
    }
    broken = false;
    unsafe.subList(0, lives).forEach(this::take);
    boolean tears = lives < unsafe.size() && random.nextBoolean();
    torn = tears ? List.of("record of call " + unsafe.get(lives).id() + ": torn") : List.of();
    unsafe.clear();
    waiting.clear();
    syncing = false;
    catching = false;
  }

  @Override
  public Contents initialContents() {
    life++;
    return new Contents(new ArrayList<>(safe.values()), torn, behind, life);
  }

  @Override
  public void markUpToDate() {
    catching = true;
    sync(well -> {});
  }

  @Override
  public void onRecreated(Runnable all) {
    putAll = all;
  }
}
