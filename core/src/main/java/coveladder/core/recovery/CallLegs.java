package coveladder.core.recovery;

import coveladder.core.AttemptRequest;
import coveladder.core.FinalAnswer;
import java.util.function.Consumer;

/** What recovery needs of the protocol front: legs as octets, and legs made from octets again. */
public interface CallLegs {

  /** The caller's leg as it is now. */
  byte[] encodeCallerLeg(String call);

  /** Makes an attempt ready, with all its names, without sending it; its leg as octets. */
  byte[] prepareAttempt(AttemptRequest request);

  /** The leg of the attempt that was answered. */
  byte[] encodeAttemptLeg(String call);

  /** A leg that was kept, with what has changed since. */
  byte[] updateLeg(String call, boolean callerSide, byte[] encodedLeg);

  /** Whether an end of a call was told of its release and has not answered that. */
  boolean isReleasing(String call);

  /** Makes the caller's 2xx ready, so that its leg can be kept with it. */
  void prepareSuccess(String call);

  /** A final answer other than 2xx as it will leave, so that it can leave again alike. */
  byte[] encodeFinalAnswer(String call, FinalAnswer answer);

  /** Clock that goes on across restarts, ms; it may have been set since the one before. */
  long wallClockMillis();

  // ---- After a restart ----------------------------------------------------------------------

  /**
   * Makes both legs of a call that stands.
   *
   * @param answerDue whether a 2xx that is not known to be acknowledged is sent until it is
   * @param incarnation which life of the controller this is, for numbers that no life before has
   *     used
   */
  void resume(SavedCall saved, boolean answerDue, int incarnation);

  /** Asks one end of a resumed call whether it still holds it. */
  void verify(String call, boolean callerSide, Consumer<LegStatus> result);

  /** Lets a resumed call go that one end does not hold any more. */
  void releaseLost(String call, boolean callerSide);

  /** Whether an end of a call holds it. */
  enum LegStatus {
    /** It said so, or cannot be busy and gone at a time. */
    ACTIVE,
    /** It does not know the call. */
    GONE,
    /** No answer, or no way to it: it may be starting too. */
    UNKNOWN
  }

  /** Calls off the attempt that may be out; {@code over} runs once it is known to be over. */
  void cancelAfterRestart(SavedCall saved, Runnable whenEnded);

  /**
   * Makes the caller's leg of a set-up that was cut short, so that repeats of its INVITE begin no
   * second call; nothing is sent by that.
   *
   * @param whenCalledOff hears of its CANCEL, with what sends the answer to that
   * @param whenRepeated hears of its INVITE coming again, which says that it waits
   */
  void restoreCallerLeg(
      SavedCall saved, Consumer<Runnable> whenCancelled, Runnable whenRetransmitted);

  /** A final answer for the caller of a set-up that was cut short, as it will leave. */
  byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer);

  /** Answers once more a caller that had called off. */
  void answerCancelled(SavedCall saved);

  /** Sends the final answer that is kept with a call to its expected caller. */
  void resendFinalAnswer(SavedCall saved);
}
