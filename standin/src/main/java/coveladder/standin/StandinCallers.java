package coveladder.standin;

import coveladder.sip.AbstractSipNode;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Stand-in callers. Each dials its planned call, abandons it when its patience ends, redials after
 * a failure, dials once more if the established call is disconnected, and finally hangs up.
 */
public final class StandinCallers extends AbstractSipNode {
  private static final String SDP =
      "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
          + "m=audio 9 RTP/AVP 0\r\n";

  private final SipHost host;
  private final Map<Integer, Hop> controllers;
  private final Behaviour behaviour;
  private final Consumer<CallResult> resultListener;
  private final Set<Caller> callers = new LinkedHashSet<>();
  private List<PlannedCall> plannedCalls = List.of();
  private volatile int nextIndex;
  private volatile int activeCalls;

  /**
   * How callers behave.
   *
   * @param minRedialDelayMillis minimum delay of a redial, ms; the maximum is twice that
   * @param retryAfterCompliance share of redials that observe Retry-After
   * @param minReconnectDelayMillis minimum delay after which a disconnected call is dialled once
   *     more, ms; the maximum is five times that
   */
  public record Behaviour(
      double minRedialDelayMillis, double retryAfterCompliance, double minReconnectDelayMillis) {}

  /**
   * The result of a planned call, over all times that it was dialled.
   *
   * @param plannedCall the planned call
   * @param dialCount how often it was dialled
   * @param establishedAfterMillis time from the planned first dialling until it was established,
   *     ms; negative if it was not, or not again after it was disconnected
   * @param disconnected whether it was disconnected by a failure (cause 41) while established
   * @param endedByRemote whether the remote side ended it when it was last dialled
   * @param lastStatus status of the last final response; 0 if none arrived in time
   */
  public record CallResult(
      PlannedCall plannedCall,
      int dialCount,
      double establishedAfterMillis,
      boolean disconnected,
      boolean endedByRemote,
      int lastStatus) {}

  /**
   * Creates callers without planned calls.
   *
   * @param controllers addresses of the controllers, by exchange number
   * @param resultListener receives the result of each call when it is over
   */
  public StandinCallers(
      SipHost host,
      Timing timing,
      Map<Integer, Hop> controllers,
      Behaviour behaviour,
      Consumer<CallResult> resultListener) {
    super(host, timing, SipStack.Limits.DEFAULT);
    this.host = host;
    this.controllers = controllers;
    this.behaviour = behaviour;
    this.resultListener = resultListener;
  }

  /** Sets the calls to dial, in the order of their times. */
  public void setPlannedCalls(List<PlannedCall> calls) {
    plannedCalls = calls;
  }

  @Override
  public void start() {
    dialDueCalls();
  }

  private void dialDueCalls() {
    while (nextIndex < plannedCalls.size()
        && plannedCalls.get(nextIndex).dialAtMillis() <= host.now()) {
      activeCalls++;
      new Caller(plannedCalls.get(nextIndex++)).dial();
    }
    if (nextIndex < plannedCalls.size()) {
      host.schedule(plannedCalls.get(nextIndex).dialAtMillis() - host.now(), this::dialDueCalls);
    }
  }

  /** Whether all planned calls are over. */
  public boolean isDone() {
    return nextIndex == plannedCalls.size() && activeCalls == 0;
  }

  /** Number of calls that were dialled and are not over yet. */
  public int activeCalls() {
    return activeCalls;
  }

  /** Established calls through the controller of an exchange. Runs on the callers' thread only. */
  public List<PlannedCall> establishedCalls(int exchange) {
    return callers.stream()
        .filter(caller -> caller.plannedCall.originExchange() == exchange && caller.isEstablished())
        .map(caller -> caller.plannedCall)
        .toList();
  }

  /** A caller with its planned call. */
  private final class Caller implements CallListener {
    private final PlannedCall plannedCall;
    private int dialCount;
    private int redialCount;
    private boolean reconnecting;
    private boolean disconnected;
    private boolean endedByRemote;
    private double establishedAfterMillis = -1;
    private int lastStatus;
    private CallLeg leg;
    private SipHost.Timer patienceTimer;

    Caller(PlannedCall plannedCall) {
      this.plannedCall = plannedCall;
      callers.add(this);
    }

    boolean isEstablished() {
      return leg != null && leg.state() == CallLeg.State.CONFIRMED;
    }

