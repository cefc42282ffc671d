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
 * One call of the back-to-back user agent (RFC 7092): the caller's leg, the leg of the current
 * attempt, which is outstanding or established, and the relay of messages between the two.
 */
final class Bridge {
  private static final int MAX_RELIABLE_RESPONSES = 64;

  private final SipFrontEnd frontEnd;
  private final String id;

  /** Whether the call came from another exchange through the local switch. */
  private final boolean transit;

  private CallLeg callerLeg;

  /** Reliable provisional responses, by their RSeq on the caller's leg minus 1. */
  private final List<RelayedProvisional> reliableResponses = new ArrayList<>(0);

  private CallLeg attemptLeg;
  private int currentAttempt = -1;

  /** The callee's final response until it is passed on; null if there is none. */
  private SipResponse calleeAnswer;

  /** Whether the callee's 2xx has the SDP offer: its ACK then waits for the caller's SDP answer. */
  private boolean awaitsCallerAck;

  private boolean inviteSent;
  private SipResponse preparedAnswer;
  private SipHost.Timer sessionTimer;

  /** Session interval (RFC 4028), ms; 0: the session does not expire. */
  private double sessionIntervalMillis;

  Bridge(SipFrontEnd frontEnd, String id, boolean transit, CallLeg callerLeg) {
    this.frontEnd = frontEnd;
    this.id = id;
    this.transit = transit;
    this.callerLeg = callerLeg;
  }

  /**
   * A reliable provisional response of an attempt that was relayed to the caller (RFC 3262).
   *
   * @param attempt number of the attempt
   * @param rseq RSeq on the attempt's leg
   * @param cseq CSeq number of the attempt's INVITE
   */
  private record RelayedProvisional(int attempt, long rseq, long cseq) {}

  CallListener callerListener() {
    return new CallerListener();
  }

  CallLeg callerLeg() {
    return callerLeg;
  }

  // ---- Attempts -----------------------------------------------------------------------------

  /** Prepares an attempt without sending it. */
  void prepareAttempt(AttemptRequest request, SipRequest invite) {
    currentAttempt = request.attempt();
    calleeAnswer = null;
    inviteSent = false;
    AttemptListener listener = new AttemptListener(request.attempt());
    attemptLeg = frontEnd.userAgent().prepare(invite, frontEnd.localSwitch(), listener);
  }

  /** Whether this attempt was prepared and not sent yet. */
  boolean isPrepared(int attempt) {
    return currentAttempt == attempt && attemptLeg != null && !inviteSent;
  }

  void sendInvite() {
    inviteSent = true;
    attemptLeg.sendInvite();
  }

  /**
   * Resumes a call that was established before a restart. Its session timer starts anew with the
   * whole interval, because the elapsed time is not stored: a call whose ends are both gone is
   * released later by at most one interval.
   *
   * @param intervalSeconds the session interval, s; 0: the session does not expire
   */
  void resume(
      CallLeg restoredCallerLeg, CallLeg restoredAttemptLeg, int attempt, long intervalSeconds) {
    callerLeg = restoredCallerLeg;
    attemptLeg = restoredAttemptLeg;
    currentAttempt = attempt;
    inviteSent = true;
    sessionIntervalMillis = intervalSeconds * 1000.0;
    restartSessionTimer();
  }

  /** Session interval (RFC 4028), s; 0: the session does not expire. */
  long sessionIntervalSeconds() {
    return Math.round(sessionIntervalMillis / 1000);
  }

  CallLeg attemptLeg() {
    return attemptLeg;
  }

  CallListener attemptListener(int attempt) {
    return new AttemptListener(attempt);
  }

  /** Cancels an attempt unless another has replaced it. */
  void cancel(int attempt) {
    if (attempt == currentAttempt && attemptLeg != null) {
      attemptLeg.cancel("SIP;cause=487");
    }
  }

  /** Releases an attempt unless another has replaced it. */
  void release(int attempt) {
    if (attempt == currentAttempt && attemptLeg != null) {
      attemptLeg.bye(ReasonField.format(ReasonField.NORMAL_CLEARING, false));
    }
  }

  /** Receives the events of one attempt's leg. */
  private final class AttemptListener implements CallListener {
    private final int attempt;

    AttemptListener(int attempt) {
      this.attempt = attempt;
    }

    @Override
    public void responseReceived(CallLeg leg, SipResponse response) {
      frontEnd.reportLocalLoad(response);
    }

