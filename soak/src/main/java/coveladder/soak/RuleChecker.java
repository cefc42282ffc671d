package coveladder.soak;

import coveladder.soak.Observation.CallerConnected;
import coveladder.soak.Observation.CallerConnectionEnded;
import coveladder.soak.Observation.CallerRead;
import coveladder.soak.Observation.CallerWrote;
import coveladder.soak.Observation.PathChanged;
import coveladder.soak.Observation.ProcessChanged;
import coveladder.soak.Observation.SwitchConnectionEnded;
import coveladder.soak.Observation.SwitchEnded;
import coveladder.soak.Observation.SwitchRead;
import coveladder.soak.Observation.SwitchTold;
import coveladder.soak.Observation.SwitchWrote;
import coveladder.soak.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges the rules from what passed the sockets of the controllers. It knows nothing of the program
 * and does not read its logs. All time limits are 50 ms longer than the pages state, as these do.
 */
final class RuleChecker {
  private static final double SLACK_MILLIS = 50;
  private static final double LATE_ANSWER_MILLIS = 500;
  private static final double CROSSING_MILLIS = 50;
  private static final double RELEASE_MILLIS = 1_000;
  private static final double UNTOLD_RELEASE_MILLIS = 8_000;
  private static final double CALLER_GONE_MILLIS = 100;
  private static final double DISRUPTIVE_MILLIS = 3_000;
  private static final double READY_MILLIS = 30_000;
  private static final double USUAL_READY_MILLIS = 10_000;

  /** Time after SIGTERM from which a request that the kill finds unanswered is lost. */
  private static final double LATE_REQUEST_MILLIS = 700;

  private static final int CONNECTION_FAILURE = 41;

  private final SoakSettings settings;
  private final List<Observation> observations;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Call> calls = new LinkedHashMap<>();
  private final Map<Integer, ProcessState> processes = new HashMap<>();
  private final Map<Integer, Client> disruptiveClients = new LinkedHashMap<>();
  private final Map<Integer, Set<Integer>> openCallerConnections = new HashMap<>();
  private final Map<String, Double> closedSince = new HashMap<>();
  private final Map<String, Double> listedStart = new HashMap<>();
  private final Map<String, TreeMap<Double, Integer>> coldLoads = new HashMap<>();
  private final Map<String, Double> cutSince = new HashMap<>();
  private final List<SwitchTold> tolds = new ArrayList<>();
  private int restarts;
  private int slowRestarts;

  /** The state of a controller's process. */
  private static final class ProcessState {
    double startedAt = Double.NaN;
    double terminationRequestedAt = Double.NaN;
    boolean ready;
    boolean running;
  }

  /** A client that misuses the protocol. */
  private static final class Client {
    final int controller;
    final double connectedAt;
    boolean settled;

    Client(int controller, double connectedAt) {
      this.controller = controller;
      this.connectedAt = connectedAt;
    }
  }

  /** What is known of one call. */
  private static final class Call {
    final String id;
    int controller;
    int connection = -1;
    CallerMessage setUp;
    double setUpAt;
    double deadline = Double.NaN;

    /** Time at which the call was last set up or named. */
    double knownSince = Double.NEGATIVE_INFINITY;

    double goneAt = Double.NaN;
    boolean pending;
    boolean excused;
    boolean finished;
    boolean stands;
    boolean releasedByCaller;
    double callerReleaseAt = Double.NaN;
    double releaseDueAt = Double.NaN;
    double switchReleaseDueAt = Double.NaN;
    double overAt = Double.NaN;

    /** Time at which the switch last told that the call is over; infinite once the switch ended. */
    double overAtLeastSince = Double.NEGATIVE_INFINITY;

    /** Time by which the call must be released towards its caller, if it was named. */
    double overDueAt = Double.NaN;

    /** Forgets the end of an earlier attempt that a switch answered and whose answer was lost. */
    void forgetEnd() {
      overAt = Double.NaN;
      overAtLeastSince = Double.NEGATIVE_INFINITY;
      overDueAt = Double.NaN;
    }

