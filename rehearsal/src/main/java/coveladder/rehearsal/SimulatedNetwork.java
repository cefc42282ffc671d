package coveladder.rehearsal;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * A simulated network in virtual time, with delays, loss, duplication, reordering, connection
 * resets and frozen nodes. All random choices depend on the seed, so that a run can be repeated
 * exactly.
 */
public final class SimulatedNetwork implements Network {
  private static final int PORT = 5060;

  private final VirtualTime virtualTime = new VirtualTime();
  private final SplittableRandom random;
  private final MessageRecorder recorder = new MessageRecorder();
  private final Map<String, Node> nodesByName = new HashMap<>();
  private final Map<String, Node> nodesByHost = new HashMap<>();
  private Conditions conditions = Conditions.NORMAL;
  private Consumer<String> onBoundary = node -> {};
  private Consumer<String> onCrash = node -> {};
  private int nextPort = 20_000;

  /** Creates an empty network. */
  public SimulatedNetwork(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Thrown at a boundary to end a node's process at that point. */
  public static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String node;

    /** Creates a crash of a node. */
    public Crash(String node) {
      super(node + " crashes", null, false, false);
      this.node = node;
    }
  }

  /** A node with its address and connections. */
  private final class Node implements SipHost {
    private final String name;
    private final String host;
    private final SplittableRandom nodeRandom = random.split();
    private final Map<Hop, Connection> connections = new HashMap<>();
    private SipNode element;
    private boolean reachable = true;
    private double frozenUntil;
    private int incarnation;

    Node(String name, String host) {
      this.name = name;
      this.host = host;
    }

    @Override
    public double now() {
      return virtualTime.now();
    }

    @Override
    public Timer schedule(double delayMillis, Runnable task) {
      FreezableTimer timer = new FreezableTimer(this, task);
      timer.scheduled = virtualTime.schedule(virtualTime.now() + delayMillis, timer);
      return timer;
    }

    @Override
    public RandomGenerator random() {
      return nodeRandom;
    }

    @Override
    public Hop localHop(Transport transport) {
      return new Hop(transport, host, PORT);
    }

    @Override
    public void send(Hop to, byte[] message) {
      onBoundary.accept(name);
      recorder.recordSent(virtualTime.now(), name, to, message);
      if (!reachable) {
        return;
      }
      if (to.transport() == Transport.UDP) {
        sendDatagram(this, to, message);
      } else {
        sendStream(this, to, message);
      }
    }

    void receive(Hop from, byte[] message, double arrivedAt) {
      if (reachable) {
        recorder.recordRead(virtualTime.now(), name, from, arrivedAt, message);
        element.receive(from, message, arrivedAt);
        onBoundary.accept(name);
      }
    }

    void connectionFailed(Hop hop, Failure failure) {
      if (reachable) {
        recorder.recordFailure(virtualTime.now(), name, hop, failure);
        element.connectionFailed(hop, failure);
      }
    }

    /** Runs a task now or, if the node is frozen, when the freeze ends. */
    void whenThawed(Runnable task) {
      if (virtualTime.now() < frozenUntil) {
        virtualTime.schedule(frozenUntil, () -> whenThawed(task));
      } else {
        task.run();
      }
    }
  }

  /**
   * A timer of a node; it is delayed while the node is frozen and does nothing once the node was
   * killed.
   */
  private static final class FreezableTimer implements Runnable, SipHost.Timer {
    private final Node node;
    private final int incarnation;
    private Runnable task;
    private SipHost.Timer scheduled;

    FreezableTimer(Node node, Runnable task) {
      this.node = node;
      this.incarnation = node.incarnation;
      this.task = task;
    }

    @Override
    public void run() {
      node.whenThawed(
          () -> {
            Runnable due = task;
            task = null;
            if (due != null && incarnation == node.incarnation) {
              due.run();
            }
          });
    }

    @Override
    public void cancel() {
      task = null;
      scheduled.cancel();
    }
  }

  /** A stream connection; each end knows its peer by an address. */
  private static final class Connection {
    private final Node[] ends;
    private final Hop[] peers;
    private final double[] lastArrival = new double[2];
    private boolean open = true;

    Connection(Node from, Node to, Hop toPeer, Hop fromPeer) {
      ends = new Node[] {from, to};
      peers = new Hop[] {toPeer, fromPeer};
    }
  }

  // ---- Building -----------------------------------------------------------------------------

  @Override
  public Hop reserveAddress(String name) {
    Node node =
        nodesByName.computeIfAbsent(name, n -> new Node(n, "10.0.0." + (nodesByName.size() + 1)));
    nodesByHost.put(node.host, node);
    return node.localHop(Transport.UDP);
  }

  @Override
  public <N extends SipNode> N addNode(
      String name, String threadName, Function<SipHost, N> factory) {
    reserveAddress(name);
    Node node = nodesByName.get(name);
    N element = factory.apply(node);
    node.element = element;
    virtualTime.schedule(virtualTime.now(), () -> node.whenThawed(element::start));
    return element;
  }

  /**
   * Sets the listeners of boundaries and crashes. Both receive the name of the node.
   *
   * @param listener called before a node sends a message and after it received one; may throw a
   *     {@link Crash}
   * @param crashListener called after a node that crashed was killed
   */
  public void onBoundary(Consumer<String> listener, Consumer<String> crashListener) {
    onBoundary = listener;
    onCrash = crashListener;
  }