    @Override
    public void progress(CallLeg leg, SipResponse response) {
      if (leg == attemptLeg) {
        relayProgress(attempt, response);
      }
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      calleeAnswer = response;
      awaitsCallerAck = leg.invite().body().length == 0 && response.body().length > 0;
      frontEnd.controller().attemptAnswered(id, attempt);
      if (leg.state() == CallLeg.State.ENDED) {
        reportEnd(new AttemptOutcome(Outcome.CANCELLED, Reason.NONE, 0));
      }
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      if (AttemptOutcome.isConclusive(response)) {
        calleeAnswer = response;
        frontEnd.controller().calleeRejected(id, attempt);
        frontEnd.removeIfEnded(id);
      } else {
        reportEnd(AttemptOutcome.of(response));
      }
    }

    @Override
    public void failed(CallLeg leg, Failure failure) {
      reportEnd(AttemptOutcome.of(failure));
    }

    @Override
    public void answeredLate(CallLeg leg, SipResponse response) {
      reportEnd(new AttemptOutcome(Outcome.CANCELLED, Reason.NONE, 0));
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      relay(leg, callerLeg, transaction, request, null);
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      callerLeg.acknowledgeReinvite(ack);
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      reportEnd(AttemptOutcome.ofEstablishedCall(bye));
    }

    @Override
    public void released(CallLeg leg) {
      frontEnd.releaseCompleted(id, Bridge.this);
    }

    private void reportEnd(AttemptOutcome outcome) {
      frontEnd
          .controller()
          .attemptEnded(
              id, attempt, outcome.outcome(), outcome.reason(), outcome.retryAfterMillis());
      frontEnd.removeIfEnded(id);
    }
  }

  // ---- The caller ---------------------------------------------------------------------------

  /** Receives the events of the caller's leg. */
  private final class CallerListener implements CallListener {
    @Override
    public void cancelRequested(CallLeg leg, Runnable sendResponse) {
      frontEnd.callerCancelled(
          id,
          () -> {
            sendResponse.run();
            frontEnd.removeIfEnded(id);
          });
      frontEnd.controller().callerAbandoned(id);
      frontEnd.removeIfEnded(id);
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      frontEnd.callChanged(id);
      if (awaitsCallerAck) {
        awaitsCallerAck = false;
        attemptLeg.ack(ack);
      } else if (attemptLeg != null) {
        attemptLeg.acknowledgeReinvite(ack);
      }
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      if (request.is("PRACK")) {
        relayPrack(transaction, request);
      } else {
        relay(leg, attemptLeg, transaction, request, null);
      }
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      frontEnd.controller().callerReleased(id);
      frontEnd.removeIfEnded(id);
    }

    @Override
    public void released(CallLeg leg) {
      frontEnd.releaseCompleted(id, Bridge.this);
    }
  }

  /** Prepares the caller's final answer without sending it. */
  SipResponse prepareAnswer(FinalAnswer finalAnswer) {
    if (preparedAnswer == null) {
      switch (finalAnswer.kind()) {
        case STANDS, PASSED -> {
          preparedAnswer = callerLeg.response(calleeAnswer.status());
          EndToEndHeaders.copy(calleeAnswer, preparedAnswer);
        }
        default ->
            preparedAnswer =
                FinalResponses.of(callerLeg, finalAnswer, transit, frontEnd.settings());
      }
    }
    return preparedAnswer;
  }

  /** The prepared final answer; null if none is prepared. */
  SipResponse preparedAnswer() {
    return preparedAnswer;
  }

  /** The callee's final response; null if there is none or it was passed on. */
  SipResponse calleeAnswer() {
    return calleeAnswer;
  }

  int currentAttempt() {
    return currentAttempt;
  }

  /**
   * Sends the caller its one final answer. The callee's 2xx is acknowledged only now, when the call
   * is stored: after a crash, recovery cancels an attempt whose answer was not stored, and a callee
   * that had already received its ACK would ignore the CANCEL and keep the call.
   */
  void answer(FinalAnswer finalAnswer) {
    SipResponse response = prepareAnswer(finalAnswer);
    preparedAnswer = null;
    if (finalAnswer.kind() == FinalAnswer.Kind.STANDS) {
      if (!awaitsCallerAck) {
        attemptLeg.ack(null);
      }
      callerLeg.accept(response);
      restartSessionTimer(calleeAnswer);
      calleeAnswer = null;
    } else {
      callerLeg.reject(response);
    }
  }