    boolean releaseSeen;
    String standsAt = "";
    final Set<String> answers = new HashSet<>();
    Attempt attempt;
    double uncertainEndAt = Double.NEGATIVE_INFINITY;

    Call(String id) {
      this.id = id;
    }
  }

  /** An attempt that is out. */
  private record Attempt(String switchId, int connection) {}

  RuleChecker(SoakSettings settings, List<Observation> observations) {
    this.settings = settings;
    this.observations = new ArrayList<>(observations);
    this.observations.sort(Comparator.comparingDouble(Observation::timeMillis));
  }

  /** Returns the broken rules. */
  List<Violation> check() {
    for (Observation observation : observations) {
      checkDeadlines(observation.timeMillis());
      handle(observation);
    }
    if (!observations.isEmpty()) {
      checkDeadlines(observations.get(observations.size() - 1).timeMillis());
    }
    if (slowRestarts > Math.max(1, restarts / 10)) {
      violations.add(
          new Violation(Rule.READY, 0, -1, "", slowRestarts + " of " + restarts + " starts slow"));
    }
    return violations;
  }

  private void handle(Observation observation) {
    if (observation instanceof CallerWrote wrote) {
      onCallerWrote(wrote);
    } else if (observation instanceof CallerRead read) {
      onCallerRead(read);
    } else if (observation instanceof CallerConnected connected) {
      onCallerConnected(connected);
    } else if (observation instanceof CallerConnectionEnded ended) {
      onCallerConnectionEnded(ended);
    } else if (observation instanceof SwitchRead read) {
      onSwitchRead(read);
    } else if (observation instanceof SwitchWrote wrote) {
      onSwitchWrote(wrote);
    } else if (observation instanceof SwitchConnectionEnded ended) {
      onSwitchConnectionEnded(ended);
    } else if (observation instanceof SwitchTold told) {
      onSwitchTold(told);
    } else if (observation instanceof SwitchEnded ended) {
      onSwitchEnded(ended);
    } else if (observation instanceof PathChanged changed) {
      onPathChanged(changed);
    } else if (observation instanceof ProcessChanged changed) {
      onProcessChanged(changed);
    }
  }

  private void broken(Rule rule, double timeMillis, Call call, String text) {
    violations.add(new Violation(rule, timeMillis, call.controller, call.id, text));
  }

  private ProcessState process(int controller) {
    return processes.computeIfAbsent(controller, key -> new ProcessState());
  }

  // ---- Callers -------------------------------------------------------------------------------

  private void onCallerConnected(CallerConnected connected) {
    if (connected.disruptive()) {
      disruptiveClients.put(
          connected.connection(), new Client(connected.controller(), connected.timeMillis()));
    } else {
      openCallerConnections
          .computeIfAbsent(connected.controller(), key -> new HashSet<>())
          .add(connected.connection());
    }
  }

  private void onCallerConnectionEnded(CallerConnectionEnded ended) {
    Client client = disruptiveClients.get(ended.connection());
    if (client != null) {
      client.settled = true;
      return;
    }
    openCallerConnections
        .getOrDefault(ended.controller(), new HashSet<>())
        .remove(ended.connection());
    for (Call call : calls.values()) {
      if (call.pending && call.connection == ended.connection()) {
        endWithConnection(call, ended);
      }
    }
  }

  private void endWithConnection(Call call, CallerConnectionEnded ended) {
    boolean crossed = ended.timeMillis() - call.setUpAt <= CROSSING_MILLIS + SLACK_MILLIS;
    boolean running = process(ended.controller()).running;
    if (ended.byController() && !crossed && running) {
      broken(Rule.LOST, ended.timeMillis(), call, "its connection was closed without an answer");
    }
    if (!ended.byController()) {
      call.goneAt = ended.timeMillis();
    }
    call.pending = false;
    call.excused = true;
  }

