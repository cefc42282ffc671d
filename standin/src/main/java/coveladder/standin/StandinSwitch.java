package coveladder.standin;

import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.EndToEndHeaders;
import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.NameAddr;
import coveladder.sip.Notifier;
import coveladder.sip.OverloadControl;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.SipStack;
import coveladder.sip.SipUri;
import coveladder.sip.UserAgent;
import coveladder.sip.Via;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A stand-in for the switch of an exchange: one processor line that every message passes, circuit
 * groups to other exchanges, lines that answer. It does what its Route says: ends calls for its own
 * domain, sends on what its controller orders, hands calls for other exchanges to its controller.
 */
public final class StandinSwitch implements SipNode, UserAgent.Owner {
  private static final double NOTIFY_GAP = 20;
  private static final double LOAD_REFRESH = 250;
  private static final double LOAD_WANTED = 0.85;

  private final SipHost world;
  private final SwitchConfig plan;
  private final TrunkNetwork trunks;
  private final Processor processor;
  private final Set<SwitchCall> calls = new LinkedHashSet<>();
  private final Map<String, Integer> linesBusy = new HashMap<>();
  private final Set<Integer> changed = new TreeSet<>();
  private Life host;
  private SipStack stack;
  private Notifier notifier;
  private String epoch = "";
  private long version;
  private boolean notifying;
  private boolean overloaded;
  private SwitchCall taking;
  private Hop takingTo;
  private double loadAt = Double.NEGATIVE_INFINITY;
  private double eps;
  private long setupsSeen;

  /** Makes a switch; its circuits are those of the trunks under its number. */
  public StandinSwitch(SipHost host, SwitchConfig plan, TrunkNetwork trunks) {
    this.world = host;
    this.plan = plan;
    this.trunks = trunks;
    this.processor = new Processor(host, plan.processorModel());
    begin();
  }

  private void begin() {
    host = new Life(world, processor::speaks);
    stack = new SipStack(host, plan.timing(), SipStack.Limits.DEFAULT, this);
    notifier = new Notifier(stack.userAgent(), host, "circuit-groups", 64);
    epoch = stack.userAgent().newTag();
    version = 0;
    stack.userAgent().transactionLayer().reportOverload(this::load);
  }

  @Override
  public void start() {
    trunks.watch(plan.exchange(), this::groupChanged);
  }

  /** Its processor, for faults. */
  public Processor processor() {
    return processor;
  }

  /** Set-ups that reached it, repeats included. */
  public long setupsSeen() {
    return setupsSeen;
  }

  /** Calls through it or to it. */
  public int calls() {
    return calls.size();
  }

  // ---- Faults -------------------------------------------------------------------------------

  /** Goes down at once: calls through it lose their circuits, nobody is told. */
  public void stop() {
    processor.stop();
    host.end();
    for (SwitchCall call : new ArrayList<>(calls)) {
      call.release();
    }
  }

  /** Comes up cold, without memory of any call. */
  public void startCold() {
    processor.startCold();
    linesBusy.clear();
    notifying = false;
    begin();
  }

  /** Cuts a share of the calls that stand. */
  public void disconnect(double share) {
    for (SwitchCall call : new ArrayList<>(calls)) {
      if (call.standing() && host.random().nextDouble() < share) {
        call.cut();
      }
    }
  }

  /** Cuts all calls. */
  public void disconnectAll() {
    new ArrayList<>(calls).forEach(SwitchCall::cut);
  }

  // ---- What comes in ------------------------------------------------------------------------

  @Override
  public void receive(Hop from, byte[] message, double arrived) {
    Processor.Model model = processor.model();
    boolean setup = begins(message, "INVITE");
    if (setup) {
      setupsSeen++;
      processor.countSetup();
    }
    boolean refuse = setup && processor.waiting() > model.maxWaitMillis();
    double work = refuse ? model.rejectionMillis() : work(message, setup);
    processor.submit(
        work,
        () -> {
          overloaded = refuse;
          stack.receive(from, message, arrived);
          overloaded = false;
        });
  }

