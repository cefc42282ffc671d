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
  private static final int QUEUE_CAPACITY = 200_000;

  private final long originNanos = System.nanoTime();
  private final long seed;
  private final Sockets sockets;
  private final MessageRecorder recorder = new MessageRecorder();
  private final Map<String, EventLoop> loopsByThread = new LinkedHashMap<>();
  private final Map<String, Node> nodes = new HashMap<>();
  private volatile Conditions conditions = Conditions.NORMAL;
  private boolean started;

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
    private final SplittableRandom random;
    private SipNode element;

    Node(String name, EventLoop loop) throws IOException {
      this.name = name;
      this.loop = loop;
      long nodeSeed = seed * 31 + name.hashCode();
      this.random = new SplittableRandom(nodeSeed);
      this.socket = new SocketNode(sockets, loop, SocketLimits.DEFAULTS, HOST, 0, nodeSeed + 1);
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
      recorder.recordSent(now(), name, to, message);
      Conditions current = conditions;
      if (to.transport() == Transport.TCP || current == Conditions.NORMAL) {
        socket.send(to, message);
        return;
      }
      int copies = random.nextDouble() < current.lossRate() ? 0 : 1;
      copies += random.nextDouble() < current.duplicationRate() ? 1 : 0;
      for (int i = 0; i < copies; i++) {
        double delay =
            current.minDelayMillis()
                + (current.maxDelayMillis() - current.minDelayMillis()) * random.nextDouble();
        loop.after(delay, () -> socket.send(to, message));
      }
    }

    @Override
    public void start() {
      element.start();
    }

    @Override
    public void receive(Hop from, byte[] message, double arrivedAt) {
      recorder.recordRead(now(), name, from, arrivedAt, message);
      element.receive(from, message, arrivedAt);
    }

    @Override
    public void connectionFailed(Hop hop, Failure failure) {
      recorder.recordFailure(now(), name, hop, failure);
      element.connectionFailed(hop, failure);
    }
  }

  // ---- Building -----------------------------------------------------------------------------

  @Override
  public Hop reserveAddress(String name) {
    return node(name, null).localHop(Transport.UDP);
  }

  /** A node's address may be wanted before its crew is known: controllers are crews of one. */
  private Node node(String name, String thread) {
    Node node = nodes.get(name);
    if (node == null) {
      String threadName =
          thread != null ? thread : name.startsWith("controller-") ? name : "standins";
      EventLoop loop =
          loopsByThread.computeIfAbsent(
              threadName, c -> new EventLoop("crew-" + c, originNanos, QUEUE_CAPACITY));
      try {
        node = new Node(name, loop);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      nodes.put(name, node);
    }
    return node;
  }

  @Override
  public <N extends SipNode> N addNode(String name, String thread, Function<SipHost, N> factory) {
    Node node = node(name, thread);
    N element = factory.apply(node);
    node.element = element;
    node.socket.start(node);
    return element;
  }

  // ---- Faults -------------------------------------------------------------------------------

  @Override
  public void schedule(double time, String name, Runnable action) {
    EventLoop loop = nodes.get(name).loop;
    loop.offer(() -> loop.after(time - loop.now(), action));
  }

  @Override
  public void freeze(String name, double durationMillis) {
    recorder.recordNote(now(), name, "frozen for " + durationMillis);
    nodes.get(name).loop.pause(durationMillis);
  }

  @Override
  public void setReachable(String name, boolean reachable) {
    Node node = nodes.get(name);
    node.loop.offer(
        () -> {
          try {
            node.socket.setReachable(reachable);
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
  public void setConditions(Conditions newConditions) {
    conditions = newConditions;
  }

  // ---- Time ---------------------------------------------------------------------------------

  @Override
  public void runUntil(double until, BooleanSupplier done) {
    if (!started) {
      started = true;
      loopsByThread.values().forEach(EventLoop::start);
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
    return (System.nanoTime() - originNanos) / 1e6;
  }

  @Override
  public MessageRecorder recorder() {
    return recorder;
  }

  /** Tasks that the loops dropped or that threw; any is a fault of the run. */
  public long failedTasks() {
    return loopsByThread.values().stream()
        .mapToLong(loop -> loop.droppedTasks() + loop.failedTasks())
        .sum();
  }

  @Override
  public void close() {
    loopsByThread.values().forEach(EventLoop::close);
    nodes.values().forEach(node -> node.socket.close());
    sockets.close();
  }
}
