package coveladder.core.recovery;

import java.util.List;
import java.util.function.Consumer;

/**
 * The persistent store of calls. Changes take effect in order; a change survives a crash only once
 * a sync requested after it has succeeded.
 */
public interface CallStore {

  /** Stores a call and replaces any record with the same id. */
  void put(SavedCall call);

  /** Removes a call. */
  void remove(String id);

  /**
   * Requests a sync of all changes so far.
   *
   * @param whenSynced called on the controller's thread, never during this call: true once the
   *     changes are durable, false if the disk failed and they may not be
   */
  void sync(Consumer<Boolean> whenSynced);

  /** The contents of the store when it was opened. */
  Contents initialContents();

  /** Marks the store as up to date after the changes so far, which correct outdated records. */
  void markUpToDate();

  /**
   * Sets the handler for a store that was recreated, empty, after a failure.
   *
   * @param rewriteAll stores all calls again; runs on the controller's thread
   */
  void onRecreated(Runnable rewriteAll);

  /**
   * The contents of a store at its opening.
   *
   * @param calls the calls that could be read
   * @param damagedRecords the records that could not be read and were set aside, each with the
   *     reason
   * @param outOfDate whether calls continued without being persisted, so that the records may be
   *     out of date
   * @param incarnation number of times that the store has been opened, this time included
   */
  record Contents(
      List<SavedCall> calls, List<String> damagedRecords, boolean outOfDate, int incarnation) {}
}
