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

/** Legs of SIP calls as they are kept, and made again after a restart. */
final class SavedLegs implements CallLegs {
  private static final byte[] NONE = {};

  private final SipFront front;
  private final LongSupplier wallClock;
  private final Map<String, Asleep> asleep = new HashMap<>();
  private final Map<String, CallLeg> expected = new HashMap<>();

  /** A call that stood before this life and has not been woken. */
  private record Asleep(SavedCall saved, boolean owes, int life) {}

  SavedLegs(SipFront front, LongSupplier wallClock) {
    this.front = front;
    this.wallClock = wallClock;
  }

  @Override
  public long wallClockMillis() {
    return wallClock.getAsLong();
  }

  // ---- As they are --------------------------------------------------------------------------

  @Override
  public byte[] encodeCallerLeg(String call) {
    Bridge bridge = front.bridge(call);
    byte[] answer = bridge.prepared() == null ? NONE : bridge.prepared().toBytes();
    CallLeg leg = bridge.caller();
    return record(leg, leg.invite().fromTag(), false, 0, answer).write();
  }

  @Override
  public byte[] prepareAttempt(AttemptRequest order) {
    return record(front.prepare(order).attemptLeg(), "", false, 0, NONE).write();
  }

  @Override
  public byte[] encodeAttemptLeg(String call) {
    Bridge bridge = front.bridge(call);
    SipResponse answer = bridge.received();
    long session = answer.numericHeader("Session-Expires", 0);
    return record(bridge.attemptLeg(), answer.toTag(), true, session, answer.toBytes()).write();
  }

  private static LegRecord record(
      CallLeg leg, String remoteTag, boolean acknowledged, long session, byte[] answer) {
    return new LegRecord(
        leg.hop(),
        leg.invite().callId(),
        leg.localTag(),
        remoteTag == null ? "" : remoteTag,
        acknowledged,
        leg.progress(),
        session,
        leg.invite().toBytes(),
        answer);
  }