  private double work(byte[] message, boolean setup) {
    Processor.Model model = processor.model();
    if (setup) {
      return model.setupMillis();
    }
    if (begins(message, "SIP/2.0 200")) {
      return model.answerMillis();
    }
    return begins(message, "BYE") || begins(message, "CANCEL")
        ? model.releaseMillis()
        : model.otherMillis();
  }

  private static boolean begins(byte[] message, String text) {
    byte[] start = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < start.length; i++) {
      if (i >= message.length || message[i] != start[i]) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    if (processor.up()) {
      stack.connectionFailed(hop, failure);
    }
  }

  // ---- Calls --------------------------------------------------------------------------------

  @Override
  public CallListener incoming(CallLeg leg) {
    if (overloaded) {
      SipResponse full = leg.response(503);
      full.add("Reason", "Q.850;cause=42");
      full.add("Retry-After", "1");
      leg.reject(full);
      return null;
    }
    List<String> routes = leg.invite().headers("Route");
    if (!routes.isEmpty() && isOwn(routes.get(0))) {
      routes.remove(0);
    }
    String domain = SipUri.parse(leg.invite().uri()).host();
    if (!routes.isEmpty()) {
      return onward(leg, domainOf(routes.get(0)));
    }
    if (domain.equals(plan.domain())) {
      return terminate(leg);
    }
    return isFromController(leg) ? onward(leg, domain) : toController(leg);
  }

  private boolean isOwn(String route) {
    Hop hop = hopOf(route);
    Hop own = host.localHop(hop.transport());
    return hop.host().equals(own.host()) && hop.port() == own.port();
  }

  private static Hop hopOf(String route) {
    return SipUri.parse(NameAddr.parse(route).uri()).hop();
  }

  private String domainOf(String route) {
    Hop hop = hopOf(route);
    for (Map.Entry<String, Hop> entry : plan.switchesByDomain().entrySet()) {
      Hop known = entry.getValue();
      if (known.host().equals(hop.host()) && known.port() == hop.port()) {
        return entry.getKey();
      }
    }
    return "";
  }

  private boolean isFromController(CallLeg leg) {
    Via via = leg.invite().via();
    Hop controller = plan.controller();
    return via.host().equals(controller.host()) && via.portOrDefault() == controller.port();
  }

  private CallListener onward(CallLeg leg, String domain) {
    Integer number = plan.exchangesByDomain().get(domain);
    int width = width(leg.invite());
    if (number == null || !trunks.seize(plan.exchange(), number, width)) {
      SipResponse none = leg.response(number == null ? 404 : 503);
      none.add("Reason", "Q.850;cause=34");
      leg.reject(none);
      return null;
    }
    taking = new SwitchCall(this, leg, number, width);
    takingTo = plan.switchesByDomain().get(domain);
    calls.add(taking);
    return taking.incoming();
  }

  private CallListener toController(CallLeg leg) {
    taking = new SwitchCall(this, leg, -1, 0);
    takingTo = plan.controller();
    calls.add(taking);
    return taking.incoming();
  }

  private int width(SipRequest invite) {
    return plan.widthsByPriority().getOrDefault(invite.header("Resource-Priority", ""), 1);
  }

  private CallListener terminate(CallLeg leg) {
    String number = SipUri.parse(leg.invite().uri()).user();
    int lines = plan.linesByNumber().getOrDefault(number, Integer.MAX_VALUE);
    int busy = linesBusy.getOrDefault(number, 0);
    if (busy >= lines) {
      leg.reject(leg.response(486));
      return null;
    }
    linesBusy.put(number, busy + 1);
    taking = new SwitchCall(this, leg, -1, 0);
    taking.line(number);
    takingTo = null;
    calls.add(taking);
    return taking.incoming();
  }

  @Override
  public void callAccepted(CallLeg leg) {
    SwitchCall call = taking;
    if (takingTo == null) {
      leg.progress(leg.response(180));
      host.schedule(plan.answerDelayMillis(), () -> answer(leg));
    } else {
      SipRequest invite = goesOn(leg.invite());
      call.out(stack.userAgent().call(invite, takingTo, call.outgoing()));
    }
  }

