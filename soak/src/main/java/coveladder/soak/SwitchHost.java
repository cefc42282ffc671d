package coveladder.soak;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Listens for one switch at an address of its own for each controller, and records what passes. */
final class SwitchHost {
  private final String id;
  private final int exchange;
  private final double startedAtMillis;
  private final Reactor reactor;
  private final StandinSwitch standin;
  private final List<Observation> recording;
  private final int[] nextConnection;
  private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
  private final Map<Integer, Reactor.Listener> listeners = new HashMap<>();
  private final Map<Integer, NetworkPath> paths = new HashMap<>();
  private double acceptDelayMillis;
  private boolean vanished;

  SwitchHost(
      String id,
      int exchange,
      double startedAtMillis,
      Reactor reactor,
      StandinSwitch standin,
      List<Observation> recording,
      int[] nextConnection) {
    this.id = id;
    this.exchange = exchange;
    this.startedAtMillis = startedAtMillis;
    this.reactor = reactor;
    this.standin = standin;
    this.recording = recording;
    this.nextConnection = nextConnection;
  }

  String id() {
    return id;
  }

  int exchange() {
    return exchange;
  }

  StandinSwitch standin() {
    return standin;
  }

  NetworkPath path(int controller) {
    return paths.get(controller);
  }

  double startedAtMillis() {
    return startedAtMillis;
  }

  /** Sets the time for which a switch leaves a new connection unanswered, ms. */
  void setAcceptDelay(double delayMillis) {
    acceptDelayMillis = delayMillis;
  }

  /** Listens for a controller at an address. */
  void listen(int controller, InetSocketAddress address) {
    addresses.put(controller, address);
    paths.computeIfAbsent(controller, key -> new NetworkPath());
    listeners.put(controller, reactor.listen(address, endpoint -> accept(controller, endpoint)));
  }

  private void accept(int controller, Endpoint endpoint) {
    int number = nextConnection[0]++;
    FaultyConnection connection =
        new FaultyConnection(
            reactor, endpoint, paths.get(controller), new Recorder(controller, number));
    if (acceptDelayMillis > 0) {
      ArrayList<byte[]> early = new ArrayList<>();
      connection.setListeners(() -> {}, early::add, () -> {});
      reactor.schedule(acceptDelayMillis, () -> acceptLate(controller, connection, early));
    } else {
      standin.accept(controller, connection);
    }
  }

  private void acceptLate(int controller, FaultyConnection connection, List<byte[]> early) {
    if (connection.isOpen() && listeners.containsKey(controller)) {
      standin.accept(controller, connection);
      early.forEach(connection::deliverEarly);
    }
  }

  /** Returns the entry of the directory for a controller. */
  String entry(int controller, String state) {
    InetSocketAddress address = addresses.get(controller);
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\""
        + address.getAddress().getHostAddress()
        + ":"
        + address.getPort()
        + "\",\"zone\":\"z\",\"machineType\":\"std\",\"cell\":"
        + exchange
        + ",\"lifecycle\":\""
        + state
        + "\",\"weight\":4,\"startedAtMs\":"
        + Math.round(startedAtMillis)
        + "}";
  }

  /** Refuses new connections. */
  void refuseConnections() {
    listeners.values().forEach(Reactor.Listener::close);
    listeners.clear();
  }

  /** Ends the switch: nothing listens any more, and its calls are cut. */
  void end() {
    refuseConnections();
    standin.end();
    for (int controller : addresses.keySet()) {
      recording.add(new Observation.SwitchEnded(reactor.now(), controller, id));
    }
  }

  /** Ends the switch unseen: it says nothing, and connections to it never come up again. */
  void vanish() {
    standin.setHanging(true);
    addresses.keySet().forEach(controller -> setCut(controller, true));
    vanished = true;
    for (int controller : addresses.keySet()) {
      recording.add(new Observation.SwitchEnded(reactor.now(), controller, id));
    }
  }

  /** Cuts or heals the network to a controller. */
  void setCut(int controller, boolean cut) {
    if (vanished) {
      return;
    }
    recording.add(new Observation.PathChanged(reactor.now(), controller, id, cut));
    InetSocketAddress address = addresses.get(controller);
    Reactor.Listener listener = listeners.remove(controller);
    if (listener == null) {
      // The switch has ended meanwhile.
      return;
    }
    listener.close();
    if (cut) {
      path(controller).cut();
      listeners.put(controller, reactor.listenWithoutAnswer(address));
    } else {
      listen(controller, address);
      path(controller).heal();
    }
  }

  /** Records the lines of one connection. */
  private final class Recorder implements FaultyConnection.Recorder {
    private final int controller;
    private final int connection;
    private final MessageSplitter written;
    private final MessageSplitter read;

    Recorder(int controller, int connection) {
      this.controller = controller;
      this.connection = connection;
      written = MessageSplitter.ofLines(this::recordWritten);
      read = MessageSplitter.ofLines(this::recordRead);
    }

    private void recordWritten(byte[] line) {
      try {
        SwitchLine decoded = SwitchLine.decode(line);
        recording.add(
            new Observation.SwitchWrote(reactor.now(), controller, connection, id, decoded));
      } catch (UncheckedIOException e) {
        // A line that the switch spoilt on purpose.
        return;
      }
    }

    private void recordRead(byte[] line) {
      SwitchLine decoded = SwitchLine.decode(line);
      recording.add(new Observation.SwitchRead(reactor.now(), controller, connection, id, decoded));
    }

    @Override
    public void written(byte[] octets) {
      written.feed(octets);
    }

    @Override
    public void read(byte[] octets) {
      read.feed(octets);
    }

    @Override
    public void ended(boolean byController) {
      recording.add(
          new Observation.SwitchConnectionEnded(reactor.now(), controller, connection, id));
    }
  }
}
