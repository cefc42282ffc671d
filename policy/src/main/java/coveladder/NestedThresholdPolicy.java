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
 * The routing policy: admits calls by Koole's nested thresholds, routes them directly or through a
 * tandem, and limits the set-ups that are outstanding toward each exchange.
 *
 * <p>All times, durations and clock values are in milliseconds, and all rates are per millisecond.
 * The sections follow in this order: constants; state; events; routing; thresholds; conditions for
 * sending ({@code maySend}); wait queue; answers of attempts; congested numbers; remote exchanges;
 * calls and attempts.
 */
public final class NestedThresholdPolicy implements CallPolicy {

  // ---- Constants ----------------------------------------------------------------------------

  /** Interval between two computations of Koole's nested thresholds, ms. */
  private static final double RECOMPUTE_INTERVAL_MILLIS = 2000;

  /** Window over which arrivals are counted for Koole's nested thresholds, ms. */
  private static final double ARRIVAL_WINDOW_MILLIS = 10000;

  /**
   * Interval of the heartbeat that reveals stalls of this controller, ms; short compared with every
   * aim.
   */
  private static final double HEARTBEAT_INTERVAL_MILLIS = 100;

  /**
   * Discount of each step of the value iteration for Koole's nested thresholds; its horizon is
   * about one holding time.
   */
  private static final double DISCOUNT_FACTOR = 0.99;

  /**
   * Steps of the value iteration in one computation of the thresholds; Koole's method needs dozens.
   */
  private static final int VALUE_ITERATIONS = 60;

  /**
   * Weight of the class mix of all destinations, as a number of calls that is added to the calls
   * counted for one circuit group.
   */
  private static final double CLASS_MIX_WEIGHT_CALLS = 20;

  /**
   * Share of the class mix and of the sums over recent calls that each computation retains; a
   * memory of about one minute.
   */
  private static final double CLASS_MIX_RETENTION = 0.97;

  /**
   * Circuits that alternative calls, those sent through a tandem, always leave free in a group, per
   * square root of its size.
   */
  private static final double RESERVE_PER_ROOT_OF_SIZE = 0.3;

  /**
   * Share of the circuits of a group that alternative calls leave free in addition, multiplied by
   * the share of direct calls that are blocked.
   */
  private static final double RESERVE_SHARE_PER_BLOCKED_SHARE = 0.5;

  /**
   * Share of the counts of direct, blocked, overflowed and tandem calls that each computation
   * retains; a memory of about the arrival window.
   */
  private static final double COUNTER_RETENTION = 0.8;

  /**
   * Calls that are assumed to have been carried by a tandem in addition to those counted, so that a
   * group with little traffic starts open to all classes.
   */
  private static final double PRIOR_SUCCESSFUL_CALLS = 2;

  /** Maximum number of tandems tried for one call; each crankback costs work at two exchanges. */
  private static final int MAX_TANDEM_ATTEMPTS = 2;

  /**
   * Maximum number of exchanges drawn in the search for a tandem, so that the cost of a search does
   * not grow with the number of exchanges.
   */
  private static final int MAX_TANDEM_DRAWS = 16;

  /**
   * Number of suitable tandems after which the search ends; the one with the most free circuits is
   * chosen among them.
   */
  private static final int MAX_SUITABLE_TANDEMS = 3;

  /**
   * Time for which a tandem is not used for a destination after it turned back a call to it, ms.
   */
  private static final double CRANKBACK_PAUSE_MILLIS = 1500;

  /**
   * Initial limit of the set-ups outstanding toward one exchange; low because the exchange may be
   * faulty or cold.
   */
  private static final double INITIAL_OUTSTANDING_LIMIT = 4;

  /**
   * Highest limit of the set-ups outstanding toward one exchange; a warm processor answers that
   * many within an aim.
   */
  private static final double MAX_OUTSTANDING_LIMIT = 16;

  /** Share of the shortest aim within which an answer shows that an exchange keeps up. */
  private static final double SLOW_ANSWER_SHARE = 0.5;

  /**
   * Highest limit of the set-ups outstanding toward all exchanges together; rarely reached unless
   * answers fail to arrive.
   */
  private static final double MAX_TOTAL_OUTSTANDING_LIMIT = 16;

  /**
   * Number of exchanges that must answer badly, with no prompt answer in between, before the local
   * processor is taken as the cause.
   */
  private static final int LOCAL_OVERLOAD_EXCHANGES = 6;

  /** Longest pause between set-ups while the local processor is overloaded, ms. */
  private static final double MAX_LOCAL_PAUSE_MILLIS = 2000;

