package coveladder.core;

import coveladder.CallPolicy.Reason;

/**
 * The one final answer of a call.
 *
 * @param kind what it is
 * @param retryAfterMillis time that the caller should stay away, ms; 0: no word on it
 * @param reason why the last attempt came to nothing; NONE where there was none
 */
public record FinalAnswer(Kind kind, double retryAfterMillis, Reason reason) {

  /** Kinds of final answers. */
  public enum Kind {
    /** The call stands. */
    STANDS,
    /** Refused. */
    REFUSED,
    /** Given up. */
    FAILED,
    /** The callee's own final answer goes to the caller as it is. */
    PASSED,
    /** The controller ends. */
    SHUT_DOWN
  }

  /** The answer that a call stands. */
  public static final FinalAnswer ESTABLISHED = new FinalAnswer(Kind.STANDS, 0, Reason.NONE);
}
