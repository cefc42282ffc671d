package coveladder.sipfront;

import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;

/**
 * What the SIP front of one controller is told at start.
 *
 * @param domain own domain, the host part of URIs of own numbers
 * @param localSwitch where the own switch takes signalling
 * @param listServer where the exchange list is had by SUBSCRIBE
 * @param classes how calls are told apart
 * @param patienceMillis patience of a caller whose INVITE has no Expires, ms
 * @param answerMarginMillis time kept for a final answer on its way to the caller, ms
 * @param maxCalls most calls held at a time; more are answered 503
 * @param retryAfterSeconds seconds that callers are told at shutdown and at the bound of calls
 * @param timing timer values
 * @param limits bounds of the stack
 */
public record FrontSettings(
    String domain,
    Hop localSwitch,
    Hop listServer,
    ClassTable classes,
    double patienceMillis,
    double answerMarginMillis,
    int maxCalls,
    int retryAfterSeconds,
    Timing timing,
    SipStack.Limits limits) {

  /** Checks the figures. */
  public FrontSettings {
    require(!domain.isEmpty(), "domain", domain);
    require(patienceMillis > 0, "patience", patienceMillis);
    require(answerMarginMillis >= 0, "answerMargin", answerMarginMillis);
    require(maxCalls > 0, "maxCalls", maxCalls);
    require(retryAfterSeconds > 0, "retryAfter", retryAfterSeconds);
  }

  private static void require(boolean valid, String setting, Object value) {
    if (!valid) {
      throw new IllegalArgumentException("unusable setting " + setting + "=" + value);
    }
  }
}
