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
 * @param listenAddress where it takes signalling, UDP and TCP
 * @param domain own domain
 * @param exchangeNumber number of the own exchange
 * @param controllerCount how many controllers there are
 * @param localSwitch where the own switch takes signalling
 * @param listServer where the exchange list is
 * @param classes the call classes
 * @param calls figures for calls and attempts
 * @param coldStart figures of cold processors
 * @param timing SIP timers
 * @param stackLimits bounds of the stack
 * @param socketLimits bounds of the sockets
 * @param state where calls are kept; null: nowhere, and they do not survive a restart
 * @param metricsAddress where metrics are read over HTTP; null: nowhere
 * @param logLevel least level that is logged
 * @param seed seed of all random choices
 */
public record Settings(
    Hop listenAddress,
    String domain,
    int exchangeNumber,
    int controllerCount,
    Hop localSwitch,
    Hop listServer,
    List<ClassSettings> classes,
    CallSettings calls,
    ColdStartSettings coldStart,
    Timing timing,
    SipStack.Limits stackLimits,
    SocketLimits socketLimits,
    StateSettings state,
    Hop metricsAddress,
    String logLevel,
    long seed) {

  /**
   * A call class.
   *
   * @param name its name
   * @param priority its Resource-Priority value; empty: none
   * @param prefixes prefixes of numbers of this class
   * @param isDefault whether calls that fit no other class are of this one
   * @param policyClass what the policy is told
   */
  public record ClassSettings(
      String name,
      String priority,
      List<String> prefixes,
      boolean isDefault,
      CallClass policyClass) {}

  /**
   * Figures for calls and attempts.
   *
   * @param maxAttempts most attempts of a call
   * @param guardMillis wait after a time-out, reset or cancel, ms
   * @param drainGraceMillis time to cease sending after word of a drain, ms
   * @param patienceMillis patience of callers without Expires, ms
   * @param answerMarginMillis time kept for an answer's way, ms
   * @param maxRetryAfterMillis longest wait told to refused callers, ms; 0: none is told
   * @param mayProbe whether exchanges may be probed
   * @param mayBroadcast whether controllers may send each other messages
   * @param directoryOnRequest whether the policy must ask for the list
   * @param maxCalls most calls held
   * @param retryAfterSeconds seconds told at shutdown and at the bound
   * @param drainTimeoutMillis longest time that calls in flight get at shutdown, ms
   */
  public record CallSettings(
      int maxAttempts,
      double guardMillis,
      double drainGraceMillis,
      double patienceMillis,
      double answerMarginMillis,
      double maxRetryAfterMillis,
      boolean mayProbe,
      boolean mayBroadcast,
      boolean directoryOnRequest,
      int maxCalls,
      int retryAfterSeconds,
      double drainTimeoutMillis) {}

  /**
   * Figures of cold processors.
   *
   * @param coldShare share of its capacity at which one begins
   * @param rampMillis time until it is warm, ms
   * @param coldMultiple multiple of what it can do that it bears
   * @param windowMillis window over which that is counted, ms
   */
  public record ColdStartSettings(
      double coldShare, double rampMillis, double coldMultiple, double windowMillis) {}

  /**
   * Where calls are kept, and how a start goes on with them.
   *
   * @param folder the folder
   * @param recoveredCallsPerSecond calls a second that recovery may deal with
   * @param verifyDelayMillis time until standing calls are asked after, ms
   */
  public record StateSettings(
      Path folder, double recoveredCallsPerSecond, double verifyDelayMillis) {
    RecoveryRate.Budget recoveryBudget() {
      return new RecoveryRate.Budget(recoveredCallsPerSecond, verifyDelayMillis);
    }
  }

  /** What the policy is told. */
  public CallPolicy.Settings policySettings() {
    return new CallPolicy.Settings(
        Layout.MESH,
        exchangeNumber,
        controllerCount,
        classes.stream().map(ClassSettings::policyClass).toList(),
        5,
        calls.maxAttempts(),
        true,
        calls.mayProbe(),
        calls.mayBroadcast(),
        calls.maxRetryAfterMillis(),
        calls.directoryOnRequest(),
        calls.guardMillis(),
        timing.t1(),
        coldStart.coldShare(),
        coldStart.rampMillis(),
        coldStart.coldMultiple(),
        coldStart.windowMillis());
  }

  /** What the SIP front is told. */
  public FrontSettings frontSettings() {
    return new FrontSettings(
        domain,
        localSwitch,
        listServer,
        classTable(),
        calls.patienceMillis(),
        calls.answerMarginMillis(),
        calls.maxCalls(),
        calls.retryAfterSeconds(),
        timing,
        stackLimits);
  }

  /** The same on any free port, with its state in a folder and its neighbours at a port. */
  Settings forWarmUp(Path stateFolder, int unusedPort) {
    Hop unusedAddress = new Hop(Transport.UDP, "127.0.0.1", unusedPort);
    return new Settings(
        new Hop(Transport.UDP, "127.0.0.1", 0),
        domain,
        exchangeNumber,
        controllerCount,
        unusedAddress,
        unusedAddress,
        classes,
        calls,
        coldStart,
        timing,
        stackLimits,
        socketLimits,
        new StateSettings(stateFolder, state.recoveredCallsPerSecond(), state.verifyDelayMillis()),
        null,
        logLevel,
        seed);
  }

  private ClassTable classTable() {
    List<String> names = new ArrayList<>();
    List<String> priorities = new ArrayList<>();
    List<ClassTable.Prefix> prefixes = new ArrayList<>();
    int defaultType = 0;
    for (ClassSettings callClass : classes) {
      int type = names.size();
      defaultType = callClass.isDefault() ? type : defaultType;
      names.add(callClass.name());
      priorities.add(callClass.priority().toLowerCase(Locale.ROOT));
      callClass.prefixes().forEach(prefix -> prefixes.add(new ClassTable.Prefix(prefix, type)));
    }
    return new ClassTable(names, priorities, prefixes, defaultType);
  }

  /** What differs in a reload and cannot change in service, by the names of the settings. */
  public List<String> changesNeedingRestart(Settings other) {
    List<String> names = new ArrayList<>();
    addIfChanged(names, "listen", listenAddress, other.listenAddress);
    addIfChanged(names, "domain", domain, other.domain);
    addIfChanged(names, "exchange", exchangeNumber, other.exchangeNumber);
    addIfChanged(names, "fleet", controllerCount, other.controllerCount);
    addIfChanged(names, "switch", localSwitch, other.localSwitch);
    addIfChanged(names, "list", listServer, other.listServer);
    addIfChanged(names, "class", policyClasses(), other.policyClasses());
    addIfChanged(names, "cold", coldStart, other.coldStart);
    addIfChanged(names, "timers", timing, other.timing);
    addIfChanged(names, "limits", stackLimits, other.stackLimits);
    addIfChanged(names, "limits", socketLimits, other.socketLimits);
    addIfChanged(names, "state", state, other.state);
    addIfChanged(names, "metrics", metricsAddress, other.metricsAddress);
    addIfChanged(names, "seed", seed, other.seed);
    addIfChanged(
        names,
        "calls attempts, guard, grace, come-back, probe, tell or list-by-asking",
        fixedCallSettings(),
        other.fixedCallSettings());
    return names;
  }

  private List<CallClass> policyClasses() {
    return classes.stream().map(ClassSettings::policyClass).toList();
  }

  private List<Object> fixedCallSettings() {
    return List.of(
        calls.maxAttempts(),
        calls.guardMillis(),
        calls.drainGraceMillis(),
        calls.maxRetryAfterMillis(),
        calls.mayProbe(),
        calls.mayBroadcast(),
        calls.directoryOnRequest());
  }

  private static void addIfChanged(
      List<String> names, String name, Object value, Object otherValue) {
    if (!java.util.Objects.equals(value, otherValue) && !names.contains(name)) {
      names.add(name);
    }
  }
}