  private void answer(CallLeg leg) {
    if (processor.up() && leg.state() == CallLeg.State.CALLING) {
      SipResponse ok = leg.response(200);
      ok.copyHeaders("History-Info", leg.invite());
      if (leg.invite().body().length > 0) {
        ok.body("application/sdp", leg.invite().bodyText());
      }
      leg.accept(ok);
    }
  }

  private SipRequest goesOn(SipRequest came) {
    SipRequest invite = new SipRequest("INVITE", came.uri());
    invite.add("Max-Forwards", Long.toString(came.numericHeader("Max-Forwards", 70) - 1));
    if (!takingTo.equals(plan.controller())) {
      invite.add("Route", "<sip:" + takingTo.host() + ':' + takingTo.port() + ";lr>");
    }
    invite.add("From", '<' + NameAddr.parse(came.header("From")).uri() + '>');
    invite.add("To", '<' + came.uri() + '>');
    EndToEndHeaders.copy(came, invite);
    return invite;
  }

  /** Answers a request within a call that ends here. */
  void answerWithin(CallLeg leg, ServerTransaction transaction, SipRequest request) {
    SipResponse ok = request.response(200);
    if (request.is("INVITE") || request.is("UPDATE")) {
      ok.add("Contact", leg.contact());
      if (request.body().length > 0) {
        ok.body("application/sdp", request.bodyText());
      }
    }
    if (request.is("INVITE")) {
      leg.answerReinvite(transaction, ok);
    } else {
      transaction.respond(ok);
    }
  }

  void over(SwitchCall call, int toward, int width) {
    calls.remove(call);
    if (toward >= 0) {
      trunks.release(plan.exchange(), toward, width);
    }
  }

  /** A line of a number is idle again. */
  void lineIdle(String number) {
    linesBusy.computeIfPresent(number, (n, busy) -> busy > 1 ? busy - 1 : null);
  }

  // ---- Load and circuits --------------------------------------------------------------------

  /** Figures are refreshed now and then only, as a real switch does. */
  private OverloadControl load() {
    if (host.now() - loadAt >= LOAD_REFRESH) {
      loadAt = host.now();
      double share = processor.busyShare();
      eps = share <= LOAD_WANTED ? 0 : Math.min(1, (share - LOAD_WANTED) / (1 - LOAD_WANTED) / 2);
    }
    return new OverloadControl(false, 100 * eps, 2 * LOAD_REFRESH, loadAt / 1000);
  }

  private void groupChanged(int toward) {
    changed.add(toward);
    if (!notifying) {
      notifying = true;
      host.schedule(NOTIFY_GAP, this::notifyChanged);
    }
  }

  private void notifyChanged() {
    notifying = false;
    if (processor.up()) {
      String body = circuits(new ArrayList<>(changed));
      notifier.active().forEach(subscription -> subscription.notify("application/json", body));
    }
    changed.clear();
  }

  private String circuits(List<Integer> toward) {
    version++;
    StringBuilder out = new StringBuilder("{\"epoch\":\"").append(epoch);
    out.append("\",\"version\":").append(version).append(",\"groups\":[");
    for (int i = 0; i < toward.size(); i++) {
      CircuitGroup group = trunks.between(plan.exchange(), toward.get(i));
      out.append(i > 0 ? "," : "").append("{\"toward\":").append(toward.get(i));
      out.append(",\"free\":").append(group.free());
      out.append(",\"size\":").append(group.size()).append('}');
    }
    return out.append("]}").toString();
  }

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    switch (request.method()) {
      case "SUBSCRIBE" -> {
        Notifier.Subscription made = notifier.subscribe(transaction, request);
        if (made != null) {
          made.notify("application/json", circuits(trunks.neighbours(plan.exchange())));
        }
      }
      case "OPTIONS" -> transaction.respond(request.response(200));
      case "MESSAGE" -> transaction.respond(request.response(200));
      default -> transaction.respond(request.response(481));
    }
  }
}
