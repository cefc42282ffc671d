package coveladder;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All decisions of a call controller. Its types, events and actions are in CallPolicy.java.
 *
 * <p>Reading map: tuned values; what is remembered; events; ordinary path; thresholds; the gate
 * before every send ({@code maySend}); waiting line; answers; crowded numbers; health.
 */
public final class NestedThresholdPolicy implements CallPolicy {

  // ---- Tuned values -------------------------------------------------------------------------

  /** Time between two computations of the thresholds, ms; DESIGN's value. */
  private static final double RECOMPUTE_INTERVAL_MILLIS = 2000;

  /** Window over which arrivals are counted, ms; DESIGN's value. */
  private static final double ARRIVAL_WINDOW_MILLIS = 10000;

  /** Beat by which the module sees that it stood still, ms; short beside every aim. */
  private static final double HEARTBEAT_INTERVAL_MILLIS = 100;

  /** Discount of the recursion for each step; DESIGN's value, a horizon of about one hold. */
  private static final double DISCOUNT_FACTOR = 0.99;

  /** Sweeps of the recursion; DESIGN says dozens. */
  private static final int VALUE_ITERATIONS = 60;

  /** Calls' worth of the exchange-wide mix put beside a group's own count of classes. */
  private static final double CLASS_MIX_WEIGHT_CALLS = 20;

  /** Part of the exchange-wide mix kept at each computation; about a minute's memory. */
  private static final double CLASS_MIX_RETENTION = 0.97;

  /** Circuits that alternative calls always leave free on a leg, for the root of its size. */
  private static final double RESERVE_PER_ROOT_OF_SIZE = 0.3;

  /** Further reserve as a share of the group, for a share 1 of direct calls blocked. */
  private static final double RESERVE_SHARE_PER_BLOCKED_SHARE = 0.5;

  /** Part of the blocked share kept at each computation; about the window's memory. */
  private static final double COUNTER_RETENTION = 0.8;

  /** Calls taken as rescued beside those counted, so that a quiet group starts open. */
  private static final double PRIOR_SUCCESSFUL_CALLS = 2;

  /** Tandems that one call tries; each turned back costs work at two exchanges. */
  private static final int MAX_TANDEM_ATTEMPTS = 2;

  /** Exchanges drawn at most in search of a tandem: the cost must not grow with the fleet. */
  private static final int MAX_TANDEM_DRAWS = 16;

  /** Fit tandems among which the one with most room is taken. */
  private static final int MAX_SUITABLE_TANDEMS = 3;

  /** A tandem that turned back a call to some destination is left out for it so long, ms. */
  private static final double CRANKBACK_PAUSE_MILLIS = 1500;

  /** Set-ups out toward one far end at first; low, as the far end may be sick or cold. */
  private static final double INITIAL_OUTSTANDING_LIMIT = 4;

  /** Set-ups out toward one far end at most; a warm processor answers these within an aim. */
  private static final double MAX_OUTSTANDING_LIMIT = 16;

  /** Answers within this share of the shortest aim show a far end that keeps up. */
  private static final double SLOW_ANSWER_SHARE = 0.5;

  /** Set-ups out of this controller at most; seldom reached unless answers fail to come. */
  private static final double MAX_TOTAL_OUTSTANDING_LIMIT = 16;

  /** Far ends that answer badly in turn before the own processor is held for the cause. */
  private static final int LOCAL_OVERLOAD_EXCHANGES = 6;

  /** Longest gap between set-ups of a pressed own processor, ms. */
  private static final double MAX_LOCAL_PAUSE_MILLIS = 2000;

  /** What a slow answer leaves of the set-ups allowed out. */
  private static final double LIMIT_REDUCTION_FACTOR = 0.7;

  /** Weight of a new answer's time in the delay expected of a far end. */
  private static final double DELAY_SMOOTHING_WEIGHT = 0.3;

  /** Shortest time to its aim with which a set-up is still worth sending, ms. */
  private static final double MIN_TIME_TO_AIM_MILLIS = 50;

  /** Share of its aim that a call must have left to be the trial call of a far end in doubt. */
  private static final double TRIAL_AIM_SHARE = 0.7;

  /** Longest gap between trials of a far end, ms; four intervals between own calls where less. */
  private static final double MAX_TRIAL_INTERVAL_MILLIS = 8000;

  /** A number with all lines busy is left alone for so long, then tried by one call, ms. */
  private static final double CONGESTED_NUMBER_PAUSE_MILLIS = 1000;

  /** Set-ups a second that a warm processor does for each call a second of its own callers. */
  private static final double SETUPS_PER_LOCAL_CALL = 2;

  /** Final answers leave so many clock steps before the caller's time is up. */
  private static final double FINAL_ANSWER_CLOCK_STEPS = 3;

  // ---- What is remembered -------------------------------------------------------------------

  private static final long RECOMPUTE_TIMER = 0;
  private static final long HEARTBEAT_TIMER = 1;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final double slowAnswerTime;
  private final boolean usesPools;
  private final double[] classMix;
  private final double[] tandemAttempts;
  private final double[] tandemAnswers;
  private double recentWorth;
  private double recentCalls;
  private double meanAnswerTime;
  private final double maxWorth;
  private final double minWorth;
  private final Map<String, Exchange> directory = new LinkedHashMap<>();
  private final Map<Integer, RemoteExchange> remoteExchanges = new TreeMap<>();
  private final List<RemoteExchange> inServiceExchanges = new ArrayList<>();
  private final Map<String, TrackedCall> calls = new LinkedHashMap<>();
  private final TreeSet<TrackedCall> waitQueue = new TreeSet<>();
  private final Map<Long, TrackedCall> timers = new LinkedHashMap<>();
  private final Map<String, Double> congestedNumbers = new LinkedHashMap<>();
  private final ArrayDeque<Double> localArrivals = new ArrayDeque<>();
  private double localCallRate;
  private double startedAt;
  private long sequence = HEARTBEAT_TIMER;
  private int outstandingAttempts;
  private double totalOutstandingLimit = MAX_TOTAL_OUTSTANDING_LIMIT / 3;
  private double localPause;
  private double lastEventAt;
  private double stallDuration;
  private final double[] maxPatience;
  private final TreeSet<Integer> badlyAnswering = new TreeSet<>();
  private double totalLimitReducedAt;

