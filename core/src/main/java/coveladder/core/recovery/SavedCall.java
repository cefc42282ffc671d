package coveladder.core.recovery;

import coveladder.CallPolicy.Call;
import java.util.Arrays;

/**
 * What is kept of one call, enough to go on with it or to end it after a restart. What the legs are
 * is the front's matter: the core keeps their octets unread.
 *
 * @param call the call as the policy was told
 * @param phase how far it is
 * @param attempt number of the attempt that is out or stands; {@link #NONE}: none is
 * @param exchange id of the exchange that it was sent to
 * @param callerLeg the caller's leg, as the front wrote it
 * @param attemptLeg the attempt's leg, as the front wrote it
 * @param answer the final answer other than 2xx, as the front wrote it; empty if there is none
 * @param deadline clock at which the caller's patience ends, ms; 0: it is not known to wait; -1: it
 *     has called off
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

  /** Stands for the number of an attempt where none is out. */
  public static final int NONE = -1;

  private static final long CALLED_OFF = -1;

  /** How far a call is; a call without any attempt is not kept, as nothing of it is anywhere. */
  public enum Phase {
    /** An attempt went out or was about to; the caller has no answer. */
    SETTING_UP,
    /** An attempt was answered: the caller has its 2xx or is owed it. */
    STANDS,
    /** The caller has its final answer other than 2xx or is owed it. */
    ANSWERED
  }

  /** The call's id. */
  public String id() {
    return call.id();
  }

  /** Whether its caller had a final answer, or was about to get it. */
  boolean hasAnswer() {
    return answer.length > 0;
  }

  /** The same with the final answer that its caller gets. */
  SavedCall answered(byte[] given) {
    return new SavedCall(call, phase, attempt, exchange, callerLeg, attemptLeg, given, deadline);
  }

  /** Whether the caller had called off. */
  public boolean isCancelled() {
    return deadline == CALLED_OFF;
  }

  /** The same, called off by its caller. */
  SavedCall cancelled() {
    return new SavedCall(call, phase, attempt, exchange, callerLeg, attemptLeg, answer, CALLED_OFF);
  }

  /** The same, with a caller that is not known to wait. */
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
