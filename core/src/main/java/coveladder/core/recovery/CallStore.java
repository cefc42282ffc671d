package coveladder.core.recovery;

import java.util.List;
import java.util.function.Consumer;

/**
 * Where calls are kept. Changes take effect in their order; what was put is safe from a crash only
 * once a sync that was asked for later has ended well.
 */
public interface CallStore {

  /** Keeps a call, in place of what was kept under its id. */
  void put(SavedCall call);

  /** Forgets a call. */
  void remove(String id);

  /**
   * Tells, on the controller's thread and never within this call, once all changes so far are safe;
   * false where the disk failed and they may not be.
   */
  void sync(Consumer<Boolean> done);

  /** What was found when the store was opened. */
  Contents initialContents();

  /** What was found behind has been set right by the changes so far: it is in step after them. */
  void markUpToDate();

  /**
   * Names who puts everything once more when the store, after a failure, has begun anew and is
   * empty; runs on the controller's thread.
   */
  void onRecreated(Runnable rewriteAll);

  /**
   * What a store held at its opening.
   *
   * @param calls calls that could be read
   * @param damagedRecords what could not, each with its reason; it was set aside
   * @param outOfDate whether calls had gone on unkept, so that what was found may be out of date
   * @param incarnation how many times the store has been opened, this time included
   */
  record Contents(
      List<SavedCall> calls, List<String> damagedRecords, boolean outOfDate, int incarnation) {}
}