  /** Number of searches for a route so far: the main work of the policy. */
  long routesSearched;

  /** Number of waiting calls examined so far. */
  long waitingCallsExamined;

  private double localPausedUntil;

  /**
   * Makes a module from what the controller is told at start; the seed is of every random choice.
   */
  public NestedThresholdPolicy(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.usesPools = settings.layout() == Layout.POOLS;
    this.classMix = new double[settings.classes().size()];
    this.maxPatience = new double[classMix.length];
    this.tandemAttempts = new double[classMix.length];
    this.tandemAnswers = new double[classMix.length];
    this.maxWorth = settings.classes().stream().mapToDouble(CallClass::worth).max().orElse(0);
    this.minWorth = settings.classes().stream().mapToDouble(CallClass::worth).min().orElse(0);
    double shareOfShortestAim =
        SLOW_ANSWER_SHARE * settings.classes().stream().mapToDouble(CallClass::aim).min().orElse(0);
    this.slowAnswerTime =
        settings.retransmitAfter() > 0
            ? Math.min(settings.retransmitAfter(), shareOfShortestAim)
            : shareOfShortestAim;
  }

  // ---- Events -------------------------------------------------------------------------------

  @Override
  public void onStart(double now) {
    startedAt = now;
    lastEventAt = now;
    actions.startTimer(RECOMPUTE_INTERVAL_MILLIS, RECOMPUTE_TIMER);
    actions.startTimer(HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_TIMER);
    if (settings.directoryOnRequest()) {
      actions.subscribeToDirectory();
    }
  }

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate update) {
    updateClock(now);
    if (update.complete()) {
      directory.clear();
    }
    for (Exchange entry : update.entries()) {
      if (entry.state() == ExchangeState.GONE) {
        directory.remove(entry.id());
      } else {
        directory.put(entry.id(), entry);
      }
    }
    remoteExchanges.values().forEach(remote -> remote.currentEntry = null);
    for (Exchange entry : directory.values()) {
      RemoteExchange remote = remoteExchange(entry.number());
      boolean newer =
          remote.currentEntry == null || remote.currentEntry.startedAt() < entry.startedAt();
      if (entry.state() == ExchangeState.IN_SERVICE && newer) {
        remote.currentEntry = entry;
        remote.startLearnedAt =
            entry.startedAt() > remote.startLearnedAt ? now : remote.startLearnedAt;
        remote.sendTimes.removeIf(sentAt -> sentAt < entry.startedAt());
      }
    }
    inServiceExchanges.clear();
    remoteExchanges.values().stream()
        .filter(remote -> remote.currentEntry != null)
        .forEach(inServiceExchanges::add);
    serveWaitQueue(now, true);
  }

  @Override
  public void onCall(double now, Call call) {
    updateClock(now);
    if (call.type() < 0 || call.type() >= settings.classes().size()) {
      actions.refuse(call.id(), 0);
      return;
    }
    TrackedCall tracked = new TrackedCall(call, settings.classes().get(call.type()), sequence++);
    calls.put(call.id(), tracked);
    tracked.answerDeadline =
        now + Math.max(0, call.patience() - FINAL_ANSWER_CLOCK_STEPS * settings.clockResolution());
    tracked.aimDeadline = Math.min(tracked.answerDeadline, now + timeToAim(tracked));
    startCallTimer(tracked, tracked.answerDeadline - now);
    recordArrival(now, call);
    if (isCongested(now, call.number())) {
      refuse(tracked);
    } else {
      route(now, tracked);
    }
  }

  @Override
  public void onEstablished(double now, Established established) {
    updateClock(now);
    TrackedCall call = calls.get(established.call());
    if (call != null
        && call.currentAttempt != null
        && call.currentAttempt.number == established.attempt()) {
      call.established = true;
      call.currentAttempt.destination.workingTandems.add(call.currentAttempt.firstHop);
      tandemAnswers[call.request.type()] += call.currentAttempt.exchanges.size() - 1;
      if (call.overflowed) {
        remoteExchange(call.request.destination()).carriedOverflowCalls++;
      }
      recordAnswer(
          now,
          call.currentAttempt,
          Math.max(0, established.elapsed() - stallDuration),
          call.currentAttempt.exchanges);
      serveWaitQueue(now, false);
    }
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    updateClock(now);
    updateCircuits(ended.exchange(), ended.load());
    TrackedCall call = calls.get(ended.call());
    if (call != null
        && call.currentAttempt != null
        && call.currentAttempt.number == ended.attempt()) {
      handleAttemptEnd(now, call, ended);
    }
    serveWaitQueue(now, false);
  }

  @Override
  public void onCallerAbandoned(double now, String call) {
    TrackedCall tracked = calls.get(call);
    if (tracked != null) {
      finish(tracked);
    }
  }

  @Override
  public void onLoadReport(double now, LoadReport report) {
    updateClock(now);
    if (updateCircuits(report.exchange(), report.load())) {
      serveWaitQueue(now, false);
    }
  }

  @Override
  public void onTimer(double now, long label) {
    updateClock(now);
    if (label == HEARTBEAT_TIMER) {
      actions.startTimer(HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_TIMER);
    } else if (label == RECOMPUTE_TIMER) {
      recomputeEstimates(now);
      actions.startTimer(RECOMPUTE_INTERVAL_MILLIS, RECOMPUTE_TIMER);
    }
    TrackedCall call = timers.remove(label);
    boolean pending = call != null && !call.finished && !call.established;
    if (pending) {
      onCallTimer(now, call);
    }
    if (pending || label == HEARTBEAT_TIMER) {
      serveWaitQueue(now, label == HEARTBEAT_TIMER);
    }
  }

  @Override
  public void onPeerMessage(double now, int from, byte[] payload) {
    // The module sends no messages, so any that comes is not meant for this version.
  }

  /**
   * A gap in the module's own beat tells how long it stood still. Guards the estimates of far ends
   * against answers that lay unread, and the line against calls whose aim went by unseen, whatever
   * held the controller up. Could harm by taking a slow answer of that moment for a quick one.
   */
  private void updateClock(double now) {
    if (now > lastEventAt) {
      stallDuration = now - lastEventAt > 2 * HEARTBEAT_INTERVAL_MILLIS ? now - lastEventAt : 0;
      lastEventAt = now;
    }
  }

  /** Time to the aim of a new call. One that came too late for it is placed with the redials. */
  private double timeToAim(TrackedCall call) {
    double aim = call.callClass.aim();
    int type = call.request.type();
    if (call.late || call.request.transit() || call.request.returned()) {
      return aim;
    }
    maxPatience[type] = Math.max(maxPatience[type], call.request.patience());
    double timeLeft = aim - Math.min(stallDuration, maxPatience[type] - call.request.patience());
    call.late =
        timeLeft
            < Math.max(
                MIN_TIME_TO_AIM_MILLIS, remoteExchange(call.request.destination()).answerDelay);
    return call.late ? aim : timeLeft;
  }

  private void onCallTimer(double now, TrackedCall call) {
    if (now >= call.answerDeadline) {
      if (call.currentAttempt != null && settings.mayCancel()) {
        actions.cancel(call.request.id(), call.currentAttempt.number);
      }
      fail(call);
    } else if (call.currentAttempt == null
        && waitQueue.contains(call)
        && now >= call.aimDeadline - MIN_TIME_TO_AIM_MILLIS) {
      refuse(call);
    }
  }

  private void startCallTimer(TrackedCall call, double delay) {
    long label = ++sequence;
    timers.put(label, call);
    actions.startTimer(Math.max(0, delay), label);
  }

  // ---- Ordinary path ------------------------------------------------------------------------

  /** Decides on a call that has no attempt out: send, wait, refuse. */
  private void route(double now, TrackedCall call) {
    routesSearched++;
    if (call.request.transit()) {
      routeTransit(now, call);
    } else {
      routeDirect(now, call);
    }
  }

  private void routeDirect(double now, TrackedCall call) {
    RemoteExchange destination = remoteExchange(call.request.destination());
    if (!destination.hasCircuitGroup()) {
      routeAlternative(now, call);
    } else if (destination.admits(call)) {
      destination.recordOffered(call, false);
      if (maySend(now, call, destination, destination)) {
        send(now, call, destination, destination);
      } else {
        waitOrRefuse(now, call);
      }
    } else {
      destination.recordOffered(call, true);
      if (destination.threshold(call) >= destination.groupSize) {
        destination.overflowedCalls += call.overflowed ? 0 : 1;
        call.overflowed = true;
        routeAlternative(now, call);
      } else {
        refuse(call);
      }
    }
  }

  /**
   * Of the fit tandems (or pools of second choice) that lately carried a call there the one with
   * most room; where there is none, the same of the first fit ones drawn at random.
   */
  private void routeAlternative(double now, TrackedCall call) {
    RemoteExchange destination = remoteExchange(call.request.destination());
    RemoteExchange best = null;
    int type = call.request.type();
    double successShare =
        (tandemAnswers[type] + PRIOR_SUCCESSFUL_CALLS)
            / (tandemAttempts[type] + PRIOR_SUCCESSFUL_CALLS);
    if (call.tandemsTried < MAX_TANDEM_ATTEMPTS && isWorthSetup(call, successShare)) {
      for (RemoteExchange tandem : destination.workingTandems) {
        best =
            isSuitableTandem(now, call, tandem, destination)
                ? withMoreFreeCircuits(best, tandem)
                : best;
      }
      int suitable = best == null ? 0 : MAX_SUITABLE_TANDEMS;
      for (int i = 0;
          i < Math.min(MAX_TANDEM_DRAWS, inServiceExchanges.size())
              && suitable < MAX_SUITABLE_TANDEMS;
          i++) {
        Collections.swap(inServiceExchanges, i, i + random.nextInt(inServiceExchanges.size() - i));
        if (isSuitableTandem(now, call, inServiceExchanges.get(i), destination)) {
          suitable++;
          best = withMoreFreeCircuits(best, inServiceExchanges.get(i));
        }
      }
    }
    if (best == null) {
      waitOrRefuse(now, call);
      return;
    }
    call.tandemsTried++;
    tandemAttempts[type]++;
    send(now, call, best, destination);
  }

  /**
   * Whether a set-up is worth its work: the chance that it comes to something, times what the call
   * still earns beside a mean call, against the share of a good answer's time that answers take.
   * Guards against crankbacks and jams, whatever fills groups or slows processors: idle ones make a
   * set-up nearly free. Could harm when these have just come free, until the counts fade.
   */
  private boolean isWorthSetup(TrackedCall call, double chance) {
    return chance * call.value() * recentCalls >= recentWorth * meanAnswerTime / slowAnswerTime;
  }

  private static RemoteExchange withMoreFreeCircuits(RemoteExchange one, RemoteExchange other) {
    return one == null || other.freeCircuits > one.freeCircuits ? other : one;
  }

  private boolean isSuitableTandem(
      double now, TrackedCall call, RemoteExchange tandem, RemoteExchange destination) {
    return (!usesPools
            || call.callClass.pools().isEmpty()
            || call.callClass.pools().contains(tandem.number))
        && tandem != destination
        && tandem.hasCircuitGroup()
        && tandem.leavesReserve(call)
        && tandem.outstandingLimit >= 2
        && tandem.answerDelay + destination.answerDelay < slowAnswerTime
        && (tandem.outstanding.isEmpty()
            || now - tandem.outstanding.iterator().next().sentAt < slowAnswerTime)
        && tandem.crankbackUntil.getOrDefault(destination.number, 0.0) <= now
        && maySend(now, call, tandem, usesPools ? tandem : destination);
  }

  /** A call in transit goes on to its destination at once or is turned back. */
  private void routeTransit(double now, TrackedCall call) {
    RemoteExchange destination = remoteExchange(call.request.destination());
    if (destination.hasCircuitGroup()
        && destination.leavesReserve(call)
        && maySend(now, call, destination, destination)) {
      send(now, call, destination, destination);
    } else {
      refuse(call);
    }
  }

  // ---- Thresholds ---------------------------------------------------------------------------

  private void recordArrival(double now, Call call) {
    if (call.transit()) {
      return;
    }
    localArrivals.add(now);
    if (!call.redial() && !call.returned() && !congestedNumbers.containsKey(call.number())) {
      remoteExchange(call.destination()).arrivals.add(new double[] {now, call.type()});
      classMix[call.type()]++;
      recentCalls++;
      recentWorth += settings.classes().get(call.type()).worth();
    }
  }

  private void recomputeEstimates(double now) {
    localArrivals.removeIf(arrivedAt -> arrivedAt < now - ARRIVAL_WINDOW_MILLIS);
    double span =
        Math.min(ARRIVAL_WINDOW_MILLIS, Math.max(RECOMPUTE_INTERVAL_MILLIS, now - startedAt));
    localCallRate = localArrivals.size() / span;
    remoteExchanges.values().forEach(remote -> remote.recomputeThresholds(now, span));
    recentWorth *= CLASS_MIX_RETENTION;
    recentCalls *= CLASS_MIX_RETENTION;
    for (int classIndex = 0; classIndex < classMix.length; classIndex++) {
      classMix[classIndex] *= CLASS_MIX_RETENTION;
      tandemAttempts[classIndex] *= COUNTER_RETENTION;
      tandemAnswers[classIndex] *= COUNTER_RETENTION;
    }
    congestedNumbers.values().removeIf(until -> now > until + ARRIVAL_WINDOW_MILLIS);
  }

  /**
   * The report's value recursion on the busy count of one group, for Poisson arrivals: rates per
   * ms, hold in ms. For each class the first occupancy at which blocking is cheaper, or the size.
   */
  static int[] thresholds(int size, double[] rates, double hold, double[] costs) {
    double serviceRate = 1 / hold;
    double totalRate = size * serviceRate + Arrays.stream(rates).sum();
    double[] values = new double[size + 1];
    for (int iteration = 0; iteration < VALUE_ITERATIONS; iteration++) {
      values = valueIterationStep(values, rates, serviceRate, costs, totalRate);
    }
    int[] thresholds = new int[rates.length];
    for (int classIndex = 0; classIndex < rates.length; classIndex++) {
      int busy = 0;
      while (busy < size
          && DISCOUNT_FACTOR * values[busy + 1]
              <= costs[classIndex] + DISCOUNT_FACTOR * values[busy]) {
        busy++;
      }
      thresholds[classIndex] = busy;
    }
    return thresholds;
  }

  /**
   * One step of the value iteration for a circuit group.
   *
   * @param values expected future cost for each number of busy circuits
   * @param rates arrival rate of each class, per ms
   * @param serviceRate rate at which a busy circuit is released, per ms
   * @param costs cost of blocking a call of each class
   * @param totalRate rate of all events, per ms
   * @return the costs one step further from the end
   */
  static double[] valueIterationStep(
      double[] values, double[] rates, double serviceRate, double[] costs, double totalRate) {
    int size = values.length - 1;
    double[] nextValues = new double[size + 1];
    for (int busy = 0; busy <= size; busy++) {
      double valueBelow = values[Math.max(0, busy - 1)];
      double sum =
          serviceRate * (busy * valueBelow + (size - busy) * values[busy]) * DISCOUNT_FACTOR;
      for (int classIndex = 0; classIndex < rates.length; classIndex++) {
        double blockingCost = costs[classIndex] + DISCOUNT_FACTOR * values[busy];
        double admissionCost = busy < size ? DISCOUNT_FACTOR * values[busy + 1] : Double.MAX_VALUE;
        sum += rates[classIndex] * Math.min(blockingCost, admissionCost);
      }
      nextValues[busy] = sum / totalRate;
    }
    return nextValues;
  }

  // ---- The gate before every send -----------------------------------------------------------

  /**
   * The one owner of "may this call be sent there now": one attempt out, release guard, attempts
   * left, state of the exchange on the list, time left, set-ups out, budget of a cold processor.
   */
  private boolean maySend(
      double now, TrackedCall call, RemoteExchange firstHop, RemoteExchange destination) {
    return call.currentAttempt == null
        && !call.finished
        && now >= call.guardUntil
        && localProcessorAccepts(now, call)
        && call.attemptsSent < settings.maxAttempts()
        && call.mayRepeatAt(now, firstHop)
        && firstHop.number != settings.localExchange()
        && firstHop.currentEntry != null
        && destination.currentEntry != null
        && firstHop.accepts(now, call)
        && destination.accepts(now, call)
        && firstHop.withinColdStartBudget(now);
  }

  /**
   * A call that does not pay goes only while nothing else is out; those in transit are half done.
   */
  private boolean localProcessorAccepts(double now, TrackedCall call) {
    int limit = call.request.transit() || isWorthSetup(call, 1) ? (int) totalOutstandingLimit : 1;
    return now >= localPausedUntil && outstandingAttempts < limit;
  }

  private void send(
      double now, TrackedCall call, RemoteExchange firstHop, RemoteExchange destination) {
    waitQueue.remove(call);
    outstandingAttempts++;
    call.currentAttempt = new Attempt(call.attemptsSent++, now, firstHop, destination, call);
    firstHop.freeCircuits -= call.request.width();
    firstHop.sendTimes.add(now);
    if (firstHop == destination && !call.request.transit()) {
      firstHop.localBusyCircuits += call.request.width();
    }
    actions.send(call.request.id(), firstHop.currentEntry.id(), call.aimDeadline - now);
  }

  // ---- The waiting line ---------------------------------------------------------------------

  /**
   * Holds a call that the thresholds do not refuse until circuits or set-ups come free, no longer
   * than its aim allows. Answers every shortage that passes within a second or so. Dearest first.
   */
  private void waitOrRefuse(double now, TrackedCall call) {
    if (call.request.transit() || isUnroutable(now, call)) {
      refuse(call);
    } else if (waitQueue.add(call)) {
      startCallTimer(call, call.aimDeadline - MIN_TIME_TO_AIM_MILLIS - now);
      if (call.guardUntil > now) {
        startCallTimer(call, call.guardUntil - now);
      }
    }
  }

  /**
   * Lets calls leave the line, dearest first. Where the own processor takes one no more it takes
   * none behind it, and the walk ends; only the beat and the list walk on, to answer calls that are
   * lost. Guards against work that grows with the line at every event, whatever filled the line.
   * Could keep a lost call waiting for one beat.
   */
  private void serveWaitQueue(double now, boolean wholeQueue) {
    TrackedCall nextCall;
    for (TrackedCall call = waitQueue.isEmpty() ? null : waitQueue.first();
        call != null;
        call = nextCall) {
      nextCall = waitQueue.higher(call);
      waitingCallsExamined++;
      boolean accepts = localProcessorAccepts(now, call);
      if (!accepts && !wholeQueue) {
        return;
      }
      if (isUnroutable(now, call)) {
        refuse(call);
      } else if (accepts) {
        route(now, call);
      }
    }
  }

  /**
   * Whether no way is left to send the call within its aim, as far as the module can know: it then
   * gets its answer at once, so that its caller may turn elsewhere or dial again. Guards against
   * calls held for nothing, whatever closed their ways. Could harm where a way opens sooner than
   * told: the list names a new exchange, or a pause drawn too long.
   */
  private boolean isUnroutable(double now, TrackedCall call) {
    RemoteExchange destination = remoteExchange(call.request.destination());
    boolean hasDirectGroup =
        destination.hasCircuitGroup() && !(destination.groupSize < call.request.width());
    double neededTime =
        usesPools || !destination.outstanding.isEmpty() ? 0 : destination.minTimeForTrial(call);
    return call.aimDeadline - Math.max(now, pausedUntil(call))
            <= Math.max(MIN_TIME_TO_AIM_MILLIS, neededTime)
        || call.attemptsSent >= settings.maxAttempts()
        || !call.mayRepeatAt(now, null)
        || !usesPools && destination.currentEntry == null
        || !hasDirectGroup && call.tandemsTried >= MAX_TANDEM_ATTEMPTS;
  }

  /** When the pauses that stand in the call's way are over. */
  private double pausedUntil(TrackedCall call) {
    double exchangePausedUntil =
        usesPools ? 0 : remoteExchange(call.request.destination()).pausedUntil;
    return Math.max(exchangePausedUntil, Math.max(call.guardUntil, localPausedUntil));
  }

  // ---- Answers of attempts ------------------------------------------------------------------

  private void handleAttemptEnd(double now, TrackedCall call, AttemptEnded ended) {
    Attempt attempt = call.currentAttempt;
    call.currentAttempt = null;
    if (!call.established) {
      assessOutcome(now, attempt, ended);
    }
    call.established = false;
    outstandingAttempts -= attempt.answered ? 0 : 1;
    attempt.close();
    if (ended.callFinished() || call.finished) {
      call.finished = true;
      calls.remove(call.request.id());
      return;
    }
    Outcome outcome = ended.outcome();
    boolean uncertain =
        outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED;
    call.guardUntil = uncertain ? now + settings.guardTime() : call.guardUntil;
    call.uncertainAttempt =
        call.uncertainAttempt == null && (uncertain || outcome == Outcome.ERROR)
            ? attempt
            : call.uncertainAttempt;
    retryOrAnswer(now, call, ended);
  }

  /**
   * An answer in time or not: frees its place and tells of the own processor and of the far ends
   * that gave it. What a tandem turned back its destination never saw.
   */
  private void recordAnswer(
      double now, Attempt attempt, double elapsed, List<RemoteExchange> answeredBy) {
    if (attempt.answered) {
      return;
    }
    outstandingAttempts--;
    meanAnswerTime += DELAY_SMOOTHING_WEIGHT * (elapsed - meanAnswerTime);
    updateTotalLimit(now, elapsed, attempt.firstHop, elapsed <= slowAnswerTime);
    attempt.recordAnswer(now, elapsed, answeredBy);
  }

  /**
   * Where many far ends in turn answer badly with no good answer between, the own processor, which
   * every set-up passes, is the likelier cause: all set-ups out are then limited together, and when
   * few are left they are spread in time. Guards whatever slows the own processor. Could harm when
   * most far ends really are in trouble at once: then calls to the sound ones wait too.
   */
  private boolean updateTotalLimit(
      double now, double elapsed, RemoteExchange remote, boolean prompt) {
    if (prompt) {
      badlyAnswering.clear();
      localPause = localPause > slowAnswerTime ? localPause / 2 : 0;
      totalOutstandingLimit =
          Math.min(MAX_TOTAL_OUTSTANDING_LIMIT, totalOutstandingLimit + 1 / totalOutstandingLimit);
      return false;
    }
    badlyAnswering.add(remote.number);
    boolean localOverload =
        badlyAnswering.size() >= Math.min(LOCAL_OVERLOAD_EXCHANGES, directory.size() / 2 + 1);
    if (localOverload && now - elapsed >= totalLimitReducedAt) {
      totalLimitReducedAt = now;
      totalOutstandingLimit =
          Math.min(totalOutstandingLimit, outstandingAttempts + 1) * LIMIT_REDUCTION_FACTOR;
      if (totalOutstandingLimit < 1) {
        totalOutstandingLimit = 1;
        localPause = Math.min(MAX_LOCAL_PAUSE_MILLIS, Math.max(slowAnswerTime, 2 * localPause));
        localPausedUntil = Math.max(localPausedUntil, now + localPause * random.nextDouble());
      }
    }
    return localOverload;
  }

  /** What the end of a set-up says of the far ends. */
  private void assessOutcome(double now, Attempt attempt, AttemptEnded ended) {
    double elapsed = Math.max(0, ended.elapsed() - stallDuration);
    switch (ended.outcome()) {
      // No connection, however quickly told: calls must not run through their attempts on it.
      case REFUSED -> attempt.firstHop.recordOverload(now, 0);
      case TIMED_OUT -> {
        if (!updateTotalLimit(now, elapsed, attempt.firstHop, elapsed < slowAnswerTime)) {
          attempt.exchanges.forEach(remote -> remote.recordTimeout(now, elapsed));
        }
      }
      case BUSY -> {
        if (ended.reason() == Reason.PROCESSOR_FULL) {
          if (!updateTotalLimit(now, elapsed, attempt.firstHop, false)) {
            attempt.firstHop.recordOverload(now, ended.requestedWait());
          }
        } else if (ended.reason() == Reason.FULL_BEYOND) {
          attempt.destination.recordOverload(now, ended.requestedWait());
        } else {
          recordAnswer(now, attempt, elapsed, List.of(attempt.firstHop));
        }
        attempt.firstHop.crankbackUntil.put(
            attempt.destination.number, now + CRANKBACK_PAUSE_MILLIS);
        attempt.destination.workingTandems.remove(attempt.firstHop);
      }
      case ERROR -> recordAnswer(now, attempt, elapsed, attempt.exchanges);
      case SKIPPED -> {
        // The own processor is down: what is sent now only uses up attempts.
        if (ended.reason() == Reason.PROCESSOR_FULL) {
          localPausedUntil = now + slowAnswerTime;
        } else {
          attempt.firstHop.freeCircuits =
              Math.min(attempt.firstHop.freeCircuits, attempt.call.request.width() - 1);
        }
      }
      default -> {}
    }
  }

  private void retryOrAnswer(double now, TrackedCall call, AttemptEnded ended) {
    if (ended.reason() == Reason.NUMBER_BUSY) {
      congestedNumbers.put(call.request.number(), now + CONGESTED_NUMBER_PAUSE_MILLIS);
      refuse(call);
    } else if (call.request.transit()
        || now >= call.aimDeadline - MIN_TIME_TO_AIM_MILLIS
        || !call.mayRepeatAt(now, null)) {
      fail(call);
    } else {
      route(now, call);
    }
  }

  private void refuse(TrackedCall call) {
    if (call.uncertainAttempt != null && !call.callClass.repeatAnywhere()) {
      fail(call);
      return;
    }
    finish(call);
    actions.refuse(call.request.id(), call.request.transit() ? 0 : retryAfter(call));
  }

  /**
   * How long a refused caller should stay away, where callers follow it: until the pauses in its
   * way are over and what is out toward its far end has been answered. Guards far ends in trouble
   * against redials that can only be refused. Could harm a caller whose way opens sooner.
   */
  private double retryAfter(TrackedCall call) {
    double congestedUntil = congestedNumbers.getOrDefault(call.request.number(), 0.0);
    double wait =
        Math.max(0, Math.max(pausedUntil(call), congestedUntil) - lastEventAt)
            + remoteExchange(call.request.destination()).answerDelay;
    return Math.min(settings.maxRetryAfter(), wait);
  }

  private void fail(TrackedCall call) {
    finish(call);
    actions.fail(call.request.id());
  }

  private void finish(TrackedCall call) {
    call.finished = true;
    waitQueue.remove(call);
    if (call.currentAttempt == null) {
      calls.remove(call.request.id());
    }
  }

  // ---- Crowded numbers ----------------------------------------------------------------------

  /**
   * Guards against any number, or line behind it, that answers busy again and again. Could harm
   * callers of a number whose lines come free within the pause.
   */
  private boolean isCongested(double now, String number) {
    Double until = congestedNumbers.get(number);
    congestedNumbers.computeIfPresent(
        number, (key, end) -> now < end ? end : now + CONGESTED_NUMBER_PAUSE_MILLIS);
    return until != null && now < until;
  }

  // ---- Far ends -----------------------------------------------------------------------------

  private RemoteExchange remoteExchange(int number) {
    return remoteExchanges.computeIfAbsent(number, RemoteExchange::new);
  }

  /** Takes over the circuits told; whether more are free, so that a waiting call may go. */
  private boolean updateCircuits(String exchangeId, Load load) {
    Exchange entry = directory.get(exchangeId);
    if (entry == null || Double.isNaN(load.freeCircuits()) || Double.isNaN(load.groupSize())) {
      return false;
    }
    RemoteExchange remote = remoteExchange(entry.number());
    boolean moreFree = !(load.freeCircuits() <= remote.freeCircuits);
    remote.freeCircuits = load.freeCircuits();
    remote.groupSize = load.groupSize();
    return moreFree;
  }

  /** A far end: its group of circuits, its thresholds and the one estimate of its health. */
  private final class RemoteExchange {
    final int number;
    final ArrayDeque<double[]> arrivals = new ArrayDeque<>();
    final ArrayDeque<Double> sendTimes = new ArrayDeque<>();
    final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
    final LinkedHashSet<RemoteExchange> workingTandems = new LinkedHashSet<>();
    final Map<Integer, Double> crankbackUntil = new TreeMap<>();
    Exchange currentEntry;
    double freeCircuits = Double.NaN;
    double groupSize = Double.NaN;
    int localBusyCircuits;
    int[] thresholds;
    double directCalls;
    double blockedCalls;
    double otherUsersRate;
    double overflowedCalls;
    double carriedOverflowCalls;
    double outstandingLimit = INITIAL_OUTSTANDING_LIMIT;
    double answerDelay;
    double limitReducedAt;
    double pausedUntil;
    double trialInterval;
    final double coldStartPhase = random.nextDouble();
    double startLearnedAt;

    RemoteExchange(int number) {
      this.number = number;
    }

    boolean hasCircuitGroup() {
      return number != settings.localExchange() && !(groupSize <= 0);
    }

    double threshold(TrackedCall call) {
      boolean unlimited = thresholds == null || call.callClass.worth() >= maxWorth && !call.late;
      return unlimited
          ? groupSize
          : thresholds[call.request.type() + (call.late ? classMix.length : 0)];
    }

    boolean admits(TrackedCall call) {
      return Double.isNaN(groupSize)
          || freeCircuits >= call.request.width()
              && groupSize - freeCircuits + call.request.width() <= threshold(call);
    }

    /** Whether an alternative call leaves the reserve free, which direct calls need more. */
    boolean leavesReserve(TrackedCall call) {
      double blockedShare = directCalls > 0 ? blockedCalls / directCalls : 0;
      double reserve =
          Math.floor(
              RESERVE_PER_ROOT_OF_SIZE * Math.sqrt(groupSize)
                  + RESERVE_SHARE_PER_BLOCKED_SHARE * blockedShare * groupSize);
      return Double.isNaN(groupSize) || freeCircuits - call.request.width() >= reserve;
    }

    void recordOffered(TrackedCall call, boolean refused) {
      if (!call.countedAsOffered) {
        call.countedAsOffered = true;
        directCalls++;
        blockedCalls += refused ? 1 : 0;
      }
    }

    void recomputeThresholds(double now, double span) {
      arrivals.removeIf(arrival -> arrival[0] < now - ARRIVAL_WINDOW_MILLIS);
      directCalls *= COUNTER_RETENTION;
      blockedCalls *= COUNTER_RETENTION;
      overflowedCalls *= COUNTER_RETENTION;
      carriedOverflowCalls *= COUNTER_RETENTION;
      thresholds = arrivals.isEmpty() || !(groupSize >= 1) ? null : computeThresholds(span);
    }

    /** Own arrivals by class, and those of the other users of the group read off its circuits. */
    private int[] computeThresholds(double span) {
      double mixTotal = Arrays.stream(classMix).sum();
      double[] rates = new double[2 * classMix.length];
      double[] costs = new double[2 * classMix.length];
      double meanHold = 0;
      double meanWidth = 0;
      for (int classIndex = 0; classIndex < classMix.length; classIndex++) {
        final int type = classIndex;
        double arrivalCount = arrivals.stream().filter(arrival -> arrival[1] == type).count();
        rates[classIndex] =
            (arrivalCount + CLASS_MIX_WEIGHT_CALLS * classMix[classIndex] / mixTotal)
                / (arrivals.size() + CLASS_MIX_WEIGHT_CALLS);
        CallClass callClass = settings.classes().get(classIndex);
        costs[classIndex] = blockingCost(callClass.worth());
        // A redial earns little, so it counts by the circuit: a wide one would shut out first
        // tries.
        costs[classMix.length + classIndex] =
            blockingCost(callClass.worth() * callClass.lateWorth() / callClass.width());
        meanHold += rates[classIndex] * callClass.hold();
        meanWidth += rates[classIndex] * callClass.width();
      }
      otherUsersRate +=
          (Math.max(0, groupSize - freeCircuits - localBusyCircuits) / meanWidth / meanHold
                  - otherUsersRate)
              / 2;
      for (int classIndex = 0; classIndex < classMix.length; classIndex++) {
        rates[classIndex] *= arrivals.size() / span + otherUsersRate;
      }
      return NestedThresholdPolicy.thresholds((int) groupSize, rates, meanHold, costs);
    }

    /** Cost of blocking: what is above the cheapest counts as far as overflow is lost. */
    private double blockingCost(double worth) {
      double rescuedShare =
          Math.min(
              1,
              (carriedOverflowCalls + PRIOR_SUCCESSFUL_CALLS)
                  / (overflowedCalls + PRIOR_SUCCESSFUL_CALLS));
      return minWorth + (worth - minWorth) * (1 - rescuedShare);
    }

    /**
     * Whether one more set-up may go out: few enough out, and an answer in time to expect. Guards
     * against attempts that only burn work, whether the far end is silent, slow, pressed or cold.
     * Could harm a far end that recovered unseen: then the next trial call opens it again.
     */
    boolean accepts(double now, TrackedCall call) {
      double timeLeft = call.aimDeadline - now;
      return now >= pausedUntil
          && timeLeft
              >= (outstanding.isEmpty()
                  ? minTimeForTrial(call)
                  : Math.max(answerDelay, MIN_TIME_TO_AIM_MILLIS))
          && outstanding.size() < (int) outstandingLimit;
    }

    /** What a call must have left to be the trial of a far end with nothing out. */
    double minTimeForTrial(TrackedCall call) {
      return Math.min(answerDelay, TRIAL_AIM_SHARE * call.callClass.aim());
    }

    void recordAnswer(double now, double elapsed) {
      answerDelay += DELAY_SMOOTHING_WEIGHT * (elapsed - answerDelay);
      if (elapsed <= slowAnswerTime) {
        trialInterval = trialInterval > slowAnswerTime ? trialInterval / 2 : 0;
        outstandingLimit = Math.min(MAX_OUTSTANDING_LIMIT, outstandingLimit + 1 / outstandingLimit);
      } else {
        reduceLimit(now, elapsed, outstandingLimit * LIMIT_REDUCTION_FACTOR);
      }
    }

    void recordTimeout(double now, double elapsed) {
      if (elapsed >= slowAnswerTime) {
        answerDelay += DELAY_SMOOTHING_WEIGHT * (elapsed - answerDelay);
        reduceLimit(now, elapsed, 0);
      }
    }

    /**
     * One cut for all set-ups of one round. Under one set-up out the trials are spread, further
     * apart after each that fails. Guards a far end in trouble against the sum of single trials
     * from many controllers, whatever the trouble. Could harm calls to a far end that has just
     * recovered: they wait for the next trial.
     */
    private void reduceLimit(double now, double elapsed, double newLimit) {
      if (now - elapsed >= limitReducedAt) {
        limitReducedAt = now;
        outstandingLimit = Math.max(1, newLimit);
        if (newLimit < 1) {
          pause(now, slowAnswerTime, 0);
        }
      }
    }

    private void pause(double now, double firstInterval, double requestedWait) {
      double maxInterval =
          Math.min(
              MAX_TRIAL_INTERVAL_MILLIS,
              Math.max(2 * slowAnswerTime, 4 * ARRIVAL_WINDOW_MILLIS / (1 + arrivals.size())));
      trialInterval =
          now < pausedUntil
              ? trialInterval
              : Math.min(maxInterval, Math.max(firstInterval, 2 * trialInterval));
      pausedUntil =
          Math.max(pausedUntil, now + Math.max(requestedWait, trialInterval * random.nextDouble()));
    }

    /** Half an aim first, then intervals between own calls, as the senders may be many. */
    void recordOverload(double now, double requestedWait) {
      outstandingLimit = 1;
      pause(
          now,
          trialInterval > 0
              ? Math.max(slowAnswerTime, 2 * ARRIVAL_WINDOW_MILLIS / (1 + arrivals.size()))
              : slowAnswerTime,
          requestedWait);
    }

    /**
     * This controller's share of what a cold processor bears; under one, one in several windows.
     */
    boolean withinColdStartBudget(double now) {
      double capacity =
          SETUPS_PER_LOCAL_CALL * localCallRate * settings.coldShare() * settings.coldWindow();
      double share = settings.coldMultiple() * capacity / settings.controllerCount();
      double window = settings.coldWindow() / Math.min(1, share);
      while (!sendTimes.isEmpty() && sendTimes.peek() < now - window) {
        sendTimes.poll();
      }
      boolean cold =
          currentEntry.startedAt() > 0 && now < currentEntry.startedAt() + settings.rampTime();
      boolean phaseReached = share >= 1 || now >= startLearnedAt + coldStartPhase * window;
      return !cold || phaseReached && sendTimes.size() + 1 <= Math.max(1, share);
    }
  }

  // ---- Calls and attempts -------------------------------------------------------------------

  /** A call that this controller owes an answer, or that stands. */
  private static final class TrackedCall implements Comparable<TrackedCall> {
    final Call request;
    final CallClass callClass;
    final long arrivalOrder;
    double answerDeadline;
    double aimDeadline;
    double guardUntil;
    int attemptsSent;
    int tandemsTried;
    Attempt currentAttempt;
    Attempt uncertainAttempt;
    boolean late;
    boolean established;
    boolean finished;
    boolean countedAsOffered;
    boolean overflowed;

    /** What the call earns if it stands soon; a redial is mostly late. */
    double value() {
      return callClass.worth() * (late ? callClass.lateWorth() : 1);
    }

    /** Whether a set-up may go there, or anywhere, after one that may have run: none made twice. */
    boolean mayRepeatAt(double now, RemoteExchange exchange) {
      boolean permittedExchange =
          uncertainAttempt == null
              || callClass.repeatAnywhere()
              || exchange == null
              || exchange == uncertainAttempt.firstHop;
      return permittedExchange
          && (uncertainAttempt == null || now < uncertainAttempt.sentAt + callClass.repeatWindow());
    }

    TrackedCall(Call request, CallClass callClass, long arrivalOrder) {
      this.request = request;
      this.callClass = callClass;
      this.arrivalOrder = arrivalOrder;
      this.late = request.redial();
    }

    @Override
    public int compareTo(TrackedCall other) {
      int byWorth = Double.compare(other.value(), value());
      return byWorth != 0 ? byWorth : Long.compare(arrivalOrder, other.arrivalOrder);
    }
  }

  /** One attempt of a call, through a first exchange to the destination. */
  private static final class Attempt {
    final int number;
    final double sentAt;
    final RemoteExchange firstHop;
    final RemoteExchange destination;
    final List<RemoteExchange> exchanges;
    final TrackedCall call;
    boolean answered;

    Attempt(
        int number,
        double sentAt,
        RemoteExchange firstHop,
        RemoteExchange destination,
        TrackedCall call) {
      this.number = number;
      this.sentAt = sentAt;
      this.firstHop = firstHop;
      this.destination = destination;
      this.call = call;
      this.exchanges = firstHop == destination ? List.of(firstHop) : List.of(firstHop, destination);
      exchanges.forEach(remote -> remote.outstanding.add(this));
    }

    void recordAnswer(double now, double elapsed, List<RemoteExchange> answeredBy) {
      answered = true;
      removeFromOutstanding();
      answeredBy.forEach(remote -> remote.recordAnswer(now, elapsed));
    }

    void removeFromOutstanding() {
      exchanges.forEach(remote -> remote.outstanding.remove(this));
    }

    /** The circuits toward the first exchange are free again. */
    void close() {
      removeFromOutstanding();
      if (firstHop == destination && !call.request.transit()) {
        firstHop.localBusyCircuits -= call.request.width();
      }
    }
  }
}
