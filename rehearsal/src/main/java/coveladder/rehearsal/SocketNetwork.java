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

/** A network on the loopback sockets of one machine, in real time. */
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

  /** Creates an empty network; the seed determines random choices of nodes and of the network. */
  public SocketNetwork(long seed) throws IOException {
    this.seed = seed;
    this.sockets = new Sockets(2);
  }

  /** A node: forwards and records the messages between its sockets and its SIP element. */
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
    public Timer schedule(double delayMillis, Runnable task) {
      return loop.after(delayMillis, task)::cancel;
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
        double delayMillis =
            current.minDelayMillis()
                + (current.maxDelayMillis() - current.minDelayMillis()) * random.nextDouble();
        loop.after(delayMillis, () -> socket.send(to, message));
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

  /**
   * Returns the node with a name and creates it if needed. An address may be reserved before the
   * thread is known: then a controller gets a thread of its own, any other node the stand-ins'.
   *
   * @param requestedThread name of the thread of a new node; null if it is not known yet
   */
  private Node node(String name, String requestedThread) {
    Node node = nodes.get(name);
    if (node == null) {
      String threadName =
          requestedThread != null
              ? requestedThread
              : name.startsWith("controller-") ? name : "standins";
      EventLoop loop =
          loopsByThread.computeIfAbsent(
              threadName, thread -> new EventLoop("crew-" + thread, originNanos, QUEUE_CAPACITY));
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
  public <N extends SipNode> N addNode(
      String name, String threadName, Function<SipHost, N> factory) {
    Node node = node(name, threadName);
    N element = factory.apply(node);
    node.element = element;
    node.socket.start(node);
    return element;
  }

  // ---- Faults -------------------------------------------------------------------------------

  @Override
  public void schedule(double timeMillis, String name, Runnable action) {
    EventLoop loop = nodes.get(name).loop;
    loop.offer(() -> loop.after(timeMillis - loop.now(), action));
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
  public void runUntil(double untilMillis, BooleanSupplier done) {
    if (!started) {
      started = true;
      loopsByThread.values().forEach(EventLoop::start);
    }
    try {
      while (now() < untilMillis && !done.getAsBoolean()) {
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

  /** Number of tasks that were dropped or that threw an exception; any makes the run invalid. */
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
