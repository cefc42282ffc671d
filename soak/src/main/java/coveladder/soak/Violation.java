package coveladder.soak;

/**
 * A broken rule.
 *
 * @param rule the rule
 * @param timeMillis clock at which it was broken, ms
 * @param controller number of the controller
 * @param call id of the call; empty if it concerns none
 * @param text what was seen
 */
record Violation(Rule rule, double timeMillis, int controller, String call, String text) {
  /** The rules that are judged. */
  enum Rule {
    /** Each set-up gets one final answer in time. */
    LOST,
    /** Nothing is sent for a call after its final answer. */
    SECOND_ANSWER,
    /** No call is answered as served with what no switch made for it. */
    FALSE_ANSWER,
    /** No call has two attempts out. */
    DUPLICATE,
    /** No set-up is sent within the guard time. */
    GUARD,
    /** Nothing new is sent to a draining or unlisted switch after the grace. */
    DRAIN,
    /** No cold switch gets more than it bears. */
    COLD,
    /** A call that is over is released towards its caller in time. */
    RELEASE,
    /** A call that its caller released is released at its switch. */
    LEFT_STANDING,
    /** No attempt begins after the caller has gone. */
    CALLER_GONE,
    /** A set-up at a switch is one of a caller, unchanged. */
    INVENTED,
    /** A client that misuses the protocol gets a refusal or a close in time, and is not served. */
    DISRUPTIVE,
    /** No process ends by itself. */
    CRASH,
    /** A process is ready in time. */
    READY
  }
}
