package coveladder.rehearsal;

import coveladder.rehearsal.RuleReport.Rule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the five rules against the recorded messages and notes alone. It is told which nodes are
 * controllers and the limits of the rules, and shares no code with the controllers.
 */
public final class Checker {
  /** Tolerance for rounding of clock times. */
  private static final double ROUNDING_MILLIS = 1;

  private final Limits limits;
  private final Set<String> controllers;
  private final Map<String, ObservedController> observedControllers = new HashMap<>();
  private final Map<String, ColdProcessor> coldProcessors = new HashMap<>();

  /** Start and end of each freeze, clock time in ms, by node name. */
  private final Map<String, List<double[]>> freezes = new HashMap<>();

  /** Start and end of each downtime, clock time in ms, by node name; infinite end: still down. */
  private final Map<String, List<double[]>> downtimes = new HashMap<>();

  private final Set<String> controllersWithFailedDisk = new HashSet<>();
  private final RuleReport report = new RuleReport();

  /**
   * The limits that the rules refer to.
   *
   * @param guardTimeMillis minimum time between an uncertain end of an attempt and the next attempt
   *     of the call, ms
   * @param drainGraceMillis time after the notice of a drain within which set-ups may still be
   *     sent, ms
   * @param answerSlackMillis time after the end of the caller's patience within which a final
   *     answer is still in time, ms
   * @param attemptTimeoutMillis time after which an attempt without any response is over (64*T1),
   *     ms
   * @param recoveryMillis time after a restart within which callers from before it are answered, ms
   */
  public record Limits(
      double guardTimeMillis,
      double drainGraceMillis,
      double answerSlackMillis,
      double attemptTimeoutMillis,
      double recoveryMillis) {}

  /** Creates a checker for the controllers with these node names. */
  public Checker(Limits limits, Set<String> controllers) {
    this.limits = limits;
    this.controllers = controllers;
  }

  /** Checks a whole run, which ended at the last entry. */
  public RuleReport check(List<MessageRecorder.Entry> entries) {
    double end = 0;
    for (MessageRecorder.Entry entry : entries) {
      end = entry.time();
      if (entry.kind() == MessageRecorder.Kind.NOTE) {
        readNote(entry);
      } else if (controllers.contains(entry.node())) {
        observedControllers.computeIfAbsent(entry.node(), ObservedController::new).observe(entry);
      } else if (entry.kind() == MessageRecorder.Kind.READ
          && coldProcessors.containsKey(entry.node())) {
        coldProcessors.get(entry.node()).observe(entry);
      }
    }
    for (ObservedController controller : observedControllers.values()) {
      controller.finish(end);
    }
    return report;
  }

  /**
   * Evaluates a note. "cold" is followed by the parameters of a cold start, in the order that
   * {@link ColdProcessor} names; "frozen for" by a duration in ms; "killed" and "started" enclose a
   * downtime of a controller; after "disk fails" a controller continues without persisting its
   * calls.
   */
  private void readNote(MessageRecorder.Entry entry) {
    if (entry.note().startsWith("cold ")) {
      coldProcessors.put(entry.node(), new ColdProcessor(entry));
      report.countCheck(Rule.COLD_SPARED);
    } else if (entry.note().startsWith("frozen for ")) {
      double end = entry.time() + Double.parseDouble(entry.note().substring(11));
      freezes
          .computeIfAbsent(entry.node(), n -> new ArrayList<>())
          .add(new double[] {entry.time(), end});
    } else if (entry.note().equals("killed")) {
      double[] downtime = {entry.time(), Double.POSITIVE_INFINITY};
      downtimes.computeIfAbsent(entry.node(), n -> new ArrayList<>()).add(downtime);
    } else if (entry.note().equals("started")) {
      List<double[]> intervals = downtimes.get(entry.node());
      intervals.get(intervals.size() - 1)[1] = entry.time();
    } else if (entry.note().equals("disk fails")) {
      controllersWithFailedDisk.add(entry.node());
    }
  }

  /**
   * The latest time at which an answer due at the given time is still accepted. The rule applies to
   * running controllers: a frozen one can only answer once it is no longer frozen.
   */
  private double latestAnswerTime(String controller, double dueAt) {
    double latest = dueAt;
    for (double[] freeze : freezes.getOrDefault(controller, List.of())) {
      latest = latest >= freeze[0] && latest < freeze[1] ? freeze[1] : latest;
    }
    return latest;
  }

  private boolean restartedBetween(String controller, double from, double to) {
    return downtimes.getOrDefault(controller, List.of()).stream()
        .anyMatch(downtime -> downtime[1] >= from && downtime[1] <= to);
  }

