package coveladder.core;

/**
 * One set-up that is to go out.
 *
 * @param call the call's id
 * @param attempt number of the attempt, from 0
 * @param first the exchange that it is sent to: the destination, or a tandem
 * @param destination the exchange that the call is for; null where the list has none in service
 * @param number the number called
 * @param within its time limit, ms; the core watches it
 */
public record AttemptOrder(
    String call,
    int attempt,
    ExchangeList.Entry first,
    ExchangeList.Entry destination,
    String number,
    double within) {

  /** Whether it goes through a tandem. */
  public boolean alternative() {
    return destination == null || first.number() != destination.number();
  }
}
