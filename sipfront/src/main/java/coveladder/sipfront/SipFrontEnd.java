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
 * The SIP protocol front end of one call controller: callers' INVITEs become calls of the core, and
 * the core's requests become INVITE, CANCEL and BYE toward the local switch.
 */
public final class SipFrontEnd implements SipNode, UserAgent.Owner, Signalling {
  /** Event package of the exchange directory. */
  public static final String DIRECTORY_EVENT = "exchange-list";

  /** Event package of the local switch's circuit groups. */
  public static final String CIRCUIT_EVENT = "circuit-groups";

  private final SipHost host;
  private FrontEndSettings settings;
  private final SipStack stack;
  private final CallController controller;
  private final Scheduler scheduler;

  /** Calls whose legs have not both ended, by call id, without those not restored yet. */
  private final Map<String, Bridge> bridges = new HashMap<>();

  private final Subscriber directorySubscriber;
  private final Subscriber circuitSubscriber;

  /** Epoch of the last circuit report; another one means that the switch was restarted. */
  private String circuitEpoch = "";

  /** The core's call id is this prefix followed by the call's number. */
  private final String callIdPrefix;

  private SavedLegs savedLegs;
  private WriteAheadSignalling writeAhead;
  private Recovery recovery;
  private long lastCallNumber;
  private String lastNotifyError = "";

  /** The call that {@link #incoming} created last, for {@link #callAccepted}. */
  private Bridge incomingBridge;

  /**
   * Creates a controller whose calls do not survive a restart. It does nothing before {@link
   * #start}.
   *
   * @param policyFactory creates the routing policy
   */
  public SipFrontEnd(
      SipHost host,
      FrontEndSettings settings,
      CallPolicy.Settings policySettings,
      AttemptGuard attemptGuard,
      CallController.Observer observer,
      Function<CallPolicy.Actions, CallPolicy> policyFactory) {
    this(host, settings, policySettings, attemptGuard, observer, policyFactory, null);
  }

  /**
   * Creates a controller. It does nothing before {@link #start}.
   *
   * @param policyFactory creates the routing policy
   * @param persistence where calls are stored and how they are recovered; null: they are not stored
   */
  public SipFrontEnd(
      SipHost host,
      FrontEndSettings settings,
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
      this.savedLegs = new SavedLegs(this, persistence.persistentClock());
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
        newSubscriber(DIRECTORY_EVENT, settings.directoryServer(), new DirectoryWatcher());
    this.circuitSubscriber =
        newSubscriber(CIRCUIT_EVENT, settings.localSwitch(), new CircuitWatcher());
    stack.userAgent().transactionLayer().offerOverloadControl();
  }

  /**
   * Where calls are stored and how they are recovered after a restart.
   *
   * @param store the persistent store of calls
   * @param recoveryBudget limits of the traffic that recovery sends
   * @param persistentClock a clock that continues across restarts, ms; deadlines are stored by it
   */
  public record Persistence(
      CallStore store, RecoveryRate.Budget recoveryBudget, LongSupplier persistentClock) {}

  /** The layer that stores calls before messages are sent; null if calls are not stored. */
  public WriteAheadSignalling writeAhead() {
    return writeAhead;
  }

  /** The recovery of calls after a restart; null if calls are not stored. */
  public Recovery recovery() {
    return recovery;
  }

  /** The call with this id, restored first if that was deferred at the start; null if unknown. */
  Bridge bridge(String call) {
    Bridge bridge = bridges.get(call);
    return bridge != null || savedLegs == null ? bridge : savedLegs.restore(call);
  }

  /** Adds a call restored after a restart. */
  void addBridge(String call, Bridge bridge) {
    bridges.put(call, bridge);
  }

  /** Updates the record of an established call, one of whose dialogs has changed. */
  void callChanged(String call) {
    if (writeAhead != null && bridges.containsKey(call)) {
      writeAhead.callChanged(call);
    }
  }

  /**
   * Completes the release of a call, unless another BYE of it is unanswered. Called once a BYE was
   * answered or is known to get no answer.
   */
  void releaseCompleted(String call, Bridge bridge) {
    if (writeAhead != null && !bridge.isReleasing()) {
      writeAhead.releaseCompleted(call);
    }
  }

  /**
   * Handles a caller's CANCEL: its answer is sent once the cancellation is stored, or at once if
   * calls are not stored.
   */
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

  /** Starts recovery and the core, and subscribes to the circuit groups. */
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

  /** The SIP stack. */
  public SipStack stack() {
    return stack;
  }

  /** The core's call controller. */
  public CallController controller() {
    return controller;
  }

  /** Why the last malformed NOTIFY body was rejected; empty if there was none. */
  public String lastNotifyError() {
    return lastNotifyError;
  }

  /** Number of calls with at least one leg that has not ended. */
  public int callCount() {
    return bridges.size() + (savedLegs == null ? 0 : savedLegs.deferredCallCount());
  }

  /**
   * Applies new settings to calls from now on: call classes, patience, answer margin, maximum
   * number of calls and Retry-After. The domain, addresses, timers and limits of the stack do not
   * change.
   */
  public void reload(FrontEndSettings newSettings) {
    settings =
        new FrontEndSettings(
            settings.domain(),
            settings.localSwitch(),
            settings.directoryServer(),
            newSettings.classes(),
            newSettings.patienceMillis(),
            newSettings.answerMarginMillis(),
            newSettings.maxCalls(),
            newSettings.retryAfterSeconds(),
            settings.timing(),
            settings.limits());
  }