  void releaseCaller(boolean disconnected) {
    int cause = disconnected ? ReasonField.TEMPORARY_FAILURE : ReasonField.NORMAL_CLEARING;
    callerLeg.bye(ReasonField.format(cause, false));
  }

  /** Whether a BYE was sent on either leg and is not answered yet. */
  boolean isReleasing() {
    return attemptLeg != null && attemptLeg.isReleasing() || callerLeg.isReleasing();
  }

  /**
   * Whether the caller's leg has ended and the attempt's leg has ended or was never sent. Cancels
   * the session timer if so.
   */
  boolean hasEnded() {
    boolean attemptEnded =
        attemptLeg == null || !inviteSent || attemptLeg.state() == CallLeg.State.ENDED;
    boolean ended = attemptEnded && callerLeg.state() == CallLeg.State.ENDED;
    if (ended && sessionTimer != null) {
      sessionTimer.cancel();
    }
    return ended;
  }

  // ---- Between the legs ---------------------------------------------------------------------

  private void relayProgress(int attempt, SipResponse response) {
    SipResponse relayed = callerLeg.response(response.status());
    EndToEndHeaders.copy(response, relayed);
    if (response.header("RSeq") != null) {
      long rseq = response.numericHeader("RSeq", 0);
      relayed.add("RSeq", Integer.toString(callerRseq(attempt, rseq, response)));
    }
    callerLeg.progress(relayed);
  }

  /**
   * RSeq on the caller's leg of a reliable provisional response. It grows by one with each new
   * response, whichever attempt that belongs to; 0 if there were too many responses.
   */
  private int callerRseq(int attempt, long rseq, SipResponse response) {
    RelayedProvisional provisional =
        new RelayedProvisional(attempt, rseq, response.cseq().number());
    int index = reliableResponses.indexOf(provisional);
    if (index < 0 && reliableResponses.size() < MAX_RELIABLE_RESPONSES) {
      reliableResponses.add(provisional);
      return reliableResponses.size();
    }
    return index + 1;
  }

  /** Relays a PRACK with RAck as the attempt's leg has it, or rejects it if that is unknown. */
  private void relayPrack(ServerTransaction transaction, SipRequest request) {
    String[] parts = request.header("RAck", "").trim().split("[ \t]+");
    int index =
        parts.length == 3 && parts[0].matches("[0-9]{1,4}") ? indexOfCallerRseq(parts[0]) : -1;
    RelayedProvisional provisional = index < 0 ? null : reliableResponses.get(index);
    if (provisional == null || provisional.attempt() != currentAttempt) {
      transaction.respond(request.response(481));
    } else {
      String rack = provisional.rseq() + " " + provisional.cseq() + " INVITE";
      relay(callerLeg, attemptLeg, transaction, request, rack);
    }
  }

  /** Index of a reliable provisional response by its RSeq on the caller's leg; -1 if unknown. */
  private int indexOfCallerRseq(String callerRseq) {
    int index = Integer.parseInt(callerRseq) - 1;
    return index < reliableResponses.size() ? index : -1;
  }

  private void relay(
      CallLeg fromLeg,
      CallLeg toLeg,
      ServerTransaction transaction,
      SipRequest request,
      String rack) {
    RequestRelay.forward(fromLeg, toLeg, transaction, request, rack, this::sessionRefreshed);
  }

  private void sessionRefreshed(SipResponse response) {
    restartSessionTimer(response);
    frontEnd.callChanged(id);
  }

  /**
   * Restarts the session timer with the interval of a response, if it has one. A call whose session
   * is not refreshed in time is released (RFC 4028 section 10): both ends are then gone without a
   * BYE, and its circuits must not stay seized.
   */
  private void restartSessionTimer(SipMessage message) {
    double intervalSeconds = message.numericHeader("Session-Expires", 0);
    if (intervalSeconds > 0) {
      sessionIntervalMillis = intervalSeconds * 1000;
    }
    restartSessionTimer();
  }

  private void restartSessionTimer() {
    if (sessionIntervalMillis > 0) {
      if (sessionTimer != null) {
        sessionTimer.cancel();
      }
      sessionTimer = frontEnd.host().schedule(sessionIntervalMillis, this::sessionExpired);
    }
  }

  /** Releases the call because its session expired. */
  void sessionExpired() {
    if (callerLeg.state() != CallLeg.State.ENDED) {
      releaseCaller(true);
      frontEnd.controller().callerReleased(id);
      frontEnd.removeIfEnded(id);
    }
  }
}
