package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.FinalAnswer;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.EndToEndHeaders;
import coveladder.sip.Failure;
import coveladder.sip.RequestRelay;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipHost;
import coveladder.sip.SipMessage;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * One call of the back-to-back user agent (RFC 7092): the caller's leg, the leg of the attempt that
 * is out or stands, and what passes between them.
 */
final class Bridge {
  private static final int RELIABLE_MOST = 64;

  private final SipFront front;
  private final String id;
  private final boolean transit;
  private CallLeg caller;
  private final List<Reliable> reliable = new ArrayList<>(0);
  private CallLeg attemptLeg;
  private int attempt = -1;
  private SipResponse answer;
  private boolean ackOwed;
  private boolean launched;
  private SipResponse prepared;
  private SipHost.Timer sessionTimer;
  private double sessionLasts;

  Bridge(SipFront front, String id, boolean transit, CallLeg caller) {
    this.front = front;
    this.id = id;
    this.transit = transit;
    this.caller = caller;
  }

  /** A reliable provisional answer as it was told to the caller (RFC 3262). */
  private record Reliable(int attempt, long number, long cseq) {}

  CallListener callerSide() {
    return new CallerSide();
  }

  CallLeg caller() {
    return caller;
  }

  // ---- Attempts -----------------------------------------------------------------------------

  /** Makes an attempt ready without sending it. */
  void prepare(AttemptRequest order, SipRequest invite) {
    attempt = order.attempt();
    answer = null;
    launched = false;
    AttemptSide side = new AttemptSide(order.attempt());
    attemptLeg = front.agent().prepare(invite, front.ownSwitch(), side);
  }

  /** Whether this attempt was made ready and has not left. */
  boolean ready(int number) {
    return attempt == number && attemptLeg != null && !launched;
  }

  void launch() {
    launched = true;
    attemptLeg.sendInvite();
  }

  /**
   * Takes legs that stood before a restart. A session that had a time gets all of it again: how
   * much had passed is not kept, so one whose ends are gone is released that much later at most.
   */
  void resume(CallLeg callerAgain, CallLeg attemptAgain, int number, long session) {
    caller = callerAgain;
    attemptLeg = attemptAgain;
    attempt = number;
    launched = true;
    sessionLasts = session * 1000.0;
    watchSession();
  }

  /** Time that the session lasts without a refresh, s; 0: for ever. */
  long session() {
    return Math.round(sessionLasts / 1000);
  }

  CallLeg attemptLeg() {
    return attemptLeg;
  }

  CallListener attemptSide(int number) {
    return new AttemptSide(number);
  }

  void cancel(int number) {
    if (number == attempt && attemptLeg != null) {
      attemptLeg.cancel("SIP;cause=487");
    }
  }

  void release(int number) {
    if (number == attempt && attemptLeg != null) {
      attemptLeg.bye(ReasonField.write(ReasonField.NORMAL, false));
    }
  }

  /** Hears of one attempt. */
  private final class AttemptSide implements CallListener {
    private final int number;

    AttemptSide(int number) {
      this.number = number;
    }

    @Override
    public void responseReceived(CallLeg leg, SipResponse response) {
      front.learnLoad(response);
    }

    @Override
    public void progress(CallLeg leg, SipResponse response) {
      if (leg == attemptLeg) {
        relayProgress(number, response);
      }
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      answer = response;
      ackOwed = leg.invite().body().length == 0 && response.body().length > 0;
      front.controller().attemptAnswered(id, number);
      if (leg.state() == CallLeg.State.ENDED) {
        over(new WireOutcome(Outcome.CANCELLED, Reason.NONE, 0));
      }
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      if (WireOutcome.conclusive(response)) {
        answer = response;
        front.controller().calleeRejected(id, number);
        front.tidy(id);
      } else {
        over(WireOutcome.of(response));
      }
    }

    @Override
    public void failed(CallLeg leg, Failure failure) {
      over(WireOutcome.of(failure));
    }

    @Override
    public void answeredLate(CallLeg leg, SipResponse response) {
      over(new WireOutcome(Outcome.CANCELLED, Reason.NONE, 0));
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      relay(leg, caller, transaction, request, null);
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      caller.acknowledgeReinvite(ack);
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      over(WireOutcome.ofBye(bye));
    }

    @Override
    public void released(CallLeg leg) {
      front.released(id, Bridge.this);
    }

    private void over(WireOutcome outcome) {
      front
          .controller()
          .attemptEnded(id, number, outcome.outcome(), outcome.reason(), outcome.askedWait());
      front.tidy(id);
    }
  }

  // ---- The caller ---------------------------------------------------------------------------

  /** Hears of the caller. */
  private final class CallerSide implements CallListener {
    @Override
    public void cancelRequested(CallLeg leg, Runnable answer) {
      front.callerLeaves(
          id,
          () -> {
            answer.run();
            front.tidy(id);
          });
      front.controller().callerAbandoned(id);
      front.tidy(id);
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      front.changed(id);
      if (ackOwed) {
        ackOwed = false;
        attemptLeg.ack(ack);
      } else if (attemptLeg != null) {
        attemptLeg.acknowledgeReinvite(ack);
      }
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      if (request.is("PRACK")) {
        prack(transaction, request);
      } else {
        relay(leg, attemptLeg, transaction, request, null);
      }
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      front.controller().callerReleased(id);
      front.tidy(id);
    }