  /** Accepts no new calls and ends the subscriptions; present calls continue. */
  public void drain() {
    controller.drain();
    directorySubscriber.stop();
    circuitSubscriber.stop();
  }

  /** Accepts no new calls, answers each pending call and ends the subscriptions. */
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

  FrontEndSettings settings() {
    return settings;
  }

  Hop localSwitch() {
    return settings.localSwitch();
  }

  // ---- Incoming calls -----------------------------------------------------------------------

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
      // The INVITE was queued here until its caller's patience was over: no attempt may be sent.
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
   * Whether an INVITE may be a retransmission of one from before the restart. If calls were set up
   * before the restart without being stored, its attempt may still be in flight, so no other is
   * made while such a retransmission can arrive. This concerns UDP only: all TCP connections were
   * made after the restart, so an INVITE on one of them is new.
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
    int classNumber = settings.classes().classOf(invite, uri.user());
    int cause = ReasonField.of(invite).cause();
    String id = callIdPrefix + lastCallNumber;
    Call call =
        new Call(
            id,
            classNumber,
            remainingPatience(leg),
            controller.settings().classes().get(classNumber).width(),
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

  /**
   * The caller's remaining patience, ms: without the time that its INVITE was queued here and the
   * time reserved for the final answer to reach the caller.
   */
  private double remainingPatience(CallLeg leg) {
    String expires = leg.invite().header("Expires");
    double patienceMillis =
        expires == null ? settings.patienceMillis() : 1000.0 * Long.parseLong(expires);
    return Math.max(
        0, patienceMillis - leg.millisSinceInvite(host.now()) - settings.answerMarginMillis());
  }

  /**
   * Whether the local switch forwarded the call: it then comes from another exchange, in transit.
   */
  private boolean isFromLocalSwitch(CallLeg leg) {
    Via via = leg.invite().via();
    Hop localSwitch = settings.localSwitch();
    return via.host().equals(localSwitch.host()) && via.portOrDefault() == localSwitch.port();
  }

  /** Removes a call once both of its legs have ended. */
  void removeIfEnded(String id) {
    Bridge bridge = bridges.get(id);
    if (bridge != null && bridge.hasEnded()) {
      bridges.remove(id);
    }
  }

  // ---- Requests of the core -----------------------------------------------------------------

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

  /** Prepares an attempt without sending it. */
  Bridge prepareAttempt(AttemptRequest request) {
    Bridge bridge = bridge(request.call());
    bridge.prepareAttempt(request, attemptInvite(request, bridge.callerLeg().invite()));
    return bridge;
  }

  /** Builds the INVITE of an attempt from the caller's INVITE. */
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

  /** Adds the next exchange to History-Info if the caller's INVITE has that field (RFC 7044). */
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

  /** Creates a request of the controller outside any dialog. */
  private SipRequest newRequest(String method, String uri) {
    SipRequest request = new SipRequest(method, uri);
    request.add("From", "<sip:controller@" + settings.domain() + '>');
    request.add("To", '<' + uri + '>');
    return request;
  }

  /** Receives the response to one probe. */
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

  // ---- Requests outside calls ---------------------------------------------------------------

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

  /** The response to OPTIONS, which tells what the controller supports. */
  private static SipResponse optionsResponse(SipRequest request) {
    SipResponse response = request.response(200);
    response.add("Allow", UserAgent.ALLOW);
    response.add("Accept", "application/sdp");
    response.add("Supported", "100rel, timer");
    return response;
  }

  /** Handles a MESSAGE of another controller, whose exchange number is the user of From. */
  private void receivePeerMessage(ServerTransaction transaction, SipRequest request) {
    SipUri from = SipUri.parse(request.addressHeader("From").uri());
    boolean known = from != null && from.user().matches("[0-9]{1,9}");
    transaction.respond(request.response(known ? 200 : 403));
    if (known) {
      controller.peerMessageReceived(Integer.parseInt(from.user()), request.body());
    }
  }

  /** Passes on the local switch's load figures, which each of its responses may carry. */
  void reportLocalLoad(SipResponse response) {
    LoadReports.Report report = OverloadReport.of(response, host.now());
    ExchangeDirectory.Entry localExchange =
        controller.directory().byNumber(controller.settings().localExchange());
    if (report != null && localExchange != null) {
      controller.overloadReported(localExchange.id(), report);
    }
  }

  /** Receives updates of the exchange directory. */
  private final class DirectoryWatcher implements Subscriber.Watcher {
    @Override
    public void notified(SipRequest notify) {
      try {
        if (controller.updateDirectory(
            NotifyBodies.parseDirectoryUpdate(notify.bodyText(), host.now()))) {
          directorySubscriber.subscribe();
        }
      } catch (NotifyBodies.MalformedBodyException e) {
        lastNotifyError = DIRECTORY_EVENT + ": " + e.getMessage();
      }
    }

    @Override
    public void lost(String reason) {
      controller.directoryUnavailable();
    }
  }

  /** Receives reports on the local switch's circuit groups. */
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
      // The last known figures stay in use; the subscriber subscribes again by itself.
    }
  }
}