  private void onCallerWrote(CallerWrote wrote) {
    CallerMessage message = wrote.message();
    if (message.type() == CallerMessage.SET_UP) {
      Call call = calls.computeIfAbsent(message.call(), Call::new);
      if (message.text(CallerMessage.FIGURES).contains("at:")) {
        onResumption(call, wrote);
      } else {
        onSetUp(call, wrote);
      }
    } else if (message.type() == CallerMessage.RELEASE) {
      Call call = calls.get(message.call());
      if (call != null) {
        onCallerRelease(call, wrote);
      }
    }
  }

  private void onSetUp(Call call, CallerWrote wrote) {
    call.controller = wrote.controller();
    call.connection = wrote.connection();
    call.setUp = wrote.message();
    call.setUpAt = wrote.timeMillis();
    call.knownSince = wrote.timeMillis();
    call.pending = true;
    call.excused = false;
    double left = Double.parseDouble(wrote.message().text(CallerMessage.LEFT));
    call.deadline = wrote.timeMillis() + left;
  }

  /**
   * A call that is over by now must be released towards its caller from here on, if this run of the
   * process could know of its end: a release that only an earlier run read is not repeated.
   */
  private void onResumption(Call call, CallerWrote wrote) {
    call.controller = wrote.controller();
    call.knownSince = wrote.timeMillis();
    if (call.stands && call.releasedByCaller) {
      expectSwitchRelease(call, wrote.timeMillis());
    }
    boolean owed = !Double.isNaN(call.overAt) && !call.releaseSeen && !call.releasedByCaller;
    if (owed && call.overAtLeastSince >= process(call.controller).startedAt) {
      double namedDueAt = wrote.timeMillis() + RELEASE_MILLIS + SLACK_MILLIS;
      boolean untold = Double.isInfinite(call.overAtLeastSince);
      double untoldDueAt = call.overAt + UNTOLD_RELEASE_MILLIS + SLACK_MILLIS;
      call.releaseDueAt = Math.max(namedDueAt, untold ? untoldDueAt : call.overDueAt);
    }
  }

  private void onCallerRelease(Call call, CallerWrote wrote) {
    if (call.pending) {
      call.pending = false;
      call.excused = true;
      call.releasedByCaller = true;
      call.goneAt = wrote.timeMillis();
    } else if (call.stands) {
      call.releasedByCaller = true;
      call.callerReleaseAt = wrote.timeMillis();
      call.releaseDueAt = Double.NaN;
      expectSwitchRelease(call, wrote.timeMillis());
    }
  }

  /**
   * Expects a call that its caller released to be released at its switch, if this run of the
   * process was told of the call, and so of its switch.
   */
  private void expectSwitchRelease(Call call, double timeMillis) {
    boolean reachable = !cutSince.containsKey(call.controller + call.standsAt);
    boolean known = call.knownSince >= process(call.controller).startedAt;
    if (Double.isNaN(call.overAt) && reachable && known) {
      call.switchReleaseDueAt = timeMillis + RELEASE_MILLIS + SLACK_MILLIS;
    }
  }

  private void onCallerRead(CallerRead read) {
    CallerMessage message = read.message();
    if (read.disruptive()) {
      onDisruptiveRead(read);
      return;
    }
    Call call = calls.get(message.call());
    if (call == null || call.setUp == null) {
      return;
    }
    if (message.type() == CallerMessage.ANSWER) {
      onAnswer(call, read);
    } else if (message.type() == CallerMessage.RELEASE) {
      onRelease(call, read);
    }
  }

  private void onDisruptiveRead(CallerRead read) {
    Client client = disruptiveClients.get(read.connection());
    if (client != null) {
      client.settled = true;
    }
    if (read.message().type() == CallerMessage.ANSWER) {
      violations.add(
          new Violation(
              Rule.DISRUPTIVE,
              read.timeMillis(),
              read.controller(),
              read.message().call(),
              "served"));
    }
  }

