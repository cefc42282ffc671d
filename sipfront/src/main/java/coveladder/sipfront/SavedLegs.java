package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.FinalAnswer;
import coveladder.core.recovery.CallLegs;
import coveladder.core.recovery.SavedCall;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.ClientTransaction;
import coveladder.sip.Dialog;
import coveladder.sip.Failure;
import coveladder.sip.NameAddr;
import coveladder.sip.SipResponse;
import coveladder.sip.UserAgent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Encodes the legs of SIP calls for the store and restores them after a restart. Restoring an
 * established call is deferred until it is needed, unless its answer must be sent again.
 */
final class SavedLegs implements CallLegs {
  private static final byte[] EMPTY = {};

  private final SipFrontEnd frontEnd;
  private final LongSupplier persistentClock;

  /** Established calls that have not been restored yet, by call id. */
  private final Map<String, DeferredCall> deferredCalls = new HashMap<>();

  /** Restored callers' legs of set-ups that the restart interrupted, by call id. */
  private final Map<String, CallLeg> interruptedCallers = new HashMap<>();

  /**
   * An established call of an earlier run of the controller that has not been restored yet.
   *
   * @param saved the stored call
   * @param retransmitAnswer whether its 2xx is sent again, as it may not have been acknowledged
   * @param incarnation number of this run of the controller
   */
  private record DeferredCall(SavedCall saved, boolean retransmitAnswer, int incarnation) {}

  SavedLegs(SipFrontEnd frontEnd, LongSupplier persistentClock) {
    this.frontEnd = frontEnd;
    this.persistentClock = persistentClock;
  }

  @Override
  public long persistentClockMillis() {
    return persistentClock.getAsLong();
  }

  // ---- Encoding -----------------------------------------------------------------------------

  @Override
  public byte[] encodeCallerLeg(String call) {
    Bridge bridge = frontEnd.bridge(call);
    byte[] answer = bridge.preparedAnswer() == null ? EMPTY : bridge.preparedAnswer().toBytes();
    CallLeg leg = bridge.callerLeg();
    return legRecord(leg, leg.invite().fromTag(), false, 0, answer).encode();
  }

  @Override
  public byte[] prepareAttempt(AttemptRequest request) {
    return legRecord(frontEnd.prepareAttempt(request).attemptLeg(), "", false, 0, EMPTY).encode();
  }

  @Override
  public byte[] encodeAttemptLeg(String call) {
    Bridge bridge = frontEnd.bridge(call);
    SipResponse answer = bridge.calleeAnswer();
    long sessionIntervalSeconds = answer.numericHeader("Session-Expires", 0);
    return legRecord(
            bridge.attemptLeg(), answer.toTag(), true, sessionIntervalSeconds, answer.toBytes())
        .encode();
  }

  private static LegRecord legRecord(
      CallLeg leg,
      String remoteTag,
      boolean acknowledged,
      long sessionIntervalSeconds,
      byte[] answer) {
    return new LegRecord(
        leg.hop(),
        leg.invite().callId(),
        leg.localTag(),
        remoteTag == null ? "" : remoteTag,
        acknowledged,
        leg.dialogState(),
        sessionIntervalSeconds,
        leg.invite().toBytes(),
        answer);
  }

  @Override
  public byte[] updateLeg(String call, boolean callerSide, byte[] encodedLeg) {
    Bridge bridge = frontEnd.bridge(call);
    CallLeg leg = callerSide ? bridge.callerLeg() : bridge.attemptLeg();
    boolean acknowledged = leg.state() == CallLeg.State.CONFIRMED;
    return LegRecord.decode(encodedLeg)
        .withDialogState(acknowledged, leg.dialogState(), bridge.sessionIntervalSeconds())
        .encode();
  }

  @Override
  public byte[] encodeFinalAnswer(String call, FinalAnswer answer) {
    return frontEnd.bridge(call).prepareAnswer(answer).toBytes();
  }

  @Override
  public boolean isReleasing(String call) {
    Bridge bridge = frontEnd.bridge(call);
    return bridge != null && bridge.isReleasing();
  }