    @Override
    public void released(CallLeg leg) {
      front.released(id, Bridge.this);
    }
  }

  /** Makes the caller's final answer ready without sending it. */
  SipResponse prepare(FinalAnswer given) {
    if (prepared == null) {
      switch (given.kind()) {
        case STANDS, PASSED -> {
          prepared = caller.response(answer.status());
          EndToEndHeaders.copy(answer, prepared);
        }
        default -> prepared = FinalResponses.of(caller, given, transit, front.settings());
      }
    }
    return prepared;
  }

  /** The final answer that was made ready; null before. */
  SipResponse prepared() {
    return prepared;
  }

  /** The callee's answer that the call stands by. */
  SipResponse received() {
    return answer;
  }

  int attempt() {
    return attempt;
  }

  /**
   * Gives the caller its one final answer. The callee's 2xx is acknowledged only now that the call
   * is kept: one that was not would be called off after a crash, and a callee that had its ACK
   * would not hear of that.
   */
  void answer(FinalAnswer given) {
    SipResponse response = prepare(given);
    prepared = null;
    if (given.kind() == FinalAnswer.Kind.STANDS) {
      if (!ackOwed) {
        attemptLeg.ack(null);
      }
      caller.accept(response);
      watchSession(answer);
      answer = null;
    } else {
      caller.reject(response);
    }
  }

  void releaseCaller(boolean cut) {
    int cause = cut ? ReasonField.TEMPORARY_FAILURE : ReasonField.NORMAL;
    caller.bye(ReasonField.write(cause, false));
  }

  /** Whether a BYE of either leg is out and not answered. */
  boolean releasing() {
    return attemptLeg != null && attemptLeg.isReleasing() || caller.isReleasing();
  }

  /** Whether nothing is left to do for the call. */
  boolean over() {
    boolean attemptOver =
        attemptLeg == null || !launched || attemptLeg.state() == CallLeg.State.ENDED;
    boolean over = attemptOver && caller.state() == CallLeg.State.ENDED;
    if (over && sessionTimer != null) {
      sessionTimer.cancel();
    }
    return over;
  }

  // ---- Between the legs ---------------------------------------------------------------------

  private void relayProgress(int number, SipResponse response) {
    SipResponse told = caller.response(response.status());
    EndToEndHeaders.copy(response, told);
    if (response.header("RSeq") != null) {
      long sequence = response.numericHeader("RSeq", 0);
      told.add("RSeq", Integer.toString(reliableNumber(number, sequence, response)));
    }
    caller.progress(told);
  }

  /** Numbers of reliable answers grow by one on the caller's leg, whichever attempt they are of. */
  private int reliableNumber(int number, long sequence, SipResponse response) {
    Reliable made = new Reliable(number, sequence, response.cseq().number());
    int known = reliable.indexOf(made);
    if (known < 0 && reliable.size() < RELIABLE_MOST) {
      reliable.add(made);
      return reliable.size();
    }
    return known + 1;
  }

  private void prack(ServerTransaction transaction, SipRequest request) {
    String[] parts = request.header("RAck", "").trim().split("[ \t]+");
    int known = parts.length == 3 && parts[0].matches("[0-9]{1,4}") ? place(parts[0]) : -1;
    Reliable told = known < 0 ? null : reliable.get(known);
    if (told == null || told.attempt() != attempt) {
      transaction.respond(request.response(481));
    } else {
      String rack = told.number() + " " + told.cseq() + " INVITE";
      relay(caller, attemptLeg, transaction, request, rack);
    }
  }

  private int place(String number) {
    int at = Integer.parseInt(number) - 1;
    return at < reliable.size() ? at : -1;
  }

  private void relay(
      CallLeg from, CallLeg to, ServerTransaction transaction, SipRequest request, String rack) {
    RequestRelay.forward(from, to, transaction, request, rack, this::agreed);
  }

  private void agreed(SipResponse response) {
    watchSession(response);
    front.changed(id);
  }

  /**
   * Ends a call whose session timer ran out unrefreshed (RFC 4028 section 10): both ends have then
   * gone without a word, and its circuits must not stay held.
   */
  private void watchSession(SipMessage agreed) {
    double seconds = agreed.numericHeader("Session-Expires", 0);
    if (seconds > 0) {
      sessionLasts = seconds * 1000;
    }
    watchSession();
  }

  private void watchSession() {
    if (sessionLasts > 0) {
      if (sessionTimer != null) {
        sessionTimer.cancel();
      }
      sessionTimer = front.host().schedule(sessionLasts, this::sessionOver);
    }
  }

  /** Ends the call as its session ran out. */
  void sessionOver() {
    if (caller.state() != CallLeg.State.ENDED) {
      releaseCaller(true);
      front.controller().callerReleased(id);
      front.tidy(id);
    }
  }
}