  @Override
  public byte[] updateLeg(String call, boolean ofCaller, byte[] before) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = ofCaller ? bridge.caller() : bridge.attemptLeg();
    boolean acknowledged = leg.state() == CallLeg.State.CONFIRMED;
    return LegRecord.read(before).with(acknowledged, leg.progress(), bridge.session()).write();
  }

  @Override
  public byte[] encodeFinalAnswer(String call, FinalAnswer answer) {
    return front.bridge(call).prepare(answer).toBytes();
  }

  @Override
  public boolean isReleasing(String call) {
    Bridge bridge = front.bridge(call);
    return bridge != null && bridge.releasing();
  }

  @Override
  public void prepareSuccess(String call) {
    front.bridge(call).prepare(FinalAnswer.ESTABLISHED);
  }

  // ---- After a restart ----------------------------------------------------------------------

  /**
   * A call that owes nothing sleeps: its legs are made when a message of it comes, or something is
   * to be done with it.
   */
  @Override
  public void resume(SavedCall saved, boolean owed, int life) {
    LegRecord from = LegRecord.readHead(saved.callerLeg());
    LegRecord to = LegRecord.readHead(saved.attemptLeg());
    boolean owes = owed && !from.acknowledged();
    asleep.put(saved.id(), new Asleep(saved, owes, life));
    keys(from, to).forEach(key -> front.agent().deferRestore(key, () -> wake(saved.id())));
    if (owes) {
      wake(saved.id());
    } else if (to.session() > 0) {
      front.host().schedule(1000.0 * to.session(), () -> sessionOver(saved.id()));
    }
  }

  private static List<String> keys(LegRecord from, LegRecord to) {
    String repeat = UserAgent.initialInviteKey(from.callId(), from.remoteTag());
    return List.of(from.dialogKey(), to.dialogKey(), repeat);
  }

  /** Its session was not refreshed by any message: the call slept all the time. */
  private void sessionOver(String call) {
    if (asleep.containsKey(call)) {
      wake(call).sessionOver();
    }
  }

  /** Calls that sleep. */
  int asleep() {
    return asleep.size();
  }

  /** Makes the legs of a call that sleeps; null where none of that id does. */
  Bridge wake(String call) {
    Asleep was = asleep.remove(call);
    if (was == null) {
      return null;
    }
    SavedCall saved = was.saved();
    LegRecord from = LegRecord.read(saved.callerLeg());
    LegRecord to = LegRecord.read(saved.attemptLeg());
    keys(from, to).forEach(front.agent()::cancelDeferredRestore);
    Bridge bridge = new Bridge(front, saved.id(), saved.call().transit(), null);
    front.hold(saved.id(), bridge);
    CallLeg caller =
        front
            .agent()
            .resumeCallee(
                from.request(),
                from.hop(),
                from.response(),
                !was.owes(),
                (from.progress() == null ? begun(from) : from.progress())
                    .forIncarnation(was.life()),
                bridge.callerSide());
    CallLeg attempt =
        front
            .agent()
            .resumeCaller(
                to.request(),
                to.hop(),
                to.response(),
                to.progress().forIncarnation(was.life()),
                bridge.attemptSide(saved.attempt()));
    bridge.resume(caller, attempt, saved.attempt(), to.session());
    return bridge;
  }

  /** A dialog that was written before its answer left has only what its INVITE says. */
  private static Dialog.Progress begun(LegRecord leg) {
    NameAddr contact = leg.request().addressHeader("Contact");
    String target = contact == null ? leg.request().from().uri() : contact.uri();
    return new Dialog.Progress(0, leg.request().cseq().number(), target);
  }

  @Override
  public void verify(String call, boolean ofCaller, Consumer<LegStatus> told) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = ofCaller ? bridge.caller() : bridge.attemptLeg();
    if (!leg.send("OPTIONS", null, new HeldAnswers(told))) {
      told.accept(LegStatus.GONE);
    }
  }

  /** Reads from the answer to an OPTIONS within a dialog whether the other side holds it. */
  private record HeldAnswers(Consumer<LegStatus> told) implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        boolean unsure = response.status() == 408 || response.status() >= 500;
        told.accept(
            response.status() == 481
                ? LegStatus.GONE
                : unsure ? LegStatus.UNKNOWN : LegStatus.ACTIVE);
      }
    }

    @Override
    public void failed(Failure failure) {
      told.accept(LegStatus.UNKNOWN);
    }
  }

  @Override
  public void releaseLost(String call, boolean ofCaller) {
    Bridge bridge = front.bridge(call);
    if (bridge == null) {
      return;
    }
    if (ofCaller) {
      front.controller().callerReleased(call);
      bridge.caller().bye(null);
    } else {
      bridge.attemptLeg().bye(null);
      front.controller().attemptEnded(call, bridge.attempt(), Outcome.RESET, Reason.NONE, 0);
    }
    front.tidy(call);
  }

  @Override
  public void cancelAfterRestart(SavedCall saved, Runnable over) {
    LegRecord to = LegRecord.read(saved.attemptLeg());
    front.agent().cancelAfterRestart(to.request(), to.hop(), over);
  }

  @Override
  public void restoreCallerLeg(
      SavedCall saved, Consumer<Runnable> whenCalledOff, Runnable whenRepeated) {
    LegRecord from = LegRecord.read(saved.callerLeg());
    CallListener waits =
        new CallListener() {
          @Override
          public void cancelRequested(CallLeg leg, Runnable answer) {
            whenCalledOff.accept(answer);
          }

          @Override
          public void inviteRetransmitted(CallLeg leg) {
            whenRepeated.run();
            // One that gets no other answer hears this, so that it can call off.
            leg.progress(leg.response(100));
          }
        };
    CallLeg leg = front.agent().resumePending(from.request(), from.hop(), from.tag(), waits);
    expected.put(saved.id(), leg);
    front
        .host()
        .schedule(front.settings().timing().transactionTimeout(), () -> abandon(saved.id()));
  }

  /** A caller that was not known to wait gets no answer unless it asks for one. */
  private void abandon(String call) {
    CallLeg leg = expected.remove(call);
    if (leg != null) {
      leg.abandon();
    }
  }

  @Override
  public byte[] encodeInterruptedAnswer(SavedCall saved, FinalAnswer answer) {
    CallLeg leg = expected.get(saved.id());
    return FinalResponses.of(leg, answer, saved.call().transit(), front.settings()).toBytes();
  }

  @Override
  public void answerCancelled(SavedCall saved) {
    CallLeg leg = expected.remove(saved.id());
    if (leg != null) {
      leg.reject(leg.response(487));
    }
  }

  @Override
  public void resendFinalAnswer(SavedCall saved) {
    LegRecord answer =
        new LegRecord(front.ownSwitch(), "", "", "", false, null, 0, NONE, saved.answer());
    CallLeg leg = expected.remove(saved.id());
    if (leg != null) {
      leg.reject(answer.response());
    }
  }
}
