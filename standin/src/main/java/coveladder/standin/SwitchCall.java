package coveladder.standin;

import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.EndToEndHeaders;
import coveladder.sip.Failure;
import coveladder.sip.RequestRelay;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;

/** A call through a stand-in switch: incoming leg, outgoing leg and seized circuits. */
final class SwitchCall {
  private final StandinSwitch owner;
  private final CallLeg incomingLeg;
  private final int nextExchange;
  private final int width;
  private CallLeg outgoingLeg;

  /** Whether the ACK on the outgoing leg waits for the caller's SDP answer to the 2xx's offer. */
  private boolean ackPending;

  private boolean released;
  private String calledNumber;

  /**
   * Creates a call whose circuits are already seized.
   *
   * @param nextExchange number of the exchange that the circuits lead to; -1 if there are none
   * @param width number of seized circuits
   */
  SwitchCall(StandinSwitch owner, CallLeg incomingLeg, int nextExchange, int width) {
    this.owner = owner;
    this.incomingLeg = incomingLeg;
    this.nextExchange = nextExchange;
    this.width = width;
  }

  CallListener incomingListener() {
    return new IncomingLegListener();
  }

  CallListener outgoingListener() {
    return new OutgoingLegListener();
  }

  /** Sets the called number whose line the call occupies until its release. */
  void setCalledNumber(String number) {
    calledNumber = number;
  }

  void setOutgoingLeg(CallLeg leg) {
    outgoingLeg = leg;
  }

  /** Receives the events of the incoming leg. */
  private final class IncomingLegListener implements CallListener {
    @Override
    public void cancelled(CallLeg leg) {
      if (outgoingLeg != null) {
        outgoingLeg.cancel("SIP;cause=487");
      }
      release();
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      if (outgoingLeg != null && ackPending) {
        ackPending = false;
        outgoingLeg.ack(ack);
      } else if (outgoingLeg != null) {
        outgoingLeg.acknowledgeReinvite(ack);
      }
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      if (outgoingLeg == null) {
        owner.answerInDialogRequest(leg, transaction, request);
      } else {
        RequestRelay.forward(
            leg, outgoingLeg, transaction, request, request.header("RAck"), response -> {});
      }
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      if (outgoingLeg != null) {
        outgoingLeg.bye(bye == null ? null : bye.header("Reason"));
      }
      release();
    }
  }

  /** Receives the events of the outgoing leg. */
  private final class OutgoingLegListener implements CallListener {
    @Override
    public void progress(CallLeg leg, SipResponse response) {
      SipResponse relayed = incomingLeg.response(response.status());
      EndToEndHeaders.copy(response, relayed);
      if (response.header("RSeq") != null) {
        relayed.add("RSeq", response.header("RSeq"));
      }
      incomingLeg.progress(relayed);
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      ackPending = leg.invite().body().length == 0 && response.body().length > 0;
      if (!ackPending) {
        leg.ack(null);
      }
      if (incomingLeg.state() == CallLeg.State.ENDED) {
        leg.bye(null);
      } else {
        SipResponse relayed = incomingLeg.response(200);
        EndToEndHeaders.copy(response, relayed);
        incomingLeg.accept(relayed);
      }
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      SipResponse relayed = incomingLeg.response(response.status(), response.reasonPhrase());
      EndToEndHeaders.copy(response, relayed);
      incomingLeg.reject(relayed);
      release();
    }

    @Override
    public void failed(CallLeg leg, Failure failure) {
      SipResponse rejection = incomingLeg.response(failure == Failure.TIMED_OUT ? 408 : 503);
      rejection.add("Reason", failure == Failure.RESET ? "Q.850;cause=41" : "Q.850;cause=42");
      incomingLeg.reject(rejection);
      release();
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      RequestRelay.forward(leg, incomingLeg, transaction, request, null, response -> {});
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      incomingLeg.acknowledgeReinvite(ack);
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      incomingLeg.bye(bye == null ? "Q.850;cause=41" : bye.header("Reason"));
      release();
    }
  }

  /** Disconnects the call on both legs, as the loss of its circuits or of the processor does. */
  void disconnect() {
    String reason = "Q.850;cause=41";
    if (incomingLeg.state() == CallLeg.State.CALLING) {
      SipResponse rejection = incomingLeg.response(503);
      rejection.add("Reason", reason);
      incomingLeg.reject(rejection);
    } else {
      incomingLeg.bye(reason);
    }
    if (outgoingLeg != null) {
      outgoingLeg.cancel(reason);
      outgoingLeg.bye(reason);
    }
    release();
  }

  int nextExchange() {
    return nextExchange;
  }

  boolean isEstablished() {
    return incomingLeg.state() == CallLeg.State.CONFIRMED;
  }

  /** Releases the circuits and the line; later calls have no effect. */
  void release() {
    if (!released) {
      released = true;
      if (calledNumber != null) {
        owner.releaseLine(calledNumber);
      }
      owner.callEnded(this, nextExchange, width);
    }
  }
}
