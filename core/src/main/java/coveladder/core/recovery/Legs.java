package coveladder.core.recovery;

import coveladder.core.AttemptOrder;
import coveladder.core.FinalAnswer;

/** What recovery needs of the protocol front: legs as octets, and legs made from octets again. */
public interface Legs {

  /** The caller's leg as it is now. */
  byte[] callerLeg(String call);

  /** Makes an attempt ready, with all its names, without sending it; its leg as octets. */
  byte[] prepareAttempt(AttemptOrder order);

  /** The leg of the attempt that was answered. */
  byte[] attemptLeg(String call);

  /** A leg that was kept, with what has changed since. */
  byte[] refreshed(String call, boolean ofCaller, byte[] before);

  /** Makes the caller's 2xx ready, so that its leg can be kept with it. */
  void prepareStands(String call);

  /** A final answer other than 2xx as it will leave, so that it can leave again alike. */
  byte[] finalAnswer(String call, FinalAnswer answer);

  /** Wall clock, ms since 1970; it may have been set back since it was last read. */
  long wallClock();

  // ---- After a restart ----------------------------------------------------------------------

  /** Makes both legs of a call that stands; what its caller is owed is sent until it is taken. */
  void resume(SavedCall saved);

  /** Asks both ends of a resumed call whether they still hold it; one that does not ends it. */
  void verify(String call);

  /**
   * Makes the caller's leg of a set-up that was cut short, so that repeats of its INVITE find it,
   * and calls off the attempt that may be out. {@code over} runs once that is known to be over.
   */
  void callOff(SavedCall saved, Runnable over);

  /** Gives the caller of a set-up that was cut short its one final answer. */
  void answerCutShort(SavedCall saved, FinalAnswer answer);

  /** Sends a final answer once more as it left, or was about to leave, before the restart. */
  void answerAgain(SavedCall saved);
}