  /**
   * Whether a call may end without an answer because its controller was down while it was pending.
   * After a restart the controller has to answer a caller whose INVITE was received again. It also
   * has to answer one whose attempt had been sent and who can still be reached, which is only so
   * over UDP. In both cases the caller's patience must exceed the time that recovery may take.
   */
  private boolean isExcused(String controller, ReceivedCall call) {
    double[] lastDowntime = null;
    for (double[] downtime : downtimes.getOrDefault(controller, List.of())) {
      lastDowntime =
          downtime[1] >= call.receivedAt && downtime[0] <= call.patienceEnd
              ? downtime
              : lastDowntime;
    }
    if (lastDowntime == null) {
      return false;
    }
    double restartedAt = lastDowntime[1];
    boolean inviteRepeated = call.lastReceivedAt > restartedAt;
    boolean reachableAfterAttempt = !call.attempts.isEmpty() && call.overUdp;
    boolean answerDue =
        (inviteRepeated || reachableAfterAttempt)
            && restartedAt + limits.recoveryMillis() < call.patienceEnd;
    return !answerDue || controllersWithFailedDisk.contains(controller);
  }

  /**
   * A processor that was started cold, and the set-ups it received. Its parameters are, by index: 0
   * processing time of a set-up, ms; 1 share of its capacity at the start; 2 time until it has its
   * full capacity, ms; 3 multiple of its present capacity beyond which it crashes; 4 length of the
   * window over which set-ups are counted, ms.
   */
  private final class ColdProcessor {
    private final String name;
    private final double startedAt;
    private final double[] parameters = new double[5];
    private final ArrayDeque<Double> setupTimes = new ArrayDeque<>();
    private boolean overloaded;

    ColdProcessor(MessageRecorder.Entry entry) {
      name = entry.node();
      startedAt = entry.time();
      String[] parts = entry.note().split(" ");
      for (int i = 0; i < parameters.length; i++) {
        parameters[i] = Double.parseDouble(parts[i + 1]);
      }
    }

    void observe(MessageRecorder.Entry entry) {
      WireMessage message = WireMessage.parse(entry.message());
      double age = entry.time() - startedAt;
      if (message == null || !message.isRequest("INVITE") || age >= parameters[2]) {
        return;
      }
      setupTimes.add(entry.time());
      while (setupTimes.peek() < entry.time() - parameters[4]) {
        setupTimes.poll();
      }
      double capacityShare = parameters[1] + (1 - parameters[1]) * age / parameters[2];
      double maxSetups = parameters[3] * capacityShare * parameters[4] / parameters[0];
      if (setupTimes.size() > maxSetups && !overloaded) {
        overloaded = true;
        report.addBreach(
            Rule.COLD_SPARED,
            name + " got " + setupTimes.size() + " set-ups in a window, bears " + (int) maxSetups);
      }
    }
  }

  /** A call that a controller received. */
  private static final class ReceivedCall {
    private final String sessionId;
    private double receivedAt;
    private double patienceEnd;
    private final boolean overUdp;
    private double lastReceivedAt;
    private boolean abandoned;
    private String finalAnswer = "";
    private double answeredAt = Double.NaN;
    private final List<Attempt> attempts = new ArrayList<>();

    ReceivedCall(String sessionId, double receivedAt, double patienceEnd, boolean overUdp) {
      this.sessionId = sessionId;
      this.receivedAt = receivedAt;
      this.lastReceivedAt = receivedAt;
      this.patienceEnd = patienceEnd;
      this.overUdp = overUdp;
    }
  }

  /** One attempt that a controller sent. */
  private static final class Attempt {
    private final double sentAt;
    private final String peer;
    private boolean cancelSent;
    private boolean established;
    private boolean uncertain;
    private double endedAt = Double.NaN;

    Attempt(double sentAt, String peer) {
      this.sentAt = sentAt;
      this.peer = peer;
    }

    boolean hasEnded() {
      return !Double.isNaN(endedAt);
    }

    void markEnded(double time, boolean isUncertain) {
      if (!hasEnded()) {
        endedAt = time;
        uncertain = isUncertain || cancelSent;
      }
    }
  }

  /** One controller, known by the messages that it received and sent. */
  private final class ObservedController {
    private final String name;
    private final Map<String, ReceivedCall> callsByCallId = new LinkedHashMap<>();
    private final Map<String, ReceivedCall> callsBySessionId = new HashMap<>();
    private final Map<String, Attempt> attemptsByCallId = new HashMap<>();
    private final ReportedDirectory directory = new ReportedDirectory();

