package coveladder.rehearsal;

import coveladder.net.EventLoop;
import coveladder.net.SocketLimits;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** The network of one machine: every node on loopback sockets, in real time. */
public final class SocketNetwork implements Network {
  private static final String HOST = "127.0.0.1";
  private static final int QUEUE = 200_000;

  private final long origin = System.nanoTime();
  private final long seed;
  private final Sockets sockets;
  private final MessageRecorder tap = new MessageRecorder();
  private final Map<String, EventLoop> loops = new LinkedHashMap<>();
  private final Map<String, Node> nodes = new HashMap<>();
  private volatile Conditions conditions = Conditions.NORMAL;
  private boolean running;

  /** Makes an empty network; the seed is of what nodes draw and of what befalls datagrams. */
  public SocketNetwork(long seed) throws IOException {
    this.seed = seed;
    this.sockets = new Sockets(2);
  }

  /** One node: its sockets between the wire and the element, with the tap on both sides. */
  private final class Node implements SipHost, SipNode {
    private final String name;
    private final EventLoop loop;
    private final SocketNode socket;
    private final SplittableRandom fate;
    private SipNode inner;

    Node(String name, EventLoop loop) throws IOException {
      this.name = name;
      this.loop = loop;
      long own = seed * 31 + name.hashCode();
      this.fate = new SplittableRandom(own);
      this.socket = new SocketNode(sockets, loop, SocketLimits.DEFAULTS, HOST, 0, own + 1);
    }

    @Override
    public double now() {
      return loop.now();
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      return loop.after(delay, task)::cancel;
    }

    @Override
    public RandomGenerator random() {
      return socket.random();
    }

    @Override
    public Hop localHop(Transport transport) {
      return socket.localHop(transport);
    }

    @Override
    public void send(Hop to, byte[] message) {
      tap.recordSent(now(), name, to, message);
      Conditions now = conditions;
      if (to.transport() == Transport.TCP || now == Conditions.NORMAL) {
        socket.send(to, message);
        return;
      }
      int copies = fate.nextDouble() < now.lossRate() ? 0 : 1;
      copies += fate.nextDouble() < now.duplicationRate() ? 1 : 0;
      for (int i = 0; i < copies; i++) {
        double way =
            now.minDelayMillis()
                + (now.maxDelayMillis() - now.minDelayMillis()) * fate.nextDouble();
        loop.after(way, () -> socket.send(to, message));
      }
    }

    @Override
    public void start() {
      inner.start();
    }

    @Override
    public void receive(Hop from, byte[] message, double arrived) {
      tap.recordRead(now(), name, from, arrived, message);
      inner.receive(from, message, arrived);
    }

    @Override
    public void connectionFailed(Hop hop, Failure failure) {
      tap.recordFailure(now(), name, hop, failure);
      inner.connectionFailed(hop, failure);
    }
  }

  // ---- Building -----------------------------------------------------------------------------

  @Override
  public Hop reserveAddress(String name) {
    return node(name, null).localHop(Transport.UDP);
  }

  /** A node's address may be wanted before its crew is known: controllers are crews of one. */
  private Node node(String name, String crew) {
    Node held = nodes.get(name);
    if (held == null) {
      String own = crew != null ? crew : name.startsWith("controller-") ? name : "standins";
      EventLoop loop = loops.computeIfAbsent(own, c -> new EventLoop("crew-" + c, origin, QUEUE));
      try {
        held = new Node(name, loop);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      nodes.put(name, held);
    }
    return held;
  }

  @Override
  public <N extends SipNode> N addNode(String name, String crew, Function<SipHost, N> maker) {
    Node node = node(name, crew);
    N made = maker.apply(node);
    node.inner = made;
    node.socket.start(node);
    return made;
  }

  // ---- Faults -------------------------------------------------------------------------------

  @Override
  public void schedule(double time, String name, Runnable action) {
    EventLoop loop = nodes.get(name).loop;
    loop.offer(() -> loop.after(time - loop.now(), action));
  }

  @Override
  public void freeze(String name, double lasts) {
    tap.recordNote(now(), name, "frozen for " + lasts);
    nodes.get(name).loop.pause(lasts);
  }

  @Override
  public void setReachable(String name, boolean on) {
    Node node = nodes.get(name);
    node.loop.offer(
        () -> {
          try {
            node.socket.setReachable(on);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  @Override
  public void resetConnections(String name) {
    Node node = nodes.get(name);
    node.loop.offer(node.socket::resetConnections);
  }

  @Override
  public void setConditions(Conditions news) {
    conditions = news;
  }

  // ---- Time ---------------------------------------------------------------------------------

  @Override
  public void runUntil(double until, BooleanSupplier done) {
    if (!running) {
      running = true;
      loops.values().forEach(EventLoop::start);
    }
    try {
      while (now() < until && !done.getAsBoolean()) {
        Thread.sleep(20);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public double now() {
    return (System.nanoTime() - origin) / 1e6;
  }

  @Override
  public MessageRecorder recorder() {
    return tap;
  }

  /** Tasks that the loops dropped or that threw; any is a fault of the run. */
  public long failedTasks() {
    return loops.values().stream()
        .mapToLong(loop -> loop.droppedTasks() + loop.failedTasks())
        .sum();
  }

  @Override
  public void close() {
    loops.values().forEach(EventLoop::close);
    nodes.values().forEach(node -> node.socket.close());
    sockets.close();
  }
}
