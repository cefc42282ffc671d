package coveladder.core.recovery;

import coveladder.CallPolicy.Call;
import java.util.Arrays;

/**
 * The persistent record of one call, sufficient to continue or end it after a restart. The legs are
 * encoded by the protocol front end; the core stores their octets without reading them.
 *
 * @param call the call as reported to the policy
 * @param phase progress of the call
 * @param attempt number of the outstanding or answered attempt; {@link #NONE} if there is none
 * @param exchange id of the exchange that the attempt was sent to
 * @param callerLeg the encoded caller's leg
 * @param attemptLeg the encoded leg of the attempt
 * @param answer the encoded final answer other than 2xx; empty if there is none
 * @param deadline time of the persistent clock at which the caller's patience ends, ms; 0: the
 *     caller is not known to wait; -1: it has cancelled
 */
public record SavedCall(
    Call call,
    Phase phase,
    int attempt,
    String exchange,
    byte[] callerLeg,
    byte[] attemptLeg,
    byte[] answer,
    long deadline) {

  /** The attempt number of a call without an outstanding or answered attempt. */
  public static final int NONE = -1;

  /** The deadline of a call that its caller has cancelled. */
  private static final long CALLED_OFF = -1;

  /** Progress of a call. A call without any attempt has no external effect and is not stored. */
  public enum Phase {
    /** An attempt was sent or about to be sent; the caller has no final answer. */
    SETTING_UP,
    /** An attempt was answered: the caller has its 2xx, or it is due. */
    STANDS,
    /** The caller has its final answer other than 2xx, or it is due. */
    ANSWERED
  }

  /** Id of the call. */
  public String id() {
    return call.id();
  }

  /** Whether a final answer other than 2xx was sent or about to be sent. */
  boolean hasAnswer() {
    return answer.length > 0;
  }

  /** A copy with the encoded final answer that the caller gets. */
  SavedCall withAnswer(byte[] finalAnswer) {
    return new SavedCall(
        call, phase, attempt, exchange, callerLeg, attemptLeg, finalAnswer, deadline);
  }

  /** Whether the caller had cancelled. */
  public boolean isCancelled() {
    return deadline == CALLED_OFF;
  }

  /** A copy that is marked as cancelled by its caller. */
  SavedCall asCancelled() {
    return new SavedCall(call, phase, attempt, exchange, callerLeg, attemptLeg, answer, CALLED_OFF);
  }

  /** A copy whose caller is not known to wait. */
  SavedCall withoutDeadline() {
    return new SavedCall(call, phase, attempt, exchange, callerLeg, attemptLeg, answer, 0);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SavedCall saved
        && call.equals(saved.call)
        && phase == saved.phase
        && attempt == saved.attempt
        && exchange.equals(saved.exchange)
        && Arrays.equals(callerLeg, saved.callerLeg)
        && Arrays.equals(attemptLeg, saved.attemptLeg)
        && Arrays.equals(answer, saved.answer)
        && deadline == saved.deadline;
  }

  @Override
  public int hashCode() {
    return call.id().hashCode() * 31 + phase.hashCode();
  }
}
