package coveladder.sip;

/** The reason why a message was not delivered or not answered. */
public enum Failure {
  /** The connection was refused, unreachable or not established in time. Nothing was sent. */
  REFUSED,
  /** The connection was lost; messages sent on it may have arrived. */
  RESET,
  /** No final answer within 64*T1 (timers B and F, RFC 3261 section 17.1). */
  TIMED_OUT
}
