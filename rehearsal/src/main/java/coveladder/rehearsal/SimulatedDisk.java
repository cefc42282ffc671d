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
 * A controller's disk in virtual time. A sync takes time and covers all changes that were made
 * before it completes. A crash loses the pending changes except for a random number of the first
 * ones, and the record after these may be damaged. The disk can be made to fail and then works
 * again only on command.
 */
public final class SimulatedDisk implements CallStore {
  private static final double RECREATE_DELAY_MILLIS = 500;

  private final Map<String, SavedCall> durable = new LinkedHashMap<>();
  private final List<Change> pendingChanges = new ArrayList<>();
  private final List<Consumer<Boolean>> syncCallbacks = new ArrayList<>();
  private final SplittableRandom random;
  private final Runnable boundary;
  private final double minSyncMillis;
  private final double maxSyncMillis;
  private SipHost host;
  private Runnable rewriteAll = () -> {};
  private boolean syncing;
  private boolean failing;
  private boolean failed;
  private boolean outOfDate;
  private boolean markingUpToDate;
  private int incarnation;
  private List<String> damagedRecords = List.of();

  /** A change of a record; a null call removes it. */
  private record Change(String id, SavedCall call) {}

  /**
   * Creates an empty disk.
   *
   * @param minSyncMillis minimum duration of a sync, ms
   * @param maxSyncMillis maximum duration of a sync, ms
   * @param boundary runs before and after a sync takes effect; may throw to crash the process there
   */
  public SimulatedDisk(
      SplittableRandom random, double minSyncMillis, double maxSyncMillis, Runnable boundary) {
    this.random = random;
    this.minSyncMillis = minSyncMillis;
    this.maxSyncMillis = maxSyncMillis;
    this.boundary = boundary;
  }

  /**
   * Attaches the disk to the host whose timers it uses from now on; when the host is killed, these
   * timers are lost.
   */
  public void attachTo(SipHost newHost) {
    host = newHost;
  }

  @Override
  public void put(SavedCall call) {
    pendingChanges.add(new Change(call.id(), call));
  }

  @Override
  public void remove(String id) {
    pendingChanges.add(new Change(id, null));
  }

  @Override
  public void sync(Consumer<Boolean> whenSynced) {
    syncCallbacks.add(whenSynced);
    if (!syncing) {
      syncing = true;
      host.schedule(
          minSyncMillis + (maxSyncMillis - minSyncMillis) * random.nextDouble(),
          this::completeSync);
    }
  }

  private void completeSync() {
    boundary.run();
    failed |= failing;
    boolean succeeded = !failed;
    outOfDate = failed || outOfDate && !markingUpToDate;
    markingUpToDate = false;
    List<Consumer<Boolean>> callbacks = new ArrayList<>(syncCallbacks);
    syncCallbacks.clear();
    syncing = false;
    if (succeeded) {
      flush();
    } else {
      pendingChanges.clear();
    }
    boundary.run();
    callbacks.forEach(whenSynced -> whenSynced.accept(succeeded));
  }

  /** Makes all pending changes durable, as happens eventually without a sync, too. */
  public void flush() {
    pendingChanges.forEach(this::apply);
    pendingChanges.clear();
  }

  private void apply(Change change) {
    if (change.call() == null) {
      durable.remove(change.id());
    } else {
      durable.put(change.id(), change.call());
    }
  }

  /** Makes the disk fail, or work again, upon which all calls are stored again. */
  public void setFailing(boolean failing) {
    this.failing = failing;
    if (!failing && failed && host != null) {
      host.schedule(RECREATE_DELAY_MILLIS, this::recreate);
    }
  }

  private void recreate() {
    durable.clear();
    pendingChanges.clear();
    rewriteAll.run();
    flush();
    failed = false;
    outOfDate = false;
  }

  /** Crashes the host of the disk. */
  public void crash() {
    host = null;
    int survivors = pendingChanges.isEmpty() ? 0 : random.nextInt(pendingChanges.size() + 1);
    if (failed || failing) {
      outOfDate |= !pendingChanges.isEmpty();
      survivors = 0;
    }
    failed = false;
    pendingChanges.subList(0, survivors).forEach(this::apply);
    boolean isTorn = survivors < pendingChanges.size() && random.nextBoolean();
    damagedRecords =
        isTorn
            ? List.of("record of call " + pendingChanges.get(survivors).id() + ": torn")
            : List.of();
    pendingChanges.clear();
    syncCallbacks.clear();
    syncing = false;
    markingUpToDate = false;
  }

  @Override
  public Contents initialContents() {
    incarnation++;
    return new Contents(new ArrayList<>(durable.values()), damagedRecords, outOfDate, incarnation);
  }

  @Override
  public void markUpToDate() {
    markingUpToDate = true;
    sync(succeeded -> {});
  }

  @Override
  public void onRecreated(Runnable callback) {
    rewriteAll = callback;
  }
}
