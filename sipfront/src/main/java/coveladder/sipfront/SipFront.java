package coveladder.sipfront;

import coveladder.CallPolicy;
import coveladder.CallPolicy.Call;
import coveladder.core.AttemptGuard;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.FinalAnswer;
import coveladder.core.LoadReports;
import coveladder.core.Scheduler;
import coveladder.core.Signalling;
import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.Recovery;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.WriteAheadSignalling;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.ClientTransaction;
import coveladder.sip.EndToEndHeaders;
import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.NameAddr;
import coveladder.sip.Params;
import coveladder.sip.ServerTransaction;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.SipStack;
import coveladder.sip.SipUri;
import coveladder.sip.Subscriber;
import coveladder.sip.Transport;
import coveladder.sip.UserAgent;
import coveladder.sip.Via;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * One call controller as SIP peers see it: callers' INVITEs become calls of the core, what the core
 * orders becomes INVITE, CANCEL and BYE toward the own switch.
 */
public final class SipFront implements SipNode, UserAgent.Owner, Signalling {
  /** Event package of the exchange list. */
  public static final String LIST_EVENT = "exchange-list";

  /** Event package of the own switch's circuit groups. */
  public static final String CIRCUIT_EVENT = "circuit-groups";

  private final SipHost host;
  private FrontSettings settings;
  private final SipStack stack;
  private final CallController controller;
  private final Scheduler clock;
  private final Map<String, Bridge> bridges = new HashMap<>();
  private final Subscriber list;
  private final Subscriber circuits;
  private String circuitEpoch = "";
  private final String base;
  private SavedLegs legs;
  private WriteAheadSignalling writeAhead;
  private Recovery recovery;
  private long sequence;
  private String lastFeedError = "";
  private Bridge taking;

  /**
   * Makes a controller whose calls do not survive a restart. It does nothing before {@link #start}.
   *
   * @param policies makes the policy that decides
   */
  public SipFront(
      SipHost host,
      FrontSettings settings,
      CallPolicy.Settings rules,
      AttemptGuard guard,
      CallController.Observer journal,
      Function<CallPolicy.Actions, CallPolicy> policies) {
    this(host, settings, rules, guard, journal, policies, null);
  }

  /**
   * Makes a controller. It does nothing before {@link #start}.
   *
   * @param policies makes the policy that decides
   * @param keeping where calls are kept, and how a start goes on from it; null: nowhere
   */
  public SipFront(
      SipHost host,
      FrontSettings settings,
      CallPolicy.Settings rules,
      AttemptGuard guard,
      CallController.Observer journal,
      Function<CallPolicy.Actions, CallPolicy> policies,
      Persistence keeping) {
    this.host = host;
    this.settings = settings;
    this.clock = new HostClock(host);
    this.stack = new SipStack(host, settings.timing(), settings.limits(), this);
    this.base = stack.userAgent().newTag() + '-';
    if (keeping == null) {
      this.controller = new CallController(rules, this, guard, journal, policies);
    } else {
      this.legs = new SavedLegs(this, keeping.wallClock());
      double life = settings.timing().transactionTimeout();
      this.writeAhead = new WriteAheadSignalling(this, legs, keeping.store(), life);
      RecoveryRate pace =
          new RecoveryRate(keeping.recoveryBudget(), rules.coldShare(), rules.rampTime());
      CallController.Observer both = new KeepingJournal(journal, writeAhead, pace, clock);
      this.controller = new CallController(rules, writeAhead, guard, both, policies);
      writeAhead.setController(controller);
      this.recovery =
          new Recovery(controller, writeAhead, keeping.store(), legs, clock, pace, life);
    }
    this.list = subscriber(LIST_EVENT, settings.listServer(), new ListWatcher());
    this.circuits = subscriber(CIRCUIT_EVENT, settings.localSwitch(), new CircuitWatcher());
    stack.userAgent().transactionLayer().offerOverloadControl();
  }

  /**
   * Where calls are kept.
   *
   * @param store the store
   * @param recoveryBudget what recovery may send
   * @param wallClock ms by a clock that goes on across restarts
   */
  public record Persistence(
      CallStore store, RecoveryRate.Budget recoveryBudget, LongSupplier wallClock) {}

  /** What sees that calls are kept; null where they are not. */
  public WriteAheadSignalling writeAhead() {
    return writeAhead;
  }

  /** What goes on after a restart; null where calls are not kept. */
  public Recovery recovery() {
    return recovery;
  }

  /** A call, woken if it sleeps since the start; null if there is none. */
  Bridge bridge(String call) {
    Bridge bridge = bridges.get(call);
    return bridge != null || legs == null ? bridge : legs.wake(call);
  }