    void dial() {
      dialCount++;
      endedByRemote = false;
      Hop controllerHop =
          controllers.get(plannedCall.originExchange()).withTransport(plannedCall.transport());
      SipRequest invite =
          new SipRequest(
              "INVITE",
              "sip:" + plannedCall.calledNumber() + '@' + plannedCall.destinationDomain());
      invite.add("From", "<sip:member@" + host.localHop(plannedCall.transport()).host() + '>');
      invite.add("To", '<' + invite.uri() + '>');
      invite.add("Expires", Long.toString(Math.round(plannedCall.patienceMillis() / 1000)));
      invite.add("Resource-Priority", plannedCall.priority());
      invite.add("Session-ID", sessionId() + ";remote=" + "0".repeat(32));
      if (reconnecting) {
        invite.add("Reason", "Q.850;cause=41");
      } else if (dialCount > 1) {
        invite.add("Reason", "SIP;cause=" + (lastStatus == 0 ? 408 : lastStatus));
      }
      invite.body("application/sdp", SDP);
      reconnecting = false;
      patienceTimer = host.schedule(plannedCall.patienceMillis(), this::abandonPendingCall);
      leg = userAgent().call(invite, controllerHop, this);
    }

    /**
     * The planned call's prefix and the dial count: to a controller, each dialling is a new call.
     */
    private String sessionId() {
      return plannedCall.sessionIdPrefix() + String.format(Locale.ROOT, "%08x", dialCount);
    }

    private void abandonPendingCall() {
      if (leg.isOutstanding()) {
        leg.cancel(null);
        lastStatus = 0;
        redialOrFinish(0);
      }
    }

    @Override
    public void answered(CallLeg answeredLeg, SipResponse response) {
      answeredLeg.ack(null);
      patienceTimer.cancel();
      lastStatus = response.status();
      establishedAfterMillis =
          establishedAfterMillis < 0
              ? host.now() - plannedCall.dialAtMillis()
              : establishedAfterMillis;
      host.schedule(plannedCall.holdMillis(), () -> hangUp(answeredLeg));
    }

    private void hangUp(CallLeg establishedLeg) {
      if (establishedLeg == leg && establishedLeg.state() == CallLeg.State.CONFIRMED) {
        establishedLeg.bye("Q.850;cause=16");
        finish();
      }
    }

    @Override
    public void rejected(CallLeg rejectedLeg, SipResponse response) {
      if (rejectedLeg == leg) {
        patienceTimer.cancel();
        lastStatus = response.status();
        redialOrFinish(1000.0 * response.numericHeader("Retry-After", 0));
      }
    }

    @Override
    public void failed(CallLeg failedLeg, Failure failure) {
      if (failedLeg == leg) {
        patienceTimer.cancel();
        lastStatus = 0;
        redialOrFinish(0);
      }
    }

    /** Redials after a delay, or finishes if no redials are left. */
    private void redialOrFinish(double retryAfterMillis) {
      CallLeg endedLeg = leg;
      leg = null;
      if (endedLeg == null) {
        return;
      }
      if (redialCount >= plannedCall.maxRedials()) {
        finish();
        return;
      }
      redialCount++;
      double delayMillis = behaviour.minRedialDelayMillis() * (1 + host.random().nextDouble());
      boolean observesRetryAfter = host.random().nextDouble() < behaviour.retryAfterCompliance();
      host.schedule(
          observesRetryAfter ? Math.max(delayMillis, retryAfterMillis) : delayMillis, this::dial);
    }

    @Override
    public void ended(CallLeg endedLeg, SipRequest bye) {
      if (endedLeg != leg) {
        return;
      }
      leg = null;
      endedByRemote = true;
      String reason = bye == null ? "" : bye.header("Reason", "");
      if (reason.contains("cause=41") && !disconnected) {
        disconnected = true;
        reconnecting = true;
        establishedAfterMillis = -1;
        double delayMillis =
            behaviour.minReconnectDelayMillis() * (1 + 4 * host.random().nextDouble());
        host.schedule(delayMillis, this::dial);
      } else {
        finish();
      }
    }

    private void finish() {
      leg = null;
      activeCalls--;
      callers.remove(this);
      resultListener.accept(
          new CallResult(
              plannedCall,
              dialCount,
              establishedAfterMillis,
              disconnected,
              endedByRemote,
              lastStatus));
    }
  }
}
