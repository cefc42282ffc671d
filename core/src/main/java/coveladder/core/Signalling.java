package coveladder.core;

/**
 * What the core asks of the protocol front. Nothing here may call back into the {@link
 * CallController} before it returns; what happens at once is told by a later event.
 */
public interface Signalling {

  /**
   * Sends a set-up. From now on the front owes exactly one {@link CallController#attemptEnded}, and
   * before it at most one {@link CallController#attemptAnswered}.
   */
  void startAttempt(AttemptRequest request);

  /** Calls an attempt off. It is over only when the front says so. */
  void cancelAttempt(String call, int attempt);

  /** Ends an attempt that stands, or one whose late answer crossed the call's end. */
  void releaseAttempt(String call, int attempt);

  /** Gives the caller its one final answer. */
  void answer(String call, FinalAnswer answer);

  /** The answered call is over for the caller: the far end left, or it was cut. */
  void releaseCaller(String call, boolean disconnected);

  /** Asks an exchange for its load. */
  void probe(ExchangeDirectory.Entry exchange, double sentAt);

  /** Sends a message to all other controllers. */
  void broadcast(byte[] payload);

  /** Asks for the changes of the exchange list. */
  void subscribeToDirectory();

  /** A timer is wanted. */
  Scheduler scheduler();
}
