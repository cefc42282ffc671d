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
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Legs of SIP calls as they are kept, and made again after a restart. */
final class SavedLegs implements Legs {
  private static final byte[] NONE = {};

  private final SipFront front;
  private final LongSupplier wallClock;
  private final Map<String, CallLeg> expected = new HashMap<>();

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
            leg.hop(), leg.localTag(), false, leg.progress(), 0, leg.invite().toBytes(), answer)
        .write();
  }

  @Override
  public byte[] prepareAttempt(AttemptOrder order) {
    CallLeg leg = front.prepare(order).attemptLeg();
    return new LegRecord(leg.hop(), leg.localTag(), false, null, 0, leg.invite().toBytes(), NONE)
        .write();
  }

  @Override
  public byte[] attemptLeg(String call) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = bridge.attemptLeg();
    byte[] answer = bridge.received().toBytes();
    return new LegRecord(
            leg.hop(),
            leg.localTag(),
            true,
            leg.progress(),
            bridge.received().number("Session-Expires", 0),
            leg.invite().toBytes(),
            answer)
        .write();
  }

  @Override
  public byte[] refreshed(String call, boolean ofCaller, byte[] before) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = ofCaller ? bridge.caller() : bridge.attemptLeg();
    boolean acknowledged = leg.state() == CallLeg.State.CONFIRMED;
    return LegRecord.read(before).with(acknowledged, leg.progress(), bridge.session()).write();
  }

  @Override
  public byte[] finalAnswer(String call, FinalAnswer answer) {
    return front.bridge(call).prepare(answer).toBytes();
  }

  @Override
  public boolean releasing(String call) {
    Bridge bridge = front.bridge(call);
    return bridge != null && bridge.releasing();
  }

  @Override
  public void prepareStands(String call) {
    front.bridge(call).prepare(FinalAnswer.STANDS);
  }

  // ---- After a restart ----------------------------------------------------------------------

  @Override
  public void resume(SavedCall saved, boolean owed, int life) {
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
                from.acknowledged() || !owed,
                (from.progress() == null ? begun(from) : from.progress()).inLife(life),
                bridge.callerSide());
    CallLeg attempt =
        front
            .agent()
            .resumeCaller(
                to.request(),
                to.hop(),
                to.response(),
                to.progress().inLife(life),
                bridge.attemptSide(saved.attempt()));
    bridge.resume(caller, attempt, saved.attempt(), to.session());
  }

  /** A dialog that was written before its answer left has only what its INVITE says. */
  private static Dialog.Progress begun(LegRecord leg) {
    NameAddr contact = leg.request().address("Contact");
    String target = contact == null ? leg.request().from().uri() : contact.uri();
    return new Dialog.Progress(0, leg.request().cseq().number(), target);
  }

  @Override
  public void verify(String call, boolean ofCaller, Consumer<Held> told) {
    Bridge bridge = front.bridge(call);
    CallLeg leg = ofCaller ? bridge.caller() : bridge.attemptLeg();
    if (!leg.send("OPTIONS", null, new HeldAnswers(told))) {
      told.accept(Held.GONE);
    }
  }

  /** Reads from the answer to an OPTIONS within a dialog whether the other side holds it. */
  private record HeldAnswers(Consumer<Held> told) implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      if (!response.provisional()) {
        boolean unsure = response.status() == 408 || response.status() >= 500;
        told.accept(response.status() == 481 ? Held.GONE : unsure ? Held.UNSURE : Held.YES);
      }
    }

    @Override
    public void failed(Failure failure) {
      told.accept(Held.UNSURE);
    }
  }

  @Override
  public void letGo(String call, boolean ofCaller) {
    Bridge bridge = front.bridge(call);
    if (bridge == null) {
      return;
    }
    if (ofCaller) {
      front.controller().callerReleased(call);
      bridge.caller().bye(null);
    } else {
      bridge.attemptLeg().bye(null);
      front.controller().attemptOver(call, bridge.attempt(), Outcome.RESET, Reason.NONE, 0);
    }
    front.tidy(call);
  }

  @Override
  public void callOff(SavedCall saved, Runnable over) {
    LegRecord to = LegRecord.read(saved.attemptLeg());
    front.agent().callOff(to.request(), to.hop(), over);
  }

  @Override
  public void expectCaller(SavedCall saved, Consumer<Runnable> whenCalledOff) {
    LegRecord from = LegRecord.read(saved.callerLeg());
    CallListener waits =
        new CallListener() {
          @Override
          public void cancelling(CallLeg leg, Runnable answer) {
            whenCalledOff.accept(answer);
          }
        };
    CallLeg leg = front.agent().resumeUnanswered(from.request(), from.hop(), from.tag(), waits);
    expected.put(saved.id(), leg);
    front.host().after(front.settings().timing().life(), () -> abandon(saved.id()));
  }

  /** A caller that was not known to wait gets no answer unless it asks for one. */
  private void abandon(String call) {
    CallLeg leg = expected.remove(call);
    if (leg != null) {
      leg.abandon();
    }
  }

  @Override
  public byte[] cutShortAnswer(SavedCall saved, FinalAnswer answer) {
    CallLeg leg = expected.get(saved.id());
    return FinalResponses.of(leg, answer, saved.call().transit(), front.settings()).toBytes();
  }

  @Override
  public void answerCalledOff(SavedCall saved) {
    CallLeg leg = expected.remove(saved.id());
    if (leg != null) {
      leg.reject(leg.response(487));
    }
  }

  @Override
  public void answerAgain(SavedCall saved) {
    LegRecord answer = new LegRecord(front.ownSwitch(), "", false, null, 0, NONE, saved.answer());
    CallLeg leg = expected.remove(saved.id());
    if (leg != null) {
      leg.reject(answer.response());
    }
  }
}
