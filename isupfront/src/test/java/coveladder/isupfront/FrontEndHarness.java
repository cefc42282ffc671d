package coveladder.isupfront;

import coveladder.CallPolicy;
import coveladder.core.VirtualClock;
import coveladder.isup.CallerCodec;
import coveladder.isup.CallerFramer;
import coveladder.isup.CallerMessage;
import coveladder.isup.LineFramer;
import coveladder.isup.MalformedException;
import coveladder.isup.SwitchCodec;
import coveladder.isup.SwitchMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Runs a front end in virtual time. The test plays the remote end of all connections: callers, the
 * switches at ports 2 and 3, and the journal service at port 8500.
 */
final class FrontEndHarness implements Transport {
  static final byte[] CONFIG =
      """
      {"name":"n0","listen":"127.0.0.1:2905","seed":"8c1f30d27a5be964","journal":"127.0.0.9:8500",
       "limits":{"cores":1.0,"memory_mb":128,"sockets":256},
       "known":{"pos":1,"entries":[{"pos":1,"hosts":{"generation":1,"reset":true,"instances":[
         {"instanceId":"s0","hostPort":"127.0.0.2:1","cell":0,"lifecycle":"in_service","startedAtMs":0},
         {"instanceId":"s1","hostPort":"127.0.0.2:2","cell":1,"lifecycle":"in_service","startedAtMs":0},
         {"instanceId":"s2","hostPort":"127.0.0.2:3","cell":2,"lifecycle":"in_service"}]}}]},
       "settings":{"classes":[{"name":"voice","aim":1200,"giveUp":9000,"worth":1,"lateValue":0.25},
         {"name":"wide","aim":2500,"giveUp":9000,"worth":4,"lateValue":0.1}],
        "familyInfo":{"layout":"mesh","selfNo":0,"channelsNeeded":[1,3],"classHold":[9800,15700],
          "guard":300,"retransmit":800},
        "instances":3,"resolution":5,"discovery":"push","clients":{"marksRetry":true},
        "permissions":{"attemptsCap":6,"cancel":true,"mayProbe":false,"peers":false,
          "retryAfter":true,"maxRetryAfter":2000},
        "rules":{"coldFrom":0.28,"rampTime":13000,"fallMultiple":3,"fall":3000,"drainGrace":250}}}
      """
          .getBytes(StandardCharsets.UTF_8);

  final VirtualClock clock = new VirtualClock(1e12);
  final List<FakeConnection> connections = new ArrayList<>();
  final PlatformSettings settings;
  final IsupFrontEnd frontEnd;
  final List<EventLog.Event> events = new ArrayList<>();
  boolean listening = true;

  FrontEndHarness(Function<CallPolicy.Actions, CallPolicy> policyFactory) {
    this(policyFactory, Limits.forDescriptors(256, 3));
  }

  FrontEndHarness(Function<CallPolicy.Actions, CallPolicy> policyFactory, Limits limits) {
    this(policyFactory, limits, config -> config);
  }

  /** Creates a harness with a changed configuration. */
  FrontEndHarness(
      Function<CallPolicy.Actions, CallPolicy> policyFactory,
      Limits limits,
      UnaryOperator<String> change) {
    String config = change.apply(new String(CONFIG, StandardCharsets.UTF_8));
    settings = PlatformSettings.read(config.getBytes(StandardCharsets.UTF_8));
    frontEnd = new IsupFrontEnd(settings, limits, this, clock, events::add, policyFactory);
    frontEnd.start();
  }

  /** A connection of the front end, operated by the test from the remote end. */
  final class FakeConnection implements Connection {
    /** Port that the front end connected to; 0 for a connection from a caller. */
    final int port;

    private ConnectionListener listener;
    private final LineFramer lines = new LineFramer(1 << 20);
    private final CallerFramer messages = new CallerFramer(1 << 16);
    final List<String> sent = new ArrayList<>();
    boolean closed;

    /** Whether more input has arrived than was delivered. */
    boolean unread;

    FakeConnection(int port, ConnectionListener listener) {
      this.port = port;
      this.listener = listener;
    }

    @Override
    public boolean send(byte[] octets) {
      try {
        if (port == 0) {
          messages.feed(octets, body -> sent.add(describeCallerMessage(body)));
        } else {
          lines.feed(octets, line -> sent.add(describeSwitchLine(line)));
        }
      } catch (MalformedException e) {
        throw new AssertionError(e);
      }
      return true;
    }

    @Override
    public boolean hasUnreadInput() {
      return unread;
    }

    @Override
    public void close() {
      closed = true;
    }

    @Override
    public void reset() {
      closed = true;
    }

    /** Reports the connection as established. */
    void establish() {
      listener.opened();
    }

    /** Delivers octets and runs the tasks that are due. */
    void deliver(byte[] octets) {
      deliverReadAt(octets, clock.now());
    }

    /** Delivers octets that were read from the network at an earlier time. */
    void deliverReadAt(byte[] octets, double arrived) {
      listener.received(octets, arrived);
      clock.advance(0);
    }

    /** Delivers octets without running the tasks that are due. */
    void deliverWithoutTurn(byte[] octets) {
      listener.received(octets, clock.now());
    }