  private void onAnswer(Call call, CallerRead read) {
    if (call.finished || call.stands) {
      broken(Rule.SECOND_ANSWER, read.timeMillis(), call, "an answer after the final answer");
    }
    if (!call.answers.contains(read.message().text(CallerMessage.DESCRIPTION))) {
      broken(Rule.FALSE_ANSWER, read.timeMillis(), call, "no switch gave this description");
    }
    call.pending = false;
    call.stands = true;
    if (!Double.isNaN(call.overAt) && !call.releasedByCaller) {
      double answeredDueAt = read.timeMillis() + RELEASE_MILLIS + SLACK_MILLIS;
      call.releaseDueAt = Math.max(answeredDueAt, call.overDueAt);
    }
  }

  private void onRelease(Call call, CallerRead read) {
    if (call.finished && !call.stands && !call.excused) {
      broken(Rule.SECOND_ANSWER, read.timeMillis(), call, "a release after the final answer");
    }
    call.pending = false;
    call.finished = true;
    call.releaseSeen = true;
    call.releaseDueAt = Double.NaN;
  }

  // ---- Switches ------------------------------------------------------------------------------

  private void onSwitchRead(SwitchRead read) {
    SwitchLine line = read.line();
    Call call = calls.get(line.call());
    if (line.type().equals(SwitchLine.OPEN)) {
      if (call == null || call.setUp == null) {
        violations.add(
            new Violation(
                Rule.INVENTED,
                read.timeMillis(),
                read.controller(),
                line.call(),
                "no caller sent it"));
        return;
      }
      onAttempt(call, read);
    } else if (line.type().equals(SwitchLine.CLOSE) && call != null) {
      onControllerRelease(call, read);
    }
  }

  private void onAttempt(Call call, SwitchRead read) {
    double now = read.timeMillis();
    SwitchLine line = read.line();
    boolean unchanged =
        line.fields().getOrDefault("class", "").equals(call.setUp.text(CallerMessage.CLASS))
            && line.fields().getOrDefault("key", "").equals(call.setUp.text(CallerMessage.NUMBER))
            && call.setUp.text(CallerMessage.DESCRIPTION).equals(line.description());
    if (!unchanged) {
      broken(Rule.INVENTED, now, call, "class, number or description changed");
    }
    if (now - call.goneAt > CALLER_GONE_MILLIS + SLACK_MILLIS) {
      broken(Rule.CALLER_GONE, now, call, Math.round(now - call.goneAt) + " ms after it left");
    }
    if (call.attempt != null) {
      broken(Rule.DUPLICATE, now, call, "another is out at " + call.attempt.switchId());
    }
    if (now - call.uncertainEndAt < settings.guardMillis() - SLACK_MILLIS) {
      broken(Rule.GUARD, now, call, Math.round(now - call.uncertainEndAt) + " ms after the end");
    }
    checkDrain(call, read);
    checkCold(call, read);
    if (call.pending) {
      call.forgetEnd();
    }
    call.attempt = new Attempt(read.switchId(), read.connection());
  }

  private void checkDrain(Call call, SwitchRead read) {
    double since =
        closedSince.getOrDefault(read.controller() + read.switchId(), Double.POSITIVE_INFINITY);
    double overdue = read.timeMillis() - since - settings.drainGraceMillis();
    if (overdue > SLACK_MILLIS) {
      broken(
          Rule.DRAIN,
          read.timeMillis(),
          call,
          Math.round(overdue) + " ms after the grace of " + read.switchId());
    }
  }

  private void checkCold(Call call, SwitchRead read) {
    double startedAt = listedStart.getOrDefault(read.switchId(), 0.0);
    double age = read.timeMillis() - startedAt;
    TreeMap<Double, Integer> load =
        coldLoads.computeIfAbsent(read.switchId(), key -> new TreeMap<>());
    load.merge(read.timeMillis(), 1, Integer::sum);
    if (startedAt == 0 || age >= settings.rampMillis()) {
      return;
    }
    double share =
        settings.coldShare()
            + (1 - settings.coldShare()) * Math.max(0, age) / settings.rampMillis();
    double allowed =
        settings.coldMultiple()
            * share
            * settings.switchCapacityPerSecond()
            * settings.coldWindowMillis()
            / 1_000;
    double chance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    int sent =
        load.tailMap(read.timeMillis() - settings.coldWindowMillis()).values().stream()
            .mapToInt(Integer::intValue)
            .sum();
    if (sent > allowed + chance) {
      broken(
          Rule.COLD,
          read.timeMillis(),
          call,
          sent + " set-ups at " + read.switchId() + " of " + allowed);
    }
  }

