package coveladder.standin;

import coveladder.sip.Transport;

/**
 * One call that a stand-in caller will make.
 *
 * @param dialAtMillis clock of its first try, ms
 * @param sessionIdPrefix the first 24 hex digits of the Session-ID (RFC 7989) of all its tries
 * @param originExchange number of the exchange that it is handed to
 * @param destinationDomain domain of the exchange called
 * @param calledNumber number called
 * @param priority Resource-Priority value, which tells its class
 * @param transport transport of the caller
 * @param patienceMillis time until a try is given up, whole seconds in ms
 * @param holdMillis time that a call which stands lasts, ms
 * @param maxRedials how often the caller dials again by itself
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

  /** The same call, so many ms later. */
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
