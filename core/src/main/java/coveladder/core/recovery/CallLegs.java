package coveladder.core.recovery;

import coveladder.core.AttemptRequest;
import coveladder.core.FinalAnswer;
import java.util.function.Consumer;

/**
 * What recovery needs from the protocol front end: the legs of a call encoded as octets, and legs
 * restored from them. A call has two legs, one toward the caller and one toward the exchange.
 */
public interface CallLegs {

  /** Encodes the present state of the caller's leg. */
  byte[] encodeCallerLeg(String call);

  /** Prepares an attempt with all its identifiers, without sending it, and encodes its leg. */
  byte[] prepareAttempt(AttemptRequest request);

  /** Encodes the leg of the answered attempt. */
  byte[] encodeAttemptLeg(String call);

  /** Updates an encoded leg with what has changed since; returns the new encoding. */
  byte[] updateLeg(String call, boolean callerSide, byte[] encodedLeg);

  /** Whether a release of the call was sent that its receiver has not answered yet. */
  boolean isReleasing(String call);

  /** Prepares the caller's 2xx, so that the encoded leg includes it. */
  void prepareSuccess(String call);

  /** Encodes a final answer other than 2xx as it will be sent, so that it can be sent again. */
  byte[] encodeFinalAnswer(String call, FinalAnswer answer);

  /**
   * The persistent clock, ms: it continues across restarts of the process, but may step across a
   * reboot if the wall clock has been set.
   */
  long persistentClockMillis();

  // ---- After a restart ----------------------------------------------------------------------

  /**
   * Restores both legs of an established call.
   *
   * @param answerDue whether the 2xx, if it is not known to be acknowledged, is retransmitted until
   *     it is
   * @param incarnation number of this run of the controller, for sequence numbers that no earlier
   *     run has used
   */
  void resume(SavedCall saved, boolean answerDue, int incarnation);

  /**
   * Asks one end of a restored call whether the call still exists there.
   *
   * @param callerSide whether the caller is asked; otherwise the exchange
   */
  void verify(String call, boolean callerSide, Consumer<LegStatus> result);

  /**
   * Releases a restored call that no longer exists at one end.
   *
   * @param callerSide whether it no longer exists at the caller; otherwise at the exchange
   */
  void releaseLost(String call, boolean callerSide);

  /** Whether a call exists at one of its ends. */
  enum LegStatus {
    /** The end confirmed it, or its answer implies that the call exists, as "busy" does. */
    ACTIVE,
    /** The end does not know the call. */
    GONE,
    /** The end did not answer or could not be reached: it may be restarting, too. */
    UNKNOWN
  }

  /**
   * Cancels an attempt that may have been sent.
   *
   * @param whenEnded runs once the attempt is known to have ended
   */
  void cancelAfterRestart(SavedCall saved, Runnable whenEnded);

  /**
   * Restores the caller's leg of an interrupted set-up without sending anything, so that a
   * retransmission of its INVITE starts no second call.
   *
   * @param whenCancelled called on its CANCEL, with the task that sends the answer to it
   * @param whenRetransmitted called when its INVITE arrives again, which shows that the caller
   *     waits
   */
  void restoreCallerLeg(
      SavedCall saved, Consumer<Runnable> whenCancelled, Runnable whenRetransmitted);

  /** Encodes a final answer for the caller of an interrupted set-up, as it will be sent. */
  byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer);

  /** Sends once more the final answer to a caller that had cancelled. */
  void answerCancelled(SavedCall saved);

  /** Sends the final answer that is stored with a call to its caller. */
  void resendFinalAnswer(SavedCall saved);
}
