package coveladder.sip;

/** Why a message could not be delivered or was never answered. */
public enum Failure {
  /** No connection: refused, unreachable, or not made in time. Nothing was sent. */
  REFUSED,
  /** The connection broke; what was sent may have arrived. */
  RESET,
  /** No final answer within 64*T1 (timers B and F, RFC 3261 section 17.1). */
  TIMED_OUT
}
