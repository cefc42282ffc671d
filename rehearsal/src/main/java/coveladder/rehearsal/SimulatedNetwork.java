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
 * A simulated network in virtual time: delays, loss, repeats, overtaking, connections that break,
 * nodes that freeze. Everything random comes from the seed, so a run replays to the same byte.
 */
public final class SimulatedNetwork implements Network {
  private static final int PORT = 5060;

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final MessageRecorder tap = new MessageRecorder();
  private final Map<String, Node> byName = new HashMap<>();
  private final Map<String, Node> byHost = new HashMap<>();
  private Conditions conditions = Conditions.NORMAL;
  private Consumer<String> onBoundary = node -> {};
  private Consumer<String> crashed = node -> {};
  private int ports = 20_000;

  /** Makes an empty network. */
  public SimulatedNetwork(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Thrown at a boundary to end a node's process there: nothing after it happens in it. */
  public static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String node;

    /** Makes a crash of a node. */
    public Crash(String node) {
      super(node + " crashes", null, false, false);
      this.node = node;
    }
  }

  /** One node with its address and connections. */
  private final class Node implements SipHost {
    private final String name;
    private final String host;
    private final SplittableRandom own = random.split();
    private final Map<Hop, Connection> connections = new HashMap<>();
    private SipNode inner;
    private boolean reachable = true;
    private double frozenUntil;
    private int life;

    Node(String name, String host) {
      this.name = name;
      this.host = host;
    }

    @Override
    public double now() {
      return time.now();
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      Frozen timer = new Frozen(this, task);
      timer.running = time.at(time.now() + delay, timer);
      return timer;
    }

    @Override
    public RandomGenerator random() {
      return own;
    }

    @Override
    public Hop localHop(Transport transport) {
      return new Hop(transport, host, PORT);
    }

    @Override
    public void send(Hop to, byte[] message) {
      onBoundary.accept(name);
      tap.recordSent(time.now(), name, to, message);
      if (!reachable) {
        return;
      }
      if (to.transport() == Transport.UDP) {
        datagram(this, to, message);
      } else {
        stream(this, to, message);
      }
    }

    void read(Hop from, byte[] message, double arrived) {
      if (reachable) {
        tap.recordRead(time.now(), name, from, arrived, message);
        inner.receive(from, message, arrived);
        onBoundary.accept(name);
      }
    }

    void failed(Hop hop, Failure failure) {
      if (reachable) {
        tap.recordFailure(time.now(), name, hop, failure);
        inner.connectionFailed(hop, failure);
      }
    }

    /** Runs a task now, or once the node thaws. */
    void whenThawed(Runnable task) {
      if (time.now() < frozenUntil) {
        time.at(frozenUntil, () -> whenThawed(task));
      } else {
        task.run();
      }
    }
  }

  /** A timer of a node, held back while it is frozen. */
  private static final class Frozen implements Runnable, SipHost.Timer {
    private final Node node;
    private final int life;
    private Runnable task;
    private SipHost.Timer running;

    Frozen(Node node, Runnable task) {
      this.node = node;
      this.life = node.life;
      this.task = task;
    }

    @Override
    public void run() {
      node.whenThawed(
          () -> {
            Runnable due = task;
            task = null;
            if (due != null && life == node.life) {
              due.run();
            }
          });
    }

    @Override
    public void cancel() {
      task = null;
      running.cancel();
    }
  }

  /** A stream connection; each side knows the other by an address. */
  private static final class Connection {
    private final Node[] ends;
    private final Hop[] peers;
    private final double[] last = new double[2];
    private boolean open = true;

    Connection(Node from, Node to, Hop toPeer, Hop fromPeer) {
      ends = new Node[] {from, to};
      peers = new Hop[] {toPeer, fromPeer};
    }
  }

  // ---- Building -----------------------------------------------------------------------------

  @Override
  public Hop reserveAddress(String name) {
    Node node = byName.computeIfAbsent(name, n -> new Node(n, "10.0.0." + (byName.size() + 1)));
    byHost.put(node.host, node);
    return node.localHop(Transport.UDP);
  }

  @Override
  public <N extends SipNode> N addNode(String name, String crew, Function<SipHost, N> maker) {
    reserveAddress(name);
    Node node = byName.get(name);
    N made = maker.apply(node);
    node.inner = made;
    time.at(time.now(), () -> node.whenThawed(made::start));
    return made;
  }

