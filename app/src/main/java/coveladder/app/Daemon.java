package coveladder.app;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.sun.net.httpserver.HttpServer;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.core.recovery.Recovery;
import coveladder.core.recovery.SavedCall.Phase;
import coveladder.net.EventLoop;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sipfront.SipFrontEnd;
import coveladder.store.DiskStore;
import coveladder.store.PersistentMonotonicClock;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller with its sockets, event loop, state store, control socket and metrics. It ends by a
 * shutdown or by handing its calls over to another process.
 */
public final class Daemon implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final int MAX_QUEUED_TASKS = 100_000;
  private static final double DRAIN_CHECK_INTERVAL_MILLIS = 20;
  private static final double RECOVERY_CHECK_INTERVAL_MILLIS = 500;

  /** Time for the BYEs of released calls to be answered before the sockets close, ms. */
  private static final double BYE_TIMEOUT_MILLIS = 300;

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketNode node;
  private final SipFrontEnd frontEnd;
  private final PrometheusMeterRegistry meterRegistry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final AttemptGuard guard;
  private final DiskStore store;
  private ControlSocket controlSocket;
  private HttpServer metricsServer;
  private Settings settings;
  private boolean shuttingDown;
  private volatile boolean handedOver;

  /** Opens the state store if one is configured, binds all sockets and starts to accept calls. */
  public Daemon(Settings settings) throws IOException, DiskStore.UnusableFolderException {
    this.settings = settings;
    loop = new EventLoop("controller", System.nanoTime(), MAX_QUEUED_TASKS);
    store = settings.state() == null ? null : openStore(settings.state().folder());
    sockets = new Sockets(2);
    try {
      node =
          new SocketNode(
              sockets,
              loop,
              settings.socketLimits(),
              settings.listenAddress().host(),
              settings.listenAddress().port(),
              new SecureRandom().nextLong());
      if (settings.metricsAddress() != null) {
        metricsServer = startMetricsServer(settings);
      }
      if (store != null) {
        controlSocket = new ControlSocket(settings.state().folder());
        controlSocket.registerHandler("hand-over", this::handOver);
      }
    } catch (IOException e) {
      sockets.close();
      if (store != null) {
        store.close();
      }
      throw e;
    }
    guard = new AttemptGuard(settings.calls().guardMillis(), settings.calls().drainGraceMillis());
    List<String> classNames =
        settings.classes().stream().map(Settings.ClassSettings::name).toList();
    frontEnd =
        new SipFrontEnd(
            node,
            settings.frontEndSettings(),
            settings.policySettings(),
            guard,
            new CallLog(meterRegistry, classNames),
            actions ->
                new NestedThresholdPolicy(settings.policySettings(), settings.seed(), actions),
            store == null ? null : openPersistence(settings));
    registerGauges();
    if (store != null) {
      registerStoreGauges();
    }
    loop.start();
    node.start(frontEnd);
    if (store != null) {
      loop.execute(this::logRecoveryStart);
    }
    LOG.info("controller runs", kv("domain", settings.domain()), kv("port", node.port()));
  }

  private DiskStore openStore(Path folder) throws IOException, DiskStore.UnusableFolderException {
    long startNanos = System.nanoTime();
    DiskStore openedStore = new DiskStore(folder, loop::execute);
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    LOG.info("state opened", kv("folder", folder), kv("millis", millis));
    openedStore
        .initialContents()
        .damagedRecords()
        .forEach(damagedRecord -> LOG.error("set aside: {}", damagedRecord));
    if (openedStore.initialContents().outOfDate()) {
      LOG.warn(
          "calls had gone on unkept before this start: those set-ups are called off unanswered");
    }
    return openedStore;
  }

  private SipFrontEnd.Persistence openPersistence(Settings initialSettings) throws IOException {
    PersistentMonotonicClock clock =
        PersistentMonotonicClock.open(initialSettings.state().folder());
    return new SipFrontEnd.Persistence(store, initialSettings.state().recoveryBudget(), clock);
  }

  private void registerStoreGauges() {
    Gauge.builder("coveladder.state.calls", frontEnd, f -> f.writeAhead().persistedCallCount())
        .register(meterRegistry);
    Gauge.builder("coveladder.state.unkept", frontEnd, f -> f.writeAhead().unpersistedActions())
        .register(meterRegistry);
    Gauge.builder("coveladder.state.waiting", store, DiskStore::queuedRequests)
        .register(meterRegistry);
    Gauge.builder("coveladder.state.commits", store, DiskStore::commitCount)
        .register(meterRegistry);
    Gauge.builder("coveladder.state.failures", store, DiskStore::failureCount)
        .register(meterRegistry);
    Gauge.builder("coveladder.state.failing", store, s -> s.failureReason().isEmpty() ? 0 : 1)
        .register(meterRegistry);
    Gauge.builder("coveladder.recovery.open", frontEnd, f -> f.recovery().isComplete() ? 0 : 1)
        .register(meterRegistry);
    Gauge.builder("coveladder.recovery.gone", frontEnd, f -> f.recovery().releasedCalls())
        .register(meterRegistry);
  }

  /** Logs what the start found in the state folder, and later that recovery is complete. */
  private void logRecoveryStart() {
    Recovery recovery = frontEnd.recovery();
    LOG.info(
        "going on from state",
        kv("standing", recovery.recoveredCalls(Phase.STANDS)),
        kv("cutShort", recovery.recoveredCalls(Phase.SETTING_UP)),
        kv("answersOnTheirWay", recovery.recoveredCalls(Phase.ANSWERED)),
        kv("damaged", recovery.damagedRecords()));
    pollRecovery();
  }

  private void pollRecovery() {
    Recovery recovery = frontEnd.recovery();
    if (recovery.isComplete()) {
      LOG.info(
          "recovery done",
          kv("answered", recovery.answeredCallers()),
          kv("gone", recovery.releasedCalls()),
          kv("after", Math.round(loop.now())));
    } else {
      loop.after(RECOVERY_CHECK_INTERVAL_MILLIS, this::pollRecovery);
    }
  }

  private HttpServer startMetricsServer(Settings initialSettings) throws IOException {
    InetSocketAddress address =
        new InetSocketAddress(
            initialSettings.metricsAddress().host(), initialSettings.metricsAddress().port());
    HttpServer server = HttpServer.create(address, 16);
    server.createContext(
        "/metrics",
        exchange -> {
          byte[] text = meterRegistry.scrape().getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().add("Content-Type", "text/plain; version=0.0.4");
          exchange.sendResponseHeaders(200, text.length);
          exchange.getResponseBody().write(text);
          exchange.close();
        });
    server.start();
    return server;
  }

  private void registerGauges() {
    Gauge.builder("coveladder.calls.held", frontEnd, f -> f.controller().callCount())
        .register(meterRegistry);
    Gauge.builder("coveladder.loop.waiting", loop, EventLoop::queuedTasks).register(meterRegistry);
    Gauge.builder("coveladder.loop.dropped", loop, EventLoop::droppedTasks).register(meterRegistry);
    Gauge.builder("coveladder.loop.faults", loop, EventLoop::failedTasks).register(meterRegistry);
    Gauge.builder("coveladder.connections", node, SocketNode::connectionCount)
        .register(meterRegistry);
    Gauge.builder("coveladder.peers.let.go", node, SocketNode::overflowDisconnects)
        .register(meterRegistry);
    Gauge.builder("coveladder.messages.discarded", node, SocketNode::discardedMessages)
        .register(meterRegistry);
    Gauge.builder("coveladder.messages.unreadable", frontEnd, f -> f.stack().malformedMessages())
        .register(meterRegistry);
    Gauge.builder("coveladder.setups.held.back", guard, AttemptGuard::suppressed)
        .register(meterRegistry);
    Gauge.builder(
            "coveladder.transactions",
            frontEnd,
            f -> f.stack().userAgent().transactionLayer().size())
        .register(meterRegistry);
  }

  /** The port on which the controller listens for signalling. */
  public int port() {
    return node.port();
  }

  /** The port on which metrics are served; -1 if they are not served. */
  public int metricsPort() {
    return metricsServer == null ? -1 : metricsServer.getAddress().getPort();
  }

  /**
   * Applies the settings that can change in service. Returns the names of the changed settings that
   * take effect only after a restart.
   */
  public List<String> reload(Settings newSettings) {
    List<String> settingsNeedingRestart = settings.changesNeedingRestart(newSettings);
    loop.offer(() -> frontEnd.reload(newSettings.frontEndSettings()));
    LogLevel.set(newSettings.logLevel());
    settings = newSettings;
    if (settingsNeedingRestart.isEmpty()) {
      LOG.info("settings reloaded");
    } else {
      LOG.warn(
          "settings reloaded, but these need a restart", kv("unchanged", settingsNeedingRestart));
    }
    return settingsNeedingRestart;
  }

  /**
   * Shuts down: refuses new calls, answers each pending call, waits for its cancelled attempts to
   * end and then releases the established calls. Waits at most for the drain timeout and three
   * times the BYE timeout.
   */
  public void shutDown() throws InterruptedException {
    if (handedOver) {
      return;
    }
    loop.put(this::beginShutDown);
    long timeoutMillis = (long) (settings.calls().drainTimeoutMillis() + 3 * BYE_TIMEOUT_MILLIS);
    if (!terminated.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
      LOG.warn(
          "ended with attempts still out",
          kv("outstanding", frontEnd.controller().outstandingAttempts()));
    }
    close();
  }

  /**
   * Hands the established calls over to another process: refuses new calls, lets pending set-ups
   * end within the drain timeout, closes all signalling sockets and reports the time. Set-ups that
   * are still pending then are recovered by the other process as after a kill.
   */
  private void handOver(PrintWriter answers) throws InterruptedException {
    answers.println("draining");
    CountDownLatch drained = new CountDownLatch(1);
    loop.put(
        () -> {
          LOG.info("handing over", kv("unanswered", frontEnd.controller().pendingCallCount()));
          shuttingDown = true;
          frontEnd.drain();
          pollDrain(loop.now() + settings.calls().drainTimeoutMillis(), drained);
        });
    drained.await((long) settings.calls().drainTimeoutMillis() + 1_000, TimeUnit.MILLISECONDS);
    handedOver = true;
    node.close();
    answers.println("released " + System.nanoTime());
    closeAllButNode();
    terminated.countDown();
  }

  /**
   * Waits until no call is pending and no attempt is outstanding, or until the deadline, and
   * reports one check interval later that the controller has drained.
   */
  private void pollDrain(double deadlineMillis, CountDownLatch drained) {
    boolean busy =
        frontEnd.controller().pendingCallCount() + frontEnd.controller().outstandingAttempts() > 0;
    if (busy && loop.now() < deadlineMillis) {
      loop.after(DRAIN_CHECK_INTERVAL_MILLIS / 4, () -> pollDrain(deadlineMillis, drained));
    } else {
      loop.after(DRAIN_CHECK_INTERVAL_MILLIS, drained::countDown);
    }
  }

  /** Waits until the controller has shut down or has handed its calls over. */
  public void awaitTermination() throws InterruptedException {
    terminated.await();
  }

  private void beginShutDown() {
    if (!shuttingDown) {
      shuttingDown = true;
      LOG.info("shutting down", kv("unanswered", frontEnd.controller().pendingCallCount()));
      frontEnd.shutDown();
      double deadlineMillis = loop.now() + settings.calls().drainTimeoutMillis();
      loop.after(DRAIN_CHECK_INTERVAL_MILLIS, () -> pollOutstandingAttempts(deadlineMillis));
    }
  }

  /** Waits until no attempt is outstanding, or until the deadline; then releases all calls. */
  private void pollOutstandingAttempts(double deadlineMillis) {
    if (frontEnd.controller().outstandingAttempts() > 0 && loop.now() < deadlineMillis) {
      loop.after(DRAIN_CHECK_INTERVAL_MILLIS, () -> pollOutstandingAttempts(deadlineMillis));
      return;
    }
    frontEnd.controller().releaseEstablished();
    loop.after(BYE_TIMEOUT_MILLIS, terminated::countDown);
  }

  @Override
  public void close() {
    node.close();
    closeAllButNode();
  }

  /** Closes the store before the loop, since the callbacks of pending writes run on the loop. */
  private void closeAllButNode() {
    if (controlSocket != null) {
      controlSocket.close();
    }
    if (store != null) {
      store.close();
    }
    loop.close();
    sockets.close();
    if (metricsServer != null) {
      metricsServer.stop(0);
    }
  }
}
