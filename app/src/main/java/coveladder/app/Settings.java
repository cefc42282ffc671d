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
import coveladder.sipfront.FrontEndSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * All settings of one controller.
 *
 * @param listenAddress address on which it receives signalling, by UDP and TCP
 * @param domain domain of the local exchange
 * @param exchangeNumber number of the local exchange
 * @param controllerCount number of controllers in the network
 * @param localSwitch signalling address of the local switch
 * @param directoryServer address of the server of the exchange directory
 * @param classes the call classes
 * @param calls settings of calls and attempts
 * @param coldStart settings of processors that have just started
 * @param timing SIP timers
 * @param stackLimits limits of the SIP stack
 * @param socketLimits limits of the sockets
 * @param state where calls are stored; null: they are not stored and do not survive a restart
 * @param metricsAddress address at which metrics are served over HTTP; null: they are not served
 * @param logLevel lowest level that is logged
 * @param seed seed of the policy's random choices
 */
public record Settings(
    Hop listenAddress,
    String domain,
    int exchangeNumber,
    int controllerCount,
    Hop localSwitch,
    Hop directoryServer,
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
   * @param name its name in the settings, logs and metrics
   * @param priority its Resource-Priority value; empty: none
   * @param prefixes prefixes of the called numbers that belong to this class
   * @param isDefault whether calls that match no other class belong to this one
   * @param policyClass the class as the policy uses it
   */
  public record ClassSettings(
      String name,
      String priority,
      List<String> prefixes,
      boolean isDefault,
      CallClass policyClass) {}

  /**
   * Settings of calls and attempts.
   *
   * @param maxAttempts maximum number of attempts for one call
   * @param guardMillis guard time after a time-out, reset or cancel before the call is sent again,
   *     ms
   * @param drainGraceMillis time after the report of a drain during which attempts to that exchange
   *     may still be sent, ms
   * @param patienceMillis patience of a caller whose INVITE has no Expires, ms
   * @param answerMarginMillis time reserved for a final answer to reach the caller, ms
   * @param maxRetryAfterMillis longest retry delay given to refused callers, ms; 0: none is given
   * @param mayProbe whether exchanges may be probed
   * @param mayBroadcast whether controllers may send each other messages
   * @param directoryOnRequest whether the policy must subscribe to the exchange directory
   * @param maxCalls maximum number of simultaneous calls
   * @param retryAfterSeconds Retry-After of calls refused at shutdown or at the maximum number of
   *     calls, s
   * @param drainTimeoutMillis longest time that pending calls have to end at shutdown, ms
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
   * Settings of processors that have just started.
   *
   * @param coldShare share of its capacity at which a processor starts
   * @param rampMillis time from its start until a processor has its full capacity, ms
   * @param coldMultiple multiple of its present capacity that a cold processor can bear
   * @param windowMillis length of the window over which the set-ups of a cold processor are
   *     counted, ms
   */
  public record ColdStartSettings(
      double coldShare, double rampMillis, double coldMultiple, double windowMillis) {}

  /**
   * Where calls are stored and how they are recovered at a start.
   *
   * @param folder the state folder
   * @param recoveredCallsPerSecond calls per second that recovery cancels, answers again or
   *     verifies
   * @param verifyDelayMillis time until the first established call is verified, ms
   */
  public record StateSettings(
      Path folder, double recoveredCallsPerSecond, double verifyDelayMillis) {
    /** The limits of recovery traffic. */
    RecoveryRate.Budget recoveryBudget() {
      return new RecoveryRate.Budget(recoveredCallsPerSecond, verifyDelayMillis);
    }
  }

  /** The settings of the policy. */
  public CallPolicy.Settings policySettings() {
    return new CallPolicy.Settings(
        Layout.MESH,
        exchangeNumber,
        controllerCount,
        classes.stream().map(ClassSettings::policyClass).toList(),
        5, // shortest difference between the clocks of two events, ms
        calls.maxAttempts(),
        true, // attempts may be cancelled
        calls.mayProbe(),
        calls.mayBroadcast(),
        calls.maxRetryAfterMillis(),
        calls.directoryOnRequest(),
        calls.guardMillis(),
        timing.t1(), // a pending INVITE is retransmitted after T1
        coldStart.coldShare(),
        coldStart.rampMillis(),
        coldStart.coldMultiple(),
        coldStart.windowMillis());
  }

  /** The settings of the SIP front end. */
  public FrontEndSettings frontEndSettings() {
    return new FrontEndSettings(
        domain,
        localSwitch,
        directoryServer,
        classTable(),
        calls.patienceMillis(),
        calls.answerMarginMillis(),
        calls.maxCalls(),
        calls.retryAfterSeconds(),
        timing,
        stackLimits);
  }

  /**
   * Returns a copy for a controller that runs only to load its classes: it listens on any free port
   * and serves no metrics.
   *
   * @param stateFolder a temporary state folder
   * @param unusedPort port given as that of the local switch and of the directory server
   */
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

  /**
   * Returns the names of the settings that differ in {@code other} and take effect only after a
   * restart.
   */
  public List<String> changesNeedingRestart(Settings other) {
    List<String> names = new ArrayList<>();
    addIfChanged(names, "listen", listenAddress, other.listenAddress);
    addIfChanged(names, "domain", domain, other.domain);
    addIfChanged(names, "exchange", exchangeNumber, other.exchangeNumber);
    addIfChanged(names, "fleet", controllerCount, other.controllerCount);
    addIfChanged(names, "switch", localSwitch, other.localSwitch);
    addIfChanged(names, "list", directoryServer, other.directoryServer);
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
