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

/** A front in virtual time, with wires that the test holds at their other ends. */
final class Bed implements Transport {
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
  final List<FakeWire> connected = new ArrayList<>();
  final PlatformSettings settings;
  final IsupFrontEnd front;
  boolean listening = true;

  Bed(Function<CallPolicy.Actions, CallPolicy> policies) {
    this(policies, Limits.forDescriptors(256, 3));
  }

  Bed(Function<CallPolicy.Actions, CallPolicy> policies, Limits limits) {
    this(policies, limits, config -> config);
  }

  /** With something changed in the configuration. */
  Bed(
      Function<CallPolicy.Actions, CallPolicy> policies,
      Limits limits,
      UnaryOperator<String> change) {
    String config = change.apply(new String(CONFIG, StandardCharsets.UTF_8));
    settings = PlatformSettings.read(config.getBytes(StandardCharsets.UTF_8));
    front = new IsupFrontEnd(settings, limits, this, clock, policies);
    front.start();
  }

  /** One wire, seen from its other end. */
  final class FakeWire implements Connection {
    final int port;
    private ConnectionListener user;
    private final LineFramer lines = new LineFramer(1 << 20);
    private final CallerFramer messages = new CallerFramer(1 << 16);
    final List<String> sent = new ArrayList<>();
    boolean ended;

    FakeWire(int port, ConnectionListener user) {
      this.port = port;
      this.user = user;
    }

    @Override
    public boolean send(byte[] octets) {
      try {
        if (port == 0) {
          messages.feed(octets, body -> sent.add(told(body)));
        } else {
          lines.feed(octets, line -> sent.add(said(line)));
        }
      } catch (MalformedException e) {
        throw new AssertionError(e);
      }
      return true;
    }

    @Override
    public void close() {
      ended = true;
    }

    @Override
    public void reset() {
      ended = true;
    }

    void open() {
      user.opened();
    }

    void feed(byte[] octets) {
      feedAt(octets, clock.now());
    }

    /** Octets that were read at an earlier clock. */
    void feedAt(byte[] octets, double arrived) {
      user.received(octets, arrived);
      clock.advance(0);
    }

    /** Octets that are there to be heard before the front's next turn. */
    void feedTogether(byte[] octets) {
      user.received(octets, clock.now());
    }

    void feed(String line) {
      feed((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    void lose(Loss loss) {
      ended = true;
      user.lost(loss);
    }

    /** What was sent since this was last asked. */
    List<String> news() {
      List<String> news = List.copyOf(sent);
      sent.clear();
      return news;
    }
  }

  private static String told(byte[] body) {
    try {
      CallerMessage message = CallerCodec.decode(body);
      String wait = message.text(CallerMessage.WAIT);
      return message.type()
          + " "
          + Long.parseLong(message.callId(), 16)
          + (message.cause() < 0 ? "" : " cause " + message.cause())
          + (wait.isEmpty() ? "" : " wait " + wait)
          + message.text(CallerMessage.DESCRIPTION);
    } catch (MalformedException e) {
      throw new AssertionError(e);
    }
  }

  private static String said(byte[] line) {
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
  public Connection connect(String host, int port, ConnectionListener user) {
    FakeWire wire = new FakeWire(port, user);
    connected.add(wire);
    return wire;
  }

  @Override
  public void stopListening() {
    listening = false;
  }

  /** The newest wire to a port that has not ended. */
  FakeWire to(int port) {
    FakeWire found = null;
    for (FakeWire wire : connected) {
      found = wire.port == port && !wire.ended ? wire : found;
    }
    return found;
  }

  /** Opens the newest wires to both switches and tells the state of their groups. */
  Bed open() {
    for (int port = 2; port <= 3; port++) {
      to(port).open();
      to(port).feed(status(30));
    }
    return this;
  }

  static String status(int free) {
    return "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:" + free + ";size:30\"}}";
  }

  static String ready(int id, String text) {
    return "{\"msg\":\"ready\",\"sid\":\"" + id(id) + "\",\"attrs\":{},\"text\":\"" + text + "\"}";
  }

  static String close(int id, int code, String attrs) {
    return "{\"msg\":\"close\",\"sid\":\""
        + id(id)
        + "\",\"attrs\":{"
        + attrs
        + "},\"code\":"
        + code
        + "}";
  }

  static String id(int id) {
    return String.format("%016x", id);
  }

  /** A caller's connection. */
  FakeWire caller() {
    FakeWire wire = new FakeWire(0, null);
    wire.user = front.acceptCaller(wire);
    return wire;
  }

  /** A set-up with fields changed; null leaves one out. */
  static byte[] setUp(int id, Object... changes) {
    Map<Integer, byte[]> with = new LinkedHashMap<>();
    put(with, CallerMessage.CLASS, "voice");
    put(with, CallerMessage.LEFT, "3000");
    put(with, CallerMessage.NUMBER, "7f3a9c21e0b4d655");
    put(with, CallerMessage.FIGURES, "dest:1;width:1;via:-1");
    put(with, CallerMessage.DESCRIPTION, "offer" + id);
    for (int i = 0; i < changes.length; i += 2) {
      put(with, (Integer) changes[i], (String) changes[i + 1]);
    }
    return CallerCodec.encode(new CallerMessage(CallerMessage.SET_UP, id(id), with));
  }

  private static void put(Map<Integer, byte[]> with, int code, String text) {
    if (text == null) {
      with.remove(code);
    } else {
      with.put(code, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  static byte[] release(int id) {
    return CallerCodec.encode(CallerMessage.withCause(CallerMessage.RELEASE, id(id), 16));
  }
}