  /** A controller gives an attempt up or releases a call. */
  private void onControllerRelease(Call call, SwitchRead read) {
    if (call.attempt != null && call.attempt.switchId().equals(read.switchId())) {
      call.attempt = null;
      call.uncertainEndAt = read.timeMillis();
    }
    if (call.standsAt.equals(read.switchId())) {
      call.switchReleaseDueAt = Double.NaN;
      callIsOver(call, read.timeMillis(), RELEASE_MILLIS);
    }
  }

  private void onSwitchWrote(SwitchWrote wrote) {
    SwitchLine line = wrote.line();
    Call call = calls.get(line.call());
    if (call == null) {
      return;
    }
    boolean ownAttempt =
        call.attempt != null
            && call.attempt.switchId().equals(wrote.switchId())
            && call.attempt.connection() == wrote.connection();
    if (line.type().equals(SwitchLine.READY)) {
      call.answers.add(line.description());
      if (ownAttempt) {
        call.attempt = null;
        call.standsAt = wrote.switchId();
      }
    } else if (line.type().equals(SwitchLine.CLOSE)) {
      if (ownAttempt) {
        call.attempt = null;
        boolean uncertain = line.cause() == CONNECTION_FAILURE;
        call.uncertainEndAt = uncertain ? wrote.timeMillis() : call.uncertainEndAt;
      } else if (call.standsAt.equals(wrote.switchId())) {
        call.switchReleaseDueAt = Double.NaN;
        callIsOver(call, wrote.timeMillis(), RELEASE_MILLIS);
      }
    }
  }

  /** Notes that a standing call is over; its caller must be told unless it ended it itself. */
  private void callIsOver(Call call, double timeMillis, double limitMillis) {
    if (Double.isNaN(call.overAt)) {
      call.overAt = timeMillis;
      call.overDueAt = timeMillis + limitMillis + SLACK_MILLIS;
    }
    call.overAtLeastSince =
        limitMillis == RELEASE_MILLIS
            ? Math.max(call.overAtLeastSince, timeMillis)
            : Double.POSITIVE_INFINITY;
    ProcessState state = process(call.controller);
    boolean known = state.running && call.knownSince >= state.startedAt;
    if (call.stands && !call.releaseSeen && !call.releasedByCaller && known) {
      double dueAt = timeMillis + limitMillis + SLACK_MILLIS;
      call.releaseDueAt =
          Double.isNaN(call.releaseDueAt) ? dueAt : Math.min(call.releaseDueAt, dueAt);
    }
  }

  private void onSwitchConnectionEnded(SwitchConnectionEnded ended) {
    for (Call call : calls.values()) {
      if (call.attempt != null && call.attempt.connection() == ended.connection()) {
        call.attempt = null;
        call.uncertainEndAt = ended.timeMillis();
      }
    }
  }

  private void onSwitchTold(SwitchTold told) {
    String key = told.controller() + told.switchId();
    listedStart.put(told.switchId(), told.startedAtMillis());
    if (told.state().equals("in_service")) {
      closedSince.remove(key);
    } else {
      closedSince.putIfAbsent(key, told.timeMillis());
    }
  }

  private void onSwitchEnded(SwitchEnded ended) {
    for (Call call : calls.values()) {
      if (call.controller == ended.controller() && call.standsAt.equals(ended.switchId())) {
        call.switchReleaseDueAt = Double.NaN;
        callIsOver(call, ended.timeMillis(), UNTOLD_RELEASE_MILLIS);
      }
    }
  }