  /** Kills a node: it loses its memory, timers and connections and receives nothing. */
  public void kill(String name) {
    recorder.recordNote(virtualTime.now(), name, "killed");
    setReachable(name, false);
    nodesByName.get(name).incarnation++;
  }

  /**
   * Restarts a node that was killed as a new element that the factory creates. It has no state but
   * what the factory gives it.
   */
  public <N extends SipNode> N restartNode(String name, Function<SipHost, N> factory) {
    recorder.recordNote(virtualTime.now(), name, "started");
    Node node = nodesByName.get(name);
    node.reachable = true;
    return addNode(name, "", factory);
  }

  // ---- Messages -----------------------------------------------------------------------------

  private double randomDelay() {
    return conditions.minDelayMillis()
        + (conditions.maxDelayMillis() - conditions.minDelayMillis()) * random.nextDouble();
  }

  private void sendDatagram(Node from, Hop to, byte[] message) {
    Node target = nodesByHost.get(to.host());
    if (target == null || to.port() != PORT) {
      return;
    }
    int copies = random.nextDouble() < conditions.lossRate() ? 0 : 1;
    copies += random.nextDouble() < conditions.duplicationRate() ? 1 : 0;
    Hop source = from.localHop(Transport.UDP);
    for (int i = 0; i < copies; i++) {
      double arrivesAt = virtualTime.now() + randomDelay();
      virtualTime.schedule(
          arrivesAt, () -> target.whenThawed(() -> target.receive(source, message, arrivesAt)));
    }
  }

  private void sendStream(Node from, Hop to, byte[] message) {
    Connection connection = from.connections.get(to);
    if (connection == null) {
      connection = connect(from, to);
    }
    if (connection == null) {
      virtualTime.schedule(
          virtualTime.now() + randomDelay(),
          () -> from.whenThawed(() -> from.connectionFailed(to, Failure.REFUSED)));
      return;
    }
    int side = connection.ends[0] == from ? 0 : 1;
    Connection openConnection = connection;
    Node target = openConnection.ends[1 - side];
    double arrivesAt =
        Math.max(openConnection.lastArrival[side], virtualTime.now() + randomDelay());
    openConnection.lastArrival[side] = arrivesAt;
    virtualTime.schedule(
        arrivesAt,
        () -> target.whenThawed(() -> deliver(openConnection, side, message, arrivesAt)));
  }

  private static void deliver(Connection connection, int side, byte[] message, double arrivesAt) {
    if (connection.open) {
      connection.ends[1 - side].receive(connection.peers[1 - side], message, arrivesAt);
    }
  }

  private Connection connect(Node from, Hop to) {
    Node target = nodesByHost.get(to.host());
    if (target == null || to.port() != PORT || !target.reachable) {
      return null;
    }
    Hop returnAddress = new Hop(Transport.TCP, from.host, nextPort++);
    Connection connection = new Connection(from, target, to, returnAddress);
    from.connections.put(to, connection);
    target.connections.put(returnAddress, connection);
    // The first message arrives after the handshake at the earliest.
    connection.lastArrival[0] = virtualTime.now() + 2 * randomDelay();
    return connection;
  }

  private void reset(Connection connection) {
    if (!connection.open) {
      return;
    }
    connection.open = false;
    for (int side = 0; side < 2; side++) {
      Node end = connection.ends[side];
      Hop peer = connection.peers[side];
      end.connections.remove(peer, connection);
      virtualTime.schedule(
          virtualTime.now() + randomDelay(),
          () -> end.whenThawed(() -> end.connectionFailed(peer, Failure.RESET)));
    }
  }

  // ---- Faults -------------------------------------------------------------------------------

  @Override
  public void schedule(double timeMillis, String name, Runnable action) {
    virtualTime.schedule(timeMillis, action);
  }

  @Override
  public void freeze(String name, double durationMillis) {
    recorder.recordNote(virtualTime.now(), name, "frozen for " + durationMillis);
    nodesByName.get(name).frozenUntil = virtualTime.now() + durationMillis;
  }

  @Override
  public void setReachable(String name, boolean reachable) {
    Node node = nodesByName.get(name);
    if (!reachable) {
      resetConnections(name);
    }
    node.reachable = reachable;
  }

  @Override
  public void resetConnections(String name) {
    List<Connection> connections = new ArrayList<>(nodesByName.get(name).connections.values());
    connections.forEach(this::reset);
  }

  @Override
  public void setConditions(Conditions newConditions) {
    conditions = newConditions;
  }

  // ---- Time ---------------------------------------------------------------------------------

  @Override
  public void runUntil(double untilMillis, BooleanSupplier done) {
    while (!done.getAsBoolean() && step(untilMillis)) {
      continue;
    }
  }

  private boolean step(double untilMillis) {
    try {
      return virtualTime.runNext(untilMillis);
    } catch (Crash crash) {
      kill(crash.node);
      onCrash.accept(crash.node);
      return true;
    }
  }

  @Override
  public double now() {
    return virtualTime.now();
  }

  @Override
  public MessageRecorder recorder() {
    return recorder;
  }

  @Override
  public void close() {}
}
