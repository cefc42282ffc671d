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
 * A stand-in for the switch of an exchange. Every message passes through its one processor.
 *
 * <p>A call is routed after the removal of a Route entry that names this switch. If another Route
 * entry follows, the call goes to that exchange. Otherwise, a line of this switch answers a call to
 * the local domain; a call from the controller goes to the exchange that its Request-URI names; any
 * other call goes to the controller.
 */
public final class StandinSwitch implements SipNode, UserAgent.Owner {
  private static final double NOTIFY_INTERVAL_MILLIS = 20;
  private static final double LOAD_REFRESH_INTERVAL_MILLIS = 250;
  private static final double TARGET_UTILIZATION = 0.85;

  private final SipHost machineHost;
  private final SwitchConfig config;
  private final TrunkNetwork trunks;
  private final Processor processor;
  private final Set<SwitchCall> calls = new LinkedHashSet<>();
  private final Map<String, Integer> busyLinesByNumber = new HashMap<>();

  /** Numbers of the exchanges whose circuit group has changed since the last NOTIFY. */
  private final Set<Integer> changedNeighbours = new TreeSet<>();

  private IncarnationHost host;
  private SipStack stack;
  private Notifier notifier;
  private String epoch = "";
  private long version;
  private boolean notifyScheduled;

  /** Whether the message being processed is a set-up that found the processor's queue too long. */
  private boolean rejectingSetup;

  // The call that incoming() accepted last, for the callAccepted() that follows at once. The next
  // hop is null if the call ends at this switch.
  private SwitchCall acceptedCall;
  private Hop acceptedCallNextHop;
  private double loadUpdatedAtMillis = Double.NEGATIVE_INFINITY;

  /** Share of set-ups that the senders are asked to hold back, 0 to 1. */
  private double requestedReduction;

  private long receivedSetups;

  /** Creates a switch; its circuit groups are those of its exchange in {@code trunks}. */
  public StandinSwitch(SipHost host, SwitchConfig config, TrunkNetwork trunks) {
    this.machineHost = host;
    this.config = config;
    this.trunks = trunks;
    this.processor = new Processor(host, config.processorModel());
    startIncarnation();
  }

  private void startIncarnation() {
    host = new IncarnationHost(machineHost, processor::canSend);
    stack = new SipStack(host, config.timing(), SipStack.Limits.DEFAULT, this);
    notifier = new Notifier(stack.userAgent(), host, "circuit-groups", 64);
    epoch = stack.userAgent().newTag();
    version = 0;
    stack.userAgent().transactionLayer().reportOverload(this::overloadControl);
  }

  @Override
  public void start() {
    trunks.setChangeListener(config.exchange(), this::groupChanged);
  }

  /** The processor, for fault injection. */
  public Processor processor() {
    return processor;
  }

  /** Number of INVITEs received, retransmissions included. */
  public long receivedSetups() {
    return receivedSetups;
  }

  /** Number of calls that pass through the switch or end at it. */
  public int callCount() {
    return calls.size();
  }

  // ---- Fault injection ----------------------------------------------------------------------

  /** Stops the switch at once: all calls release their circuits, and no message is sent. */
  public void stop() {
    processor.stop();
    host.end();
    for (SwitchCall call : new ArrayList<>(calls)) {
      call.release();
    }
  }

  /** Starts the switch cold, without state of earlier calls. */
  public void startCold() {
    processor.startCold();
    busyLinesByNumber.clear();
    notifyScheduled = false;
    startIncarnation();
  }

  /** Disconnects a random share (0 to 1) of the established calls. */
  public void disconnect(double share) {
    for (SwitchCall call : new ArrayList<>(calls)) {
      if (call.isEstablished() && host.random().nextDouble() < share) {
        call.disconnect();
      }
    }
  }

  /** Disconnects all calls, pending ones included. */
  public void disconnectAll() {
    new ArrayList<>(calls).forEach(SwitchCall::disconnect);
  }

