package coveladder.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The journal service as one controller sees it. */
final class StandinJournal {
  private static final double HEARTBEAT_MILLIS = 1_000;

  private final Reactor reactor;
  private final List<String> events = new ArrayList<>();
  private final List<Subscriber> subscribers = new ArrayList<>();
  private boolean silent;

  /** A connection and the last event sent on it; -1 before its request. */
  private static final class Subscriber {
    final FaultyConnection connection;
    int position = -1;

    Subscriber(FaultyConnection connection) {
      this.connection = connection;
    }
  }

  StandinJournal(Reactor reactor) {
    this.reactor = reactor;
    reactor.schedule(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  /** Returns the events so far, each as one JSON object. */
  List<String> events() {
    return events;
  }

  /**
   * Adds an event with the given instances.
   *
   * @param complete whether it lists all switches
   */
  void add(String instances, boolean complete) {
    int position = events.size() + 1;
    events.add(
        "{\"pos\":"
            + position
            + ",\"hosts\":{\"generation\":"
            + position
            + ",\"reset\":"
            + complete
            + ",\"instances\":["
            + instances
            + "]}}");
    List.copyOf(subscribers).forEach(this::sendNew);
  }

  /** Counts the events anew with one that holds the whole list, as at the start of a controller. */
  void restart(String allInstances) {
    events.clear();
    add(allInstances, true);
  }

  void accept(FaultyConnection connection) {
    Subscriber subscriber = new Subscriber(connection);
    subscribers.add(subscriber);
    MessageSplitter splitter =
        MessageSplitter.ofLines(line -> onRequest(subscriber, new String(line)));
    connection.setListeners(() -> {}, splitter::feed, () -> subscribers.remove(subscriber));
  }

  private void onRequest(Subscriber subscriber, String line) {
    subscriber.position = Integer.parseInt(line.substring("tail ".length()));
    sendNew(subscriber);
  }

  private void sendNew(Subscriber subscriber) {
    while (!silent && subscriber.position >= 0 && subscriber.position < events.size()) {
      send(subscriber, events.get(subscriber.position++));
    }
  }

  private static void send(Subscriber subscriber, String line) {
    subscriber.connection.send((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void sendHeartbeats() {
    for (Subscriber subscriber : List.copyOf(subscribers)) {
      if (!silent && subscriber.position >= 0) {
        send(subscriber, Integer.toString(events.size()));
      }
    }
    reactor.schedule(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  /** Falls silent on the open connections; ones opened later are served. */
  void silenceOpenConnections() {
    subscribers.clear();
  }

  /** Falls silent altogether, or speaks again. */
  void setSilent(boolean newSilent) {
    silent = newSilent;
    List.copyOf(subscribers).forEach(this::sendNew);
  }

  /** Breaks off in the middle of an event on all connections. */
  void breakOff() {
    for (Subscriber subscriber : List.copyOf(subscribers)) {
      subscriber.connection.send("{\"pos\":9".getBytes(StandardCharsets.UTF_8));
      subscriber.connection.close();
    }
    subscribers.clear();
  }
}