  /** Factor by which a slow answer reduces the limit of outstanding set-ups. */
  private static final double LIMIT_REDUCTION_FACTOR = 0.7;

  /** Weight of a new answer time in the exponentially smoothed answer times. */
  private static final double ANSWER_TIME_SMOOTHING_WEIGHT = 0.3;

  /** Shortest time to its aim at which sending a call is still worthwhile, ms. */
  private static final double MIN_TIME_TO_AIM_MILLIS = 50;

  /**
   * Share of its aim that a call must have left to be the trial call of an exchange, that is, the
   * only one outstanding toward it; this suffices however slowly the exchange has answered so far.
   */
  private static final double TRIAL_AIM_SHARE = 0.7;

  /**
   * Longest interval between trial calls to an exchange, ms; four mean intervals between the local
   * calls to it if that is shorter.
   */
  private static final double MAX_TRIAL_INTERVAL_MILLIS = 8000;

  /**
   * Time for which calls to a number are refused after all its lines were busy, ms; then one call
   * tries it again.
   */
  private static final double CONGESTED_NUMBER_PAUSE_MILLIS = 1000;

  /** Maximum number of congested numbers that are remembered. */
  private static final int MAX_CONGESTED_NUMBERS = 10_000;

  /** Set-ups that a warm processor handles for each call of its local callers. */
  private static final double SETUPS_PER_LOCAL_CALL = 2;

  /**
   * Steps of the clock resolution by which the final answer precedes the end of the caller's
   * patience.
   */
  private static final double FINAL_ANSWER_CLOCK_STEPS = 3;

  // ---- State --------------------------------------------------------------------------------

  /**
   * Label of the timer of the next threshold computation; call timers have labels above {@code
   * HEARTBEAT_TIMER}.
   */
  private static final long RECOMPUTE_TIMER = 0;

  /** Label of the timer of the next heartbeat. */
  private static final long HEARTBEAT_TIMER = 1;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;

  /**
   * Answer time above which an answer counts as slow: a share of the shortest aim, or the time of a
   * retransmission if that is shorter.
   */
  private final double slowAnswerTime;

  private final boolean usesPools;

  /** Decaying number of first calls of each class, over all destinations. */
  private final double[] classMix;

  /** Decaying number of attempts through a tandem, by class. */
  private final double[] tandemAttempts;

  /** Decaying number of attempts through a tandem that were answered, by class. */
  private final double[] tandemAnswers;

  /** Decaying sum of the worths of the calls in {@code recentCalls}. */
  private double recentWorth;

  /** Decaying number of first calls. */
  private double recentCalls;

  /** Smoothed answer time of all exchanges. */
  private double meanAnswerTime;

  private final double maxWorth;
  private final double minWorth;

  /** The exchange directory, by exchange id. */
  private final Map<String, Exchange> directory = new LinkedHashMap<>();

  /** Remote exchanges or pools, by number. */
  private final Map<Integer, RemoteExchange> remoteExchanges = new TreeMap<>();

  private final List<RemoteExchange> inServiceExchanges = new ArrayList<>();
  private final Map<String, TrackedCall> calls = new LinkedHashMap<>();
  private final TreeSet<TrackedCall> waitQueue = new TreeSet<>();

  /** Calls by the label of their timer. */
  private final Map<Long, TrackedCall> timers = new LinkedHashMap<>();

  /** Congested numbers and the end of their pause. */
  private final Map<String, Double> congestedNumbers = new LinkedHashMap<>();

  /** Calls of local callers within the arrival window. */
  private ArrivalWindow localArrivals;

  private double localCallRate;
  private double startedAt;

  /** Counter for the labels of call timers and the arrival order of calls. */
  private long sequence = HEARTBEAT_TIMER;

  /** Attempts without an answer, toward all exchanges. */
  private int outstandingAttempts;

  /** Present limit of the set-ups outstanding toward all exchanges together. */
  private double totalOutstandingLimit = MAX_TOTAL_OUTSTANDING_LIMIT / 3;

  /** Upper bound of the random pause between set-ups while the local processor is overloaded. */
  private double localPause;

  private double lastEventAt;

  /** Length of the stall that ended at the last event; 0 if there was none. */
  private double stallDuration;

  /** Longest patience of a caller seen so far, by class. */
  private final double[] maxPatience;

  /** Numbers of the exchanges that answered badly since the last prompt answer. */
  private final TreeSet<Integer> badlyAnswering = new TreeSet<>();

