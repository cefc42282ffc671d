package coveladder.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The callers of one controller, with a few connections, and the front that admits it. */
final class StandinCallers {
  private static final String TEST_ID = "00000000000000aa";
  private static final int NORMAL_CLEARING = 16;
  private static final double TEST_INTERVAL_MILLIS = 100;
  private static final double CROSSING_MILLIS = 50;

  private final Reactor reactor;
  private final Random random;
  private final SoakSettings settings;
  private final int controller;
  private final CallerConnections connections;
  private final Runnable readyListener;
  private final List<Client> clients = new ArrayList<>();
  private final Map<String, Standing> standing = new LinkedHashMap<>();
  private boolean admitted;
  private boolean acceptingNew = true;
  private int generation;
  private double rateFactor = 1;

  /** A connection with its pending set-ups: the octets and the time they were sent, by call. */
  private static final class Client {
    FaultyConnection connection;
    final Map<String, Sent> pending = new LinkedHashMap<>();
  }

  private record Sent(byte[] octets, double timeMillis, boolean repeated) {}

  /** A standing call: class, called exchange, and the switch that its answer names. */
  private record Standing(SoakSettings.CallClass callClass, int destination, String switchId) {}

  StandinCallers(
      Reactor reactor,
      Random random,
      SoakSettings settings,
      int controller,
      CallerConnections connections,
      Runnable readyListener) {
    this.reactor = reactor;
    this.random = random;
    this.settings = settings;
    this.controller = controller;
    this.connections = connections;
    this.readyListener = readyListener;
  }

  // ---- Front ---------------------------------------------------------------------------------

  /** Tests a process that started, until it passes; then the callers come. */
  void controllerStarted() {
    generation++;
    admitted = false;
    acceptingNew = true;
    clients.clear();
    test(generation);
  }

  /** The process was killed: its connections are gone and its pending calls with them. */
  void controllerKilled() {
    generation++;
    admitted = false;
    List.copyOf(clients).forEach(client -> client.connection.reset());
    clients.clear();
  }

  /** No new connection is opened from now on; open ones are used on. */
  void stopNewConnections() {
    acceptingNew = false;
  }

  /** Whether the present process has passed its test. */
  boolean isAdmitted() {
    return admitted;
  }

  void setRateFactor(double factor) {
    rateFactor = factor;
  }

  private void test(int testedGeneration) {
    if (testedGeneration != generation || admitted) {
      return;
    }
    FaultyConnection[] connection = new FaultyConnection[1];
    connection[0] =
        connections.open(
            false,
            () ->
                connection[0].send(
                    CallerMessage.withCause(CallerMessage.TEST, TEST_ID, 0).encode()),
            message -> onTested(message, testedGeneration, connection[0]),
            () -> reactor.schedule(TEST_INTERVAL_MILLIS, () -> test(testedGeneration)));
  }

  private void onTested(CallerMessage message, int testedGeneration, FaultyConnection connection) {
    if (message.type() != CallerMessage.TESTED || testedGeneration != generation) {
      return;
    }
    connection.close();
    if (message.cause() == 1) {
      admit();
    } else {
      reactor.schedule(TEST_INTERVAL_MILLIS, () -> test(testedGeneration));
    }
  }

