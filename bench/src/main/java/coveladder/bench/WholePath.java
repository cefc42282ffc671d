package coveladder.bench;

import coveladder.CallPolicy;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.core.CallController;
import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.RecoveryRate;
import coveladder.net.EventLoop;
import coveladder.net.SocketLimits;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import coveladder.sipfront.ClassTable;
import coveladder.sipfront.FrontEndSettings;
import coveladder.sipfront.SipFrontEnd;
import coveladder.store.DiskStore;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Measures complete set-ups through one controller on loopback: rate, set-up delay, allocation,
 * heap per established call, and the time spent in the policy.
 *
 * <p>Arguments: transport, calls per second, number of calls; then, optionally, {@code hold} if the
 * calls are not released and {@code kept} if they are stored on disk.
 */
public final class WholePath {
  private static final int QUEUE_CAPACITY = 1_000_000;

  private WholePath() {}

  /** Runs one measurement and prints it. */
  public static void main(String[] arguments) throws Exception {
    Transport transport = Transport.fromName(arguments[0]);
    double callsPerSecond = Double.parseDouble(arguments[1]);
    int callCount = Integer.parseInt(arguments[2]);
    List<String> options = List.of(arguments).subList(3, arguments.length);
    Path storeFolder = options.contains("kept") ? Files.createTempDirectory("kept") : null;
    try (Sockets sockets = new Sockets(/* selectorThreads= */ 2)) {
      new Run(sockets, transport, callsPerSecond, callCount, options.contains("hold"), storeFolder)
          .measure();
    }
  }

  /** One measurement: a load generator, a controller and a switch, each on its own event loop. */
  static final class Run {
    private final long originNanos = System.nanoTime();
    private final EventLoop callerLoop = new EventLoop("caller", originNanos, QUEUE_CAPACITY);
    private final EventLoop controllerLoop =
        new EventLoop("controller", originNanos, QUEUE_CAPACITY);
    private final EventLoop switchLoop = new EventLoop("switch", originNanos, QUEUE_CAPACITY);
    private final Transport transport;
    private final boolean holdCalls;
    private final double callsPerSecond;
    private final int callCount;
    private final TimedPolicy.Stopwatch policyStopwatch = new TimedPolicy.Stopwatch();

    /** The store of the calls; null if they are not stored. */
    private final DiskStore store;

    private final SipFrontEnd frontEnd;
    private final OpenLoopCaller caller;

    Run(
        Sockets sockets,
        Transport transport,
        double callsPerSecond,
        int callCount,
        boolean holdCalls,
        Path storeFolder)
        throws Exception {
      this.transport = transport;
      this.holdCalls = holdCalls;
      this.callsPerSecond = callsPerSecond;
      this.callCount = callCount;
      SocketNode switchNode = newNode(sockets, switchLoop);
      SocketNode controllerNode = newNode(sockets, controllerLoop);
      SocketNode callerNode = newNode(sockets, callerLoop);
      store = storeFolder == null ? null : new DiskStore(storeFolder, controllerLoop::execute);
      Hop switchAddress = new Hop(transport, "127.0.0.1", switchNode.port());
      frontEnd =
          new SipFrontEnd(
              controllerNode,
              frontEndSettings(switchAddress),
              policySettings(),
              new AttemptGuard(/* guardTimeMillis= */ 300, /* drainGraceMillis= */ 250),
              CallController.Observer.NONE,
              actions ->
                  new TimedPolicy(
                      new NestedThresholdPolicy(policySettings(), /* seed= */ 1, actions),
                      policyStopwatch),
              store == null ? null : persistence());
      // Not measured: the calls of the ramp, as many as in 3 s at full rate, and of the next
      // second.
      caller =
          new OpenLoopCaller(
              callerNode,
              controllerNode.localHop(transport),
              callsPerSecond,
              callCount,
              /* releaseOnAnswer= */ !holdCalls,
              /* firstMeasuredCall= */ (int) Math.min(callCount / 2, 4 * callsPerSecond));
      switchNode.start(new StatelessSwitch(switchNode, switchNode.port()));
      controllerNode.start(frontEnd);
      callerNode.start(caller);
    }

    /**
     * Creates a front end that stores its calls.
     *
     * @param switchAddress address of the local switch, which also serves the exchange directory
     */
    static SipFrontEnd persistentFrontEnd(
        SocketNode node, Hop switchAddress, CallStore store, RecoveryRate.Budget recoveryBudget) {
      return new SipFrontEnd(
          node,
          frontEndSettings(switchAddress),
          policySettings(),
          new AttemptGuard(/* guardTimeMillis= */ 300, /* drainGraceMillis= */ 250),
          CallController.Observer.NONE,
          actions -> new NestedThresholdPolicy(policySettings(), /* seed= */ 1, actions),
          new SipFrontEnd.Persistence(store, recoveryBudget, System::currentTimeMillis));
    }

    /** Creates a node on a free port of the loopback address. */
    static SocketNode newNode(Sockets sockets, EventLoop loop) throws Exception {
      return new SocketNode(
          sockets, loop, SocketLimits.DEFAULTS, "127.0.0.1", /* port= */ 0, /* seed= */ 1);
    }

