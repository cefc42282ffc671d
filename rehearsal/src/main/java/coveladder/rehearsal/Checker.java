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
  private static final double ROUNDING = 1;

  private final Figures figures;
  private final Set<String> controllers;
  private final Map<String, Watched> watched = new HashMap<>();
  private final Map<String, Cold> cold = new HashMap<>();
  private final Map<String, List<double[]>> freezes = new HashMap<>();
  private final Map<String, List<double[]>> downs = new HashMap<>();
  private final Set<String> unkept = new HashSet<>();
  private final RuleReport verdict = new RuleReport();

  /**
   * The figures of the rules.
   *
   * @param guard wait before a call is sent again after an unsure end, ms
   * @param grace time to cease sending after word of a drain, ms
   * @param slack time after the caller's patience in which a final answer still counts, ms
   * @param life time after which an attempt without any answer is over (64*T1), ms
   * @param resumes time after a start in which callers known from before it are answered, ms
   */
  public record Figures(double guard, double grace, double slack, double life, double resumes) {}

  /** Makes a checker for these controllers. */
  public Checker(Figures figures, Set<String> controllers) {
    this.figures = figures;
    this.controllers = controllers;
  }

  /** Judges a whole run; it ended at the last entry. */
  public RuleReport check(List<MessageRecorder.Entry> entries) {
    double end = 0;
    for (MessageRecorder.Entry entry : entries) {
      end = entry.time();
      if (entry.kind() == MessageRecorder.Kind.NOTE) {
        note(entry);
      } else if (controllers.contains(entry.node())) {
        watched.computeIfAbsent(entry.node(), Watched::new).see(entry);
      } else if (entry.kind() == MessageRecorder.Kind.READ && cold.containsKey(entry.node())) {
        cold.get(entry.node()).see(entry);
      }
    }
    for (Watched controller : watched.values()) {
      controller.finish(end);
    }
    return verdict;
  }

  /**
   * Notes that begin with "cold" tell setup, from, ramp, multiple and window of a start; "killed"
   * and "started" bound the time that a controller was down, "disk fails" says that it went on
   * without keeping its calls.
   */
  private void note(MessageRecorder.Entry entry) {
    if (entry.note().startsWith("cold ")) {
      cold.put(entry.node(), new Cold(entry));
      verdict.countCheck(Rule.COLD_SPARED);
    } else if (entry.note().startsWith("frozen for ")) {
      double end = entry.time() + Double.parseDouble(entry.note().substring(11));
      freezes
          .computeIfAbsent(entry.node(), n -> new ArrayList<>())
          .add(new double[] {entry.time(), end});
    } else if (entry.note().equals("killed")) {
      double[] down = {entry.time(), Double.POSITIVE_INFINITY};
      downs.computeIfAbsent(entry.node(), n -> new ArrayList<>()).add(down);
    } else if (entry.note().equals("started")) {
      List<double[]> all = downs.get(entry.node());
      all.get(all.size() - 1)[1] = entry.time();
    } else if (entry.note().equals("disk fails")) {
      unkept.add(entry.node());
    }
  }

  /**
   * When a controller could answer that had to by a time: the rule binds running controllers, and
   * one that was made to stand still runs again only at the end of that.
   */
  private double couldBy(String controller, double due) {
    double by = due;
    for (double[] freeze : freezes.getOrDefault(controller, List.of())) {
      by = by >= freeze[0] && by < freeze[1] ? freeze[1] : by;
    }
    return by;
  }

  private boolean startedSince(String controller, double from, double to) {
    return downs.getOrDefault(controller, List.of()).stream()
        .anyMatch(down -> down[1] >= from && down[1] <= to);
  }

  /**
   * Whether a call may end without an answer because its controller was down while it waited. What
   * is asked of the next life: a caller whose INVITE came again is answered, and so is one whose
   * attempt had left, if it can still be reached and has time to hear it.
   */
  private boolean excused(String controller, Taken call) {
    double[] last = null;
    for (double[] down : downs.getOrDefault(controller, List.of())) {
      last = down[1] >= call.read && down[0] <= call.until ? down : last;
    }
    if (last == null) {
      return false;
    }
    double ready = last[1];
    boolean cameAgain = call.lastRead > ready;
    boolean known = !call.tries.isEmpty() && call.datagram;
    boolean due = (cameAgain || known) && ready + figures.resumes() < call.until;
    return !due || unkept.contains(controller);
  }

  /** A processor that started cold, and the set-ups that came to it. */
  private final class Cold {
    private final String name;
    private final double started;
    private final double[] figure = new double[5];
    private final ArrayDeque<Double> setups = new ArrayDeque<>();
    private boolean pushed;

    Cold(MessageRecorder.Entry entry) {
      name = entry.node();
      started = entry.time();
      String[] parts = entry.note().split(" ");
      for (int i = 0; i < figure.length; i++) {
        figure[i] = Double.parseDouble(parts[i + 1]);
      }
    }

    void see(MessageRecorder.Entry entry) {
      WireMessage message = WireMessage.read(entry.message());
      double age = entry.time() - started;
      if (message == null || !message.request("INVITE") || age >= figure[2]) {
        return;
      }
      setups.add(entry.time());
      while (setups.peek() < entry.time() - figure[4]) {
        setups.poll();
      }
      double share = figure[1] + (1 - figure[1]) * age / figure[2];
      double bears = figure[3] * share * figure[4] / figure[0];
      if (setups.size() > bears && !pushed) {
        pushed = true;
        verdict.addBreach(
            Rule.COLD_SPARED,
            name + " got " + setups.size() + " set-ups in a window, bears " + (int) bears);
      }
    }
  }

  /** A call as its controller was handed it. */
  private static final class Taken {
    private final String session;
    private double read;
    private double until;
    private final boolean datagram;
    private double lastRead;
    private boolean calledOff;
    private String answer = "";
    private double answeredAt = Double.NaN;
    private final List<Try> tries = new ArrayList<>();

    Taken(String session, double read, double until, boolean datagram) {
      this.session = session;
      this.read = read;
      this.lastRead = read;
      this.until = until;
      this.datagram = datagram;
    }
  }

  /** One attempt as it left a controller. */
  private static final class Try {
    private final double sent;
    private final String peer;
    private boolean cancelSent;
    private boolean stands;
    private boolean unsure;
    private double over = Double.NaN;

    Try(double sent, String peer) {
      this.sent = sent;
      this.peer = peer;
    }

    boolean isOver() {
      return !Double.isNaN(over);
    }

    void over(double time, boolean isUnsure) {
      if (!isOver()) {
        over = time;
        unsure = isUnsure || cancelSent;
      }
    }
  }

  /** One controller, seen from its wire. */
  private final class Watched {
    private final String name;
    private final Map<String, Taken> byCallId = new LinkedHashMap<>();
    private final Map<String, Taken> bySession = new HashMap<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final KnownList list = new KnownList();

    Watched(String name) {
      this.name = name;
    }

    void see(MessageRecorder.Entry entry) {
      if (entry.kind() == MessageRecorder.Kind.FAILED) {
        lost(entry);
        return;
      }
      WireMessage message = WireMessage.read(entry.message());
      if (message == null) {
        return;
      }
      if (entry.kind() == MessageRecorder.Kind.READ) {
        read(entry, message);
      } else {
        sent(entry, message);
      }
    }

    // ---- What it read -----------------------------------------------------------------------

    private void read(MessageRecorder.Entry entry, WireMessage message) {
      if (message.request("INVITE") && message.toTag().isEmpty()) {
        taken(entry, message);
      } else if (message.request("CANCEL") || message.request("BYE")) {
        left(entry, message);
      } else if (message.request("NOTIFY")) {
        list.read(message.body(), entry.time());
      } else if (message.status() >= 200 && message.answers().equals("INVITE")) {
        answered(entry, message);
      }
    }

    private void taken(MessageRecorder.Entry entry, WireMessage message) {
      Taken known = byCallId.get(message.callId());
      if (known != null) {
        again(known, entry, message);
        return;
      }
      Taken call =
          new Taken(message.session(), entry.time(), until(entry, message), message.datagram());
      byCallId.put(message.callId(), call);
      bySession.put(message.session(), call);
    }

    /**
     * An INVITE that comes again to a life of its controller that knows nothing of it is taken
     * then, and with the patience that it bears.
     */
    private void again(Taken known, MessageRecorder.Entry entry, WireMessage message) {
      boolean nothing = known.tries.isEmpty() || unkept.contains(name);
      boolean forgotten = nothing && known.answer.isEmpty();
      if (forgotten && startedSince(name, known.lastRead, entry.time())) {
        known.read = entry.time();
        known.until = until(entry, message);
      }
      known.lastRead = entry.time();
    }

    private double until(MessageRecorder.Entry entry, WireMessage message) {
      double patience = 1000 * Double.parseDouble("0" + message.header("expires"));
      return patience == 0 ? Double.MAX_VALUE : entry.arrivedAt() + patience;
    }

    private void left(MessageRecorder.Entry entry, WireMessage message) {
      Taken call = byCallId.get(message.callId());
      if (call != null) {
        call.calledOff = true;
      }
      Try attempt = tries.get(message.callId());
      if (attempt != null) {
        attempt.over(entry.time(), false);
      }
    }

    private void answered(MessageRecorder.Entry entry, WireMessage message) {
      Try attempt = tries.get(message.callId());
      if (attempt != null && message.status() < 300) {
        attempt.stands = true;
      } else if (attempt != null) {
        boolean unsure = message.status() == 408 || message.status() == 487;
        attempt.over(entry.time(), unsure);
      }
    }

    private void lost(MessageRecorder.Entry entry) {
      for (Try attempt : tries.values()) {
        boolean waits = !attempt.isOver() && !attempt.stands;
        if (waits && attempt.peer.equals(entry.peer().toString())) {
          attempt.over(entry.time(), entry.failure() != coveladder.sip.Failure.REFUSED);
        }
      }
    }

    // ---- What it sent -----------------------------------------------------------------------

    private void sent(MessageRecorder.Entry entry, WireMessage message) {
      Try known = tries.get(message.callId());
      if (message.request("INVITE") && message.toTag().isEmpty()) {
        if (known == null) {
          attempt(entry, message);
        }
      } else if (message.request("CANCEL") && known != null) {
        known.cancelSent = true;
      } else if (message.request("BYE") && known != null) {
        known.over(entry.time(), true);
      } else if (message.status() >= 200 && message.answers().equals("INVITE")) {
        answer(entry, message);
      }
    }

    private void attempt(MessageRecorder.Entry entry, WireMessage message) {
      Taken call = bySession.get(message.session());
      String what = name + " call " + message.session() + " at " + (long) entry.time();
      if (call == null) {
        verdict.addBreach(Rule.ONE_OUTCOME, what + ": attempt for a call never taken");
        return;
      }
      if (!call.answer.isEmpty()) {
        verdict.addBreach(Rule.ONE_OUTCOME, what + ": attempt after the final answer");
      }
      drains(entry, message, what);
      for (Try earlier : call.tries) {
        earlierTry(entry.time(), earlier, what);
      }
      Try made = new Try(entry.time(), entry.peer().toString());
      call.tries.add(made);
      tries.put(message.callId(), made);
    }

    private void earlierTry(double now, Try earlier, String what) {
      verdict.countCheck(Rule.ONE_ATTEMPT);
      boolean silentForLong = !earlier.stands && now - earlier.sent > figures.life();
      if (!earlier.isOver() && !silentForLong) {
        verdict.addBreach(Rule.ONE_ATTEMPT, what + ": the last one is still out");
      }
      if (earlier.isOver() && earlier.unsure) {
        verdict.countCheck(Rule.RELEASE_AWAITED);
        if (now - earlier.over < figures.guard() - ROUNDING) {
          long after = Math.round(now - earlier.over);
          verdict.addBreach(Rule.RELEASE_AWAITED, what + ": sent " + after + " ms after the last");
        }
      }
    }

    private void drains(MessageRecorder.Entry entry, WireMessage message, String what) {
      verdict.countCheck(Rule.DRAINS_KEPT);
      String[] routes = message.header("route").split(",");
      double since =
          routes.length > 1
              ? list.addressClosed(routes[1].replaceAll(".*<(sip:[^;>]*).*", "$1"))
              : list.domainClosed(message.uri().replaceAll(".*@", ""));
      if (entry.time() - since > figures.grace() + ROUNDING) {
        verdict.addBreach(
            Rule.DRAINS_KEPT,
            what + ": to an exchange that drains since " + Math.round(entry.time() - since));
      }
    }

    private void answer(MessageRecorder.Entry entry, WireMessage message) {
      Taken call = byCallId.get(message.callId());
      boolean initial = call != null && message.sequence().equals("1");
      if (!initial) {
        return;
      }
      String given = message.status() + " " + message.toTag();
      if (!call.answer.isEmpty() && !call.answer.equals(given)) {
        verdict.addBreach(
            Rule.ONE_OUTCOME,
            name + " call " + call.session + ": answered " + given + " after " + call.answer);
      }
      if (call.answer.isEmpty()) {
        call.answer = given;
        call.answeredAt = entry.time();
      }
    }

    // ---- The end ----------------------------------------------------------------------------

    void finish(double end) {
      for (Taken call : byCallId.values()) {
        if (call.until + figures.slack() < end || !call.answer.isEmpty()) {
          verdict.countCheck(Rule.ONE_OUTCOME);
          judge(call);
        }
      }
    }

    private void judge(Taken call) {
      boolean readInTime = call.read <= call.until;
      double by = couldBy(name, call.until) + figures.slack();
      if (call.answer.isEmpty() && excused(name, call)) {
        return;
      }
      if (call.answer.isEmpty()) {
        verdict.addBreach(Rule.ONE_OUTCOME, name + " call " + call.session + ": never answered");
      } else if (readInTime && !call.calledOff && call.answeredAt > by) {
        long late = Math.round(call.answeredAt - call.until);
        verdict.addBreach(
            Rule.ONE_OUTCOME, name + " call " + call.session + ": answered " + late + " ms late");
      }
    }
  }
}
