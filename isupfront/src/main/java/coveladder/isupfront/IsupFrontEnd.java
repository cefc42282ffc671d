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
 * The call controller on the platform's protocol: joins callers, switches and the journal service
 * to the core. It decides nothing on calls; it opens no socket and reads no clock.
 */
public final class IsupFrontEnd implements Signalling {
  private static final double SWEEP = 100;

  /**
   * The platform's window at a planned restart: the longest deadline, counted as so long where it
   * is longer, ms. It kills no sooner than 0.7 s after that.
   */
  private static final double LONGEST_WINDOW = 3_000;

  /** Share of the window in which set-ups are served; what comes later is refused at once. */
  private static final double SERVED = 2.0 / 3;

  /** Calls that end are released for so long after the last answers are due, ms. */
  private static final double RELEASES = 100;

  /** A set-up that crosses the close of its connection by 50 ms is sent again elsewhere, ms. */
  private static final double CROSSING = 100;

  private final PlatformSettings settings;
  private final Scheduler clock;
  private final Counters counters = new Counters();
  private final CallController controller;
  private final SwitchLinks switches;
  private final CallerCalls callers;
  private final JournalFollower journal;
  private final Transport wires;
  private final double window;
  private double endsSince = Double.NaN;
  private double closedAt = Double.NaN;

  /**
   * Makes a front with its controller.
   *
   * @param policies makes the policy that decides, given where its actions go
   */
  public IsupFrontEnd(
      PlatformSettings settings,
      Limits limits,
      Transport wires,
      Scheduler clock,
      Function<CallPolicy.Actions, CallPolicy> policies) {
    this.settings = settings;
    this.clock = clock;
    this.wires = wires;
    this.window = window(settings.policySettings().classes());
    AttemptGuard guard =
        new AttemptGuard(settings.policySettings().guardTime(), settings.drainGraceMillis());
    int self = settings.policySettings().localExchange();
    this.controller =
        new CallController(settings.policySettings(), this, guard, new Ends(), policies);
    this.switches =
        new SwitchLinks(controller, clock, wires, limits, counters, self, guard, settings.seed());
    SetUp.Reader reader =
        new SetUp.Reader(
            settings.classNames(), settings.policySettings().classes(), this::canBeCalled);
    ReleaseKeeper releases = new ReleaseKeeper(clock);
    this.callers = new CallerCalls(controller, clock, limits, reader, releases, switches, counters);
    this.journal =
        new JournalFollower(
            controller, clock, wires, counters, settings.journalAddress(), switches::follow);
    switches.describeTo(callers::describe);
  }

  private static double window(List<CallPolicy.CallClass> classes) {
    double longest =
        classes.stream().mapToDouble(CallPolicy.CallClass::callerTimeout).max().orElse(0);
    return Math.min(LONGEST_WINDOW, longest);
  }

  /**
   * Whether a number can be of an exchange. The own one is among them: while another controller is
   * away, its callers come here, also with calls to this exchange, and where those go is the
   * policy's matter. So are calls to one that the list lacks. Guards the core against numbers that
   * are made up.
   */
  private boolean canBeCalled(int number) {
    return number >= 0 && number < settings.policySettings().controllerCount()
        || controller.directory().hasEverListed(number);
  }

  /** Hears which calls are over. */
  private final class Ends implements CallController.Observer {
    @Override
    public void callRemoved(TrackedCall call) {
      callers.ended(call.call().id());
    }
  }

  /** Begins. */
  public void start() {
    controller.start();
    journal.start(settings.knownEvents(), settings.journalPosition());
    sweep();
  }

  private void sweep() {
    switches.sweep();
    callers.sweep();
    journal.sweep();
    end();
    clock.schedule(SWEEP, this::sweep);
  }

  /** A caller connected. */
  public ConnectionListener acceptCaller(Connection wire) {
    return callers.accepted(wire);
  }

  /** A new configuration holds; of it, the address of the journal service is followed. */
  public void reconfigure(PlatformSettings changed) {
    journal.moved(changed.journalAddress());
  }

  /** The controller is to end: calls still come for a while, then the last are answered. */
  public void terminate() {
    if (Double.isNaN(endsSince)) {
      endsSince = clock.now();
      callers.failTests();
    }
  }

  /**
   * The end in steps, before the platform may kill: what comes late is refused, then whatever is
   * unanswered gets its answer, then the connections are closed, so that nothing more is taken that
   * could not be answered.
   */
  private void end() {
    double since = clock.now() - endsSince;
    if (since >= SERVED * window) {
      callers.end();
    }
    if (since >= window) {
      controller.shutDown();
    }
    if (since >= window + RELEASES && Double.isNaN(closedAt)) {
      closedAt = clock.now();
      wires.stopListening();
      switches.closeAll();
      callers.closeAll();
    }
  }

  /** Whether it was told to end, every call has its answer, and no connection can bring more. */
  public boolean isTerminated() {
    return clock.now() - closedAt >= CROSSING && callers.open() == 0;
  }

  /** What was counted. */
  public Counters counters() {
    return counters;
  }

  /** One line on what is held. */
  public String stateSummary() {
    return "calls "
        + controller.callCount()
        + ", unanswered "
        + callers.open()
        + ", standing "
        + switches.standing()
        + ", caller links "
        + callers.links()
        + ", switch links "
        + switches.connections()
        + ", journal at "
        + journal.pos();
  }

  /** The controller that it drives. */
  public CallController controller() {
    return controller;
  }

  // ---- What the core asks for ---------------------------------------------------------------

  @Override
  public void startAttempt(AttemptRequest order) {
    switches.start(order, callers.setUp(order.call()));
  }

  @Override
  public void cancelAttempt(String call, int attempt) {
    switches.cancel(call, attempt);
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
  public void releaseCaller(String call, boolean cut) {
    callers.release(call, cut);
  }

  @Override
  public void probe(ExchangeDirectory.Entry exchange, double askedAt) {
    switches.probe(exchange, askedAt);
  }

  @Override
  public void broadcast(byte[] payload) {
    counters.increment("messages to other controllers, which the protocol does not carry");
  }

  @Override
  public void subscribeToDirectory() {
    // The journal service is followed from the start.
  }

  @Override
  public Scheduler scheduler() {
    return clock;
  }
}
