package coveladder.sip;

import java.util.function.Consumer;

/** Relays a request within a dialog from one leg of a call to the other, and its responses back. */
public final class RequestRelay implements ClientTransaction.Listener {
  private final CallLeg fromLeg;
  private final ServerTransaction transaction;
  private final SipRequest request;
  private final Consumer<SipResponse> onSessionRefresh;

  private RequestRelay(
      CallLeg fromLeg,
      ServerTransaction transaction,
      SipRequest request,
      Consumer<SipResponse> onSessionRefresh) {
    this.fromLeg = fromLeg;
    this.transaction = transaction;
    this.request = request;
    this.onSessionRefresh = onSessionRefresh;
  }

  /**
   * Forwards a request. If the other leg cannot send it, it is answered immediately: a re-INVITE,
   * which collides with another one (RFC 3261 section 14.1), with 491, any other request with 481.
   *
   * @param fromLeg the leg that received the request
   * @param toLeg the other leg, or null
   * @param transaction the server transaction of the request
   * @param rack value of RAck on the other leg, or null
   * @param onSessionRefresh called with each 2xx to an INVITE or UPDATE
   */
  public static void forward(
      CallLeg fromLeg,
      CallLeg toLeg,
      ServerTransaction transaction,
      SipRequest request,
      String rack,
      Consumer<SipResponse> onSessionRefresh) {
    RequestRelay relay = new RequestRelay(fromLeg, transaction, request, onSessionRefresh);
    if (toLeg == null || !toLeg.send(request.method(), request, rack, relay)) {
      relay.answer(request.response(request.is("INVITE") ? 491 : 481));
    }
  }

  @Override
  public void response(SipResponse response) {
    if (response.status() == 100) {
      return;
    }
    SipResponse relayed = request.response(response.status(), response.reasonPhrase());
    EndToEndHeaders.copy(response, relayed);
    if (response.isSuccess() && (request.is("INVITE") || request.is("UPDATE"))) {
      relayed.add("Contact", fromLeg.contact());
      onSessionRefresh.accept(response);
    }
    answer(relayed);
  }

  @Override
  public void failed(Failure failure) {
    answer(request.response(failure == Failure.TIMED_OUT ? 408 : 500));
  }

  private void answer(SipResponse relayed) {
    if (request.is("INVITE")) {
      fromLeg.answerReinvite(transaction, relayed);
    } else {
      transaction.respond(relayed);
    }
  }
}
