package coveladder.sipfront;

import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;

/**
 * What the SIP front of one controller is told at start.
 *
 * @param domain own domain, the host part of URIs of own numbers
 * @param ownSwitch where the own switch takes signalling
 * @param listServer where the exchange list is had by SUBSCRIBE
 * @param classes how calls are told apart
 * @param patience patience of a caller whose INVITE has no Expires, ms
 * @param answerMargin time kept for a final answer on its way to the caller, ms
 * @param maxCalls most calls held at a time; more are answered 503
 * @param retryAfter seconds that callers are told at shutdown and at the bound of calls
 * @param timing timer values
 * @param limits bounds of the stack
 */
public record FrontSettings(
    String domain,
    Hop ownSwitch,
    Hop listServer,
    ClassTable classes,
    double patience,
    double answerMargin,
    int maxCalls,
    int retryAfter,
    Timing timing,
    SipStack.Limits limits) {

  /** Checks the figures. */
  public FrontSettings {
    require(!domain.isEmpty(), "domain", domain);
    require(patience > 0, "patience", patience);
    require(answerMargin >= 0, "answerMargin", answerMargin);
    require(maxCalls > 0, "maxCalls", maxCalls);
    require(retryAfter > 0, "retryAfter", retryAfter);
  }

  private static void require(boolean usable, String setting, Object value) {
    if (!usable) {
      throw new IllegalArgumentException("unusable setting " + setting + "=" + value);
    }
  }
}