    /** Delivers a line. */
    void deliver(String line) {
      deliver((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Reports the connection as lost. */
    void lose(Loss loss) {
      closed = true;
      listener.lost(loss);
    }

    /** Returns descriptions of the messages sent since the previous call. */
    List<String> takeSent() {
      List<String> taken = List.copyOf(sent);
      sent.clear();
      return taken;
    }
  }

  /** Describes a message as type, call id, cause, wait and session description. */
  private static String describeCallerMessage(byte[] body) {
    try {
      CallerMessage message = CallerCodec.decode(body);
      String retryAfter = message.text(CallerMessage.WAIT);
      return message.type()
          + " "
          + Long.parseLong(message.callId(), 16)
          + (message.cause() < 0 ? "" : " cause " + message.cause())
          + (retryAfter.isEmpty() ? "" : " wait " + retryAfter)
          + message.text(CallerMessage.DESCRIPTION);
    } catch (MalformedException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Describes a message as kind, call id, code, class and text; other lines are kept as they are.
   */
  private static String describeSwitchLine(byte[] line) {
    if (line.length > 0 && line[0] != '{') {
      return new String(line, StandardCharsets.UTF_8);
    }
    try {
      SwitchMessage message = SwitchCodec.decode(line);
      return message.kind()
          + " "
          + Long.parseLong(message.sid(), 16)
          + (message.code() < 0 ? "" : " " + message.code())
          + (message.attrs().isEmpty() ? "" : " " + message.attrs().get("class"))
          + (message.text() == null ? "" : " " + message.text());
    } catch (MalformedException e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public Connection connect(String host, int port, ConnectionListener listener) {
    FakeConnection connection = new FakeConnection(port, listener);
    connections.add(connection);
    return connection;
  }

  @Override
  public void stopListening() {
    listening = false;
  }

  /** Returns the newest open connection to a port; null if there is none. */
  FakeConnection connectionTo(int port) {
    FakeConnection newest = null;
    for (FakeConnection connection : connections) {
      newest = connection.port == port && !connection.closed ? connection : newest;
    }
    return newest;
  }

  /**
   * Establishes the newest connections to both switches and reports the state of their circuit
   * groups.
   */
  FrontEndHarness openSwitchConnections() {
    for (int port = 2; port <= 3; port++) {
      connectionTo(port).establish();
      connectionTo(port).deliver(status(30));
    }
    return this;
  }

  static String status(int free) {
    return "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:" + free + ";size:30\"}}";
  }

  static String ready(int id, String text) {
    return "{\"msg\":\"ready\",\"sid\":\""
        + callId(id)
        + "\",\"attrs\":{},\"text\":\""
        + text
        + "\"}";
  }

  static String close(int id, int code, String attrs) {
    return "{\"msg\":\"close\",\"sid\":\""
        + callId(id)
        + "\",\"attrs\":{"
        + attrs
        + "},\"code\":"
        + code
        + "}";
  }

  /** Returns the event that changes one switch, as the journal service writes it. */
  static String journalEvent(int position, String id, int port, String state, long startedAt) {
    return """
        {"pos":%1$d,"hosts":{"generation":%1$d,"reset":false,"instances":[{"instanceId":"%2$s",\
        "hostPort":"127.0.0.2:%3$d","cell":1,"lifecycle":"%4$s","startedAtMs":%5$d}]}}"""
        .formatted(position, id, port, state, startedAt);
  }

  static String callId(int id) {
    return String.format("%016x", id);
  }

  /** Opens a connection from a caller and runs the tasks that are due. */
  FakeConnection connectCaller() {
    FakeConnection connection = connectCallerWithoutTurn();
    clock.advance(0);
    return connection;
  }

  /** Opens a connection from a caller without running the tasks that are due. */
  FakeConnection connectCallerWithoutTurn() {
    FakeConnection connection = new FakeConnection(0, null);
    connection.listener = frontEnd.acceptCaller(connection);
    return connection;
  }

  /**
   * Encodes a set-up.
   *
   * @param changes alternating parameter codes and values; null removes the parameter
   */
  static byte[] setUp(int id, Object... changes) {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    putOrRemove(parameters, CallerMessage.CLASS, "voice");
    putOrRemove(parameters, CallerMessage.LEFT, "3000");
    putOrRemove(parameters, CallerMessage.NUMBER, "7f3a9c21e0b4d655");
    putOrRemove(parameters, CallerMessage.FIGURES, "dest:1;width:1;via:-1");
    putOrRemove(parameters, CallerMessage.DESCRIPTION, "offer" + id);
    for (int i = 0; i < changes.length; i += 2) {
      putOrRemove(parameters, (Integer) changes[i], (String) changes[i + 1]);
    }
    return CallerCodec.encode(new CallerMessage(CallerMessage.SET_UP, callId(id), parameters));
  }

  private static void putOrRemove(Map<Integer, byte[]> parameters, int code, String text) {
    if (text == null) {
      parameters.remove(code);
    } else {
      parameters.put(code, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  static byte[] release(int id) {
    return CallerCodec.encode(CallerMessage.withCause(CallerMessage.RELEASE, callId(id), 16));
  }
}
