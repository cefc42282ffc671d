package coveladder.core;

/**
 * What the core requests from the protocol front end. No method may call back into the {@link
 * CallController} before it returns; an immediate result is reported by a later event.
 */
public interface Signalling {

  /**
   * Sends a set-up. The front end must report exactly one {@link CallController#attemptEnded} for
   * it, preceded by at most one {@link CallController#attemptAnswered}.
   */
  void startAttempt(AttemptRequest request);

  /** Cancels an attempt. It ends only when the front end reports its end. */
  void cancelAttempt(String call, int attempt);

  /** Releases an established attempt, or one whose late answer crossed the end of the call. */
  void releaseAttempt(String call, int attempt);

  /** Sends the caller its one final answer. */
  void answer(String call, FinalAnswer answer);

  /**
   * Releases the caller of an established call.
   *
   * @param disconnected whether the call was cut off; otherwise the remote end released it
   */
  void releaseCaller(String call, boolean disconnected);

  /** Requests a load report from an exchange; {@code sentAt} is the clock at this moment, ms. */
  void probe(ExchangeDirectory.Entry exchange, double sentAt);

  /** Sends a message to all other controllers. */
  void broadcast(byte[] payload);

  /** Subscribes to changes of the exchange directory. */
  void subscribeToDirectory();

  /** The clock and timers of the event loop. */
  Scheduler scheduler();
}
