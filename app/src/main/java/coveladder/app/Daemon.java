package coveladder.app;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.sun.net.httpserver.HttpServer;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.net.EventLoop;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sipfront.SipFront;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
  private static final double BYE_TIME = 300;

  private final Sockets sockets;
  private final EventLoop loop;
  private final SocketNode node;
  private final SipFront front;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final AttemptGuard guard;
  private HttpServer http;
  private Settings settings;
  private boolean ending;

  /** Binds everything and begins to take calls. */
  public Daemon(Settings settings) throws IOException {
    this.settings = settings;
    sockets = new Sockets(2);
    loop = new EventLoop("controller", System.nanoTime(), QUEUE);
    try {
      node =
          new SocketNode(
              sockets,
              loop,
              settings.sockets(),
              settings.listen().host(),
              settings.listen().port(),
              settings.seed());
      if (settings.metrics() != null) {
        http = metricsServer(settings);
      }
    } catch (IOException e) {
      sockets.close();
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
            actions -> new NestedThresholdPolicy(settings.rules(), settings.seed(), actions));
    gauges();
    loop.start();
    node.start(front);
    LOG.info("controller runs", kv("domain", settings.domain()), kv("port", node.port()));
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
    Gauge.builder("coveladder.calls.held", front, f -> f.controller().held()).register(meters);
    Gauge.builder("coveladder.loop.waiting", loop, EventLoop::waiting).register(meters);
    Gauge.builder("coveladder.loop.dropped", loop, EventLoop::dropped).register(meters);
    Gauge.builder("coveladder.loop.faults", loop, EventLoop::faults).register(meters);
    Gauge.builder("coveladder.connections", node, SocketNode::connections).register(meters);
    Gauge.builder("coveladder.peers.let.go", node, SocketNode::letGo).register(meters);
    Gauge.builder("coveladder.messages.unreadable", front, f -> f.stack().unreadable())
        .register(meters);
    Gauge.builder("coveladder.setups.held.back", guard, AttemptGuard::heldBack).register(meters);
    Gauge.builder("coveladder.transactions", front, f -> f.stack().agent().layer().size())
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
    loop.put(this::beginEnd);
    long most = (long) (settings.calls().drain() + 3 * BYE_TIME);
    if (!ended.await(most, TimeUnit.MILLISECONDS)) {
      LOG.warn(
          "ended with attempts still out", kv("outstanding", front.controller().outstanding()));
    }
    close();
  }

  private void beginEnd() {
    if (!ending) {
      ending = true;
      LOG.info("shutting down", kv("unanswered", front.controller().unanswered()));
      front.shutDown();
      double until = loop.now() + settings.calls().drain();
      loop.after(LOOK_EVERY, () -> watchEnd(until));
    }
  }

  private void watchEnd(double until) {
    if (front.controller().outstanding() > 0 && loop.now() < until) {
      loop.after(LOOK_EVERY, () -> watchEnd(until));
      return;
    }
    front.controller().releaseStanding();
    loop.after(BYE_TIME, ended::countDown);
  }

  @Override
  public void close() {
    node.close();
    loop.close();
    sockets.close();
    if (http != null) {
      http.stop(0);
    }
  }
}