  @Override
  public void prepareSuccess(String call) {
    frontEnd.bridge(call).prepareAnswer(FinalAnswer.ESTABLISHED);
  }

  // ---- After a restart ----------------------------------------------------------------------

  /**
   * Restores the call at once if its 2xx must be sent again. Otherwise its legs are restored when a
   * message for it arrives, the core needs it or its session expires.
   */
  @Override
  public void resume(SavedCall saved, boolean answerDue, int incarnation) {
    LegRecord callerRecord = LegRecord.decodeHead(saved.callerLeg());
    LegRecord attemptRecord = LegRecord.decodeHead(saved.attemptLeg());
    boolean retransmitAnswer = answerDue && !callerRecord.acknowledged();
    deferredCalls.put(saved.id(), new DeferredCall(saved, retransmitAnswer, incarnation));
    restoreKeys(callerRecord, attemptRecord)
        .forEach(key -> frontEnd.userAgent().deferRestore(key, () -> restore(saved.id())));
    if (retransmitAnswer) {
      restore(saved.id());
    } else if (attemptRecord.sessionIntervalSeconds() > 0) {
      frontEnd
          .host()
          .schedule(
              1000.0 * attemptRecord.sessionIntervalSeconds(), () -> sessionExpired(saved.id()));
    }
  }

  /** Keys of the messages that restore a call: of both dialogs and of a retransmitted INVITE. */
  private static List<String> restoreKeys(LegRecord callerRecord, LegRecord attemptRecord) {
    String retransmittedInvite =
        UserAgent.initialInviteKey(callerRecord.callId(), callerRecord.remoteTag());
    return List.of(callerRecord.dialogKey(), attemptRecord.dialogKey(), retransmittedInvite);
  }

  /** Releases the call if it is still deferred: no message has then refreshed its session. */
  private void sessionExpired(String call) {
    if (deferredCalls.containsKey(call)) {
      restore(call).sessionExpired();
    }
  }

  /** Number of calls that have not been restored yet. */
  int deferredCallCount() {
    return deferredCalls.size();
  }

  /** Restores both legs of a deferred call; null if no deferred call has this id. */
  Bridge restore(String call) {
    DeferredCall deferred = deferredCalls.remove(call);
    if (deferred == null) {
      return null;
    }
    SavedCall saved = deferred.saved();
    LegRecord callerRecord = LegRecord.decode(saved.callerLeg());
    LegRecord attemptRecord = LegRecord.decode(saved.attemptLeg());
    restoreKeys(callerRecord, attemptRecord).forEach(frontEnd.userAgent()::cancelDeferredRestore);
    Bridge bridge = new Bridge(frontEnd, saved.id(), saved.call().transit(), null);
    frontEnd.addBridge(saved.id(), bridge);
    CallLeg callerLeg =
        frontEnd
            .userAgent()
            .resumeCallee(
                callerRecord.parseInvite(),
                callerRecord.hop(),
                callerRecord.parseAnswer(),
                !deferred.retransmitAnswer(),
                (callerRecord.dialogState() == null
                        ? initialDialogState(callerRecord)
                        : callerRecord.dialogState())
                    .forIncarnation(deferred.incarnation()),
                bridge.callerListener());
    CallLeg attemptLeg =
        frontEnd
            .userAgent()
            .resumeCaller(
                attemptRecord.parseInvite(),
                attemptRecord.hop(),
                attemptRecord.parseAnswer(),
                attemptRecord.dialogState().forIncarnation(deferred.incarnation()),
                bridge.attemptListener(saved.attempt()));
    bridge.resume(callerLeg, attemptLeg, saved.attempt(), attemptRecord.sessionIntervalSeconds());
    return bridge;
  }

  /** The dialog state that an INVITE gives, for a leg stored before its answer was sent. */
  private static Dialog.State initialDialogState(LegRecord callerRecord) {
    NameAddr contact = callerRecord.parseInvite().addressHeader("Contact");
    String target = contact == null ? callerRecord.parseInvite().from().uri() : contact.uri();
    return new Dialog.State(0, callerRecord.parseInvite().cseq().number(), target);
  }