  // ---- Received messages --------------------------------------------------------------------

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    Processor.Model model = processor.model();
    boolean isSetup = startsWith(message, "INVITE");
    if (isSetup) {
      receivedSetups++;
      processor.recordSetup();
    }
    boolean reject = isSetup && processor.waitMillis() > model.maxWaitMillis();
    double workMillis = reject ? model.rejectionMillis() : workMillis(message, isSetup);
    processor.submit(
        workMillis,
        () -> {
          rejectingSetup = reject;
          stack.receive(from, message, arrivedAtMillis);
          rejectingSetup = false;
        });
  }

  private double workMillis(byte[] message, boolean isSetup) {
    Processor.Model model = processor.model();
    if (isSetup) {
      return model.setupMillis();
    }
    if (startsWith(message, "SIP/2.0 200")) {
      return model.answerMillis();
    }
    return startsWith(message, "BYE") || startsWith(message, "CANCEL")
        ? model.releaseMillis()
        : model.otherMillis();
  }

  private static boolean startsWith(byte[] message, String prefix) {
    byte[] prefixBytes = prefix.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < prefixBytes.length; i++) {
      if (i >= message.length || message[i] != prefixBytes[i]) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    if (processor.isUp()) {
      stack.connectionFailed(hop, failure);
    }
  }

  // ---- Calls --------------------------------------------------------------------------------

  @Override
  public CallListener incoming(CallLeg leg) {
    if (rejectingSetup) {
      SipResponse rejection = leg.response(503);
      rejection.add("Reason", "Q.850;cause=42");
      rejection.add("Retry-After", "1");
      leg.reject(rejection);
      return null;
    }
    List<String> routes = leg.invite().headers("Route");
    if (!routes.isEmpty() && isLocal(routes.get(0))) {
      routes.remove(0);
    }
    String domain = SipUri.parse(leg.invite().uri()).host();
    if (!routes.isEmpty()) {
      return routeToExchange(leg, domainOf(routes.get(0)));
    }
    if (domain.equals(config.domain())) {
      return terminateCall(leg);
    }
    return isFromController(leg) ? routeToExchange(leg, domain) : routeToController(leg);
  }

  private boolean isLocal(String route) {
    Hop hop = hopOf(route);
    Hop local = host.localHop(hop.transport());
    return hop.host().equals(local.host()) && hop.port() == local.port();
  }

  private static Hop hopOf(String route) {
    return SipUri.parse(NameAddr.parse(route).uri()).hop();
  }

  private String domainOf(String route) {
    Hop hop = hopOf(route);
    for (Map.Entry<String, Hop> entry : config.switchesByDomain().entrySet()) {
      Hop switchHop = entry.getValue();
      if (switchHop.host().equals(hop.host()) && switchHop.port() == hop.port()) {
        return entry.getKey();
      }
    }
    return "";
  }

  private boolean isFromController(CallLeg leg) {
    Via via = leg.invite().via();
    Hop controller = config.controller();
    return via.host().equals(controller.host()) && via.portOrDefault() == controller.port();
  }

  private CallListener routeToExchange(CallLeg leg, String domain) {
    Integer exchange = config.exchangesByDomain().get(domain);
    int width = width(leg.invite());
    if (exchange == null || !trunks.seize(config.exchange(), exchange, width)) {
      SipResponse rejection = leg.response(exchange == null ? 404 : 503);
      rejection.add("Reason", "Q.850;cause=34");
      leg.reject(rejection);
      return null;
    }
    acceptedCall = new SwitchCall(this, leg, exchange, width);
    acceptedCallNextHop = config.switchesByDomain().get(domain);
    calls.add(acceptedCall);
    return acceptedCall.incomingListener();
  }

  private CallListener routeToController(CallLeg leg) {
    acceptedCall = new SwitchCall(this, leg, -1, 0);
    acceptedCallNextHop = config.controller();
    calls.add(acceptedCall);
    return acceptedCall.incomingListener();
  }

  private int width(SipRequest invite) {
    return config.widthsByPriority().getOrDefault(invite.header("Resource-Priority", ""), 1);
  }

  private CallListener terminateCall(CallLeg leg) {
    String number = SipUri.parse(leg.invite().uri()).user();
    int lineCount = config.linesByNumber().getOrDefault(number, Integer.MAX_VALUE);
    int busyLines = busyLinesByNumber.getOrDefault(number, 0);
    if (busyLines >= lineCount) {
      leg.reject(leg.response(486));
      return null;
    }
    busyLinesByNumber.put(number, busyLines + 1);
    acceptedCall = new SwitchCall(this, leg, -1, 0);
    acceptedCall.setCalledNumber(number);
    acceptedCallNextHop = null;
    calls.add(acceptedCall);
    return acceptedCall.incomingListener();
  }

  @Override
  public void callAccepted(CallLeg leg) {
    SwitchCall call = acceptedCall;
    if (acceptedCallNextHop == null) {
      leg.progress(leg.response(180));
      host.schedule(config.answerDelayMillis(), () -> answer(leg));
    } else {
      SipRequest invite = outgoingInvite(leg.invite());
      call.setOutgoingLeg(
          stack.userAgent().call(invite, acceptedCallNextHop, call.outgoingListener()));
    }
  }

  private void answer(CallLeg leg) {
    if (processor.isUp() && leg.state() == CallLeg.State.CALLING) {
      SipResponse ok = leg.response(200);
      ok.copyHeaders("History-Info", leg.invite());
      if (leg.invite().body().length > 0) {
        ok.body("application/sdp", leg.invite().bodyText());
      }
      leg.accept(ok);
    }
  }

  private SipRequest outgoingInvite(SipRequest received) {
    SipRequest invite = new SipRequest("INVITE", received.uri());
    invite.add("Max-Forwards", Long.toString(received.numericHeader("Max-Forwards", 70) - 1));
    if (!acceptedCallNextHop.equals(config.controller())) {
      invite.add(
          "Route",
          "<sip:" + acceptedCallNextHop.host() + ':' + acceptedCallNextHop.port() + ";lr>");
    }
    invite.add("From", '<' + NameAddr.parse(received.header("From")).uri() + '>');
    invite.add("To", '<' + received.uri() + '>');
    EndToEndHeaders.copy(received, invite);
    return invite;
  }

  /** Answers an in-dialog request of a call that ends at this switch. */
  void answerInDialogRequest(CallLeg leg, ServerTransaction transaction, SipRequest request) {
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

  /** Removes a call and releases its circuits; {@code exchange} is -1 if it has none. */
  void callEnded(SwitchCall call, int exchange, int width) {
    calls.remove(call);
    if (exchange >= 0) {
      trunks.release(config.exchange(), exchange, width);
    }
  }

  /** Releases one line of a called number. */
  void releaseLine(String number) {
    busyLinesByNumber.computeIfPresent(number, (n, busy) -> busy > 1 ? busy - 1 : null);
  }

  // ---- Overload control and circuit reports -------------------------------------------------

  /**
   * The requested load reduction, refreshed only periodically, as in a real switch. It grows from 0
   * at the target utilization to half of the set-ups at full utilization.
   */
  private OverloadControl overloadControl() {
    if (host.now() - loadUpdatedAtMillis >= LOAD_REFRESH_INTERVAL_MILLIS) {
      loadUpdatedAtMillis = host.now();
      double utilization = processor.utilization();
      requestedReduction =
          utilization <= TARGET_UTILIZATION
              ? 0
              : Math.min(1, (utilization - TARGET_UTILIZATION) / (1 - TARGET_UTILIZATION) / 2);
    }
    return new OverloadControl(
        false,
        100 * requestedReduction,
        2 * LOAD_REFRESH_INTERVAL_MILLIS,
        loadUpdatedAtMillis / 1000);
  }

  private void groupChanged(int neighbour) {
    changedNeighbours.add(neighbour);
    if (!notifyScheduled) {
      notifyScheduled = true;
      host.schedule(NOTIFY_INTERVAL_MILLIS, this::notifyGroupChanges);
    }
  }

  private void notifyGroupChanges() {
    notifyScheduled = false;
    if (processor.isUp()) {
      String body = circuitsBody(new ArrayList<>(changedNeighbours));
      notifier.active().forEach(subscription -> subscription.notify("application/json", body));
    }
    changedNeighbours.clear();
  }

  private String circuitsBody(List<Integer> neighbours) {
    version++;
    StringBuilder json = new StringBuilder("{\"epoch\":\"").append(epoch);
    json.append("\",\"version\":").append(version).append(",\"groups\":[");
    for (int i = 0; i < neighbours.size(); i++) {
      CircuitGroup group = trunks.groupBetween(config.exchange(), neighbours.get(i));
      json.append(i > 0 ? "," : "").append("{\"toward\":").append(neighbours.get(i));
      json.append(",\"free\":").append(group.free());
      json.append(",\"size\":").append(group.size()).append('}');
    }
    return json.append("]}").toString();
  }

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    switch (request.method()) {
      case "SUBSCRIBE" -> {
        Notifier.Subscription subscription = notifier.subscribe(transaction, request);
        if (subscription != null) {
          subscription.notify(
              "application/json", circuitsBody(trunks.neighbours(config.exchange())));
        }
      }
      case "OPTIONS" -> transaction.respond(request.response(200));
      case "MESSAGE" -> transaction.respond(request.response(200));
      default -> transaction.respond(request.response(481));
    }
  }
}