  void hold(String call, Bridge bridge) {
    bridges.put(call, bridge);
  }

  /** Something of a call that stands has changed. */
  void changed(String call) {
    if (writeAhead != null && bridges.containsKey(call)) {
      writeAhead.callChanged(call);
    }
  }

  /** A BYE of a call is settled; with the last of them nothing of it is left at any end. */
  void released(String call, Bridge bridge) {
    if (writeAhead != null && !bridge.releasing()) {
      writeAhead.releaseCompleted(call);
    }
  }

  /** A caller called off; its answer leaves once that is kept. */
  void callerLeaves(String call, Runnable answer) {
    if (writeAhead == null) {
      answer.run();
    } else {
      writeAhead.callerCancelled(call, answer);
    }
  }

  private Subscriber subscriber(String event, Hop at, Subscriber.Watcher watcher) {
    String target = "sip:" + event + '@' + at.host() + ':' + at.port();
    String self = "sip:controller@" + settings.domain();
    return new Subscriber(stack.userAgent(), host, event, self, target, at, watcher);
  }

  /** Begins: subscribes and starts the policy. */
  @Override
  public void start() {
    if (recovery != null) {
      recovery.start();
    }
    controller.start();
    circuits.subscribe();
  }

  @Override
  public void receive(Hop from, byte[] message, double arrived) {
    stack.receive(from, message, arrived);
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    stack.connectionFailed(hop, failure);
  }

  /** The stack. */
  public SipStack stack() {
    return stack;
  }

  /** The core. */
  public CallController controller() {
    return controller;
  }

  /** What was wrong with the last NOTIFY that could not be used; empty if none was. */
  public String lastFeedError() {
    return lastFeedError;
  }

  /** Calls with any leg left. */
  public int callCount() {
    return bridges.size() + (legs == null ? 0 : legs.asleep());
  }

  /**
   * Takes new settings for calls from now on: how classes are told apart, patience, margins and the
   * bound of calls. Places, timers and bounds of the stack stay as they were.
   */
  public void reload(FrontSettings news) {
    settings =
        new FrontSettings(
            settings.domain(),
            settings.localSwitch(),
            settings.listServer(),
            news.classes(),
            news.patienceMillis(),
            news.answerMarginMillis(),
            news.maxCalls(),
            news.retryAfterSeconds(),
            settings.timing(),
            settings.limits());
  }

  /** Takes nothing new and gives up its subscriptions; calls in flight go on. */
  public void drain() {
    controller.drain();
    list.stop();
    circuits.stop();
  }

  /** Takes nothing new, answers each call in flight, and gives up its subscriptions. */
  public void shutDown() {
    controller.shutDown();
    list.stop();
    circuits.stop();
  }

  UserAgent agent() {
    return stack.userAgent();
  }

  SipHost host() {
    return host;
  }

  FrontSettings settings() {
    return settings;
  }

  Hop ownSwitch() {
    return settings.localSwitch();
  }

  // ---- Calls that come in -------------------------------------------------------------------

  @Override
  public CallListener incoming(CallLeg leg) {
    SipUri uri = SipUri.parse(leg.invite().uri());
    int destination = controller.directory().numberOfDomain(uri.host());
    boolean full = callCount() >= settings.maxCalls();
    if (full || controller.directory().version() < 0 || mayBeOld(leg)) {
      int wait = settings.retryAfterSeconds();
      leg.reject(FinalResponses.unavailable(leg, ReasonField.CONGESTION, false, wait));
      return null;
    }
    if (patience(leg) <= 0) {
      // It waited here unread until its caller's time was up: no attempt may leave for it.
      leg.reject(leg.response(408));
      return null;
    }
    if (uri.user().isEmpty() || destination < 0) {
      leg.reject(leg.response(uri.user().isEmpty() ? 484 : 404));
      return null;
    }
    sequence++;
    String id = base + sequence;
    taking = new Bridge(this, id, isFromOwnSwitch(leg), leg);
    bridges.put(id, taking);
    return taking.callerSide();
  }

  /**
   * After calls had gone on unkept an INVITE that comes by UDP may be the repeat of one whose
   * attempt is out: no attempt is made for such while one of before can come again. What comes by
   * TCP is new, as all connections were made since.
   */
  private boolean mayBeOld(CallLeg leg) {
    return recovery != null
        && recovery.newCallsMayPredateRestart()
        && leg.hop().transport() == Transport.UDP;
  }

