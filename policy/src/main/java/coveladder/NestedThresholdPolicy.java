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
  private static final double PERIOD = 2000;

  /** Window over which arrivals are counted, ms; DESIGN's value. */
  private static final double WINDOW = 10000;

  /** Beat by which the module sees that it stood still, ms; short beside every aim. */
  private static final double BEAT = 100;

  /** Discount of the recursion for each step; DESIGN's value, a horizon of about one hold. */
  private static final double DISCOUNT = 0.99;

  /** Sweeps of the recursion; DESIGN says dozens. */
  private static final int SWEEPS = 60;

  /** Calls' worth of the exchange-wide mix put beside a group's own count of classes. */
  private static final double MIX_WEIGHT = 20;

  /** Part of the exchange-wide mix kept at each computation; about a minute's memory. */
  private static final double MIX_KEEP = 0.97;

  /** Circuits that alternative calls always leave free on a leg, for the root of its size. */
  private static final double RESERVE_BASE = 0.3;

  /** Further reserve as a share of the group, for a share 1 of direct calls blocked. */
  private static final double RESERVE_SLOPE = 0.5;

  /** Part of the blocked share kept at each computation; about the window's memory. */
  private static final double BLOCKED_KEEP = 0.8;

  /** Calls taken as rescued beside those counted, so that a quiet group starts open. */
  private static final double RESCUE_WEIGHT = 2;

  /** Tandems that one call tries; each turned back costs work at two exchanges. */
  private static final int TANDEM_TRIES = 2;

  /** Exchanges drawn at most in search of a tandem: the cost must not grow with the fleet. */
  private static final int TANDEM_DRAWS = 16;

  /** Fit tandems among which the one with most room is taken. */
  private static final int TANDEM_FIT = 3;

  /** A tandem that turned back a call to some destination is left out for it so long, ms. */
  private static final double TURNED_BACK_MS = 1500;

  /** Set-ups out toward one far end at first; low, as the far end may be sick or cold. */
  private static final double OUT_FIRST = 4;

  /** Set-ups out toward one far end at most; a warm processor answers these within an aim. */
  private static final double OUT_MOST = 16;

  /** Answers within this share of the shortest aim show a far end that keeps up. */
  private static final double SLOW_SHARE = 0.5;

  /** Set-ups out of this controller at most; seldom reached unless answers fail to come. */
  private static final double OWN_MOST = 16;

  /** Far ends that answer badly in turn before the own processor is held for the cause. */
  private static final int OWN_RUN = 6;

  /** Longest gap between set-ups of a pressed own processor, ms. */
  private static final double OWN_GAP_MOST = 2000;

  /** What a slow answer leaves of the set-ups allowed out. */
  private static final double SLOW_CUT = 0.7;

  /** Weight of a new answer's time in the delay expected of a far end. */
  private static final double DELAY_WEIGHT = 0.3;

  /** Shortest time to its aim with which a set-up is still worth sending, ms. */
  private static final double LEAST_AIM = 50;

  /** Share of its aim that a call must have left to be the trial call of a far end in doubt. */
  private static final double TRIAL_SHARE = 0.7;

  /** Longest gap between trials of a far end, ms; four intervals between own calls where less. */
  private static final double GAP_MOST = 8000;

  /** A number with all lines busy is left alone for so long, then tried by one call, ms. */
  private static final double CROWDED_MS = 1000;

  /** Set-ups a second that a warm processor does for each call a second of its own callers. */
  private static final double WORK_PER_CALL = 2;

  /** Final answers leave so many clock steps before the caller's time is up. */
  private static final double FINAL_STEPS = 3;

  // ---- What is remembered -------------------------------------------------------------------

  private static final long PERIODIC = 0;
  private static final long HEARTBEAT = 1;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final double slow;
  private final boolean pools;
  private final double[] mix;
  private final double[] turnsSent;
  private final double[] turnsStood;
  private double mixWorth;
  private double mixCalls;
  private double pace;
  private final double dearest;
  private final double cheapest;
  private final Map<String, Exchange> list = new LinkedHashMap<>();
  private final Map<Integer, Far> fars = new TreeMap<>();
  private final List<Far> others = new ArrayList<>();
  private final Map<String, Held> calls = new LinkedHashMap<>();
  private final TreeSet<Held> line = new TreeSet<>();
  private final Map<Long, Held> timers = new LinkedHashMap<>();
  private final Map<String, Double> crowded = new LinkedHashMap<>();
  private final ArrayDeque<Double> ownArrivals = new ArrayDeque<>();
  private double ownRate;
  private double started;
  private long sequence = HEARTBEAT;
  private int unanswered;
  private double ownAllowed = OWN_MOST / 3;
  private double ownGap;
  private double seen;
  private double stall;
  private final double[] patience;
  private final TreeSet<Integer> badRun = new TreeSet<>();
  private double ownCutAt;

  /** Number of searches for a route so far: the main work of the policy. */
  long routesSearched;

  /** Number of waiting calls examined so far. */
  long waitingCallsExamined;

  private double ownClosedUntil;

  /**
   * Makes a module from what the controller is told at start; the seed is of every random choice.
   */
  public NestedThresholdPolicy(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.pools = settings.layout() == Layout.POOLS;
    this.mix = new double[settings.classes().size()];
    this.patience = new double[mix.length];
    this.turnsSent = new double[mix.length];
    this.turnsStood = new double[mix.length];
    this.dearest = settings.classes().stream().mapToDouble(CallClass::worth).max().orElse(0);
    this.cheapest = settings.classes().stream().mapToDouble(CallClass::worth).min().orElse(0);
    double half =
        SLOW_SHARE * settings.classes().stream().mapToDouble(CallClass::aim).min().orElse(0);
    this.slow = settings.retransmitAfter() > 0 ? Math.min(settings.retransmitAfter(), half) : half;
  }

  // ---- Events -------------------------------------------------------------------------------

  @Override
  public void onStart(double now) {
    started = now;
    seen = now;
    actions.startTimer(PERIOD, PERIODIC);
    actions.startTimer(BEAT, HEARTBEAT);
    if (settings.directoryOnRequest()) {
      actions.subscribeToDirectory();
    }
  }

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate news) {
    notice(now);
    if (news.complete()) {
      list.clear();
    }
    for (Exchange entry : news.entries()) {
      if (entry.state() == ExchangeState.GONE) {
        list.remove(entry.id());
      } else {
        list.put(entry.id(), entry);
      }
    }
    fars.values().forEach(far -> far.current = null);
    for (Exchange entry : list.values()) {
      Far far = far(entry.number());
      boolean newer = far.current == null || far.current.startedAt() < entry.startedAt();
      if (entry.state() == ExchangeState.IN_SERVICE && newer) {
        far.current = entry;
        far.since = entry.startedAt() > far.since ? now : far.since;
        far.sends.removeIf(sent -> sent < entry.startedAt());
      }
    }
    others.clear();
    fars.values().stream().filter(far -> far.current != null).forEach(others::add);
    serveLine(now, true);
  }

  @Override
  public void onCall(double now, Call call) {
    notice(now);
    if (call.type() < 0 || call.type() >= settings.classes().size()) {
      actions.refuse(call.id(), 0);
      return;
    }
    Held held = new Held(call, settings.classes().get(call.type()), sequence++);
    calls.put(call.id(), held);
    held.finalBy = now + Math.max(0, call.patience() - FINAL_STEPS * settings.clockResolution());
    held.aimBy = Math.min(held.finalBy, now + aimLeft(held));
    wake(held, held.finalBy - now);
    count(now, call);
    if (isCrowded(now, call.number())) {
      refuse(held);
    } else {
      route(now, held);
    }
  }

  @Override
  public void onEstablished(double now, Established stands) {
    notice(now);
    Held held = calls.get(stands.call());
    if (held != null && held.out != null && held.out.number == stands.attempt()) {
      held.standing = true;
      held.out.destination.carriers.add(held.out.first);
      turnsStood[held.call.type()] += held.out.ends.size() - 1;
      if (held.overflowed) {
        far(held.call.destination()).carried++;
      }
      answered(now, held.out, Math.max(0, stands.elapsed() - stall), held.out.ends);
      serveLine(now, false);
    }
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    notice(now);
    learnCircuits(ended.exchange(), ended.load());
    Held held = calls.get(ended.call());
    if (held != null && held.out != null && held.out.number == ended.attempt()) {
      attemptEnded(now, held, ended);
    }
    serveLine(now, false);
  }

  @Override
  public void onCallerAbandoned(double now, String call) {
    Held held = calls.get(call);
    if (held != null) {
      finish(held);
    }
  }

  @Override
  public void onLoadReport(double now, LoadReport report) {
    notice(now);
    if (learnCircuits(report.exchange(), report.load())) {
      serveLine(now, false);
    }
  }

  @Override
  public void onTimer(double now, long label) {
    notice(now);
    if (label == HEARTBEAT) {
      actions.startTimer(BEAT, HEARTBEAT);
    } else if (label == PERIODIC) {
      recompute(now);
      actions.startTimer(PERIOD, PERIODIC);
    }
    Held held = timers.remove(label);
    boolean waits = held != null && !held.finished && !held.standing;
    if (waits) {
      callTimer(now, held);
    }
    if (waits || label == HEARTBEAT) {
      serveLine(now, label == HEARTBEAT);
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
  private void notice(double now) {
    if (now > seen) {
      stall = now - seen > 2 * BEAT ? now - seen : 0;
      seen = now;
    }
  }

  /** Time to the aim of a new call. One that came too late for it is placed with the redials. */
  private double aimLeft(Held held) {
    double aim = held.kind.aim();
    int type = held.call.type();
    if (held.late || held.call.transit() || held.call.returned()) {
      return aim;
    }
    patience[type] = Math.max(patience[type], held.call.patience());
    double left = aim - Math.min(stall, patience[type] - held.call.patience());
    held.late = left < Math.max(LEAST_AIM, far(held.call.destination()).delay);
    return held.late ? aim : left;
  }

  private void callTimer(double now, Held held) {
    if (now >= held.finalBy) {
      if (held.out != null && settings.mayCancel()) {
        actions.cancel(held.call.id(), held.out.number);
      }
      fail(held);
    } else if (held.out == null && line.contains(held) && now >= held.aimBy - LEAST_AIM) {
      refuse(held);
    }
  }

  private void wake(Held held, double delay) {
    long label = ++sequence;
    timers.put(label, held);
    actions.startTimer(Math.max(0, delay), label);
  }

  // ---- Ordinary path ------------------------------------------------------------------------

  /** Decides on a call that has no attempt out: send, wait, refuse. */
  private void route(double now, Held held) {
    routesSearched++;
    if (held.call.transit()) {
      routeTransit(now, held);
    } else {
      routeDirect(now, held);
    }
  }

  private void routeDirect(double now, Held held) {
    Far far = far(held.call.destination());
    if (!far.hasGroup()) {
      routeAlternative(now, held);
    } else if (far.admits(held)) {
      far.offered(held, false);
      if (maySend(now, held, far, far)) {
        send(now, held, far, far);
      } else {
        await(now, held);
      }
    } else {
      far.offered(held, true);
      if (far.threshold(held) >= far.size) {
        far.overflowed += held.overflowed ? 0 : 1;
        held.overflowed = true;
        routeAlternative(now, held);
      } else {
        refuse(held);
      }
    }
  }

  /**
   * Of the fit tandems (or pools of second choice) that lately carried a call there the one with
   * most room; where there is none, the same of the first fit ones drawn at random.
   */
  private void routeAlternative(double now, Held held) {
    Far destination = far(held.call.destination());
    Far best = null;
    int type = held.call.type();
    double stood = (turnsStood[type] + RESCUE_WEIGHT) / (turnsSent[type] + RESCUE_WEIGHT);
    if (held.tandems < TANDEM_TRIES && pays(held, stood)) {
      for (Far far : destination.carriers) {
        best = isFit(now, held, far, destination) ? roomier(best, far) : best;
      }
      int fit = best == null ? 0 : TANDEM_FIT;
      for (int i = 0; i < Math.min(TANDEM_DRAWS, others.size()) && fit < TANDEM_FIT; i++) {
        Collections.swap(others, i, i + random.nextInt(others.size() - i));
        if (isFit(now, held, others.get(i), destination)) {
          fit++;
          best = roomier(best, others.get(i));
        }
      }
    }
    if (best == null) {
      await(now, held);
      return;
    }
    held.tandems++;
    turnsSent[type]++;
    send(now, held, best, destination);
  }

  /**
   * Whether a set-up is worth its work: the chance that it comes to something, times what the call
   * still earns beside a mean call, against the share of a good answer's time that answers take.
   * Guards against crankbacks and jams, whatever fills groups or slows processors: idle ones make a
   * set-up nearly free. Could harm when these have just come free, until the counts fade.
   */
  private boolean pays(Held held, double chance) {
    return chance * held.value() * mixCalls >= mixWorth * pace / slow;
  }

  private static Far roomier(Far one, Far other) {
    return one == null || other.free > one.free ? other : one;
  }

  private boolean isFit(double now, Held held, Far far, Far destination) {
    return (!pools || held.kind.pools().isEmpty() || held.kind.pools().contains(far.number))
        && far != destination
        && far.hasGroup()
        && far.spares(held)
        && far.allowed >= 2
        && far.delay + destination.delay < slow
        && (far.out.isEmpty() || now - far.out.iterator().next().sent < slow)
        && far.turnedBack.getOrDefault(destination.number, 0.0) <= now
        && maySend(now, held, far, pools ? far : destination);
  }

  /** A call in transit goes on to its destination at once or is turned back. */
  private void routeTransit(double now, Held held) {
    Far far = far(held.call.destination());
    if (far.hasGroup() && far.spares(held) && maySend(now, held, far, far)) {
      send(now, held, far, far);
    } else {
      refuse(held);
    }
  }

  // ---- Thresholds ---------------------------------------------------------------------------

  private void count(double now, Call call) {
    if (call.transit()) {
      return;
    }
    ownArrivals.add(now);
    if (!call.redial() && !call.returned() && !crowded.containsKey(call.number())) {
      far(call.destination()).arrivals.add(new double[] {now, call.type()});
      mix[call.type()]++;
      mixCalls++;
      mixWorth += settings.classes().get(call.type()).worth();
    }
  }

  private void recompute(double now) {
    ownArrivals.removeIf(at -> at < now - WINDOW);
    double span = Math.min(WINDOW, Math.max(PERIOD, now - started));
    ownRate = ownArrivals.size() / span;
    fars.values().forEach(far -> far.recompute(now, span));
    mixWorth *= MIX_KEEP;
    mixCalls *= MIX_KEEP;
    for (int k = 0; k < mix.length; k++) {
      mix[k] *= MIX_KEEP;
      turnsSent[k] *= BLOCKED_KEEP;
      turnsStood[k] *= BLOCKED_KEEP;
    }
    crowded.values().removeIf(until -> now > until + WINDOW);
  }

  /**
   * The report's value recursion on the busy count of one group, for Poisson arrivals: rates per
   * ms, hold in ms. For each class the first occupancy at which blocking is cheaper, or the size.
   */
  static int[] thresholds(int size, double[] rates, double hold, double[] costs) {
    double service = 1 / hold;
    double total = size * service + Arrays.stream(rates).sum();
    double[] value = new double[size + 1];
    for (int sweep = 0; sweep < SWEEPS; sweep++) {
      value = valueIterationStep(value, rates, service, costs, total);
    }
    int[] thresholds = new int[rates.length];
    for (int k = 0; k < rates.length; k++) {
      int busy = 0;
      while (busy < size && DISCOUNT * value[busy + 1] <= costs[k] + DISCOUNT * value[busy]) {
        busy++;
      }
      thresholds[k] = busy;
    }
    return thresholds;
  }

  /**
   * One step of the value iteration for a circuit group.
   *
   * @param value expected future cost for each number of busy circuits
   * @param rates arrival rate of each class, per ms
   * @param service rate at which a busy circuit is released, per ms
   * @param costs cost of blocking a call of each class
   * @param total rate of all events, per ms
   * @return the costs one step further from the end
   */
  static double[] valueIterationStep(
      double[] value, double[] rates, double service, double[] costs, double total) {
    int size = value.length - 1;
    double[] next = new double[size + 1];
    for (int busy = 0; busy <= size; busy++) {
      double below = value[Math.max(0, busy - 1)];
      double sum = service * (busy * below + (size - busy) * value[busy]) * DISCOUNT;
      for (int k = 0; k < rates.length; k++) {
        double block = costs[k] + DISCOUNT * value[busy];
        double enter = busy < size ? DISCOUNT * value[busy + 1] : Double.MAX_VALUE;
        sum += rates[k] * Math.min(block, enter);
      }
      next[busy] = sum / total;
    }
    return next;
  }

  // ---- The gate before every send -----------------------------------------------------------

  /**
   * The one owner of "may this call be sent there now": one attempt out, release guard, attempts
   * left, state of the exchange on the list, time left, set-ups out, budget of a cold processor.
   */
  private boolean maySend(double now, Held held, Far first, Far destination) {
    return held.out == null
        && !held.finished
        && now >= held.guardUntil
        && ownTakes(now, held)
        && held.attempts < settings.maxAttempts()
        && held.repeats(now, first)
        && first.number != settings.localExchange()
        && first.current != null
        && destination.current != null
        && first.takes(now, held)
        && destination.takes(now, held)
        && first.withinColdBudget(now);
  }

  /**
   * A call that does not pay goes only while nothing else is out; those in transit are half done.
   */
  private boolean ownTakes(double now, Held held) {
    int most = held.call.transit() || pays(held, 1) ? (int) ownAllowed : 1;
    return now >= ownClosedUntil && unanswered < most;
  }

  private void send(double now, Held held, Far first, Far destination) {
    line.remove(held);
    unanswered++;
    held.out = new Attempt(held.attempts++, now, first, destination, held);
    first.free -= held.call.width();
    first.sends.add(now);
    if (first == destination && !held.call.transit()) {
      first.ownBusy += held.call.width();
    }
    actions.send(held.call.id(), first.current.id(), held.aimBy - now);
  }

  // ---- The waiting line ---------------------------------------------------------------------

  /**
   * Holds a call that the thresholds do not refuse until circuits or set-ups come free, no longer
   * than its aim allows. Answers every shortage that passes within a second or so. Dearest first.
   */
  private void await(double now, Held held) {
    if (held.call.transit() || isLost(now, held)) {
      refuse(held);
    } else if (line.add(held)) {
      wake(held, held.aimBy - LEAST_AIM - now);
      if (held.guardUntil > now) {
        wake(held, held.guardUntil - now);
      }
    }
  }

  /**
   * Lets calls leave the line, dearest first. Where the own processor takes one no more it takes
   * none behind it, and the walk ends; only the beat and the list walk on, to answer calls that are
   * lost. Guards against work that grows with the line at every event, whatever filled the line.
   * Could keep a lost call waiting for one beat.
   */
  private void serveLine(double now, boolean whole) {
    Held next;
    for (Held held = line.isEmpty() ? null : line.first(); held != null; held = next) {
      next = line.higher(held);
      waitingCallsExamined++;
      boolean takes = ownTakes(now, held);
      if (!takes && !whole) {
        return;
      }
      if (isLost(now, held)) {
        refuse(held);
      } else if (takes) {
        route(now, held);
      }
    }
  }

  /**
   * Whether no way is left to send the call within its aim, as far as the module can know: it then
   * gets its answer at once, so that its caller may turn elsewhere or dial again. Guards against
   * calls held for nothing, whatever closed their ways. Could harm where a way opens sooner than
   * told: the list names a new exchange, or a pause drawn too long.
   */
  private boolean isLost(double now, Held held) {
    Far far = far(held.call.destination());
    boolean direct = far.hasGroup() && !(far.size < held.call.width());
    double needed = pools || !far.out.isEmpty() ? 0 : far.trial(held);
    return held.aimBy - Math.max(now, opens(held)) <= Math.max(LEAST_AIM, needed)
        || held.attempts >= settings.maxAttempts()
        || !held.repeats(now, null)
        || !pools && far.current == null
        || !direct && held.tandems >= TANDEM_TRIES;
  }

  /** When the pauses that stand in the call's way are over. */
  private double opens(Held held) {
    double far = pools ? 0 : far(held.call.destination()).closedUntil;
    return Math.max(far, Math.max(held.guardUntil, ownClosedUntil));
  }

  // ---- Answers of attempts ------------------------------------------------------------------

  private void attemptEnded(double now, Held held, AttemptEnded ended) {
    Attempt attempt = held.out;
    held.out = null;
    if (!held.standing) {
      judge(now, attempt, ended);
    }
    held.standing = false;
    unanswered -= attempt.answered ? 0 : 1;
    attempt.over();
    if (ended.callFinished() || held.finished) {
      held.finished = true;
      calls.remove(held.call.id());
      return;
    }
    Outcome how = ended.outcome();
    boolean unsure = how == Outcome.TIMED_OUT || how == Outcome.RESET || how == Outcome.CANCELLED;
    held.guardUntil = unsure ? now + settings.guardTime() : held.guardUntil;
    held.ran = held.ran == null && (unsure || how == Outcome.ERROR) ? attempt : held.ran;
    next(now, held, ended);
  }

  /**
   * An answer in time or not: frees its place and tells of the own processor and of the far ends
   * that gave it. What a tandem turned back its destination never saw.
   */
  private void answered(double now, Attempt attempt, double spent, List<Far> ends) {
    if (attempt.answered) {
      return;
    }
    unanswered--;
    pace += DELAY_WEIGHT * (spent - pace);
    learnOwn(now, spent, attempt.first, spent <= slow);
    attempt.answered(now, spent, ends);
  }

  /**
   * Where many far ends in turn answer badly with no good answer between, the own processor, which
   * every set-up passes, is the likelier cause: all set-ups out are then limited together, and when
   * few are left they are spread in time. Guards whatever slows the own processor. Could harm when
   * most far ends really are in trouble at once: then calls to the sound ones wait too.
   */
  private boolean learnOwn(double now, double spent, Far far, boolean good) {
    if (good) {
      badRun.clear();
      ownGap = ownGap > slow ? ownGap / 2 : 0;
      ownAllowed = Math.min(OWN_MOST, ownAllowed + 1 / ownAllowed);
      return false;
    }
    badRun.add(far.number);
    boolean own = badRun.size() >= Math.min(OWN_RUN, list.size() / 2 + 1);
    if (own && now - spent >= ownCutAt) {
      ownCutAt = now;
      ownAllowed = Math.min(ownAllowed, unanswered + 1) * SLOW_CUT;
      if (ownAllowed < 1) {
        ownAllowed = 1;
        ownGap = Math.min(OWN_GAP_MOST, Math.max(slow, 2 * ownGap));
        ownClosedUntil = Math.max(ownClosedUntil, now + ownGap * random.nextDouble());
      }
    }
    return own;
  }

  /** What the end of a set-up says of the far ends. */
  private void judge(double now, Attempt attempt, AttemptEnded ended) {
    double spent = Math.max(0, ended.elapsed() - stall);
    switch (ended.outcome()) {
      // No connection, however quickly told: calls must not run through their attempts on it.
      case REFUSED -> attempt.first.pressed(now, 0);
      case TIMED_OUT -> {
        if (!learnOwn(now, spent, attempt.first, spent < slow)) {
          attempt.ends.forEach(far -> far.silent(now, spent));
        }
      }
      case BUSY -> {
        if (ended.reason() == Reason.PROCESSOR_FULL) {
          if (!learnOwn(now, spent, attempt.first, false)) {
            attempt.first.pressed(now, ended.requestedWait());
          }
        } else if (ended.reason() == Reason.FULL_BEYOND) {
          attempt.destination.pressed(now, ended.requestedWait());
        } else {
          answered(now, attempt, spent, List.of(attempt.first));
        }
        attempt.first.turnedBack.put(attempt.destination.number, now + TURNED_BACK_MS);
        attempt.destination.carriers.remove(attempt.first);
      }
      case ERROR -> answered(now, attempt, spent, attempt.ends);
      case SKIPPED -> {
        // The own processor is down: what is sent now only uses up attempts.
        if (ended.reason() == Reason.PROCESSOR_FULL) {
          ownClosedUntil = now + slow;
        } else {
          attempt.first.free = Math.min(attempt.first.free, attempt.held.call.width() - 1);
        }
      }
      default -> {}
    }
  }

  private void next(double now, Held held, AttemptEnded ended) {
    if (ended.reason() == Reason.NUMBER_BUSY) {
      crowded.put(held.call.number(), now + CROWDED_MS);
      refuse(held);
    } else if (held.call.transit() || now >= held.aimBy - LEAST_AIM || !held.repeats(now, null)) {
      fail(held);
    } else {
      route(now, held);
    }
  }

  private void refuse(Held held) {
    if (held.ran != null && !held.kind.repeatAnywhere()) {
      fail(held);
      return;
    }
    finish(held);
    actions.refuse(held.call.id(), held.call.transit() ? 0 : comeBack(held));
  }

  /**
   * How long a refused caller should stay away, where callers follow it: until the pauses in its
   * way are over and what is out toward its far end has been answered. Guards far ends in trouble
   * against redials that can only be refused. Could harm a caller whose way opens sooner.
   */
  private double comeBack(Held held) {
    double crowd = crowded.getOrDefault(held.call.number(), 0.0);
    double wait =
        Math.max(0, Math.max(opens(held), crowd) - seen) + far(held.call.destination()).delay;
    return Math.min(settings.maxRetryAfter(), wait);
  }

  private void fail(Held held) {
    finish(held);
    actions.fail(held.call.id());
  }

  private void finish(Held held) {
    held.finished = true;
    line.remove(held);
    if (held.out == null) {
      calls.remove(held.call.id());
    }
  }

  // ---- Crowded numbers ----------------------------------------------------------------------

  /**
   * Guards against any number, or line behind it, that answers busy again and again. Could harm
   * callers of a number whose lines come free within the pause.
   */
  private boolean isCrowded(double now, String number) {
    Double until = crowded.get(number);
    crowded.computeIfPresent(number, (n, end) -> now < end ? end : now + CROWDED_MS);
    return until != null && now < until;
  }

  // ---- Far ends -----------------------------------------------------------------------------

  private Far far(int number) {
    return fars.computeIfAbsent(number, Far::new);
  }

  /** Takes over the circuits told; whether more are free, so that a waiting call may go. */
  private boolean learnCircuits(String id, Load load) {
    Exchange entry = list.get(id);
    if (entry == null || Double.isNaN(load.freeCircuits()) || Double.isNaN(load.groupSize())) {
      return false;
    }
    Far far = far(entry.number());
    boolean more = !(load.freeCircuits() <= far.free);
    far.free = load.freeCircuits();
    far.size = load.groupSize();
    return more;
  }

  /** A far end: its group of circuits, its thresholds and the one estimate of its health. */
  private final class Far {
    final int number;
    final ArrayDeque<double[]> arrivals = new ArrayDeque<>();
    final ArrayDeque<Double> sends = new ArrayDeque<>();
    final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
    final LinkedHashSet<Far> carriers = new LinkedHashSet<>();
    final Map<Integer, Double> turnedBack = new TreeMap<>();
    Exchange current;
    double free = Double.NaN;
    double size = Double.NaN;
    int ownBusy;
    int[] thresholds;
    double direct;
    double blocked;
    double others;
    double overflowed;
    double carried;
    double allowed = OUT_FIRST;
    double delay;
    double cutAt;
    double closedUntil;
    double gap;
    final double phaseOf = random.nextDouble();
    double since;

    Far(int number) {
      this.number = number;
    }

    boolean hasGroup() {
      return number != settings.localExchange() && !(size <= 0);
    }

    double threshold(Held held) {
      boolean open = thresholds == null || held.kind.worth() >= dearest && !held.late;
      return open ? size : thresholds[held.call.type() + (held.late ? mix.length : 0)];
    }

    boolean admits(Held held) {
      return Double.isNaN(size)
          || free >= held.call.width() && size - free + held.call.width() <= threshold(held);
    }

    /** Whether an alternative call leaves the reserve free, which direct calls need more. */
    boolean spares(Held held) {
      double share = direct > 0 ? blocked / direct : 0;
      double reserve = Math.floor(RESERVE_BASE * Math.sqrt(size) + RESERVE_SLOPE * share * size);
      return Double.isNaN(size) || free - held.call.width() >= reserve;
    }

    void offered(Held held, boolean refused) {
      if (!held.offered) {
        held.offered = true;
        direct++;
        blocked += refused ? 1 : 0;
      }
    }

    void recompute(double now, double span) {
      arrivals.removeIf(arrival -> arrival[0] < now - WINDOW);
      direct *= BLOCKED_KEEP;
      blocked *= BLOCKED_KEEP;
      overflowed *= BLOCKED_KEEP;
      carried *= BLOCKED_KEEP;
      thresholds = arrivals.isEmpty() || !(size >= 1) ? null : computed(span);
    }

    /** Own arrivals by class, and those of the other users of the group read off its circuits. */
    private int[] computed(double span) {
      double mixed = Arrays.stream(mix).sum();
      double[] rates = new double[2 * mix.length];
      double[] costs = new double[2 * mix.length];
      double hold = 0;
      double width = 0;
      for (int k = 0; k < mix.length; k++) {
        final int type = k;
        double counted = arrivals.stream().filter(a -> a[1] == type).count();
        rates[k] = (counted + MIX_WEIGHT * mix[k] / mixed) / (arrivals.size() + MIX_WEIGHT);
        CallClass kind = settings.classes().get(k);
        costs[k] = cost(kind.worth());
        // A redial earns little, so it counts by the circuit: a wide one would shut out first
        // tries.
        costs[mix.length + k] = cost(kind.worth() * kind.lateWorth() / kind.width());
        hold += rates[k] * kind.hold();
        width += rates[k] * kind.width();
      }
      others += (Math.max(0, size - free - ownBusy) / width / hold - others) / 2;
      for (int k = 0; k < mix.length; k++) {
        rates[k] *= arrivals.size() / span + others;
      }
      return NestedThresholdPolicy.thresholds((int) size, rates, hold, costs);
    }

    /** Cost of blocking: what is above the cheapest counts as far as overflow is lost. */
    private double cost(double worth) {
      double rescued = Math.min(1, (carried + RESCUE_WEIGHT) / (overflowed + RESCUE_WEIGHT));
      return cheapest + (worth - cheapest) * (1 - rescued);
    }

    /**
     * Whether one more set-up may go out: few enough out, and an answer in time to expect. Guards
     * against attempts that only burn work, whether the far end is silent, slow, pressed or cold.
     * Could harm a far end that recovered unseen: then the next trial call opens it again.
     */
    boolean takes(double now, Held held) {
      double rest = held.aimBy - now;
      return now >= closedUntil
          && rest >= (out.isEmpty() ? trial(held) : Math.max(delay, LEAST_AIM))
          && out.size() < (int) allowed;
    }

    /** What a call must have left to be the trial of a far end with nothing out. */
    double trial(Held held) {
      return Math.min(delay, TRIAL_SHARE * held.kind.aim());
    }

    void answered(double now, double spent) {
      delay += DELAY_WEIGHT * (spent - delay);
      if (spent <= slow) {
        gap = gap > slow ? gap / 2 : 0;
        allowed = Math.min(OUT_MOST, allowed + 1 / allowed);
      } else {
        cut(now, spent, allowed * SLOW_CUT);
      }
    }

    void silent(double now, double spent) {
      if (spent >= slow) {
        delay += DELAY_WEIGHT * (spent - delay);
        cut(now, spent, 0);
      }
    }

    /**
     * One cut for all set-ups of one round. Under one set-up out the trials are spread, further
     * apart after each that fails. Guards a far end in trouble against the sum of single trials
     * from many controllers, whatever the trouble. Could harm calls to a far end that has just
     * recovered: they wait for the next trial.
     */
    private void cut(double now, double spent, double left) {
      if (now - spent >= cutAt) {
        cutAt = now;
        allowed = Math.max(1, left);
        if (left < 1) {
          close(now, slow, 0);
        }
      }
    }

    private void close(double now, double first, double wait) {
      double most = Math.min(GAP_MOST, Math.max(2 * slow, 4 * WINDOW / (1 + arrivals.size())));
      gap = now < closedUntil ? gap : Math.min(most, Math.max(first, 2 * gap));
      closedUntil = Math.max(closedUntil, now + Math.max(wait, gap * random.nextDouble()));
    }

    /** Half an aim first, then intervals between own calls, as the senders may be many. */
    void pressed(double now, double wait) {
      allowed = 1;
      close(now, gap > 0 ? Math.max(slow, 2 * WINDOW / (1 + arrivals.size())) : slow, wait);
    }

    /**
     * This controller's share of what a cold processor bears; under one, one in several windows.
     */
    boolean withinColdBudget(double now) {
      double capacity = WORK_PER_CALL * ownRate * settings.coldShare() * settings.coldWindow();
      double share = settings.coldMultiple() * capacity / settings.controllerCount();
      double window = settings.coldWindow() / Math.min(1, share);
      while (!sends.isEmpty() && sends.peek() < now - window) {
        sends.poll();
      }
      boolean cold = current.startedAt() > 0 && now < current.startedAt() + settings.rampTime();
      boolean phase = share >= 1 || now >= since + phaseOf * window;
      return !cold || phase && sends.size() + 1 <= Math.max(1, share);
    }
  }

  // ---- Calls and attempts -------------------------------------------------------------------

  /** A call that this controller owes an answer, or that stands. */
  private static final class Held implements Comparable<Held> {
    final Call call;
    final CallClass kind;
    final long order;
    double finalBy;
    double aimBy;
    double guardUntil;
    int attempts;
    int tandems;
    Attempt out;
    Attempt ran;
    boolean late;
    boolean standing;
    boolean finished;
    boolean offered;
    boolean overflowed;

    /** What the call earns if it stands soon; a redial is mostly late. */
    double value() {
      return kind.worth() * (late ? kind.lateWorth() : 1);
    }

    /** Whether a set-up may go there, or anywhere, after one that may have run: none made twice. */
    boolean repeats(double now, Far there) {
      boolean fits = ran == null || kind.repeatAnywhere() || there == null || there == ran.first;
      return fits && (ran == null || now < ran.sent + kind.repeatWindow());
    }

    Held(Call call, CallClass kind, long order) {
      this.call = call;
      this.kind = kind;
      this.order = order;
      this.late = call.redial();
    }

    @Override
    public int compareTo(Held other) {
      int byWorth = Double.compare(other.value(), value());
      return byWorth != 0 ? byWorth : Long.compare(order, other.order);
    }
  }

  /** One attempt of a call, through a first exchange to the destination. */
  private static final class Attempt {
    final int number;
    final double sent;
    final Far first;
    final Far destination;
    final List<Far> ends;
    final Held held;
    boolean answered;

    Attempt(int number, double sent, Far first, Far destination, Held held) {
      this.number = number;
      this.sent = sent;
      this.first = first;
      this.destination = destination;
      this.held = held;
      this.ends = first == destination ? List.of(first) : List.of(first, destination);
      ends.forEach(far -> far.out.add(this));
    }

    void answered(double now, double spent, List<Far> by) {
      answered = true;
      release();
      by.forEach(far -> far.answered(now, spent));
    }

    void release() {
      ends.forEach(far -> far.out.remove(this));
    }

    /** The circuits toward the first exchange are free again. */
    void over() {
      release();
      if (first == destination && !held.call.transit()) {
        first.ownBusy -= held.call.width();
      }
    }
  }
}
