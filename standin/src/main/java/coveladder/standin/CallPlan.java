package coveladder.standin;

import coveladder.sip.Transport;

/**
 * One call that a stand-in caller will make.
 *
 * @param at clock of its first try, ms
 * @param session the first 24 hex digits of the Session-ID (RFC 7989) of all its tries
 * @param from number of the exchange that it is handed to
 * @param to domain of the exchange called
 * @param number number called
 * @param priority Resource-Priority value, which tells its class
 * @param transport transport of the caller
 * @param patience time until a try is given up, whole seconds in ms
 * @param hold time that a call which stands lasts, ms
 * @param redials how often the caller dials again by itself
 */
public record CallPlan(
    double at,
    String session,
    int from,
    String to,
    String number,
    String priority,
    Transport transport,
    double patience,
    double hold,
    int redials) {

  /** The same call, so many ms later. */
  public CallPlan later(double by) {
    return new CallPlan(
        at + by, session, from, to, number, priority, transport, patience, hold, redials);
  }
}
