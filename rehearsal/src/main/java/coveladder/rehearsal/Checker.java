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
 * Judges the five rules from what crossed the wire and from nothing else. It knows which nodes are
 * controllers and which are switches, and the figures of the rules; it shares no code with the
 * controllers.
 */
public final class Checker {
  private static final double ROUNDING_MILLIS = 1;

  private final Limits limits;
  private final Set<String> controllers;
  private final Map<String, ObservedController> observedControllers = new HashMap<>();
  private final Map<String, ColdProcessor> coldProcessors = new HashMap<>();
  private final Map<String, List<double[]>> freezes = new HashMap<>();
  private final Map<String, List<double[]>> downtimes = new HashMap<>();
  private final Set<String> unpersisted = new HashSet<>();
  private final RuleReport report = new RuleReport();

  /**
   * The figures of the rules.
   *
   * @param guardTimeMillis wait before a call is sent again after an unsure end, ms
   * @param drainGraceMillis time to cease sending after word of a drain, ms
   * @param answerSlackMillis time after the caller's patience in which a final answer still counts,
   *     ms
   * @param attemptTimeoutMillis time after which an attempt without any answer is over (64*T1), ms
   * @param recoveryMillis time after a start in which callers known from before it are answered, ms
   */
  public record Limits(
      double guardTimeMillis,
      double drainGraceMillis,
      double answerSlackMillis,
      double attemptTimeoutMillis,
      double recoveryMillis) {}

  /** Makes a checker for these controllers. */
  public Checker(Limits figures, Set<String> controllers) {
    this.limits = figures;
    this.controllers = controllers;
  }

  /** Judges a whole run; it ended at the last entry. */
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
   * Notes that begin with "cold" tell setup, from, ramp, multiple and window of a start; "killed"
   * and "started" bound the time that a controller was down, "disk fails" says that it went on
   * without keeping its calls.
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
      unpersisted.add(entry.node());
    }
  }

  /**
   * When a controller could answer that had to by a time: the rule binds running controllers, and
   * one that was made to stand still runs again only at the end of that.
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
   * Whether a call may end without an answer because its controller was down while it waited. What
   * is asked of the next life: a caller whose INVITE came again is answered, and so is one whose
   * attempt had left, if it can still be reached and has time to hear it.
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
    boolean attemptKnown = !call.attempts.isEmpty() && call.overUdp;
    boolean answerDue =
        (inviteRepeated || attemptKnown)
            && restartedAt + limits.recoveryMillis() < call.patienceEnd;
    return !answerDue || unpersisted.contains(controller);
  }

  /** A processor that started cold, and the set-ups that came to it. */
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

  /** A call as its controller was handed it. */
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

  /** One attempt as it left a controller. */
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

  /** One controller, seen from its wire. */
  private final class ObservedController {
    private final String name;
    private final Map<String, ReceivedCall> callsByCallId = new LinkedHashMap<>();
    private final Map<String, ReceivedCall> callsBySessionId = new HashMap<>();
    private final Map<String, Attempt> attemptsByCallId = new HashMap<>();
    private final KnownList directory = new KnownList();

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

    // ---- What it read -----------------------------------------------------------------------

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
     * An INVITE that comes again to a life of its controller that knows nothing of it is taken
     * then, and with the patience that it bears.
     */
    private void onRepeatedInvite(
        ReceivedCall call, MessageRecorder.Entry entry, WireMessage message) {
      boolean nothingStored = call.attempts.isEmpty() || unpersisted.contains(name);
      boolean forgotten = nothingStored && call.finalAnswer.isEmpty();
      if (forgotten && restartedBetween(name, call.lastReceivedAt, entry.time())) {
        call.receivedAt = entry.time();
        call.patienceEnd = patienceEnd(entry, message);
      }
      call.lastReceivedAt = entry.time();
    }

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

    // ---- What it sent -----------------------------------------------------------------------

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
      String given = message.status() + " " + message.toTag();
      if (!call.finalAnswer.isEmpty() && !call.finalAnswer.equals(given)) {
        report.addBreach(
            Rule.ONE_OUTCOME,
            name
                + " call "
                + call.sessionId
                + ": answered "
                + given
                + " after "
                + call.finalAnswer);
      }
      if (call.finalAnswer.isEmpty()) {
        call.finalAnswer = given;
        call.answeredAt = entry.time();
      }
    }

    // ---- The end ----------------------------------------------------------------------------

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