    ObservedController(String name) {
      this.name = name;
    }

    void observe(MessageRecorder.Entry entry) {
      if (entry.kind() == MessageRecorder.Kind.FAILED) {
        onConnectionFailed(entry);
        return;
      }
      WireMessage message = WireMessage.parse(entry.message());
      if (message == null) {
        return;
      }
      if (entry.kind() == MessageRecorder.Kind.READ) {
        onReceived(entry, message);
      } else {
        onSent(entry, message);
      }
    }

    // ---- Received messages ------------------------------------------------------------------

    private void onReceived(MessageRecorder.Entry entry, WireMessage message) {
      if (message.isRequest("INVITE") && message.toTag().isEmpty()) {
        onInitialInvite(entry, message);
      } else if (message.isRequest("CANCEL") || message.isRequest("BYE")) {
        onCancelOrBye(entry, message);
      } else if (message.isRequest("NOTIFY")) {
        directory.update(message.body(), entry.time());
      } else if (message.status() >= 200 && message.cseqMethod().equals("INVITE")) {
        onFinalResponse(entry, message);
      }
    }

    private void onInitialInvite(MessageRecorder.Entry entry, WireMessage message) {
      ReceivedCall known = callsByCallId.get(message.callId());
      if (known != null) {
        onRepeatedInvite(known, entry, message);
        return;
      }
      ReceivedCall call =
          new ReceivedCall(
              message.sessionId(), entry.time(), patienceEnd(entry, message), message.isUdp());
      callsByCallId.put(message.callId(), call);
      callsBySessionId.put(message.sessionId(), call);
    }

    /**
     * A retransmitted INVITE counts as a new one, with its full patience, if the controller
     * restarted in between and had stored nothing of the call.
     */
    private void onRepeatedInvite(
        ReceivedCall call, MessageRecorder.Entry entry, WireMessage message) {
      boolean nothingStored = call.attempts.isEmpty() || controllersWithFailedDisk.contains(name);
      boolean forgotten = nothingStored && call.finalAnswer.isEmpty();
      if (forgotten && restartedBetween(name, call.lastReceivedAt, entry.time())) {
        call.receivedAt = entry.time();
        call.patienceEnd = patienceEnd(entry, message);
      }
      call.lastReceivedAt = entry.time();
    }

    /**
     * Clock time at which the caller's patience ends, ms. The Expires header gives the patience in
     * seconds; without it the patience has no end.
     */
    private double patienceEnd(MessageRecorder.Entry entry, WireMessage message) {
      double patience = 1000 * Double.parseDouble("0" + message.header("expires"));
      return patience == 0 ? Double.MAX_VALUE : entry.arrivedAt() + patience;
    }

    private void onCancelOrBye(MessageRecorder.Entry entry, WireMessage message) {
      ReceivedCall call = callsByCallId.get(message.callId());
      if (call != null) {
        call.abandoned = true;
      }
      Attempt attempt = attemptsByCallId.get(message.callId());
      if (attempt != null) {
        attempt.markEnded(entry.time(), false);
      }
    }

    private void onFinalResponse(MessageRecorder.Entry entry, WireMessage message) {
      Attempt attempt = attemptsByCallId.get(message.callId());
      if (attempt != null && message.status() < 300) {
        attempt.established = true;
      } else if (attempt != null) {
        boolean uncertain = message.status() == 408 || message.status() == 487;
        attempt.markEnded(entry.time(), uncertain);
      }
    }

    private void onConnectionFailed(MessageRecorder.Entry entry) {
      for (Attempt attempt : attemptsByCallId.values()) {
        boolean pending = !attempt.hasEnded() && !attempt.established;
        if (pending && attempt.peer.equals(entry.peer().toString())) {
          attempt.markEnded(entry.time(), entry.failure() != coveladder.sip.Failure.REFUSED);
        }
      }
    }

    // ---- Sent messages ----------------------------------------------------------------------

    private void onSent(MessageRecorder.Entry entry, WireMessage message) {
      Attempt known = attemptsByCallId.get(message.callId());
      if (message.isRequest("INVITE") && message.toTag().isEmpty()) {
        if (known == null) {
          onAttemptSent(entry, message);
        }
      } else if (message.isRequest("CANCEL") && known != null) {
        known.cancelSent = true;
      } else if (message.isRequest("BYE") && known != null) {
        known.markEnded(entry.time(), true);
      } else if (message.status() >= 200 && message.cseqMethod().equals("INVITE")) {
        onFinalAnswerSent(entry, message);
      }
    }

