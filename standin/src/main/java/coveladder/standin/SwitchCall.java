package coveladder.standin;

import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.EndToEndHeaders;
import coveladder.sip.Failure;
import coveladder.sip.RequestRelay;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;

/** One call through a stand-in switch: the leg that came, the leg that goes on, its circuits. */
final class SwitchCall {
  private final StandinSwitch owner;
  private final CallLeg in;
  private final int toward;
  private final int width;
  private CallLeg out;
  private boolean ackOwed;
  private boolean released;
  private String line;

  /** Makes a call whose circuits toward an exchange are seized; -1 for none. */
  SwitchCall(StandinSwitch owner, CallLeg in, int toward, int width) {
    this.owner = owner;
    this.in = in;
    this.toward = toward;
    this.width = width;
  }

  CallListener incoming() {
    return new In();
  }

  CallListener outgoing() {
    return new Out();
  }

  /** Takes a line of a number, given back at the end. */
  void line(String number) {
    line = number;
  }

  void out(CallLeg leg) {
    out = leg;
  }

  /** Hears of the side that called. */
  private final class In implements CallListener {
    @Override
    public void cancelled(CallLeg leg) {
      if (out != null) {
        out.cancel("SIP;cause=487");
      }
      release();
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      if (out != null && ackOwed) {
        ackOwed = false;
        out.ack(ack);
      } else if (out != null) {
        out.acknowledgeReinvite(ack);
      }
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      if (out == null) {
        owner.answerWithin(leg, transaction, request);
      } else {
        RequestRelay.forward(leg, out, transaction, request, request.header("RAck"), agreed -> {});
      }
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      if (out != null) {
        out.bye(bye == null ? null : bye.header("Reason"));
      }
      release();
    }
  }

  /** Hears of the side that goes on. */
  private final class Out implements CallListener {
    @Override
    public void progress(CallLeg leg, SipResponse response) {
      SipResponse told = in.response(response.status());
      EndToEndHeaders.copy(response, told);
      if (response.header("RSeq") != null) {
        told.add("RSeq", response.header("RSeq"));
      }
      in.progress(told);
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      ackOwed = leg.invite().body().length == 0 && response.body().length > 0;
      if (!ackOwed) {
        leg.ack(null);
      }
      if (in.state() == CallLeg.State.ENDED) {
        leg.bye(null);
      } else {
        SipResponse told = in.response(200);
        EndToEndHeaders.copy(response, told);
        in.accept(told);
      }
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      SipResponse told = in.response(response.status(), response.reasonPhrase());
      EndToEndHeaders.copy(response, told);
      in.reject(told);
      release();
    }

    @Override
    public void failed(CallLeg leg, Failure failure) {
      SipResponse told = in.response(failure == Failure.TIMED_OUT ? 408 : 503);
      told.add("Reason", failure == Failure.RESET ? "Q.850;cause=41" : "Q.850;cause=42");
      in.reject(told);
      release();
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      RequestRelay.forward(leg, in, transaction, request, null, agreed -> {});
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      in.acknowledgeReinvite(ack);
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      in.bye(bye == null ? "Q.850;cause=41" : bye.header("Reason"));
      release();
    }
  }

  /** Cuts the call, as lost circuits or a stopping processor do. */
  void cut() {
    String reason = "Q.850;cause=41";
    if (in.state() == CallLeg.State.CALLING) {
      SipResponse told = in.response(503);
      told.add("Reason", reason);
      in.reject(told);
    } else {
      in.bye(reason);
    }
    if (out != null) {
      out.cancel(reason);
      out.bye(reason);
    }
    release();
  }

  int toward() {
    return toward;
  }

  boolean standing() {
    return in.state() == CallLeg.State.CONFIRMED;
  }

  /** Gives the circuits back, once. */
  void release() {
    if (!released) {
      released = true;
      if (line != null) {
        owner.lineIdle(line);
      }
      owner.over(this, toward, width);
    }
  }
}