  /** Time of the last reduction of the limit of all outstanding set-ups. */
  private double totalLimitReducedAt;

  /** Number of searches for a route so far: the main work of the policy. */
  long routesSearched;

  /** Number of waiting calls examined so far. */
  long waitingCallsExamined;

  /** End of the pause between set-ups while the local processor is overloaded or down. */
  private double localPausedUntil;

  /**
   * Creates a policy.
   *
   * @param settings settings of the controller
   * @param seed seed of all random choices
   * @param actions receiver of the actions that the policy requests
   */
  public NestedThresholdPolicy(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.usesPools = settings.layout() == Layout.POOLS;
    this.localArrivals = newArrivalWindow();
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
    localArrivals = newArrivalWindow();
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
    tracked.finalAnswerDeadline =
        now + Math.max(0, call.patience() - FINAL_ANSWER_CLOCK_STEPS * settings.clockResolution());
    tracked.aimDeadline = Math.min(tracked.finalAnswerDeadline, now + determineTimeToAim(tracked));
    startCallTimer(tracked, tracked.finalAnswerDeadline - now);
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
      // Adds 1 for an attempt through a tandem, 0 for a direct one.
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
    if (call != null) {
      call.timerLabels.remove(Long.valueOf(label));
    }
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
    // This policy sends no messages to other controllers; one that arrives is for another version.
  }

  /**
   * Updates the clock and detects a stall: events that are more than two heartbeats apart. Answers
   * that lay unread during the stall must not count as slow, and calls must not wait for an aim
   * that passed during the stall, whatever its cause. An exchange that really answered slowly
   * during a stall is taken for a prompt one.
   */
  private void updateClock(double now) {
    if (now > lastEventAt) {
      stallDuration = now - lastEventAt > 2 * HEARTBEAT_INTERVAL_MILLIS ? now - lastEventAt : 0;
      lastEventAt = now;
    }
  }