    private void onAttemptSent(MessageRecorder.Entry entry, WireMessage message) {
      ReceivedCall call = callsBySessionId.get(message.sessionId());
      String context = name + " call " + message.sessionId() + " at " + (long) entry.time();
      if (call == null) {
        report.addBreach(Rule.ONE_OUTCOME, context + ": attempt for a call never taken");
        return;
      }
      if (!call.finalAnswer.isEmpty()) {
        report.addBreach(Rule.ONE_OUTCOME, context + ": attempt after the final answer");
      }
      checkDrain(entry, message, context);
      for (Attempt earlier : call.attempts) {
        checkEarlierAttempt(entry.time(), earlier, context);
      }
      Attempt attempt = new Attempt(entry.time(), entry.peer().toString());
      call.attempts.add(attempt);
      attemptsByCallId.put(message.callId(), attempt);
    }

    private void checkEarlierAttempt(double now, Attempt earlier, String context) {
      report.countCheck(Rule.ONE_ATTEMPT);
      boolean timedOut =
          !earlier.established && now - earlier.sentAt > limits.attemptTimeoutMillis();
      if (!earlier.hasEnded() && !timedOut) {
        report.addBreach(Rule.ONE_ATTEMPT, context + ": the last one is still out");
      }
      if (earlier.hasEnded() && earlier.uncertain) {
        report.countCheck(Rule.RELEASE_AWAITED);
        if (now - earlier.endedAt < limits.guardTimeMillis() - ROUNDING_MILLIS) {
          long after = Math.round(now - earlier.endedAt);
          report.addBreach(
              Rule.RELEASE_AWAITED, context + ": sent " + after + " ms after the last");
        }
      }
    }

    /**
     * Checks that the exchange of an attempt is not draining. The second Route names its switch;
     * without one, the request URI names its domain.
     */
    private void checkDrain(MessageRecorder.Entry entry, WireMessage message, String context) {
      report.countCheck(Rule.DRAINS_KEPT);
      String[] routes = message.header("route").split(",");
      double closedSince =
          routes.length > 1
              ? directory.addressClosedSince(routes[1].replaceAll(".*<(sip:[^;>]*).*", "$1"))
              : directory.domainClosedSince(message.requestUri().replaceAll(".*@", ""));
      if (entry.time() - closedSince > limits.drainGraceMillis() + ROUNDING_MILLIS) {
        report.addBreach(
            Rule.DRAINS_KEPT,
            context
                + ": to an exchange that drains since "
                + Math.round(entry.time() - closedSince));
      }
    }

    private void onFinalAnswerSent(MessageRecorder.Entry entry, WireMessage message) {
      ReceivedCall call = callsByCallId.get(message.callId());
      boolean initial = call != null && message.cseqNumber().equals("1");
      if (!initial) {
        return;
      }
      String answer = message.status() + " " + message.toTag();
      if (!call.finalAnswer.isEmpty() && !call.finalAnswer.equals(answer)) {
        report.addBreach(
            Rule.ONE_OUTCOME,
            name
                + " call "
                + call.sessionId
                + ": answered "
                + answer
                + " after "
                + call.finalAnswer);
      }
      if (call.finalAnswer.isEmpty()) {
        call.finalAnswer = answer;
        call.answeredAt = entry.time();
      }
    }

    // ---- End of the run ---------------------------------------------------------------------

    void finish(double end) {
      for (ReceivedCall call : callsByCallId.values()) {
        if (call.patienceEnd + limits.answerSlackMillis() < end || !call.finalAnswer.isEmpty()) {
          report.countCheck(Rule.ONE_OUTCOME);
          checkOutcome(call);
        }
      }
    }

    private void checkOutcome(ReceivedCall call) {
      boolean readInTime = call.receivedAt <= call.patienceEnd;
      double latest = latestAnswerTime(name, call.patienceEnd) + limits.answerSlackMillis();
      if (call.finalAnswer.isEmpty() && isExcused(name, call)) {
        return;
      }
      if (call.finalAnswer.isEmpty()) {
        report.addBreach(Rule.ONE_OUTCOME, name + " call " + call.sessionId + ": never answered");
      } else if (readInTime && !call.abandoned && call.answeredAt > latest) {
        long lateMillis = Math.round(call.answeredAt - call.patienceEnd);
        report.addBreach(
            Rule.ONE_OUTCOME,
            name + " call " + call.sessionId + ": answered " + lateMillis + " ms late");
      }
    }
  }
}
