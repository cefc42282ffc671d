package coveladder.sipfront;

import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;

/**
 * The settings of one controller's SIP front end.
 *
 * @param domain the controller's domain, the host part of URIs of its numbers
 * @param localSwitch signalling address of the local switch
 * @param directoryServer address of the server of the exchange directory
 * @param classes determines the class of a call
 * @param patienceMillis patience of a caller whose INVITE has no Expires, ms
 * @param answerMarginMillis time reserved for a final answer to reach the caller, ms
 * @param maxCalls maximum number of simultaneous calls; more are answered with 503
 * @param retryAfterSeconds Retry-After at shutdown and at the maximum number of calls, s
 * @param timing timer values of the SIP stack
 * @param limits limits of the SIP stack
 */
public record FrontEndSettings(
    String domain,
    Hop localSwitch,
    Hop directoryServer,
    ClassTable classes,
    double patienceMillis,
    double answerMarginMillis,
    int maxCalls,
    int retryAfterSeconds,
    Timing timing,
    SipStack.Limits limits) {

  /** Checks that the values are in range. */
  public FrontEndSettings {
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