  @Override
  public void callAccepted(CallLeg leg) {
    Bridge bridge = taking;
    SipRequest invite = leg.invite();
    SipUri uri = SipUri.parse(invite.uri());
    int type = settings.classes().classOf(invite, uri.user());
    int cause = ReasonField.of(invite).cause();
    String id = base + sequence;
    Call call =
        new Call(
            id,
            type,
            patience(leg),
            controller.settings().classes().get(type).width(),
            uri.user(),
            controller.directory().numberOfDomain(uri.host()),
            isFromOwnSwitch(leg),
            ReasonField.saysSip(invite),
            cause == ReasonField.TEMPORARY_FAILURE);
    controller.callArrived(call);
    if (bridge.over()) {
      bridges.remove(id);
    }
  }

  /** What is left of the caller's time: it waited here unread, and the answer has a way to go. */
  private double patience(CallLeg leg) {
    String written = leg.invite().header("Expires");
    double whole = written == null ? settings.patienceMillis() : 1000.0 * Long.parseLong(written);
    return Math.max(0, whole - leg.millisSinceInvite(host.now()) - settings.answerMarginMillis());
  }

  /** A call that the own switch hands over came from another exchange: it is in transit. */
  private boolean isFromOwnSwitch(CallLeg leg) {
    Via via = leg.invite().via();
    Hop own = settings.localSwitch();
    return via.host().equals(own.host()) && via.portOrDefault() == own.port();
  }

  /** Forgets a call once nothing is left of it. */
  void tidy(String id) {
    Bridge bridge = bridges.get(id);
    if (bridge != null && bridge.over()) {
      bridges.remove(id);
    }
  }

  // ---- What the core orders -----------------------------------------------------------------

  @Override
  public Scheduler scheduler() {
    return clock;
  }

  @Override
  public void startAttempt(AttemptRequest order) {
    Bridge bridge = bridge(order.call());
    if (!bridge.ready(order.attempt())) {
      prepare(order);
    }
    bridge.launch();
  }

  /** Makes an attempt ready without sending it. */
  Bridge prepare(AttemptRequest order) {
    Bridge bridge = bridge(order.call());
    bridge.prepare(order, attemptInvite(order, bridge.caller().invite()));
    return bridge;
  }

  private SipRequest attemptInvite(AttemptRequest order, SipRequest came) {
    String domain =
        order.destination() == null
            ? SipUri.parse(came.uri()).host()
            : order.destination().domain();
    String uri = "sip:" + order.number() + '@' + domain;
    SipRequest invite = new SipRequest("INVITE", uri);
    Hop own = settings.localSwitch();
    invite.add("Max-Forwards", Long.toString(came.numericHeader("Max-Forwards", 70) - 1));
    invite.add("Route", "<sip:" + own.host() + ':' + own.port() + ";lr>");
    if (order.viaTandem()) {
      invite.add("Route", '<' + order.nextExchange().address() + ";lr>");
    }
    invite.add("From", '<' + NameAddr.parse(came.header("From")).uri() + '>');
    invite.add("To", '<' + uri + '>');
    int seconds = (int) Math.max(1, Math.ceil(order.timeoutMillis() / 1000));
    invite.add("Expires", Integer.toString(seconds));
    EndToEndHeaders.copy(came, invite);
    addHistory(order, came, invite);
    return invite;
  }

  /** Tells the way taken, where the caller wants to know it (RFC 7044). */
  private static void addHistory(AttemptRequest order, SipRequest came, SipRequest invite) {
    List<String> history = came.headers("History-Info");
    if (!history.isEmpty()) {
      String last = history.get(history.size() - 1);
      String index = Params.parse(last.substring(last.indexOf('>') + 1)).get("index");
      String to = "<sip:" + order.number() + '@' + order.nextExchange().domain() + '>';
      invite.add("History-Info", to + ";index=" + index + '.' + (order.attempt() + 1));
    }
  }

  @Override
  public void cancelAttempt(String call, int attempt) {
    bridge(call).cancel(attempt);
  }

  @Override
  public void releaseAttempt(String call, int attempt) {
    Bridge bridge = bridge(call);
    if (bridge != null) {
      bridge.release(attempt);
    }
  }

  @Override
  public void answer(String call, FinalAnswer answer) {
    bridge(call).answer(answer);
    tidy(call);
  }

  @Override
  public void releaseCaller(String call, boolean cut) {
    bridge(call).releaseCaller(cut);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double askedAt) {
    SipRequest options = request("OPTIONS", exchange.address());
    options.add("Accept", "application/json");
    Hop hop = SipUri.parse(exchange.address()).hop();
    agent().sendOutsideDialog(options, hop, new ProbeAnswers(exchange.id(), askedAt));
  }

