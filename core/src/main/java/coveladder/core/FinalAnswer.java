package coveladder.core;

import coveladder.CallPolicy.Reason;

/**
 * The one final answer of a call.
 *
 * @param kind the kind of answer
 * @param retryAfterMillis time that the caller is asked to wait before it retries, ms; 0: no
 *     request
 * @param reason why the last attempt failed; NONE if there was no attempt or no reason was given
 */
public record FinalAnswer(Kind kind, double retryAfterMillis, Reason reason) {

  /** Kinds of final answers. */
  public enum Kind {
    /** The call is established. */
    STANDS,
    /** The call is refused. */
    REFUSED,
    /** The call has failed. */
    FAILED,
    /** The callee's own final answer is passed to the caller unchanged. */
    PASSED,
    /** The controller is shutting down. */
    SHUT_DOWN
  }

  /** The answer for an established call. */
  public static final FinalAnswer ESTABLISHED = new FinalAnswer(Kind.STANDS, 0, Reason.NONE);
}