  @Override
  public void verify(String call, boolean callerSide, Consumer<LegStatus> result) {
    Bridge bridge = frontEnd.bridge(call);
    CallLeg leg = callerSide ? bridge.callerLeg() : bridge.attemptLeg();
    if (!leg.send("OPTIONS", null, new VerificationListener(result))) {
      result.accept(LegStatus.GONE);
    }
  }

  /**
   * Reads from the response to an OPTIONS within a dialog whether the remote side has the dialog.
   */
  private record VerificationListener(Consumer<LegStatus> result)
      implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        boolean unknown = response.status() == 408 || response.status() >= 500;
        result.accept(
            response.status() == 481
                ? LegStatus.GONE
                : unknown ? LegStatus.UNKNOWN : LegStatus.ACTIVE);
      }
    }

    @Override
    public void failed(Failure failure) {
      result.accept(LegStatus.UNKNOWN);
    }
  }

  @Override
  public void releaseLost(String call, boolean callerSide) {
    Bridge bridge = frontEnd.bridge(call);
    if (bridge == null) {
      return;
    }
    if (callerSide) {
      frontEnd.controller().callerReleased(call);
      bridge.callerLeg().bye(null);
    } else {
      bridge.attemptLeg().bye(null);
      frontEnd
          .controller()
          .attemptEnded(call, bridge.currentAttempt(), Outcome.RESET, Reason.NONE, 0);
    }
    frontEnd.removeIfEnded(call);
  }

  @Override
  public void cancelAfterRestart(SavedCall saved, Runnable whenEnded) {
    LegRecord attemptRecord = LegRecord.decode(saved.attemptLeg());
    frontEnd
        .userAgent()
        .cancelAfterRestart(attemptRecord.parseInvite(), attemptRecord.hop(), whenEnded);
  }

  @Override
  public void restoreCallerLeg(
      SavedCall saved, Consumer<Runnable> whenCancelled, Runnable whenRetransmitted) {
    LegRecord callerRecord = LegRecord.decode(saved.callerLeg());
    CallListener listener =
        new CallListener() {
          @Override
          public void cancelRequested(CallLeg leg, Runnable sendResponse) {
            whenCancelled.accept(sendResponse);
          }

          @Override
          public void inviteRetransmitted(CallLeg leg) {
            whenRetransmitted.run();
            // Without a provisional response the caller may not cancel (RFC 3261 section 9.1).
            leg.progress(leg.response(100));
          }
        };
    CallLeg leg =
        frontEnd
            .userAgent()
            .resumePending(
                callerRecord.parseInvite(), callerRecord.hop(), callerRecord.localTag(), listener);
    interruptedCallers.put(saved.id(), leg);
    frontEnd
        .host()
        .schedule(frontEnd.settings().timing().transactionTimeout(), () -> abandon(saved.id()));
  }

  /**
   * Drops the leg of a caller that has got no answer: the caller was not known to wait and did not
   * retransmit its INVITE.
   */
  private void abandon(String call) {
    CallLeg leg = interruptedCallers.remove(call);
    if (leg != null) {
      leg.abandon();
    }
  }

  @Override
  public byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer) {
    CallLeg leg = interruptedCallers.get(saved.id());
    return FinalResponses.of(leg, answer, saved.call().transit(), frontEnd.settings()).toBytes();
  }

  @Override
  public void answerCancelled(SavedCall saved) {
    CallLeg leg = interruptedCallers.remove(saved.id());
    if (leg != null) {
      leg.reject(leg.response(487));
    }
  }

  @Override
  public void resendFinalAnswer(SavedCall saved) {
    // The stored octets are a whole response; the other fields of the record are not used.
    LegRecord answerRecord =
        new LegRecord(frontEnd.localSwitch(), "", "", "", false, null, 0, EMPTY, saved.answer());
    CallLeg leg = interruptedCallers.remove(saved.id());
    if (leg != null) {
      leg.reject(answerRecord.parseAnswer());
    }
  }
}
