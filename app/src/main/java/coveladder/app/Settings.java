package coveladder.app;

import coveladder.CallPolicy;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.core.recovery.RecoveryRate;
import coveladder.net.SocketLimits;
import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import coveladder.sipfront.ClassTable;
import coveladder.sipfront.FrontSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * All settings of one controller.
 *
 * @param listen where it takes signalling, UDP and TCP
 * @param domain own domain
 * @param number number of the own exchange
 * @param instances how many controllers there are
 * @param ownSwitch where the own switch takes signalling
 * @param list where the exchange list is
 * @param classes the call classes
 * @param calls figures for calls and attempts
 * @param cold figures of cold processors
 * @param timing SIP timers
 * @param limits bounds of the stack
 * @param sockets bounds of the sockets
 * @param state where calls are kept; null: nowhere, and they do not survive a restart
 * @param metrics where metrics are read over HTTP; null: nowhere
 * @param logLevel least level that is logged
 * @param seed seed of all random choices
 */
public record Settings(
    Hop listen,
    String domain,
    int number,
    int instances,
    Hop ownSwitch,
    Hop list,
    List<Kind> classes,
    Calls calls,
    Cold cold,
    Timing timing,
    SipStack.Limits limits,
    SocketLimits sockets,
    State state,
    Hop metrics,
    String logLevel,
    long seed) {

  /**
   * A call class.
   *
   * @param name its name
   * @param priority its Resource-Priority value; empty: none
   * @param prefixes prefixes of numbers of this class
   * @param isDefault whether calls that fit no other class are of this one
   * @param figures what the policy is told
   */
  public record Kind(
      String name, String priority, List<String> prefixes, boolean isDefault, CallClass figures) {}

  /**
   * Figures for calls and attempts.
   *
   * @param attempts most attempts of a call
   * @param guard wait after a time-out, reset or cancel, ms
   * @param grace time to cease sending after word of a drain, ms
   * @param patience patience of callers without Expires, ms
   * @param answerMargin time kept for an answer's way, ms
   * @param comeBack longest wait told to refused callers, ms; 0: none is told
   * @param probe whether exchanges may be probed
   * @param tell whether controllers may send each other messages
   * @param listByAsking whether the policy must ask for the list
   * @param most most calls held
   * @param retryAfter seconds told at shutdown and at the bound
   * @param drain longest time that calls in flight get at shutdown, ms
   */
  public record Calls(
      int attempts,
      double guard,
      double grace,
      double patience,
      double answerMargin,
      double comeBack,
      boolean probe,
      boolean tell,
      boolean listByAsking,
      int most,
      int retryAfter,
      double drain) {}

  /**
   * Figures of cold processors.
   *
   * @param from share of its capacity at which one begins
   * @param ramp time until it is warm, ms
   * @param multiple multiple of what it can do that it bears
   * @param window window over which that is counted, ms
   */
  public record Cold(double from, double ramp, double multiple, double window) {}

  /**
   * Where calls are kept, and how a start goes on with them.
   *
   * @param folder the folder
   * @param perSecond calls a second that recovery may deal with
   * @param askAfter time until standing calls are asked after, ms
   */
  public record State(Path folder, double perSecond, double askAfter) {
    RecoveryRate.Budget budget() {
      return new RecoveryRate.Budget(perSecond, askAfter);
    }
  }

  /** What the policy is told. */
  public CallPolicy.Settings rules() {
    return new CallPolicy.Settings(
        Layout.MESH,
        number,
        instances,
        classes.stream().map(Kind::figures).toList(),
        5,
        calls.attempts(),
        true,
        calls.probe(),
        calls.tell(),
        calls.comeBack(),
        calls.listByAsking(),
        calls.guard(),
        timing.t1(),
        cold.from(),
        cold.ramp(),
        cold.multiple(),
        cold.window());
  }

  /** What the SIP front is told. */
  public FrontSettings front() {
    return new FrontSettings(
        domain,
        ownSwitch,
        list,
        classTable(),
        calls.patience(),
        calls.answerMargin(),
        calls.most(),
        calls.retryAfter(),
        timing,
        limits);
  }

  /** The same on any free port, with its state in a folder and its neighbours at a port. */
  Settings elsewhere(Path folder, int port) {
    Hop nobody = new Hop(Transport.UDP, "127.0.0.1", port);
    return new Settings(
        new Hop(Transport.UDP, "127.0.0.1", 0),
        domain,
        number,
        instances,
        nobody,
        nobody,
        classes,
        calls,
        cold,
        timing,
        limits,
        sockets,
        new State(folder, state.perSecond(), state.askAfter()),
        null,
        logLevel,
        seed);
  }

  private ClassTable classTable() {
    List<String> names = new ArrayList<>();
    List<String> priorities = new ArrayList<>();
    List<ClassTable.Prefix> prefixes = new ArrayList<>();
    int fallback = 0;
    for (Kind kind : classes) {
      int type = names.size();
      fallback = kind.isDefault() ? type : fallback;
      names.add(kind.name());
      priorities.add(kind.priority().toLowerCase(Locale.ROOT));
      kind.prefixes().forEach(prefix -> prefixes.add(new ClassTable.Prefix(prefix, type)));
    }
    return new ClassTable(names, priorities, prefixes, fallback);
  }

  /** What differs in a reload and cannot change in service, by the names of the settings. */
  public List<String> fixedDifferences(Settings other) {
    List<String> names = new ArrayList<>();
    note(names, "listen", listen, other.listen);
    note(names, "domain", domain, other.domain);
    note(names, "exchange", number, other.number);
    note(names, "fleet", instances, other.instances);
    note(names, "switch", ownSwitch, other.ownSwitch);
    note(names, "list", list, other.list);
    note(names, "class", figures(), other.figures());
    note(names, "cold", cold, other.cold);
    note(names, "timers", timing, other.timing);
    note(names, "limits", limits, other.limits);
    note(names, "limits", sockets, other.sockets);
    note(names, "state", state, other.state);
    note(names, "metrics", metrics, other.metrics);
    note(names, "seed", seed, other.seed);
    note(
        names,
        "calls attempts, guard, grace, come-back, probe, tell or list-by-asking",
        fixedCalls(),
        other.fixedCalls());
    return names;
  }

  private List<CallClass> figures() {
    return classes.stream().map(Kind::figures).toList();
  }

  private List<Object> fixedCalls() {
    return List.of(
        calls.attempts(),
        calls.guard(),
        calls.grace(),
        calls.comeBack(),
        calls.probe(),
        calls.tell(),
        calls.listByAsking());
  }

  private static void note(List<String> names, String name, Object one, Object other) {
    if (!java.util.Objects.equals(one, other) && !names.contains(name)) {
      names.add(name);
    }
  }
}
