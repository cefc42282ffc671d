package coveladder.standin;

import coveladder.sip.Transport;

/**
 * One call that a stand-in caller will make.
 *
 * @param dialAtMillis clock time at which it is first dialled, ms
 * @param sessionIdPrefix the first 24 hex digits of the Session-ID (RFC 7989), the same whenever it
 *     is dialled
 * @param originExchange number of the exchange whose controller receives it
 * @param destinationDomain domain of the called exchange
 * @param calledNumber the called number
 * @param priority Resource-Priority value, which determines the call class
 * @param transport transport of the caller
 * @param patienceMillis time until a caller abandons an unanswered call, ms; whole seconds
 * @param holdMillis duration of an established call, ms
 * @param maxRedials how often the caller redials after a failure
 */
public record PlannedCall(
    double dialAtMillis,
    String sessionIdPrefix,
    int originExchange,
    String destinationDomain,
    String calledNumber,
    String priority,
    Transport transport,
    double patienceMillis,
    double holdMillis,
    int maxRedials) {

  /** The same call, dialled {@code delayMillis} later. */
  public PlannedCall delayedBy(double delayMillis) {
    return new PlannedCall(
        dialAtMillis + delayMillis,
        sessionIdPrefix,
        originExchange,
        destinationDomain,
        calledNumber,
        priority,
        transport,
        patienceMillis,
        holdMillis,
        maxRedials);
  }
}
