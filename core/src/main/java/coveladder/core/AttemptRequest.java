package coveladder.core;

/**
 * A request to send one set-up.
 *
 * @param call id of the call
 * @param attempt number of the attempt, from 0
 * @param nextExchange the exchange that the set-up is sent to: the destination, or a tandem
 * @param destination the destination exchange; null if the directory has none in service
 * @param number the called number
 * @param timeoutMillis time limit of the attempt, ms, enforced by the core
 */
public record AttemptRequest(
    String call,
    int attempt,
    ExchangeDirectory.Entry nextExchange,
    ExchangeDirectory.Entry destination,
    String number,
    double timeoutMillis) {

  /** Whether the set-up is sent to a tandem. */
  public boolean viaTandem() {
    return destination == null || nextExchange.number() != destination.number();
  }
}