  /**
   * Names who is told at each message of a node, before it is sent and after it was taken, and may
   * throw a {@link Crash} there; and who is told of a node that crashed so, and was killed.
   */
  public void onBoundary(Consumer<String> at, Consumer<String> whenCrashed) {
    onBoundary = at;
    crashed = whenCrashed;
  }

  /** Kills a node: its timers, connections and memory are gone, and it hears nothing. */
  public void kill(String name) {
    tap.recordNote(time.now(), name, "killed");
    setReachable(name, false);
    byName.get(name).life++;
  }

  /** Starts a node that was killed, with nothing but what its maker knows. */
  public <N extends SipNode> N restartNode(String name, Function<SipHost, N> maker) {
    tap.recordNote(time.now(), name, "started");
    Node node = byName.get(name);
    node.reachable = true;
    return addNode(name, "", maker);
  }

  // ---- The wire -----------------------------------------------------------------------------

  private double way() {
    return conditions.minDelayMillis()
        + (conditions.maxDelayMillis() - conditions.minDelayMillis()) * random.nextDouble();
  }

  private void datagram(Node from, Hop to, byte[] message) {
    Node target = byHost.get(to.host());
    if (target == null || to.port() != PORT) {
      return;
    }
    int copies = random.nextDouble() < conditions.lossRate() ? 0 : 1;
    copies += random.nextDouble() < conditions.duplicationRate() ? 1 : 0;
    Hop source = from.localHop(Transport.UDP);
    for (int i = 0; i < copies; i++) {
      double arrives = time.now() + way();
      time.at(arrives, () -> target.whenThawed(() -> target.read(source, message, arrives)));
    }
  }

  private void stream(Node from, Hop to, byte[] message) {
    Connection connection = from.connections.get(to);
    if (connection == null) {
      connection = connect(from, to);
    }
    if (connection == null) {
      time.at(time.now() + way(), () -> from.whenThawed(() -> from.failed(to, Failure.REFUSED)));
      return;
    }
    int side = connection.ends[0] == from ? 0 : 1;
    Connection used = connection;
    Node target = used.ends[1 - side];
    double arrives = Math.max(used.last[side], time.now() + way());
    used.last[side] = arrives;
    time.at(arrives, () -> target.whenThawed(() -> deliver(used, side, message, arrives)));
  }

  private static void deliver(Connection used, int side, byte[] message, double arrives) {
    if (used.open) {
      used.ends[1 - side].read(used.peers[1 - side], message, arrives);
    }
  }

  private Connection connect(Node from, Hop to) {
    Node target = byHost.get(to.host());
    if (target == null || to.port() != PORT || !target.reachable) {
      return null;
    }
    Hop back = new Hop(Transport.TCP, from.host, ports++);
    Connection made = new Connection(from, target, to, back);
    from.connections.put(to, made);
    target.connections.put(back, made);
    made.last[0] = time.now() + 2 * way();
    return made;
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
      time.at(time.now() + way(), () -> end.whenThawed(() -> end.failed(peer, Failure.RESET)));
    }
  }

  // ---- Faults -------------------------------------------------------------------------------

  @Override
  public void schedule(double when, String name, Runnable action) {
    time.at(when, action);
  }

  @Override
  public void freeze(String name, double lasts) {
    tap.recordNote(time.now(), name, "frozen for " + lasts);
    byName.get(name).frozenUntil = time.now() + lasts;
  }

  @Override
  public void setReachable(String name, boolean on) {
    Node node = byName.get(name);
    if (!on) {
      resetConnections(name);
    }
    node.reachable = on;
  }

  @Override
  public void resetConnections(String name) {
    List<Connection> held = new ArrayList<>(byName.get(name).connections.values());
    held.forEach(this::reset);
  }

  @Override
  public void setConditions(Conditions news) {
    conditions = news;
  }

  // ---- Time ---------------------------------------------------------------------------------

  @Override
  public void runUntil(double until, BooleanSupplier done) {
    while (!done.getAsBoolean() && step(until)) {
      continue;
    }
  }

  private boolean step(double until) {
    try {
      return time.step(until);
    } catch (Crash crash) {
      kill(crash.node);
      crashed.accept(crash.node);
      return true;
    }
  }

  @Override
  public double now() {
    return time.now();
  }

  @Override
  public MessageRecorder recorder() {
    return tap;
  }

  @Override
  public void close() {}
}
