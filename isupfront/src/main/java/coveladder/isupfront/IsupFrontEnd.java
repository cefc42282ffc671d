package coveladder.isupfront;

import coveladder.CallPolicy;
import coveladder.core.AttemptGuard;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.Signalling;
import coveladder.core.TrackedCall;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import java.util.List;
import java.util.function.Function;

/**
 * The protocol front end of the call controller on the platform: joins callers, switches and the
 * journal service to the core. It makes no routing decisions, opens no socket and reads no system
 * clock.
 */
public final class IsupFrontEnd implements Signalling {
  private static final double CHECK_INTERVAL_MILLIS = 100;

  /** Time between two checks that shows that this process was stopped in between. */
  private static final double STALL_MILLIS = 1_000;

  /**
   * Time after a stall before silence counts: what has arrived meanwhile is read, and a switch that
   * had nothing to say accepts a connection.
   */
  private static final double STALL_GRACE_MILLIS = 300;

  /**
   * Upper limit of the shutdown window. At a planned restart the platform's window is the longest
   * caller time-out, but at most this long; the platform kills the process no sooner than 0.7 s
   * after the end of the window.
   */
  private static final double MAX_SHUTDOWN_WINDOW_MILLIS = 3_000;

  /** Share of the shutdown window in which set-ups are still served; later ones are refused. */
  private static final double SERVING_SHARE = 2.0 / 3;

  /** Time after the shutdown window in which ended calls are still released. */
  private static final double RELEASE_PERIOD_MILLIS = 100;

  /**
   * Time for which the process continues after it closed its connections. A set-up that crosses the
   * close of its connection, arriving 50 ms after it, is sent again by its caller, to another
   * controller.
   */
  private static final double CLOSE_CROSSING_MILLIS = 100;

  private final PlatformSettings settings;
  private final Scheduler scheduler;
  private final Counters counters = new Counters();
  private final EventRecorder log;
  private final CallController controller;
  private final SwitchLinks switches;
  private final CallerRequests callers;
  private final JournalFollower journal;
  private final Transport transport;
  private final double shutdownWindowMillis;

  /** Clock of the last periodic check, ms. */
  private double lastCheckAt;

  /** Clock from which the silence of a peer counts again, ms. */
  private double silenceCountsFrom;

  /** Clock at which termination was requested, ms; NaN before. */
  private double terminationRequestedAt = Double.NaN;

  /** Clock at which all connections were closed, ms; NaN before. */
  private double connectionsClosedAt = Double.NaN;

