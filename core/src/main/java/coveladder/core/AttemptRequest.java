package coveladder.core;

/**
 * One set-up that is to go out.
 *
 * @param call the call's id
 * @param attempt number of the attempt, from 0
 * @param nextExchange the exchange that it is sent to: the destination, or a tandem
 * @param destination the exchange that the call is for; null where the list has none in service
 * @param number the number called
 * @param timeoutMillis its time limit, ms; the core watches it
 */
public record AttemptRequest(
    String call,
    int attempt,
    ExchangeDirectory.Entry nextExchange,
    ExchangeDirectory.Entry destination,
    String number,
    double timeoutMillis) {

  /** Whether it goes through a tandem. */
  public boolean viaTandem() {
    return destination == null || nextExchange.number() != destination.number();
  }
}
