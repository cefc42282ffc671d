package coveladder.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A switch with one circuit group towards each controller. */
final class StandinSwitch {
  private static final int NORMAL_CLEARING = 16;
  private static final int NO_CIRCUIT = 34;
  private static final int ERROR = 47;
  private static final int TEMPORARY_FAILURE = 41;
  private static final double REPORT_INTERVAL_MILLIS = 500;

  /** Maximum number of connections of one controller that get reports unasked. */
  private static final int MAX_REPORTED_CONNECTIONS = 4;

  private final String id;
  private final Reactor reactor;
  private final Random random;
  private final Behaviour behaviour;
  private final Map<Integer, List<Link>> links = new HashMap<>();
  private final Map<String, OpenSetUp> openSetUps = new LinkedHashMap<>();
  private final Map<String, Integer> standing = new LinkedHashMap<>();
  private final Map<Integer, Set<String>> repeatedReleases = new HashMap<>();
  private boolean hanging;
  private boolean ended;

  /**
   * How a switch treats set-ups.
   *
   * @param circuits circuits of each group
   * @param meanAnswerMillis mean time until the answer
   * @param meanHoldMillis mean length of a call
   * @param errorShare share of set-ups that fail
   * @param disturbedShare share of answers that are spoilt, doubled, late or lost, or reset
   */
  record Behaviour(
      int circuits,
      double meanAnswerMillis,
      double meanHoldMillis,
      double errorShare,
      double disturbedShare) {}

  /** A connection of a controller. */
  private record Link(int controller, FaultyConnection connection) {}

  /** A set-up without an answer, and the connection that it came on. */
  private record OpenSetUp(Link link) {}

  StandinSwitch(String id, Reactor reactor, Random random, Behaviour behaviour) {
    this.id = id;
    this.reactor = reactor;
    this.random = random;
    this.behaviour = behaviour;
    reactor.schedule(REPORT_INTERVAL_MILLIS, this::reportToAll);
  }

  /** Stops or resumes to answer set-ups; connections stay open. */
  void setHanging(boolean newHanging) {
    hanging = newHanging;
  }

  /** Takes a controller's connection. */
  void accept(int controller, FaultyConnection connection) {
    Link link = new Link(controller, connection);
    links.computeIfAbsent(controller, key -> new ArrayList<>()).add(link);
    MessageSplitter splitter =
        MessageSplitter.ofLines(line -> onLine(link, SwitchLine.decode(line)));
    connection.setListeners(() -> {}, splitter::feed, () -> connectionEnded(link));
    report(link);
    Set<String> repeated = repeatedReleases.remove(controller);
    if (repeated != null) {
      repeated.forEach(call -> sendRelease(link, call));
    }
  }

  private void connectionEnded(Link link) {
    links.get(link.controller()).remove(link);
    openSetUps.values().removeIf(setUp -> setUp.link() == link);
  }

  private void reportToAll() {
    if (!ended) {
      for (List<Link> list : List.copyOf(links.values())) {
        List.copyOf(list).stream().limit(MAX_REPORTED_CONNECTIONS).forEach(this::report);
      }
      reactor.schedule(REPORT_INTERVAL_MILLIS, this::reportToAll);
    }
  }

  private void report(Link link) {
    if (!hanging) {
      send(link, new SwitchLine("status", "", loadFields(link.controller()), -1, null));
    }
  }

  private Map<String, String> loadFields(int controller) {
    long busy = standing.values().stream().filter(owner -> owner == controller).count();
    long free = Math.max(0, behaviour.circuits() - busy);
    return Map.of("load", "x0:" + free + ";x1:" + behaviour.circuits());
  }

  private static void send(Link link, SwitchLine line) {
    link.connection().send(line.encode());
  }

  private void onLine(Link link, SwitchLine line) {
    switch (line.type()) {
      case SwitchLine.OPEN -> onSetUp(link, line.call());
      case SwitchLine.CLOSE -> {
        openSetUps.remove(line.call());
        standing.remove(line.call());
      }
      case "probe" -> send(link, SwitchLine.withCause("probed", "", 1, Map.of()));
      default -> {}
    }
  }