  private void admit() {
    admitted = true;
    readyListener.run();
    int count = 2 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      openClient();
    }
    int admittedGeneration = generation;
    reactor.schedule(30 + random.nextInt(300), () -> resumeStanding(admittedGeneration));
    scheduleNextCall(admittedGeneration);
  }

  private Client openClient() {
    Client client = new Client();
    clients.add(client);
    int openedGeneration = generation;
    client.connection =
        connections.open(
            false,
            () -> {},
            message -> onMessage(client, message),
            () -> onClosed(client, openedGeneration));
    return client;
  }

  private Client anyClient() {
    List<Client> open = clients.stream().filter(client -> client.connection.isOpen()).toList();
    return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
  }

  private void onClosed(Client client, int openedGeneration) {
    clients.remove(client);
    if (openedGeneration != generation || !acceptingNew || !admitted) {
      return;
    }
    Client replacement = openClient();
    double now = reactor.now();
    client.pending.forEach(
        (call, sent) -> {
          if (!sent.repeated() && now - sent.timeMillis() <= CROSSING_MILLIS) {
            replacement.pending.put(call, new Sent(sent.octets(), now, true));
            replacement.connection.send(sent.octets());
          }
        });
  }

  // ---- Calls ---------------------------------------------------------------------------------

  /** Names all standing calls to a controller that has lost its state; some end at once. */
  private void resumeStanding(int resumedGeneration) {
    if (resumedGeneration != generation) {
      return;
    }
    for (Map.Entry<String, Standing> entry : new ArrayList<>(standing.entrySet())) {
      Client client = anyClient();
      if (client == null) {
        return;
      }
      String call = entry.getKey();
      client.connection.send(resumption(call, entry.getValue()));
      if (random.nextInt(10) == 0) {
        releaseStanding(call);
      }
    }
  }

  private byte[] resumption(String call, Standing standingCall) {
    String figures =
        "dest:" + standingCall.destination() + ";width:1;via:-1;at:" + standingCall.switchId();
    return setUp(call, standingCall.callClass(), figures);
  }

  /** Names some standing calls again, on any connection, as callers may. */
  void nameSomeAgain() {
    for (String call : List.copyOf(standing.keySet())) {
      Client client = anyClient();
      if (client != null && random.nextInt(4) == 0) {
        client.connection.send(resumption(call, standing.get(call)));
      }
    }
  }

  private static byte[] setUp(String call, SoakSettings.CallClass callClass, String figures) {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    put(parameters, CallerMessage.CLASS, callClass.name());
    put(parameters, CallerMessage.LEFT, Long.toString(Math.round(callClass.deadlineMillis())));
    put(parameters, CallerMessage.NUMBER, "7f3a" + call.substring(4));
    put(parameters, CallerMessage.FIGURES, figures);
    put(parameters, CallerMessage.DESCRIPTION, call + "\r\nm=audio 31000");
    return new CallerMessage(CallerMessage.SET_UP, call, parameters).encode();
  }

  private static void put(Map<Integer, byte[]> parameters, int code, String text) {
    parameters.put(code, text.getBytes(StandardCharsets.UTF_8));
  }

  private void scheduleNextCall(int callGeneration) {
    double rate = settings.callsPerSecond() * rateFactor;
    double pause = -Math.log(1 - random.nextDouble()) * 1_000 / rate;
    reactor.schedule(
        pause,
        () -> {
          if (callGeneration == generation) {
            placeCall();
            scheduleNextCall(callGeneration);
          }
        });
  }

  private void placeCall() {
    Client client = acceptingNew && random.nextInt(20) == 0 ? openClient() : anyClient();
    if (client == null) {
      return;
    }
    String call = String.format("%016x", random.nextLong());
    SoakSettings.CallClass callClass =
        settings.classes().get(random.nextInt(settings.classes().size()));
    int destination = random.nextInt(settings.controllers() - 1);
    destination += destination >= controller ? 1 : 0;
    byte[] octets = setUp(call, callClass, "dest:" + destination + ";width:1;via:-1");
    client.pending.put(call, new Sent(octets, reactor.now(), false));
    client.connection.send(octets);
    planGiveUp(client, call);
    if (random.nextInt(60) == 0) {
      reactor.schedule(random.nextInt(200), () -> closeClient(client));
    }
  }

  private void planGiveUp(Client client, String call) {
    int choice = random.nextInt(12);
    if (choice < 2) {
      double patience = choice == 0 ? random.nextInt(15) : random.nextInt(600);
      reactor.schedule(patience, () -> giveUp(client, call));
    }
  }

  private void giveUp(Client client, String call) {
    if (client.pending.remove(call) != null) {
      client.connection.send(release(call));
    }
  }

  private static byte[] release(String call) {
    return CallerMessage.withCause(CallerMessage.RELEASE, call, NORMAL_CLEARING).encode();
  }

  /** Closes one connection, which gives its pending calls up, and opens another. */
  private void closeClient(Client client) {
    if (clients.remove(client)) {
      client.pending.clear();
      client.connection.close();
      if (acceptingNew && clients.size() < 2) {
        openClient();
      }
    }
  }

  private void onMessage(Client client, CallerMessage message) {
    String call = message.call();
    if (message.type() == CallerMessage.ANSWER) {
      answered(client, call, message);
    } else if (message.type() == CallerMessage.RELEASE) {
      client.pending.remove(call);
      standing.remove(call);
      client.connection.send(
          new CallerMessage(CallerMessage.RELEASE_HEARD, call, Map.of()).encode());
    }
  }

  private void answered(Client client, String call, CallerMessage answer) {
    Sent sent = client.pending.remove(call);
    String switchId = answer.text(CallerMessage.DESCRIPTION).split(" ")[0];
    if (sent == null) {
      // It was given up while the answer was on its way: the release ends it.
      return;
    }
    CallerMessage setUp =
        CallerMessage.decode(java.util.Arrays.copyOfRange(sent.octets(), 2, sent.octets().length));
    SoakSettings.CallClass callClass =
        settings.classes().stream()
            .filter(c -> c.name().equals(setUp.text(CallerMessage.CLASS)))
            .findFirst()
            .orElseThrow();
    int destination = Integer.parseInt(setUp.text(CallerMessage.FIGURES).split("[:;]")[1]);
    standing.put(call, new Standing(callClass, destination, switchId));
    if (random.nextInt(3) == 0) {
      reactor.schedule(200 + random.nextInt(4_000), () -> releaseStanding(call));
    }
  }

  /** Ends a standing call on any connection. */
  private void releaseStanding(String call) {
    Client client = anyClient();
    if (client != null && admitted && standing.remove(call) != null) {
      client.connection.send(release(call));
    }
  }
}
