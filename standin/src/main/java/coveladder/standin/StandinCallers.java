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
 * Stand-in callers: each makes its call, gives up when its patience ends, dials again after a
 * refusal, hangs up in the end, and comes again when it was cut.
 */
public final class StandinCallers extends AbstractSipNode {
  private static final String SDP =
      "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
          + "m=audio 9 RTP/AVP 0\r\n";

  private final SipHost host;
  private final Map<Integer, Hop> controllers;
  private final Behaviour habits;
  private final Consumer<CallResult> fates;
  private final Set<Caller> callers = new LinkedHashSet<>();
  private List<PlannedCall> plans = List.of();
  private volatile int next;
  private volatile int open;

  /**
   * How callers behave.
   *
   * @param minRedialDelayMillis least wait before dialling again, ms; up to twice that
   * @param retryAfterCompliance share of callers that stay away as long as they are told
   * @param minReconnectDelayMillis least wait before a cut call comes again, ms; up to five times
   *     that
   */
  public record Behaviour(
      double minRedialDelayMillis, double retryAfterCompliance, double minReconnectDelayMillis) {}

  /**
   * What became of one call, all its tries together.
   *
   * @param plannedCall the call
   * @param dialCount how often it was dialled
   * @param establishedAfterMillis time from the first try until it stood, ms; negative if it never
   *     did
   * @param disconnected whether it was cut while it stood
   * @param endedByRemote whether the other side ended it last, cut or not
   * @param lastStatus status of the last final answer; 0 where none came in time
   */
  public record CallResult(
      PlannedCall plannedCall,
      int dialCount,
      double establishedAfterMillis,
      boolean disconnected,
      boolean endedByRemote,
      int lastStatus) {}

  /** Makes callers that reach the controllers under their numbers. */
  public StandinCallers(
      SipHost host,
      Timing timing,
      Map<Integer, Hop> controllers,
      Behaviour habits,
      Consumer<CallResult> fates) {
    super(host, timing, SipStack.Limits.DEFAULT);
    this.host = host;
    this.controllers = controllers;
    this.habits = habits;
    this.fates = fates;
  }

  /** Sets the calls to be made, in the order of their times. */
  public void setPlannedCalls(List<PlannedCall> calls) {
    plans = calls;
  }

  @Override
  public void start() {
    dialNext();
  }

  private void dialNext() {
    while (next < plans.size() && plans.get(next).dialAtMillis() <= host.now()) {
      open++;
      new Caller(plans.get(next++)).dial();
    }
    if (next < plans.size()) {
      host.schedule(plans.get(next).dialAtMillis() - host.now(), this::dialNext);
    }
  }

  /** Whether every call has come to its end. */
  public boolean isDone() {
    return next == plans.size() && open == 0;
  }

  /** Calls that are under way. */
  public int open() {
    return open;
  }

  /** Calls that stand now through a controller. On the callers' thread. */
  public List<PlannedCall> establishedCalls(int controller) {
    return callers.stream()
        .filter(caller -> caller.plan.originExchange() == controller && caller.stands())
        .map(caller -> caller.plan)
        .toList();
  }

  /** One caller with its call. */
  private final class Caller implements CallListener {
    private final PlannedCall plan;
    private int tries;
    private int redials;
    private boolean returned;
    private boolean wasCut;
    private boolean endedByOther;
    private double stoodAfter = -1;
    private int last;
    private CallLeg leg;
    private SipHost.Timer patience;

    Caller(PlannedCall plan) {
      this.plan = plan;
      callers.add(this);
    }

    boolean stands() {
      return leg != null && leg.state() == CallLeg.State.CONFIRMED;
    }

    void dial() {
      tries++;
      endedByOther = false;
      Hop to = controllers.get(plan.originExchange()).withTransport(plan.transport());
      SipRequest invite =
          new SipRequest("INVITE", "sip:" + plan.calledNumber() + '@' + plan.destinationDomain());
      invite.add("From", "<sip:member@" + host.localHop(plan.transport()).host() + '>');
      invite.add("To", '<' + invite.uri() + '>');
      invite.add("Expires", Long.toString(Math.round(plan.patienceMillis() / 1000)));
      invite.add("Resource-Priority", plan.priority());
      invite.add("Session-ID", session() + ";remote=" + "0".repeat(32));
      if (returned) {
        invite.add("Reason", "Q.850;cause=41");
      } else if (tries > 1) {
        invite.add("Reason", "SIP;cause=" + (last == 0 ? 408 : last));
      }
      invite.body("application/sdp", SDP);
      returned = false;
      patience = host.schedule(plan.patienceMillis(), this::giveUp);
      leg = userAgent().call(invite, to, this);
    }

    /** The call's name, then the number of the try: each try is a call to its controller. */
    private String session() {
      return plan.sessionIdPrefix() + String.format(Locale.ROOT, "%08x", tries);
    }

    private void giveUp() {
      if (leg.isOutstanding()) {
        leg.cancel(null);
        last = 0;
        again(0);
      }
    }

    @Override
    public void answered(CallLeg answered, SipResponse response) {
      answered.ack(null);
      patience.cancel();
      last = response.status();
      stoodAfter = stoodAfter < 0 ? host.now() - plan.dialAtMillis() : stoodAfter;
      host.schedule(plan.holdMillis(), () -> hangUp(answered));
    }

    private void hangUp(CallLeg held) {
      if (held == leg && held.state() == CallLeg.State.CONFIRMED) {
        held.bye("Q.850;cause=16");
        over();
      }
    }

    @Override
    public void rejected(CallLeg refused, SipResponse response) {
      if (refused == leg) {
        patience.cancel();
        last = response.status();
        again(1000.0 * response.numericHeader("Retry-After", 0));
      }
    }

    @Override
    public void failed(CallLeg gone, Failure failure) {
      if (gone == leg) {
        patience.cancel();
        last = 0;
        again(0);
      }
    }

    /** Dials again after a wait, if it still cares. */
    private void again(double told) {
      CallLeg ended = leg;
      leg = null;
      if (ended == null) {
        return;
      }
      if (redials >= plan.maxRedials()) {
        over();
        return;
      }
      redials++;
      double own = habits.minRedialDelayMillis() * (1 + host.random().nextDouble());
      boolean follows = host.random().nextDouble() < habits.retryAfterCompliance();
      host.schedule(follows ? Math.max(own, told) : own, this::dial);
    }

    @Override
    public void ended(CallLeg cut, SipRequest bye) {
      if (cut != leg) {
        return;
      }
      leg = null;
      endedByOther = true;
      String reason = bye == null ? "" : bye.header("Reason", "");
      if (reason.contains("cause=41") && !wasCut) {
        wasCut = true;
        returned = true;
        stoodAfter = -1;
        double wait = habits.minReconnectDelayMillis() * (1 + 4 * host.random().nextDouble());
        host.schedule(wait, this::dial);
      } else {
        over();
      }
    }

    private void over() {
      leg = null;
      open--;
      callers.remove(this);
      fates.accept(new CallResult(plan, tries, stoodAfter, wasCut, endedByOther, last));
    }
  }
}