    private SipFrontEnd.Persistence persistence() {
      RecoveryRate.Budget recoveryBudget =
          new RecoveryRate.Budget(/* callsPerSecond= */ 200, /* verifyDelayMillis= */ 2_000);
      return new SipFrontEnd.Persistence(store, recoveryBudget, System::currentTimeMillis);
    }

    static FrontEndSettings frontEndSettings(Hop switchAddress) {
      return new FrontEndSettings(
          "x0.example",
          switchAddress,
          switchAddress.withTransport(Transport.TCP),
          new ClassTable(
              List.of("plain"),
              List.of("cove.0"),
              /* prefixes= */ List.of(),
              /* defaultClass= */ 0),
          /* patienceMillis= */ 30_000,
          /* answerMarginMillis= */ 30,
          /* maxCalls= */ 2_000_000,
          /* retryAfterSeconds= */ 1,
          Timing.STANDARD,
          new SipStack.Limits(/* maxHeaderLines= */ 128, /* maxServerTransactions= */ 2_000_000));
    }

    static CallPolicy.Settings policySettings() {
      CallClass plainClass =
          new CallClass(
              /* worth= */ 1,
              /* lateWorth= */ 0.2,
              /* aim= */ 5_000,
              /* callerTimeout= */ 30_000,
              /* width= */ 1,
              /* hold= */ 60_000,
              /* pools= */ List.of());
      return new CallPolicy.Settings(
          Layout.MESH,
          /* localExchange= */ 0,
          /* controllerCount= */ 2,
          List.of(plainClass),
          /* clockResolution= */ 5,
          /* maxAttempts= */ 6,
          /* mayCancel= */ true,
          /* mayProbe= */ false,
          /* mayBroadcast= */ false,
          /* maxRetryAfter= */ 2_000,
          /* directoryOnRequest= */ false,
          /* guardTime= */ 300,
          /* retransmitAfter= */ 500,
          /* coldShare= */ 0.3,
          /* rampTime= */ 12_000,
          /* coldMultiple= */ 3,
          /* coldWindow= */ 3_000);
    }

    /** Runs the load and prints the results. */
    void measure() throws Exception {
      switchLoop.start();
      controllerLoop.start();
      Thread.sleep(500);
      long heapBytesBefore = usedHeapBytes();
      long allocatedBytesBefore = controllerAllocatedBytes();
      callerLoop.start();
      double deadlineMillis = callerLoop.now() + 20_000 + 1_000 * callCount / callsPerSecond;
      while (!caller.isFinished() && callerLoop.now() < deadlineMillis) {
        Thread.sleep(20);
      }
      long allocatedBytes = controllerAllocatedBytes() - allocatedBytesBefore;
      report(allocatedBytes, heapBytesBefore);
      callerLoop.close();
      controllerLoop.close();
      switchLoop.close();
    }

    private void report(long allocatedBytes, long heapBytesBefore) throws InterruptedException {
      int established = caller.establishedCalls();
      System.out.printf(
          Locale.ROOT,
          "%s%s%s: %d stood, %d refused, %.0f a second%n",
          transport,
          holdCalls ? " held" : "",
          store == null ? "" : " kept",
          established,
          caller.refusedCalls(),
          caller.establishedPerSecond());
      System.out.printf(
          Locale.ROOT,
          "  delay p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, most %.2f ms%n",
          caller.setupDelayMicros().getValueAtPercentile(50) / 1000.0,
          caller.setupDelayMicros().getValueAtPercentile(99) / 1000.0,
          caller.setupDelayMicros().getValueAtPercentile(99.9) / 1000.0,
          caller.setupDelayMicros().getMaxValue() / 1000.0);
      System.out.printf(
          Locale.ROOT,
          "  controller's loop: %.0f bytes allocated a call, module %.1f us a call%n",
          (double) allocatedBytes / established,
          policyStopwatch.totalNanos() / 1000.0 / established);
      if (store != null) {
        System.out.printf(
            Locale.ROOT,
            "  %d commits, %d unkept %s%n",
            store.commitCount(),
            frontEnd.writeAhead().unpersistedActions(),
            store.failureReason());
      }
      if (holdCalls) {
        // Transactions end after 64*T1; what is in use then is the cost of the established calls.
        Thread.sleep(35_000);
        System.out.printf(
            Locale.ROOT,
            "  %d standing, heap %.0f bytes a call%n",
            frontEnd.controller().callCount(),
            (double) (usedHeapBytes() - heapBytesBefore) / established);
      }
    }

    /** Heap in use after garbage collection, bytes. */
    private static long usedHeapBytes() throws InterruptedException {
      for (int i = 0; i < 3; i++) {
        System.gc();
        Thread.sleep(200);
      }
      return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Bytes allocated so far by the controller's event loop thread; 0 if it does not run. */
    private static long controllerAllocatedBytes() {
      com.sun.management.ThreadMXBean threads =
          (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
      for (long id : threads.getAllThreadIds()) {
        var info = threads.getThreadInfo(id);
        if (info != null && info.getThreadName().equals("controller")) {
          return threads.getThreadAllocatedBytes(id);
        }
      }
      return 0;
    }
  }
}
