package coveladder.sip;

import java.util.function.Consumer;

/** Carries a request within a dialog from one leg of a call to the other, and its answers back. */
public final class RequestRelay implements ClientTransaction.Listener {
  private final CallLeg from;
  private final ServerTransaction transaction;
  private final SipRequest request;
  private final Consumer<SipResponse> agreed;

  private RequestRelay(
      CallLeg from,
      ServerTransaction transaction,
      SipRequest request,
      Consumer<SipResponse> agreed) {
    this.from = from;
    this.transaction = transaction;
    this.request = request;
    this.agreed = agreed;
  }

  /**
   * Carries a request over. Where the other leg cannot take it, it is answered at once: 491 for a
   * re-INVITE that meets another (RFC 3261 section 14.1), else 481.
   *
   * @param to the other leg, or null
   * @param rack value of RAck on the other leg, or null
   * @param agreed told of each 2xx that refreshes the session
   */
  public static void forward(
      CallLeg from,
      CallLeg to,
      ServerTransaction transaction,
      SipRequest request,
      String rack,
      Consumer<SipResponse> agreed) {
    RequestRelay relay = new RequestRelay(from, transaction, request, agreed);
    if (to == null || !to.send(request.method(), request, rack, relay)) {
      relay.answer(request.response(request.is("INVITE") ? 491 : 481));
    }
  }

  @Override
  public void response(SipResponse response) {
    if (response.status() == 100) {
      return;
    }
    SipResponse told = request.response(response.status(), response.reasonPhrase());
    EndToEndHeaders.copy(response, told);
    if (response.isSuccess() && (request.is("INVITE") || request.is("UPDATE"))) {
      told.add("Contact", from.contact());
      agreed.accept(response);
    }
    answer(told);
  }

  @Override
  public void failed(Failure failure) {
    answer(request.response(failure == Failure.TIMED_OUT ? 408 : 500));
  }

  private void answer(SipResponse told) {
    if (request.is("INVITE")) {
      from.answerReinvite(transaction, told);
    } else {
      transaction.respond(told);
    }
  }
}