  /**
   * Creates a front end with its controller.
   *
   * @param eventLog receives each step of each call and connection
   * @param policyFactory creates the policy, given the receiver of its actions
   */
  public IsupFrontEnd(
      PlatformSettings settings,
      Limits limits,
      Transport transport,
      Scheduler scheduler,
      EventLog eventLog,
      Function<CallPolicy.Actions, CallPolicy> policyFactory) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.transport = transport;
    this.log = new EventRecorder(scheduler, eventLog);
    this.shutdownWindowMillis = shutdownWindowMillis(settings.policySettings().classes());
    AttemptGuard guard =
        new AttemptGuard(settings.policySettings().guardTime(), settings.drainGraceMillis());
    int localExchange = settings.policySettings().localExchange();
    this.controller =
        new CallController(
            settings.policySettings(), this, guard, new CallObserver(), policyFactory);
    EndedCalls endedCalls = new EndedCalls(scheduler, limits.maxTrackedCalls());
    this.switches =
        new SwitchLinks(
            controller,
            scheduler,
            transport,
            limits,
            counters,
            log,
            endedCalls,
            localExchange,
            guard,
            settings.seed());
    SetUp.Reader reader =
        new SetUp.Reader(
            settings.classNames(), settings.policySettings().classes(), this::canBeCalled);
    ReleaseSender releases = new ReleaseSender(scheduler, log);
    this.callers =
        new CallerRequests(
            controller, scheduler, limits, reader, releases, switches, endedCalls, counters, log);
    this.journal =
        new JournalFollower(
            controller,
            scheduler,
            transport,
            counters,
            log,
            settings.journalAddress(),
            switches::directoryChanged,
            callers::directoryConfirmed);
    switches.setDescriptionListener(callers::storeDescription);
    switches.setCallerInput(callers);
  }

  private static double shutdownWindowMillis(List<CallPolicy.CallClass> classes) {
    double maxCallerTimeout =
        classes.stream().mapToDouble(CallPolicy.CallClass::callerTimeout).max().orElse(0);
    return Math.min(MAX_SHUTDOWN_WINDOW_MILLIS, maxCallerTimeout);
  }

  /**
   * Whether a number can be that of an exchange; protects the core from invented numbers. The local
   * exchange and exchanges missing from the directory are included: while another controller is
   * down, its callers use this one, also for calls to the local exchange, and the policy decides on
   * such calls.
   */
  private boolean canBeCalled(int number) {
    return number >= 0 && number < settings.policySettings().controllerCount()
        || controller.directory().hasEverListed(number);
  }

  /** Logs each change of a call's state and forgets the calls that the controller removes. */
  private final class CallObserver extends CallStateLog {
    CallObserver() {
      super(log);
    }

    @Override
    public void callRemoved(TrackedCall call) {
      callers.callRemoved(call.call().id());
    }
  }

  /** Starts the controller, the journal follower and the periodic checks. */
  public void start() {
    controller.start();
    journal.start(settings.knownEvents(), settings.journalPosition());
    lastCheckAt = scheduler.now();
    runPeriodicChecks();
  }

  private void runPeriodicChecks() {
    boolean judgesSilence = canJudgeSilence();
    switches.checkConnections(judgesSilence);
    if (judgesSilence) {
      callers.closeSilentConnections();
      journal.resubscribeIfSilent();
    }
    callers.dropExpired();
    advanceShutdown();
    scheduler.schedule(CHECK_INTERVAL_MILLIS, this::runPeriodicChecks);
  }

  /** Whether this process ran lately: the silence of a peer counts only while it could be heard. */
  private boolean canJudgeSilence() {
    double now = scheduler.now();
    double sinceLastCheckMillis = now - lastCheckAt;
    lastCheckAt = now;
    if (sinceLastCheckMillis > STALL_MILLIS) {
      log.state("", "", "stopped for " + Math.round(sinceLastCheckMillis) + " ms");
      counters.increment("stalls of this process");
      silenceCountsFrom = now + STALL_GRACE_MILLIS;
    }
    return now >= silenceCountsFrom;
  }

  /** Accepts a caller's connection; returns the listener for its events. */
  public ConnectionListener acceptCaller(Connection connection) {
    return callers.acceptCaller(connection);
  }

  /** Applies a new configuration, of which only the journal service's address takes effect. */
  public void reconfigure(PlatformSettings newSettings) {
    log.state("", newSettings.journalAddress().toString(), "new configuration");
    journal.moveTo(newSettings.journalAddress());
  }

  /**
   * Requests termination: set-ups are served during the first part of the shutdown window, and all
   * pending calls are answered at its end.
   */
  public void terminate() {
    if (Double.isNaN(terminationRequestedAt)) {
      terminationRequestedAt = scheduler.now();
      log.state("", "", "terminating, pending calls are served for a time");
      callers.failCallerTests();
    }
  }

  /**
   * Shuts down in steps before the platform may kill the process: refuses late set-ups, then
   * answers all pending calls, then closes the connections, so that no set-up is accepted that
   * could not be answered.
   */
  private void advanceShutdown() {
    double elapsedMillis = scheduler.now() - terminationRequestedAt;
    if (elapsedMillis >= SERVING_SHARE * shutdownWindowMillis) {
      callers.refuseSetUps();
    }
    if (elapsedMillis >= shutdownWindowMillis) {
      callers.reportAllHeld();
      controller.shutDown();
    }
    if (elapsedMillis >= shutdownWindowMillis + RELEASE_PERIOD_MILLIS
        && Double.isNaN(connectionsClosedAt)) {
      connectionsClosedAt = scheduler.now();
      log.state("", "", "closing all connections");
      transport.stopListening();
      switches.closeAll();
      callers.closeAll();
    }
  }

  /**
   * Whether the shutdown is complete: every call has its answer, and the connections were closed
   * long enough ago.
   */
  public boolean isTerminated() {
    return scheduler.now() - connectionsClosedAt >= CLOSE_CROSSING_MILLIS
        && callers.pendingCount() == 0;
  }

  /** Memory of the set-ups of the calls without a final answer, octets. */
  long pendingOctets() {
    return callers.pendingOctets();
  }

  /** Number of attempts that the links to switches hold. */
  int outstandingAtSwitches() {
    return switches.outstandingCount();
  }

  /** Number of ends of calls, releases and ids kept for messages that may still come. */
  int keptEntries() {
    return callers.keptEntries() + switches.keptIds();
  }

  /** Number of releases that wait for connections of their callers. */
  int waitingReleases() {
    return callers.waitingReleases();
  }

  /** Counters of unusual events. */
  public Counters counters() {
    return counters;
  }

  /** One line with the numbers of calls and connections, for the log. */
  public String stateSummary() {
    return "calls "
        + controller.callCount()
        + ", pending "
        + callers.pendingCount()
        + ", established "
        + switches.establishedCount()
        + ", caller connections "
        + callers.connectionCount()
        + ", switch connections "
        + switches.connectionCount()
        + ", journal position "
        + journal.position();
  }

  /** The controller behind this front end. */
  public CallController controller() {
    return controller;
  }

  // ---- Requests of the core -----------------------------------------------------------------

  @Override
  public void startAttempt(AttemptRequest request) {
    switches.startAttempt(request, callers.setUp(request.call()));
  }

  @Override
  public void cancelAttempt(String call, int attempt) {
    switches.cancelAttempt(call, attempt);
  }

  @Override
  public void releaseAttempt(String call, int attempt) {
    switches.release(call);
  }

  @Override
  public void answer(String call, FinalAnswer answer) {
    callers.answer(call, answer);
  }

  @Override
  public void releaseCaller(String call, boolean disconnected) {
    callers.release(call, disconnected);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double sentAt) {
    switches.probe(exchange, sentAt);
  }

  @Override
  public void broadcast(byte[] payload) {
    counters.increment("messages to other controllers, which the protocol does not carry");
  }

  @Override
  public void subscribeToDirectory() {
    // The journal follower subscribes at the start.
  }

  @Override
  public Scheduler scheduler() {
    return scheduler;
  }
}