  private void onSetUp(Link link, String call) {
    OpenSetUp setUp = new OpenSetUp(link);
    openSetUps.put(call, setUp);
    if (!hanging) {
      reactor.schedule(exponential(behaviour.meanAnswerMillis()), () -> decide(call, setUp));
    }
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private void decide(String call, OpenSetUp setUp) {
    if (openSetUps.get(call) != setUp || ended || hanging) {
      return;
    }
    Link link = setUp.link();
    long busy = standing.values().stream().filter(owner -> owner == link.controller()).count();
    if (busy >= behaviour.circuits()) {
      refuse(call, link, NO_CIRCUIT, "all_trunks_busy");
    } else if (random.nextDouble() < behaviour.errorShare()) {
      refuse(call, link, ERROR, "");
    } else if (random.nextDouble() < behaviour.disturbedShare()) {
      disturb(call, link);
    } else {
      answer(call, link);
    }
  }

  private void refuse(String call, Link link, int cause, String note) {
    openSetUps.remove(call);
    Map<String, String> fields = new LinkedHashMap<>(loadFields(link.controller()));
    fields.put("note", note);
    send(link, SwitchLine.withCause(SwitchLine.CLOSE, call, cause, fields));
  }

  private void answer(String call, Link link) {
    openSetUps.remove(call);
    standing.put(call, link.controller());
    send(link, answerLine(call));
    reactor.schedule(exponential(behaviour.meanHoldMillis()), () -> release(call, link));
  }

  private SwitchLine answerLine(String call) {
    return new SwitchLine(SwitchLine.READY, call, Map.of(), -1, id + " " + call);
  }

  /** Answers in one of the ways in which good answers arrive spoilt, or not at all. */
  private void disturb(String call, Link link) {
    switch (random.nextInt(6)) {
      case 0 -> {
        openSetUps.remove(call);
        link.connection().send("{\"msg\":\"ready\",\"sid\":noise\n".getBytes());
      }
      case 1 -> {
        openSetUps.remove(call);
        link.connection().send("{\"msg\":\"ready\",\"si".getBytes());
      }
      case 2 -> {
        answer(call, link);
        reactor.schedule(random.nextInt(20), () -> send(link, answerLine(call)));
      }
      case 3 -> {
        send(link, new SwitchLine(SwitchLine.READY, unknownId(), Map.of(), -1, "x"));
        answer(call, link);
      }
      case 4 -> {
        link.connection().reset();
        connectionEnded(link);
      }
      default -> refuse(call, link, TEMPORARY_FAILURE, "");
    }
  }

  private String unknownId() {
    return String.format("%016x", random.nextLong());
  }

  /** Ends a standing call: on the connection of its set-up, else on any, and on the next opened. */
  private void release(String call, Link setUpLink) {
    if (ended || hanging || standing.remove(call) == null) {
      return;
    }
    int controller = setUpLink.controller();
    List<Link> open = links.getOrDefault(controller, List.of());
    if (open.contains(setUpLink)) {
      sendRelease(setUpLink, call);
    } else if (!open.isEmpty()) {
      sendRelease(open.get(random.nextInt(open.size())), call);
    }
    repeatedReleases.computeIfAbsent(controller, key -> new LinkedHashSet<>()).add(call);
  }

  private void sendRelease(Link link, String call) {
    Map<String, String> fields = loadFields(link.controller());
    send(link, SwitchLine.withCause(SwitchLine.CLOSE, call, NORMAL_CLEARING, fields));
  }

  /** Ends the process: its connections are reset and its calls cut. */
  void end() {
    ended = true;
    links.values().forEach(list -> List.copyOf(list).forEach(link -> link.connection().reset()));
    links.clear();
    standing.clear();
    openSetUps.clear();
  }

  /** Resets all connections of a controller, with the set-ups open on them. */
  void resetConnections(int controller) {
    for (Link link : List.copyOf(links.getOrDefault(controller, List.of()))) {
      link.connection().reset();
      connectionEnded(link);
    }
  }
}