  /**
   * Determines the time to the aim of a new call, and whether the call is late. The time that it
   * lay unread in a stall is deducted: the difference between its patience and the longest patience
   * seen in its class, at most the length of the stall. A call that can no longer reach its aim is
   * marked as late, as redials are, and like them gets its whole aim.
   */
  private double determineTimeToAim(TrackedCall call) {
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
                MIN_TIME_TO_AIM_MILLIS, remoteExchange(call.request.destination()).answerTime);
    return call.late ? aim : timeLeft;
  }

  private void onCallTimer(double now, TrackedCall call) {
    if (now >= call.finalAnswerDeadline) {
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
    call.timerLabels.add(label);
    actions.startTimer(Math.max(0, delay), label);
  }

  /** Cancels the timers of a call that has ended: until they expired, they would keep it. */
  private void cancelCallTimers(TrackedCall call) {
    for (Long label : call.timerLabels) {
      timers.remove(label);
      actions.cancelTimer(label);
    }
    call.timerLabels.clear();
  }

  // ---- Routing ------------------------------------------------------------------------------

  /** Decides on a call with no outstanding attempt: it is sent, waits or is refused. */
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
      // If no threshold restricts the call, only the lack of free circuits blocks it.
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
   * Sends the call through the tandem (or pool of second choice) with the most free circuits: of
   * the suitable ones that recently carried a call to the destination or, if there are none, of the
   * first suitable ones drawn at random.
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
   * Whether a set-up is worth the work that it causes: its chance of success, multiplied by the
   * ratio of its value to the mean worth of recent calls, must be at least the ratio of the present
   * answer time to that of a slow answer. This prevents crankbacks and congestion, whatever fills
   * groups or slows processors; idle processors answer fast, which makes nearly every set-up
   * worthwhile. Just after circuits or processors have come free, calls are still held back until
   * the counts decay.
   */
  private boolean isWorthSetup(TrackedCall call, double chance) {
    return chance * call.value() * recentCalls >= recentWorth * meanAnswerTime / slowAnswerTime;
  }

  private static RemoteExchange withMoreFreeCircuits(RemoteExchange one, RemoteExchange other) {
    return one == null || other.freeCircuits > one.freeCircuits ? other : one;
  }

  /**
   * Whether the tandem (or pool) may take an alternative call now: the class may use it, it has
   * circuits to spare, answers promptly and has not recently turned back a call to the destination.
   */
  private boolean isSuitableTandem(
      double now, TrackedCall call, RemoteExchange tandem, RemoteExchange destination) {
    return (!usesPools
            || call.callClass.pools().isEmpty()
            || call.callClass.pools().contains(tandem.number))
        && tandem != destination
        && tandem.hasCircuitGroup()
        && tandem.leavesReserve(call)
        && tandem.outstandingLimit >= 2
        && tandem.answerTime + destination.answerTime < slowAnswerTime
        && (tandem.outstanding.isEmpty()
            || now - tandem.outstanding.iterator().next().sentAt < slowAnswerTime)
        && tandem.crankbackUntil.getOrDefault(destination.number, 0.0) <= now
        && maySend(now, call, tandem, usesPools ? tandem : destination);
  }

  /** Forwards a call in transit to its destination at once, or turns it back. */
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
    localArrivals.add(now, call.type());
    if (!call.redial() && !call.returned() && !congestedNumbers.containsKey(call.number())) {
      remoteExchange(call.destination()).arrivals.add(now, call.type());
      classMix[call.type()]++;
      recentCalls++;
      recentWorth += settings.classes().get(call.type()).worth();
    }
  }

  private ArrivalWindow newArrivalWindow() {
    return new ArrivalWindow(startedAt, settings.classes().size());
  }

  private void recomputeEstimates(double now) {
    localArrivals.removeBefore(now - ARRIVAL_WINDOW_MILLIS);
    double countedMillis =
        Math.min(ARRIVAL_WINDOW_MILLIS, Math.max(RECOMPUTE_INTERVAL_MILLIS, now - startedAt));
    localCallRate = localArrivals.size() / countedMillis;
    remoteExchanges.values().forEach(remote -> remote.recomputeThresholds(now, countedMillis));
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
   * Computes Koole's nested thresholds of a circuit group by value iteration on the number of busy
   * circuits, for Poisson arrivals.
   *
   * @param size number of circuits
   * @param rates arrival rate of each class, per ms
   * @param hold mean holding time, ms
   * @param costs cost of blocking a call of each class
   * @return for each class the lowest number of busy circuits at which blocking is cheaper than
   *     admission, or the size if there is none
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

  // ---- Conditions for sending ---------------------------------------------------------------

  /**
   * Whether the call may be sent to this exchange now. All conditions are checked here: no attempt
   * outstanding, guard time over, attempts left, the exchange in service according to the
   * directory, time left, limits of outstanding set-ups, budget of a cold processor.
   */
  private boolean maySend(
      double now, TrackedCall call, RemoteExchange firstHop, RemoteExchange destination) {
    return call.currentAttempt == null
        && !call.finished
        && now >= call.guardUntil
        && localProcessorAccepts(now, call)
        && call.attemptsSent < settings.maxAttempts()
        && call.mayRepeatTo(now, firstHop)
        && firstHop.number != settings.localExchange()
        && firstHop.currentEntry != null
        && destination.currentEntry != null
        && firstHop.accepts(now, call)
        && destination.accepts(now, call)
        && firstHop.withinColdStartBudget(now);
  }

  /**
   * Whether the local processor may handle another set-up. A call that is not worth its set-up goes
   * only while nothing else is outstanding; calls in transit are exempt, as half their work is
   * done.
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

  // ---- Wait queue ---------------------------------------------------------------------------

  /**
   * Lets a call that the thresholds admit wait for circuits or permission to send, no longer than
   * its aim allows; this bridges any shortage that passes within a second or so. The most valuable
   * calls are served first.
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
   * Sends waiting calls, most valuable first. If the local processor does not accept a call, it
   * accepts none of the less valuable ones behind it, and the search ends; only heartbeats and
   * directory updates examine the whole queue, to refuse unroutable calls. The work of an event
   * therefore does not grow with the queue, whatever filled it. An unroutable call may wait for one
   * heartbeat longer.
   *
   * @param wholeQueue whether to examine the whole queue
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
   * Whether no way is known to send the call within its aim. Such a call is answered at once, so
   * that its caller may turn elsewhere or redial, instead of waiting in vain, whatever closed its
   * routes. It is refused wrongly if a route opens earlier than expected: the directory names a new
   * exchange, or a random pause was longer than needed.
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
        || !call.mayRepeatTo(now, null)
        || !usesPools && destination.currentEntry == null
        || !hasDirectGroup && call.tandemsTried >= MAX_TANDEM_ATTEMPTS;
  }

  /** Returns the time at which all pauses that affect the call are over. */
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
      cancelCallTimers(call);
      return;
    }
    Outcome outcome = ended.outcome();
    boolean needsGuardTime =
        outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED;
    call.guardUntil = needsGuardTime ? now + settings.guardTime() : call.guardUntil;
    call.uncertainAttempt =
        call.uncertainAttempt == null && (needsGuardTime || outcome == Outcome.ERROR)
            ? attempt
            : call.uncertainAttempt;
    retryOrGiveFinalAnswer(now, call, ended);
  }

  /**
   * Records an answer, prompt or slow: the attempt is no longer outstanding. The answer time
   * updates the limits of the local processor and of the exchanges that answered; a call that its
   * tandem turned back says nothing about the destination, which never received it.
   */
  private void recordAnswer(
      double now, Attempt attempt, double elapsed, List<RemoteExchange> answeredBy) {
    if (attempt.answered) {
      return;
    }
    outstandingAttempts--;
    meanAnswerTime += ANSWER_TIME_SMOOTHING_WEIGHT * (elapsed - meanAnswerTime);
    updateTotalLimit(now, elapsed, attempt.firstHop, elapsed <= slowAnswerTime);
    attempt.recordAnswer(now, elapsed, answeredBy);
  }

  /**
   * Updates the limit of all outstanding set-ups. When many exchanges answer badly, with no prompt
   * answer in between, the likelier cause is the local processor, which handles every set-up: the
   * total is then limited, and once the limit falls below one, set-ups are spread in time. This
   * covers whatever slows the local processor. If most exchanges really are in trouble at once,
   * calls to the healthy ones wait too.
   *
   * @return whether the local processor is taken as the cause of a bad answer
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

  /**
   * Updates the estimates of the exchanges from the end of an attempt whose call was not
   * established.
   */
  private void assessOutcome(double now, Attempt attempt, AttemptEnded ended) {
    double elapsed = Math.max(0, ended.elapsed() - stallDuration);
    switch (ended.outcome()) {
      // A refused connection, however fast, must not use up the attempts of calls.
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
        // The local processor is down: set-ups sent now would only use up attempts.
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

  private void retryOrGiveFinalAnswer(double now, TrackedCall call, AttemptEnded ended) {
    if (ended.reason() == Reason.NUMBER_BUSY) {
      recordCongestion(now, call.request.number());
      refuse(call);
    } else if (call.request.transit()
        || now >= call.aimDeadline - MIN_TIME_TO_AIM_MILLIS
        || !call.mayRepeatTo(now, null)) {
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
   * Returns the time that a refused caller is asked to wait, if callers observe it: until the
   * pauses that affect the call are over and the outstanding set-ups to its destination have been
   * answered. This protects exchanges in trouble from redials that can only be refused. A caller
   * whose route opens earlier waits longer than needed.
   */
  private double retryAfter(TrackedCall call) {
    double congestedUntil = congestedNumbers.getOrDefault(call.request.number(), 0.0);
    double wait =
        Math.max(0, Math.max(pausedUntil(call), congestedUntil) - lastEventAt)
            + remoteExchange(call.request.destination()).answerTime;
    return Math.min(settings.maxRetryAfter(), wait);
  }

  private void fail(TrackedCall call) {
    finish(call);
    actions.fail(call.request.id());
  }

  private void finish(TrackedCall call) {
    call.finished = true;
    waitQueue.remove(call);
    cancelCallTimers(call);
    if (call.currentAttempt == null) {
      calls.remove(call.request.id());
    }
  }

  // ---- Congested numbers --------------------------------------------------------------------

  /** Starts the pause of a number; above the limit, the number longest known is tried again. */
  private void recordCongestion(double now, String number) {
    congestedNumbers.put(number, now + CONGESTED_NUMBER_PAUSE_MILLIS);
    if (congestedNumbers.size() > MAX_CONGESTED_NUMBERS) {
      congestedNumbers.remove(congestedNumbers.keySet().iterator().next());
    }
  }

  /**
   * Whether calls to this number are refused for now. The first call after a pause tries the number
   * and starts the next pause. This protects against a number, or a line behind it, that is busy
   * again and again. If one of its lines comes free within the pause, callers are refused although
   * they could be connected.
   */
  private boolean isCongested(double now, String number) {
    Double until = congestedNumbers.get(number);
    congestedNumbers.computeIfPresent(
        number, (key, end) -> now < end ? end : now + CONGESTED_NUMBER_PAUSE_MILLIS);
    return until != null && now < until;
  }

  // ---- Remote exchanges ---------------------------------------------------------------------

  private RemoteExchange remoteExchange(int number) {
    return remoteExchanges.computeIfAbsent(number, RemoteExchange::new);
  }

  /**
   * Updates the reported circuits, unless the report is damaged; returns whether more are free, so
   * that a waiting call may be sent.
   */
  private boolean updateCircuits(String exchangeId, Load load) {
    Exchange entry = directory.get(exchangeId);
    if (entry == null || !ReportedGroupSize.isPlausible(load.freeCircuits(), load.groupSize())) {
      return false;
    }
    RemoteExchange remote = remoteExchange(entry.number());
    double freeCircuits = Math.min(load.freeCircuits(), load.groupSize());
    boolean moreFree = !(freeCircuits <= remote.freeCircuits);
    remote.freeCircuits = freeCircuits;
    remote.updateGroupSize(load.groupSize());
    return moreFree;
  }

  /**
   * A remote exchange or pool: its circuit group, its thresholds and the only estimate of its
   * health.
   */
  private final class RemoteExchange {
    final int number;

    /** First calls to this exchange within the arrival window. */
    final ArrivalWindow arrivals = newArrivalWindow();

    /** Times of the set-ups sent within the cold-start window. */
    final ArrayDeque<Double> sendTimes = new ArrayDeque<>();

    /** Attempts without an answer to this exchange or through it. */
    final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();

    /** First hops that carried a call here and have not turned one back since. */
    final LinkedHashSet<RemoteExchange> workingTandems = new LinkedHashSet<>();

    /** Time until which this exchange is not used as a tandem, by the number of the destination. */
    final Map<Integer, Double> crankbackUntil = new TreeMap<>();

    /** The directory entry in service that started last; null if there is none. */
    Exchange currentEntry;

    /** Free circuits of the group: the last report less those seized since; NaN before a report. */
    double freeCircuits = Double.NaN;

    /** Circuits of the group; 0: there is no group; NaN: not reported yet. */
    double groupSize = Double.NaN;

    final ReportedGroupSize reportedSize = new ReportedGroupSize();

    /** Circuits seized by direct calls of this controller. */
    int localBusyCircuits;

    /** Thresholds by class: of calls that are not late, then of late calls; null: no limits. */
    int[] thresholds;

    /** Decaying number of direct calls offered. */
    double directCalls;

    /** Decaying number of direct calls that the group did not admit. */
    double blockedCalls;

    /** Arrival rate of the calls of the other users of the circuit group. */
    double otherUsersRate;

    /** Decaying number of direct calls that found the group full and sought a tandem. */
    double overflowedCalls;

    /** Decaying number of overflowed calls that were established. */
    double carriedOverflowCalls;

    double outstandingLimit = INITIAL_OUTSTANDING_LIMIT;

    /** Smoothed answer time. */
    double answerTime;

    /** Time of the last reduction of {@code outstandingLimit}. */
    double limitReducedAt;

    double pausedUntil;

    /** Upper bound of the random pause before the next trial call. */
    double trialInterval;

    /**
     * Random share of the extended cold-start window that passes before the first set-up if this
     * controller may send less than one set-up per window. Without it, all controllers could send
     * together.
     */
    final double coldStartPhase = random.nextDouble();

    /** When this controller learned of the last start of the exchange. */
    double startLearnedAt;

    RemoteExchange(int number) {
      this.number = number;
    }

    void updateGroupSize(double reported) {
      groupSize = reported;
      if (reportedSize.report(reported)) {
        thresholds = null;
        otherUsersRate = 0;
      }
    }

    /** Whether there is a direct group to this exchange; one of unknown size counts. */
    boolean hasCircuitGroup() {
      return number != settings.localExchange() && !(groupSize <= 0);
    }

    /**
     * Returns the highest number of busy circuits, those of the call included, at which it is
     * admitted.
     */
    double threshold(TrackedCall call) {
      boolean unlimited =
          thresholds == null
              || !reportedSize.isConfirmed()
              || call.callClass.worth() >= maxWorth && !call.late;
      return unlimited
          ? groupSize
          : thresholds[call.request.type() + (call.late ? classMix.length : 0)];
    }

    /** Whether the threshold and the free circuits admit a direct call. */
    boolean admits(TrackedCall call) {
      return Double.isNaN(groupSize)
          || freeCircuits >= call.request.width()
              && groupSize - freeCircuits + call.request.width() <= threshold(call);
    }

    /**
     * Whether an alternative or transit call leaves the reserve free; the reserve grows as direct
     * calls are blocked.
     */
    boolean leavesReserve(TrackedCall call) {
      double blockedShare = directCalls > 0 ? blockedCalls / directCalls : 0;
      double reserve =
          Math.floor(
              RESERVE_PER_ROOT_OF_SIZE * Math.sqrt(groupSize)
                  + RESERVE_SHARE_PER_BLOCKED_SHARE * blockedShare * groupSize);
      return Double.isNaN(groupSize) || freeCircuits - call.request.width() >= reserve;
    }

    void recordOffered(TrackedCall call, boolean blocked) {
      if (!call.countedAsOffered) {
        call.countedAsOffered = true;
        directCalls++;
        blockedCalls += blocked ? 1 : 0;
      }
    }

    void recomputeThresholds(double now, double countedMillis) {
      arrivals.removeBefore(now - ARRIVAL_WINDOW_MILLIS);
      directCalls *= COUNTER_RETENTION;
      blockedCalls *= COUNTER_RETENTION;
      overflowedCalls *= COUNTER_RETENTION;
      carriedOverflowCalls *= COUNTER_RETENTION;
      if (arrivals.isEmpty() || !(groupSize >= 1)) {
        thresholds = null;
      } else if (reportedSize.isConfirmed()) {
        thresholds = computeThresholds(countedMillis);
      }
    }

    /**
     * Computes the thresholds from the local arrivals of each class and the arrivals of the other
     * users of the group, which are estimated from its busy circuits. Late calls, the second half
     * of the arrays, count with a cost but no arrivals.
     */
    private int[] computeThresholds(double countedMillis) {
      double mixTotal = Arrays.stream(classMix).sum();
      double[] rates = new double[2 * classMix.length];
      double[] costs = new double[2 * classMix.length];
      double meanHold = 0;
      double meanWidth = 0;
      for (int classIndex = 0; classIndex < classMix.length; classIndex++) {
        double arrivalCount = arrivals.size(classIndex);
        rates[classIndex] =
            (arrivalCount + CLASS_MIX_WEIGHT_CALLS * classMix[classIndex] / mixTotal)
                / (arrivals.size() + CLASS_MIX_WEIGHT_CALLS);
        CallClass callClass = settings.classes().get(classIndex);
        costs[classIndex] = blockingCost(callClass.worth());
        // A redial earns little, so its cost counts per circuit: a wide one would otherwise block
        // first calls.
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
        rates[classIndex] *= arrivals.size() / countedMillis + otherUsersRate;
      }
      return NestedThresholdPolicy.thresholds((int) groupSize, rates, meanHold, costs);
    }

    /**
     * Returns the cost of blocking a call: the lowest worth of all classes, plus a share of the
     * excess of the call's worth over it, namely the share of overflowed calls that no tandem
     * carried.
     */
    private double blockingCost(double worth) {
      double carriedShare =
          Math.min(
              1,
              (carriedOverflowCalls + PRIOR_SUCCESSFUL_CALLS)
                  / (overflowedCalls + PRIOR_SUCCESSFUL_CALLS));
      return minWorth + (worth - minWorth) * (1 - carriedShare);
    }

    /**
     * Whether one more set-up may be sent: the limit is not reached, and a timely answer is
     * expected. This prevents attempts that only waste work, whether the exchange is silent, slow,
     * overloaded or cold. An exchange that recovered unnoticed is used again only after its next
     * trial call.
     */
    boolean accepts(double now, TrackedCall call) {
      double timeLeft = call.aimDeadline - now;
      return now >= pausedUntil
          && timeLeft
              >= (outstanding.isEmpty()
                  ? minTimeForTrial(call)
                  : Math.max(answerTime, MIN_TIME_TO_AIM_MILLIS))
          && outstanding.size() < (int) outstandingLimit;
    }

    /**
     * Returns the time to its aim that a call needs to be the trial call of an exchange with no
     * outstanding set-up.
     */
    double minTimeForTrial(TrackedCall call) {
      return Math.min(answerTime, TRIAL_AIM_SHARE * call.callClass.aim());
    }

    void recordAnswer(double now, double elapsed) {
      answerTime += ANSWER_TIME_SMOOTHING_WEIGHT * (elapsed - answerTime);
      if (elapsed <= slowAnswerTime) {
        trialInterval = trialInterval > slowAnswerTime ? trialInterval / 2 : 0;
        outstandingLimit = Math.min(MAX_OUTSTANDING_LIMIT, outstandingLimit + 1 / outstandingLimit);
      } else {
        reduceLimit(now, elapsed, outstandingLimit * LIMIT_REDUCTION_FACTOR);
      }
    }

    void recordTimeout(double now, double elapsed) {
      if (elapsed >= slowAnswerTime) {
        answerTime += ANSWER_TIME_SMOOTHING_WEIGHT * (elapsed - answerTime);
        reduceLimit(now, elapsed, 0);
      }
    }

    /**
     * Reduces the limit, once for all set-ups that were outstanding together. If less than one
     * set-up would be permitted, trial calls are spread in time, further apart after each failure;
     * this protects an exchange in trouble, for whatever reason, from the sum of the trial calls of
     * many controllers. Calls to an exchange that has just recovered wait for the next trial call.
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

    /**
     * Pauses for a random time up to the trial interval, at least for the requested wait. Unless a
     * pause is in force, the trial interval is doubled first, and raised to {@code minInterval} if
     * it is below that.
     */
    private void pause(double now, double minInterval, double requestedWait) {
      double maxInterval =
          Math.min(
              MAX_TRIAL_INTERVAL_MILLIS,
              Math.max(2 * slowAnswerTime, 4 * ARRIVAL_WINDOW_MILLIS / (1 + arrivals.size())));
      trialInterval =
          now < pausedUntil
              ? trialInterval
              : Math.min(maxInterval, Math.max(minInterval, 2 * trialInterval));
      pausedUntil =
          Math.max(pausedUntil, now + Math.max(requestedWait, trialInterval * random.nextDouble()));
    }

    /**
     * Records that the processor is overloaded. The trial interval is the time of a slow answer at
     * first, at most half the shortest aim; then it follows the intervals between the local calls
     * to the exchange, because many controllers may be sending.
     */
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
     * Whether a set-up is within this controller's share of what a cold processor can bear, in
     * set-ups per cold-start window. A share below one allows one set-up in a window extended
     * accordingly.
     */
    boolean withinColdStartBudget(double now) {
      double coldSetupsPerWindow =
          SETUPS_PER_LOCAL_CALL * localCallRate * settings.coldShare() * settings.coldWindow();
      double setupsPerWindow =
          settings.coldMultiple() * coldSetupsPerWindow / settings.controllerCount();
      double window = settings.coldWindow() / Math.min(1, setupsPerWindow);
      while (!sendTimes.isEmpty() && sendTimes.peek() < now - window) {
        sendTimes.poll();
      }
      boolean cold =
          currentEntry.startedAt() > 0 && now < currentEntry.startedAt() + settings.rampTime();
      boolean phaseReached =
          setupsPerWindow >= 1 || now >= startLearnedAt + coldStartPhase * window;
      return !cold || phaseReached && sendTimes.size() + 1 <= Math.max(1, setupsPerWindow);
    }
  }

  // ---- Calls and attempts -------------------------------------------------------------------

  /** A call that still needs its final answer, or that is established. */
  private static final class TrackedCall implements Comparable<TrackedCall> {
    final Call request;
    final CallClass callClass;
    final long arrivalOrder;
    double finalAnswerDeadline;
    double aimDeadline;
    double guardUntil;
    int attemptsSent;
    int tandemsTried;

    /** Labels of the pending timers of the call. */
    final List<Long> timerLabels = new ArrayList<>(2);

    Attempt currentAttempt;

    /** The first attempt that may have taken effect although it failed; null if there is none. */
    Attempt uncertainAttempt;

    /**
     * Whether the call earns only its late worth: a redial, or a call that can no longer reach its
     * aim.
     */
    boolean late;

    boolean established;
    boolean finished;
    boolean countedAsOffered;
    boolean overflowed;

    /**
     * Returns what the call earns if it is established soon. A late call counts with its late
     * worth; redials are late because they usually miss their aim.
     */
    double value() {
      return callClass.worth() * (late ? callClass.lateWorth() : 1);
    }

    /**
     * Whether the call may be sent to this exchange, or, if it is null, to any exchange at all.
     * After an attempt that may have taken effect this is restricted, so that no call is made
     * twice.
     */
    boolean mayRepeatTo(double now, RemoteExchange exchange) {
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
      int byValue = Double.compare(other.value(), value());
      return byValue != 0 ? byValue : Long.compare(arrivalOrder, other.arrivalOrder);
    }
  }

  /** An attempt to set up a call, directly or through a first hop to the destination. */
  private static final class Attempt {
    final int number;
    final double sentAt;
    final RemoteExchange firstHop;
    final RemoteExchange destination;

    /** The exchanges that the attempt passes: first hop and destination. */
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

    /** Ends the attempt: its circuits toward the first hop are free again. */
    void close() {
      removeFromOutstanding();
      if (firstHop == destination && !call.request.transit()) {
        firstHop.localBusyCircuits -= call.request.width();
      }
    }
  }
}