  private void onPathChanged(PathChanged changed) {
    String key = changed.controller() + changed.party();
    if (changed.cut()) {
      cutSince.put(key, changed.timeMillis());
    } else {
      cutSince.remove(key);
    }
    for (Call call : calls.values()) {
      if (call.controller == changed.controller() && call.standsAt.equals(changed.party())) {
        call.switchReleaseDueAt = Double.NaN;
      }
    }
  }

  // ---- Processes -----------------------------------------------------------------------------

  private void onProcessChanged(ProcessChanged changed) {
    ProcessState state = process(changed.controller());
    switch (changed.change()) {
      case STARTED -> {
        state.startedAt = changed.timeMillis();
        state.terminationRequestedAt = Double.NaN;
        state.ready = false;
        state.running = true;
      }
      case READY -> onReady(state, changed);
      case TERMINATION_REQUESTED -> state.terminationRequestedAt = changed.timeMillis();
      case KILLED -> onKilled(state, changed);
      case CRASHED -> {
        state.running = false;
        violations.add(
            new Violation(
                Rule.CRASH, changed.timeMillis(), changed.controller(), "", "ended by itself"));
      }
    }
  }

  private void onReady(ProcessState state, ProcessChanged changed) {
    state.ready = true;
    restarts++;
    if (changed.timeMillis() - state.startedAt > USUAL_READY_MILLIS) {
      slowRestarts++;
    }
  }

  private void onKilled(ProcessState state, ProcessChanged changed) {
    state.running = false;
    double lateFrom = state.terminationRequestedAt + LATE_REQUEST_MILLIS;
    for (Call call : calls.values()) {
      if (call.controller != changed.controller()) {
        continue;
      }
      if (call.pending && call.setUpAt > lateFrom) {
        broken(Rule.LOST, changed.timeMillis(), call, "the kill found it unanswered");
      }
      call.pending = false;
      call.excused = true;
      call.attempt = null;
      call.releaseDueAt = Double.NaN;
      call.switchReleaseDueAt = Double.NaN;
    }
    openCallerConnections.remove(changed.controller());
  }

  // ---- Limits of time ------------------------------------------------------------------------

  private void checkDeadlines(double now) {
    for (Call call : calls.values()) {
      if (call.pending && now > call.deadline + LATE_ANSWER_MILLIS + SLACK_MILLIS) {
        call.pending = false;
        call.excused = true;
        broken(Rule.LOST, now, call, "no final answer in time");
      }
      if (now > call.releaseDueAt) {
        checkRelease(call, now);
      }
      if (now > call.switchReleaseDueAt) {
        call.switchReleaseDueAt = Double.NaN;
        broken(Rule.LEFT_STANDING, now, call, "not released at " + call.standsAt);
      }
    }
    disruptiveClients.values().forEach(client -> checkDisruptive(client, now));
    processes.forEach((controller, state) -> checkReady(controller, state, now));
  }

  private void checkRelease(Call call, double now) {
    boolean couldBeSent = !openCallerConnections.getOrDefault(call.controller, Set.of()).isEmpty();
    call.releaseDueAt = Double.NaN;
    if (couldBeSent) {
      broken(Rule.RELEASE, now, call, "over since " + Math.round(call.overAt) + ", not released");
    }
  }

  private void checkDisruptive(Client client, double now) {
    boolean running = process(client.controller).running;
    if (!client.settled && running && now > client.connectedAt + DISRUPTIVE_MILLIS + SLACK_MILLIS) {
      client.settled = true;
      violations.add(
          new Violation(
              Rule.DISRUPTIVE, now, client.controller, "", "neither refused nor closed in time"));
    }
    client.settled |= !running;
  }

  private void checkReady(int controller, ProcessState state, double now) {
    if (state.running && !state.ready && now > state.startedAt + READY_MILLIS) {
      state.ready = true;
      violations.add(new Violation(Rule.READY, now, controller, "", "not ready in time"));
    }
  }
}
