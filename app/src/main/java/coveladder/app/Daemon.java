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
import coveladder.sipfront.SipFront;
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

/** One controller as a process: sockets, loop, metrics, and an orderly end. */
public final class Daemon implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final int QUEUE = 100_000;
  private static final double LOOK_EVERY = 20;
  private static final double LOOK_RECOVERY = 500;
  private static final double BYE_TIME = 300;

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketNode node;
  private final SipFront front;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final AttemptGuard guard;
  private final DiskStore store;
  private ControlSocket control;
  private HttpServer http;
  private Settings settings;
  private boolean ending;
  private volatile boolean handedOver;

  /** Opens what is kept, binds everything and begins to take calls. */
  public Daemon(Settings settings) throws IOException, DiskStore.UnusableFolderException {
    this.settings = settings;
    loop = new EventLoop("controller", System.nanoTime(), QUEUE);
    store = settings.state() == null ? null : openStore(settings.state().folder());
    sockets = new Sockets(2);
    try {
      node =
          new SocketNode(
              sockets,
              loop,
              settings.sockets(),
              settings.listen().host(),
              settings.listen().port(),
              new SecureRandom().nextLong());
      if (settings.metrics() != null) {
        http = metricsServer(settings);
      }
      if (store != null) {
        control = new ControlSocket(settings.state().folder());
        control.serve("hand-over", this::handOver);
      }
    } catch (IOException e) {
      sockets.close();
      if (store != null) {
        store.close();
      }
      throw e;
    }
    guard = new AttemptGuard(settings.calls().guard(), settings.calls().grace());
    List<String> names = settings.classes().stream().map(Settings.Kind::name).toList();
    front =
        new SipFront(
            node,
            settings.front(),
            settings.rules(),
            guard,
            new CallLog(meters, names),
            actions -> new NestedThresholdPolicy(settings.rules(), settings.seed(), actions),
            store == null ? null : keeping(settings));
    gauges();
    if (store != null) {
      storeGauges();
    }
    loop.start();
    node.start(front);
    if (store != null) {
      loop.execute(this::reportFound);
    }
    LOG.info("controller runs", kv("domain", settings.domain()), kv("port", node.port()));
  }

  private DiskStore openStore(Path folder) throws IOException, DiskStore.UnusableFolderException {
    long begun = System.nanoTime();
    DiskStore opened = new DiskStore(folder, loop::execute);
    long millis = (System.nanoTime() - begun) / 1_000_000;
    LOG.info("state opened", kv("folder", folder), kv("millis", millis));
    opened.initialContents().damagedRecords().forEach(what -> LOG.error("set aside: {}", what));
    if (opened.initialContents().outOfDate()) {
      LOG.warn(
          "calls had gone on unkept before this start: those set-ups are called off unanswered");
    }
    return opened;
  }

  private SipFront.Persistence keeping(Settings from) throws IOException {
    PersistentMonotonicClock clock = PersistentMonotonicClock.open(from.state().folder());
    return new SipFront.Persistence(store, from.state().budget(), clock);
  }

  private void storeGauges() {
    Gauge.builder("coveladder.state.calls", front, f -> f.writeAhead().persistedCallCount())
        .register(meters);
    Gauge.builder("coveladder.state.unkept", front, f -> f.writeAhead().unpersistedActions())
        .register(meters);
    Gauge.builder("coveladder.state.waiting", store, DiskStore::pendingChanges).register(meters);
    Gauge.builder("coveladder.state.commits", store, DiskStore::commitCount).register(meters);
    Gauge.builder("coveladder.state.failures", store, DiskStore::failureCount).register(meters);
    Gauge.builder("coveladder.state.failing", store, s -> s.failureReason().isEmpty() ? 0 : 1)
        .register(meters);
    Gauge.builder("coveladder.recovery.open", front, f -> f.recovery().isComplete() ? 0 : 1)
        .register(meters);
    Gauge.builder("coveladder.recovery.gone", front, f -> f.recovery().releasedCalls())
        .register(meters);
  }

  /** Says what a start found, and once more when all of it is settled. */
  private void reportFound() {
    Recovery recovery = front.recovery();
    LOG.info(
        "going on from state",
        kv("standing", recovery.recoveredCalls(Phase.STANDS)),
        kv("cutShort", recovery.recoveredCalls(Phase.SETTING_UP)),
        kv("answersOnTheirWay", recovery.recoveredCalls(Phase.ANSWERED)),
        kv("damaged", recovery.damagedRecords()));
    watchRecovery();
  }

  private void watchRecovery() {
    Recovery recovery = front.recovery();
    if (recovery.isComplete()) {
      LOG.info(
          "recovery done",
          kv("answered", recovery.answeredCallers()),
          kv("gone", recovery.releasedCalls()),
          kv("after", Math.round(loop.now())));
    } else {
      loop.after(LOOK_RECOVERY, this::watchRecovery);
    }
  }

  private HttpServer metricsServer(Settings from) throws IOException {
    InetSocketAddress at = new InetSocketAddress(from.metrics().host(), from.metrics().port());
    HttpServer server = HttpServer.create(at, 16);
    server.createContext(
        "/metrics",
        exchange -> {
          byte[] text = meters.scrape().getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().add("Content-Type", "text/plain; version=0.0.4");
          exchange.sendResponseHeaders(200, text.length);
          exchange.getResponseBody().write(text);
          exchange.close();
        });
    server.start();
    return server;
  }

  private void gauges() {
    Gauge.builder("coveladder.calls.held", front, f -> f.controller().callCount()).register(meters);
    Gauge.builder("coveladder.loop.waiting", loop, EventLoop::queuedTasks).register(meters);
    Gauge.builder("coveladder.loop.dropped", loop, EventLoop::droppedTasks).register(meters);
    Gauge.builder("coveladder.loop.faults", loop, EventLoop::failedTasks).register(meters);
    Gauge.builder("coveladder.connections", node, SocketNode::connectionCount).register(meters);
    Gauge.builder("coveladder.peers.let.go", node, SocketNode::overflowDisconnects)
        .register(meters);
    Gauge.builder("coveladder.messages.unreadable", front, f -> f.stack().malformedMessages())
        .register(meters);
    Gauge.builder("coveladder.setups.held.back", guard, AttemptGuard::suppressed).register(meters);
    Gauge.builder(
            "coveladder.transactions", front, f -> f.stack().userAgent().transactionLayer().size())
        .register(meters);
  }

  /** The port that it listens on. */
  public int port() {
    return node.port();
  }

  /** The port of its metrics; -1 if there are none. */
  public int metricsPort() {
    return http == null ? -1 : http.getAddress().getPort();
  }

  /** Takes new settings as far as they can change in service; says what cannot. */
  public List<String> reload(Settings news) {
    List<String> fixed = settings.fixedDifferences(news);
    loop.offer(() -> front.reload(news.front()));
    LogLevel.set(news.logLevel());
    settings = news;
    if (fixed.isEmpty()) {
      LOG.info("settings reloaded");
    } else {
      LOG.warn("settings reloaded, but these need a restart", kv("unchanged", fixed));
    }
    return fixed;
  }

  /**
   * Ends: takes nothing new, answers each call in flight, waits for the attempts that are called
   * off, then releases what stands. Returns once all is done, within the drain time and a little.
   */
  public void shutDown() throws InterruptedException {
    if (handedOver) {
      return;
    }
    loop.put(this::beginEnd);
    long most = (long) (settings.calls().drain() + 3 * BYE_TIME);
    if (!ended.await(most, TimeUnit.MILLISECONDS)) {
      LOG.warn(
          "ended with attempts still out",
          kv("outstanding", front.controller().outstandingAttempts()));
    }
    close();
  }

  /**
   * Leaves all that stands to another process: takes nothing new, lets set-ups in flight come to
   * their end within the drain time, closes all sockets and says so. What is still in flight then
   * is found by the other process as after a kill.
   */
  private void handOver(PrintWriter answers) throws InterruptedException {
    answers.println("draining");
    CountDownLatch drained = new CountDownLatch(1);
    loop.put(
        () -> {
          LOG.info("handing over", kv("unanswered", front.controller().pendingCallCount()));
          ending = true;
          front.drain();
          watchDrain(loop.now() + settings.calls().drain(), drained);
        });
    drained.await((long) settings.calls().drain() + 1_000, TimeUnit.MILLISECONDS);
    handedOver = true;
    node.close();
    answers.println("released " + System.nanoTime());
    closeRest();
    ended.countDown();
  }

  private void watchDrain(double until, CountDownLatch drained) {
    boolean busy =
        front.controller().pendingCallCount() + front.controller().outstandingAttempts() > 0;
    if (busy && loop.now() < until) {
      loop.after(LOOK_EVERY / 4, () -> watchDrain(until, drained));
    } else {
      loop.after(LOOK_EVERY, drained::countDown);
    }
  }

  /** Waits until this process was asked to end or has handed over. */
  public void awaitEnd() throws InterruptedException {
    ended.await();
  }

  private void beginEnd() {
    if (!ending) {
      ending = true;
      LOG.info("shutting down", kv("unanswered", front.controller().pendingCallCount()));
      front.shutDown();
      double until = loop.now() + settings.calls().drain();
      loop.after(LOOK_EVERY, () -> watchEnd(until));
    }
  }

  private void watchEnd(double until) {
    if (front.controller().outstandingAttempts() > 0 && loop.now() < until) {
      loop.after(LOOK_EVERY, () -> watchEnd(until));
      return;
    }
    front.controller().releaseEstablished();
    loop.after(BYE_TIME, ended::countDown);
  }

  @Override
  public void close() {
    node.close();
    closeRest();
  }

  /** The store closes while the loop runs: those who wait for the disk are told there. */
  private void closeRest() {
    if (control != null) {
      control.close();
    }
    if (store != null) {
      store.close();
    }
    loop.close();
    sockets.close();
    if (http != null) {
      http.stop(0);
    }
  }
}
