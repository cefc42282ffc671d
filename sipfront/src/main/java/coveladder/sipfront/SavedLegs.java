package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptOrder;
import coveladder.core.FinalAnswer;
import coveladder.core.recovery.Legs;
import coveladder.core.recovery.SavedCall;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.ClientTransaction;
import coveladder.sip.Dialog;
import coveladder.sip.Failure;
import coveladder.sip.NameAddr;
import coveladder.sip.SipResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Legs of SIP calls as they are kept, and made again after a restart. */
final class SavedLegs implements Legs {
  private static final byte[] NONE = {};

  private final SipFront front;
  private final LongSupplier wallClock;
  private final Map<String, CallLeg> cutShort = new HashMap<>();

  SavedLegs(SipFront front, LongSupplier wallClock) {
    this.front = front;
    this.wallClock = wallClock;
  }

  @Override
  public long wallClock() {
    return wallClock.getAsLong();
  }

  // ---- As they are --------------------------------------------------------------------------

  @Override
  public byte[] callerLeg(String call) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = bridge.caller();
    byte[] answer = bridge.prepared() == null ? NONE : bridge.prepared().toBytes();
    return new LegRecord(
            leg.hop(), leg.localTag(), false, leg.progress(), leg.invite().toBytes(), answer)
        .write();
  }

  @Override
  public byte[] prepareAttempt(AttemptOrder order) {
    CallLeg leg = front.prepare(order).attemptLeg();
    return new LegRecord(leg.hop(), leg.localTag(), false, null, leg.invite().toBytes(), NONE)
        .write();
  }

  @Override
  public byte[] attemptLeg(String call) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = bridge.attemptLeg();
    byte[] answer = bridge.received().toBytes();
    return new LegRecord(
            leg.hop(), leg.localTag(), true, leg.progress(), leg.invite().toBytes(), answer)
        .write();
  }

  @Override
  public byte[] refreshed(String call, boolean ofCaller, byte[] before) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = ofCaller ? bridge.caller() : bridge.attemptLeg();
    boolean acknowledged = leg.state() == CallLeg.State.CONFIRMED;
    return LegRecord.read(before).with(acknowledged, leg.progress()).write();
  }

  @Override
  public byte[] finalAnswer(String call, FinalAnswer answer) {
    return front.bridge(call).prepare(answer).toBytes();
  }

  @Override
  public void prepareStands(String call) {
    front.bridge(call).prepare(FinalAnswer.STANDS);
  }

  // ---- After a restart ----------------------------------------------------------------------

  @Override
  public void resume(SavedCall saved) {
    LegRecord from = LegRecord.read(saved.callerLeg());
    LegRecord to = LegRecord.read(saved.attemptLeg());
    Bridge bridge = new Bridge(front, saved.id(), saved.call().transit(), null);
    front.hold(saved.id(), bridge);
    CallLeg caller =
        front
            .agent()
            .resumeCallee(
                from.request(),
                from.hop(),
                from.response(),
                from.acknowledged(),
                from.progress() == null ? begun(from) : from.progress(),
                bridge.callerSide());
    CallLeg attempt =
        front
            .agent()
            .resumeCaller(
                to.request(),
                to.hop(),
                to.response(),
                to.progress(),
                bridge.attemptSide(saved.attempt()));
    bridge.resume(caller, attempt, saved.attempt());
  }

  /** A dialog that was written before its answer left has only what its INVITE says. */
  private static Dialog.Progress begun(LegRecord leg) {
    NameAddr contact = leg.request().address("Contact");
    String target = contact == null ? leg.request().from().uri() : contact.uri();
    return new Dialog.Progress(0, leg.request().cseq().number(), target);
  }

  @Override
  public void verify(String call) {
    Bridge bridge = front.bridge(call);
    if (bridge != null) {
      ask(bridge.caller(), () -> front.controller().callerReleased(call), call);
      ask(bridge.attemptLeg(), () -> farIsGone(call, bridge), call);
    }
  }

  private void farIsGone(String call, Bridge bridge) {
    bridge.attemptLeg().bye(null);
    front.controller().attemptOver(call, bridge.attempt(), Outcome.RESET, Reason.NONE, 0);
  }

  private void ask(CallLeg leg, Runnable gone, String call) {
    leg.send(
        "OPTIONS",
        null,
        new ClientTransaction.Listener() {
          @Override
          public void response(SipResponse response) {
            if (response.status() == 481 || response.status() == 408) {
              end();
            }
          }

          @Override
          public void failed(Failure failure) {
            end();
          }

          private void end() {
            gone.run();
            leg.bye(null);
            front.tidy(call);
          }
        });
  }

  @Override
  public void callOff(SavedCall saved, Runnable over) {
    LegRecord to = LegRecord.read(saved.attemptLeg());
    front.agent().callOff(to.request(), to.hop(), over);
    CallLeg leg = unanswered(saved);
    cutShort.put(saved.id(), leg);
    double bound = front.settings().timing().life();
    front.host().after(bound, () -> endCutShort(saved.id()));
  }

  private CallLeg unanswered(SavedCall saved) {
    LegRecord from = LegRecord.read(saved.callerLeg());
    CallListener nobody = new CallListener() {};
    return front.agent().resumeUnanswered(from.request(), from.hop(), from.tag(), nobody);
  }

  /** A caller whose time was up gets no answer unless it still asks. */
  private void endCutShort(String call) {
    CallLeg leg = cutShort.remove(call);
    if (leg != null) {
      leg.reject(leg.response(408));
    }
  }

  @Override
  public void answerCutShort(SavedCall saved, FinalAnswer answer) {
    CallLeg leg = cutShort.remove(saved.id());
    if (leg != null) {
      leg.reject(FinalResponses.of(leg, answer, saved.call().transit(), front.settings()));
    }
  }

  @Override
  public void answerAgain(SavedCall saved) {
    LegRecord answer = new LegRecord(front.ownSwitch(), "", false, null, NONE, saved.answer());
    unanswered(saved).reject(answer.response());
  }
}
