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
  private final Scheduler scheduler;
  private final Map<String, Bridge> bridges = new HashMap<>();
  private final Subscriber directorySubscriber;
  private final Subscriber circuitSubscriber;
  private String circuitEpoch = "";
  private final String callIdPrefix;
  private SavedLegs savedLegs;
  private WriteAheadSignalling writeAhead;
  private Recovery recovery;
  private long lastCallNumber;
  private String lastNotifyError = "";
  private Bridge incomingBridge;

  /**
   * Makes a controller whose calls do not survive a restart. It does nothing before {@link #start}.
   *
   * @param policyFactory makes the policy that decides
   */
  public SipFront(
      SipHost host,
      FrontSettings settings,
      CallPolicy.Settings policySettings,
      AttemptGuard attemptGuard,
      CallController.Observer observer,
      Function<CallPolicy.Actions, CallPolicy> policyFactory) {
    this(host, settings, policySettings, attemptGuard, observer, policyFactory, null);
  }

  /**
   * Makes a controller. It does nothing before {@link #start}.
   *
   * @param policyFactory makes the policy that decides
   * @param persistence where calls are kept, and how a start goes on from it; null: nowhere
   */
  public SipFront(
      SipHost host,
      FrontSettings settings,
      CallPolicy.Settings policySettings,
      AttemptGuard attemptGuard,
      CallController.Observer observer,
      Function<CallPolicy.Actions, CallPolicy> policyFactory,
      Persistence persistence) {
    this.host = host;
    this.settings = settings;
    this.scheduler = new HostScheduler(host);
    this.stack = new SipStack(host, settings.timing(), settings.limits(), this);
    this.callIdPrefix = stack.userAgent().newTag() + '-';
    if (persistence == null) {
      this.controller =
          new CallController(policySettings, this, attemptGuard, observer, policyFactory);
    } else {
      this.savedLegs = new SavedLegs(this, persistence.wallClock());
      double transactionTimeoutMillis = settings.timing().transactionTimeout();
      this.writeAhead =
          new WriteAheadSignalling(this, savedLegs, persistence.store(), transactionTimeoutMillis);
      RecoveryRate recoveryRate =
          new RecoveryRate(
              persistence.recoveryBudget(), policySettings.coldShare(), policySettings.rampTime());
      CallController.Observer persistingObserver =
          new PersistingObserver(observer, writeAhead, recoveryRate, scheduler);
      this.controller =
          new CallController(
              policySettings, writeAhead, attemptGuard, persistingObserver, policyFactory);
      writeAhead.setController(controller);
      this.recovery =
          new Recovery(
              controller,
              writeAhead,
              persistence.store(),
              savedLegs,
              scheduler,
              recoveryRate,
              transactionTimeoutMillis);
    }
    this.directorySubscriber =
        newSubscriber(LIST_EVENT, settings.listServer(), new DirectoryWatcher());
    this.circuitSubscriber =
        newSubscriber(CIRCUIT_EVENT, settings.localSwitch(), new CircuitWatcher());
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
    return bridge != null || savedLegs == null ? bridge : savedLegs.restore(call);
  }

  void addBridge(String call, Bridge bridge) {
    bridges.put(call, bridge);
  }

  /** Something of a call that stands has changed. */
  void callChanged(String call) {
    if (writeAhead != null && bridges.containsKey(call)) {
      writeAhead.callChanged(call);
    }
  }

  /** A BYE of a call is settled; with the last of them nothing of it is left at any end. */
  void releaseCompleted(String call, Bridge bridge) {
    if (writeAhead != null && !bridge.isReleasing()) {
      writeAhead.releaseCompleted(call);
    }
  }

  /** A caller called off; its answer leaves once that is kept. */
  void callerCancelled(String call, Runnable sendAnswer) {
    if (writeAhead == null) {
      sendAnswer.run();
    } else {
      writeAhead.callerCancelled(call, sendAnswer);
    }
  }

  private Subscriber newSubscriber(String event, Hop server, Subscriber.Watcher watcher) {
    String target = "sip:" + event + '@' + server.host() + ':' + server.port();
    String localUri = "sip:controller@" + settings.domain();
    return new Subscriber(stack.userAgent(), host, event, localUri, target, server, watcher);
  }

  /** Begins: subscribes and starts the policy. */
  @Override
  public void start() {
    if (recovery != null) {
      recovery.start();
    }
    controller.start();
    circuitSubscriber.subscribe();
  }

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    stack.receive(from, message, arrivedAtMillis);
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
  public String lastNotifyError() {
    return lastNotifyError;
  }

  /** Calls with any leg left. */
  public int callCount() {
    return bridges.size() + (savedLegs == null ? 0 : savedLegs.deferredCallCount());
  }

  /**
   * Takes new settings for calls from now on: how classes are told apart, patience, margins and the
   * bound of calls. Places, timers and bounds of the stack stay as they were.
   */
  public void reload(FrontSettings newSettings) {
    settings =
        new FrontSettings(
            settings.domain(),
            settings.localSwitch(),
            settings.listServer(),
            newSettings.classes(),
            newSettings.patienceMillis(),
            newSettings.answerMarginMillis(),
            newSettings.maxCalls(),
            newSettings.retryAfterSeconds(),
            settings.timing(),
            settings.limits());
  }

  /** Takes nothing new and gives up its subscriptions; calls in flight go on. */
  public void drain() {
    controller.drain();
    directorySubscriber.stop();
    circuitSubscriber.stop();
  }

  /** Takes nothing new, answers each call in flight, and gives up its subscriptions. */
  public void shutDown() {
    controller.shutDown();
    directorySubscriber.stop();
    circuitSubscriber.stop();
  }

  UserAgent userAgent() {
    return stack.userAgent();
  }

  SipHost host() {
    return host;
  }

  FrontSettings settings() {
    return settings;
  }

  Hop localSwitch() {
    return settings.localSwitch();
  }

  // ---- Calls that come in -------------------------------------------------------------------

  @Override
  public CallListener incoming(CallLeg leg) {
    SipUri uri = SipUri.parse(leg.invite().uri());
    int destination = controller.directory().numberOfDomain(uri.host());
    boolean full = callCount() >= settings.maxCalls();
    if (full || controller.directory().version() < 0 || mayPredateRestart(leg)) {
      int retryAfterSeconds = settings.retryAfterSeconds();
      leg.reject(FinalResponses.unavailable(leg, ReasonField.CONGESTION, false, retryAfterSeconds));
      return null;
    }
    if (remainingPatience(leg) <= 0) {
      // It waited here unread until its caller's time was up: no attempt may leave for it.
      leg.reject(leg.response(408));
      return null;
    }
    if (uri.user().isEmpty() || destination < 0) {
      leg.reject(leg.response(uri.user().isEmpty() ? 484 : 404));
      return null;
    }
    lastCallNumber++;
    String id = callIdPrefix + lastCallNumber;
    incomingBridge = new Bridge(this, id, isFromLocalSwitch(leg), leg);
    bridges.put(id, incomingBridge);
    return incomingBridge.callerListener();
  }

  /**
   * After calls had gone on unkept an INVITE that comes by UDP may be the repeat of one whose
   * attempt is out: no attempt is made for such while one of before can come again. What comes by
   * TCP is new, as all connections were made since.
   */
  private boolean mayPredateRestart(CallLeg leg) {
    return recovery != null
        && recovery.newCallsMayPredateRestart()
        && leg.hop().transport() == Transport.UDP;
  }

  @Override
  public void callAccepted(CallLeg leg) {
    Bridge bridge = incomingBridge;
    SipRequest invite = leg.invite();
    SipUri uri = SipUri.parse(invite.uri());
    int type = settings.classes().classOf(invite, uri.user());
    int cause = ReasonField.of(invite).cause();
    String id = callIdPrefix + lastCallNumber;
    Call call =
        new Call(
            id,
            type,
            remainingPatience(leg),
            controller.settings().classes().get(type).width(),
            uri.user(),
            controller.directory().numberOfDomain(uri.host()),
            isFromLocalSwitch(leg),
            ReasonField.hasSipCause(invite),
            cause == ReasonField.TEMPORARY_FAILURE);
    controller.callArrived(call);
    if (bridge.hasEnded()) {
      bridges.remove(id);
    }
  }

  /** What is left of the caller's time: it waited here unread, and the answer has a way to go. */
  private double remainingPatience(CallLeg leg) {
    String expires = leg.invite().header("Expires");
    double patienceMillis =
        expires == null ? settings.patienceMillis() : 1000.0 * Long.parseLong(expires);
    return Math.max(
        0, patienceMillis - leg.millisSinceInvite(host.now()) - settings.answerMarginMillis());
  }

  /** A call that the own switch hands over came from another exchange: it is in transit. */
  private boolean isFromLocalSwitch(CallLeg leg) {
    Via via = leg.invite().via();
    Hop localSwitch = settings.localSwitch();
    return via.host().equals(localSwitch.host()) && via.portOrDefault() == localSwitch.port();
  }

  /** Forgets a call once nothing is left of it. */
  void removeIfEnded(String id) {
    Bridge bridge = bridges.get(id);
    if (bridge != null && bridge.hasEnded()) {
      bridges.remove(id);
    }
  }

  // ---- What the core orders -----------------------------------------------------------------

  @Override
  public Scheduler scheduler() {
    return scheduler;
  }

  @Override
  public void startAttempt(AttemptRequest request) {
    Bridge bridge = bridge(request.call());
    if (!bridge.isPrepared(request.attempt())) {
      prepareAttempt(request);
    }
    bridge.sendInvite();
  }

  /** Makes an attempt ready without sending it. */
  Bridge prepareAttempt(AttemptRequest request) {
    Bridge bridge = bridge(request.call());
    bridge.prepare(request, attemptInvite(request, bridge.callerLeg().invite()));
    return bridge;
  }

  private SipRequest attemptInvite(AttemptRequest request, SipRequest callerInvite) {
    String domain =
        request.destination() == null
            ? SipUri.parse(callerInvite.uri()).host()
            : request.destination().domain();
    String uri = "sip:" + request.number() + '@' + domain;
    SipRequest invite = new SipRequest("INVITE", uri);
    Hop localSwitch = settings.localSwitch();
    invite.add("Max-Forwards", Long.toString(callerInvite.numericHeader("Max-Forwards", 70) - 1));
    invite.add("Route", "<sip:" + localSwitch.host() + ':' + localSwitch.port() + ";lr>");
    if (request.viaTandem()) {
      invite.add("Route", '<' + request.nextExchange().address() + ";lr>");
    }
    invite.add("From", '<' + NameAddr.parse(callerInvite.header("From")).uri() + '>');
    invite.add("To", '<' + uri + '>');
    int expiresSeconds = (int) Math.max(1, Math.ceil(request.timeoutMillis() / 1000));
    invite.add("Expires", Integer.toString(expiresSeconds));
    EndToEndHeaders.copy(callerInvite, invite);
    addHistory(request, callerInvite, invite);
    return invite;
  }

  /** Tells the way taken, where the caller wants to know it (RFC 7044). */
  private static void addHistory(
      AttemptRequest request, SipRequest callerInvite, SipRequest invite) {
    List<String> history = callerInvite.headers("History-Info");
    if (!history.isEmpty()) {
      String lastEntry = history.get(history.size() - 1);
      String index = Params.parse(lastEntry.substring(lastEntry.indexOf('>') + 1)).get("index");
      String target = "<sip:" + request.number() + '@' + request.nextExchange().domain() + '>';
      invite.add("History-Info", target + ";index=" + index + '.' + (request.attempt() + 1));
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
    removeIfEnded(call);
  }

  @Override
  public void releaseCaller(String call, boolean disconnected) {
    bridge(call).releaseCaller(disconnected);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double sentAt) {
    SipRequest options = newRequest("OPTIONS", exchange.address());
    options.add("Accept", "application/json");
    Hop hop = SipUri.parse(exchange.address()).hop();
    userAgent().sendOutsideDialog(options, hop, new ProbeListener(exchange.id(), sentAt));
  }

  private SipRequest newRequest(String method, String uri) {
    SipRequest request = new SipRequest(method, uri);
    request.add("From", "<sip:controller@" + settings.domain() + '>');
    request.add("To", '<' + uri + '>');
    return request;
  }

  /** Hears the answer to one probe. */
  private final class ProbeListener implements ClientTransaction.Listener {
    private final String exchange;
    private final double sentAt;

    ProbeListener(String exchange, double sentAt) {
      this.exchange = exchange;
      this.sentAt = sentAt;
    }

    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        LoadReports.Report report = OverloadReport.of(response, host.now());
        if (report != null) {
          controller.overloadReported(exchange, report);
        }
        controller.probeCompleted(exchange, response.isSuccess(), sentAt);
      }
    }

    @Override
    public void failed(Failure failure) {
      controller.probeCompleted(exchange, false, sentAt);
    }
  }

  @Override
  public void broadcast(byte[] payload) {
    for (ExchangeDirectory.Entry entry : controller.directory().entries()) {
      if (entry.number() != controller.settings().localExchange()) {
        SipRequest message = newRequest("MESSAGE", "sip:controller@" + entry.domain());
        Hop localSwitch = settings.localSwitch();
        message.add("Route", "<sip:" + localSwitch.host() + ':' + localSwitch.port() + ";lr>");
        message.set(
            "From",
            "<sip:" + controller.settings().localExchange() + '@' + settings.domain() + '>');
        message.set("Content-Type", "application/octet-stream");
        message.body(payload);
        userAgent().sendOutsideDialog(message, localSwitch, ClientTransaction.Listener.IGNORE);
      }
    }
  }

  @Override
  public void subscribeToDirectory() {
    directorySubscriber.subscribe();
  }

  // ---- Requests outside of calls ------------------------------------------------------------

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    switch (request.method()) {
      case "NOTIFY" -> {
        if (!directorySubscriber.receiveNotify(transaction, request)
            && !circuitSubscriber.receiveNotify(transaction, request)) {
          transaction.respond(request.response(481));
        }
      }
      case "OPTIONS" -> transaction.respond(optionsResponse(request));
      case "MESSAGE" -> receivePeerMessage(transaction, request);
      default -> transaction.respond(request.response(489));
    }
  }

  private static SipResponse optionsResponse(SipRequest request) {
    SipResponse response = request.response(200);
    response.add("Allow", UserAgent.ALLOW);
    response.add("Accept", "application/sdp");
    response.add("Supported", "100rel, timer");
    return response;
  }

  private void receivePeerMessage(ServerTransaction transaction, SipRequest request) {
    SipUri from = SipUri.parse(request.addressHeader("From").uri());
    boolean known = from != null && from.user().matches("[0-9]{1,9}");
    transaction.respond(request.response(known ? 200 : 403));
    if (known) {
      controller.peerMessageReceived(Integer.parseInt(from.user()), request.body());
    }
  }

  /** Load figures of the own switch ride on each of its answers. */
  void reportLocalLoad(SipResponse response) {
    LoadReports.Report report = OverloadReport.of(response, host.now());
    ExchangeDirectory.Entry localExchange =
        controller.directory().byNumber(controller.settings().localExchange());
    if (report != null && localExchange != null) {
      controller.overloadReported(localExchange.id(), report);
    }
  }

  /** Hears of the exchange list. */
  private final class DirectoryWatcher implements Subscriber.Watcher {
    @Override
    public void notified(SipRequest notify) {
      try {
        if (controller.updateDirectory(
            NotifyBodies.parseDirectoryUpdate(notify.bodyText(), host.now()))) {
          directorySubscriber.subscribe();
        }
      } catch (NotifyBodies.MalformedBodyException e) {
        lastNotifyError = LIST_EVENT + ": " + e.getMessage();
      }
    }

    @Override
    public void lost(String reason) {
      controller.directoryUnavailable();
    }
  }

  /** Hears of the own circuit groups. */
  private final class CircuitWatcher implements Subscriber.Watcher {
    @Override
    public void notified(SipRequest notify) {
      try {
        NotifyBodies.CircuitReport report = NotifyBodies.parseCircuitReport(notify.bodyText());
        if (!report.epoch().equals(circuitEpoch)) {
          circuitEpoch = report.epoch();
          controller.circuitGroups().clear();
        }
        for (NotifyBodies.CircuitGroup group : report.groups()) {
          controller.circuitsReported(
              group.remoteExchange(), group.free(), group.size(), report.version());
        }
      } catch (NotifyBodies.MalformedBodyException e) {
        lastNotifyError = CIRCUIT_EVENT + ": " + e.getMessage();
      }
    }

    @Override
    public void lost(String reason) {
      // The figures held stay the last that are known; the subscriber asks again by itself.
    }
  }
}