  private SipRequest request(String method, String uri) {
    SipRequest request = new SipRequest(method, uri);
    request.add("From", "<sip:controller@" + settings.domain() + '>');
    request.add("To", '<' + uri + '>');
    return request;
  }

  /** Hears the answer to one probe. */
  private final class ProbeAnswers implements ClientTransaction.Listener {
    private final String exchange;
    private final double askedAt;

    ProbeAnswers(String exchange, double askedAt) {
      this.exchange = exchange;
      this.askedAt = askedAt;
    }

    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        LoadReports.Report report = OverloadReport.of(response, host.now());
        if (report != null) {
          controller.overloadReported(exchange, report);
        }
        controller.probeCompleted(exchange, response.isSuccess(), askedAt);
      }
    }

    @Override
    public void failed(Failure failure) {
      controller.probeCompleted(exchange, false, askedAt);
    }
  }

  @Override
  public void broadcast(byte[] payload) {
    for (ExchangeDirectory.Entry entry : controller.directory().entries()) {
      if (entry.number() != controller.settings().localExchange()) {
        SipRequest message = request("MESSAGE", "sip:controller@" + entry.domain());
        Hop own = settings.localSwitch();
        message.add("Route", "<sip:" + own.host() + ':' + own.port() + ";lr>");
        message.set(
            "From",
            "<sip:" + controller.settings().localExchange() + '@' + settings.domain() + '>');
        message.set("Content-Type", "application/octet-stream");
        message.body(payload);
        agent().sendOutsideDialog(message, own, ClientTransaction.Listener.IGNORE);
      }
    }
  }

  @Override
  public void subscribeToDirectory() {
    list.subscribe();
  }

  // ---- Requests outside of calls ------------------------------------------------------------

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    switch (request.method()) {
      case "NOTIFY" -> {
        if (!list.receiveNotify(transaction, request)
            && !circuits.receiveNotify(transaction, request)) {
          transaction.respond(request.response(481));
        }
      }
      case "OPTIONS" -> transaction.respond(abilities(request));
      case "MESSAGE" -> peerMessage(transaction, request);
      default -> transaction.respond(request.response(489));
    }
  }

  private static SipResponse abilities(SipRequest request) {
    SipResponse response = request.response(200);
    response.add("Allow", UserAgent.ALLOW);
    response.add("Accept", "application/sdp");
    response.add("Supported", "100rel, timer");
    return response;
  }

  private void peerMessage(ServerTransaction transaction, SipRequest request) {
    SipUri from = SipUri.parse(request.addressHeader("From").uri());
    boolean known = from != null && from.user().matches("[0-9]{1,9}");
    transaction.respond(request.response(known ? 200 : 403));
    if (known) {
      controller.peerMessageReceived(Integer.parseInt(from.user()), request.body());
    }
  }

  /** Load figures of the own switch ride on each of its answers. */
  void learnLoad(SipResponse response) {
    LoadReports.Report report = OverloadReport.of(response, host.now());
    ExchangeDirectory.Entry own =
        controller.directory().byNumber(controller.settings().localExchange());
    if (report != null && own != null) {
      controller.overloadReported(own.id(), report);
    }
  }

  /** Hears of the exchange list. */
  private final class ListWatcher implements Subscriber.Watcher {
    @Override
    public void notified(SipRequest notify) {
      try {
        if (controller.updateDirectory(FeedBodies.list(notify.bodyText(), host.now()))) {
          list.subscribe();
        }
      } catch (FeedBodies.BadBody e) {
        lastFeedError = LIST_EVENT + ": " + e.getMessage();
      }
    }

    @Override
    public void lost(String why) {
      controller.directoryUnavailable();
    }
  }

  /** Hears of the own circuit groups. */
  private final class CircuitWatcher implements Subscriber.Watcher {
    @Override
    public void notified(SipRequest notify) {
      try {
        FeedBodies.CircuitNews news = FeedBodies.circuits(notify.bodyText());
        if (!news.epoch().equals(circuitEpoch)) {
          circuitEpoch = news.epoch();
          controller.circuitGroups().clear();
        }
        for (FeedBodies.Circuits group : news.groups()) {
          controller.circuitsReported(group.toward(), group.free(), group.size(), news.version());
        }
      } catch (FeedBodies.BadBody e) {
        lastFeedError = CIRCUIT_EVENT + ": " + e.getMessage();
      }
    }

    @Override
    public void lost(String why) {
      // The figures held stay the last that are known; the subscriber asks again by itself.
    }
  }
}
