package coveladder.interop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.app.Daemon;
import coveladder.app.SettingsFile;
import coveladder.net.EventLoop;
import coveladder.net.SocketLimits;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.rehearsal.FleetConfig;
import coveladder.sip.Hop;
import coveladder.sip.Transport;
import coveladder.standin.StandinDirectory;
import coveladder.standin.StandinSwitch;
import coveladder.standin.SwitchConfig;
import coveladder.standin.TrunkNetwork;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls from a JAIN SIP caller through a controller and a switch to a JAIN SIP callee. */
class JainInteropTest {
  private static final String HOST = "127.0.0.1";

  private Sockets sockets;
  private EventLoop loop;
  private Daemon daemon;
  private JainPeer caller;
  private JainPeer callee;

  private void start(String transport) throws Exception {
    caller = new JainPeer("caller", transport);
    callee = new JainPeer("callee", transport);
    sockets = new Sockets(1);
    loop = new EventLoop("standins", System.nanoTime(), 10_000);
    SocketNode directoryNode = node();
    SocketNode switchNode = node();
    int controllerPort = FreePorts.next();
    FleetConfig fleetConfig = FleetConfig.eightExchanges().withSize(2, 1);
    Transport calleeTransport = Transport.fromName(transport);
    Hop calleeAddress = new Hop(calleeTransport, HOST, callee.port());
    StandinDirectory directory = new StandinDirectory(directoryNode, fleetConfig.timing(), 10);
    directory.addEntries(
        List.of(directoryEntry(0, switchNode.port()), directoryEntry(1, callee.port())));
    TrunkNetwork trunks = new TrunkNetwork();
    trunks.addGroup(0, 1, 10);
    SwitchConfig switchConfig =
        new SwitchConfig(
            0,
            "x0.example",
            new Hop(Transport.UDP, HOST, controllerPort),
            Map.of("x0.example", switchNode.localHop(Transport.UDP), "x1.example", calleeAddress),
            Map.of("x0.example", 0, "x1.example", 1),
            Map.of(),
            Map.of(),
            10,
            fleetConfig.processorModel(),
            fleetConfig.timing());
    directoryNode.start(directory);
    switchNode.start(new StandinSwitch(switchNode, switchConfig, trunks));
    loop.start();
    daemon =
        new Daemon(
            SettingsFile.read("x0.kdl", settings(controllerPort, directoryNode, switchNode)));
    awaitDirectory();
  }

  private SocketNode node() throws Exception {
    return new SocketNode(sockets, loop, SocketLimits.DEFAULTS, HOST, 0, 1);
  }

  private static StandinDirectory.Entry directoryEntry(int number, int port) {
    String domain = "x" + number + ".example";
    return new StandinDirectory.Entry(
        "e" + number, number, domain, "sip:" + HOST + ':' + port, "in-service", -1);
  }

  private static String settings(int port, SocketNode directoryNode, SocketNode switchNode) {
    return "listen port="
        + port
        + "\ndomain \"x0.example\"\nexchange number=0\nfleet controllers=2\nswitch port="
        + switchNode.port()
        + "\nlist port="
        + directoryNode.port()
        + "\nclass \"plain\" aim=4000 give-up=9000 hold=5000 default=#true\n";
  }

  /** Repeats a call until it is not refused: calls before the first exchange directory get 503. */
  private void awaitDirectory() throws Exception {
    String answer;
    callee.answerWith(486);
    do {
      caller.call("5551234", "x1.example", daemon.port());
      answer = caller.nextEvent();
    } while (answer.startsWith("503"));
    while (!answer.startsWith("486")) {
      answer = caller.nextEvent();
    }
    assertEquals("INVITE", callee.nextEvent());
    callee.answerWith(200);
  }

  @AfterEach
  void stop() {
    caller.close();
    callee.close();
    daemon.close();
    loop.close();
    sockets.close();
  }

  private void establishCall() throws Exception {
    caller.call("5551235", "x1.example", daemon.port());
    assertEquals("INVITE", callee.nextEvent());
    assertEquals("200 INVITE", caller.nextEvent());
    assertEquals("ACK", callee.nextEvent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"udp", "tcp"})
  void callerReleasesTheCall(String transport) throws Exception {
    start(transport);
    establishCall();
    caller.bye();
    assertEquals("200 BYE", caller.nextEvent());
    assertEquals("BYE", callee.nextEvent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"udp", "tcp"})
  void calleeReleasesTheCall(String transport) throws Exception {
    start(transport);
    establishCall();
    callee.bye();
    assertEquals("200 BYE", callee.nextEvent());
    assertEquals("BYE", caller.nextEvent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"udp", "tcp"})
  void callerCancelsWhileTheCalleeRings(String transport) throws Exception {
    start(transport);
    callee.answerWith(180);
    caller.call("5551236", "x1.example", daemon.port());
    assertEquals("INVITE", callee.nextEvent());
    assertTrue(caller.awaitRinging());
    caller.cancel();
    assertEquals("200 CANCEL", caller.nextEvent());
    assertEquals("487 INVITE", caller.nextEvent());
    assertEquals("CANCEL", callee.nextEvent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"udp", "tcp"})
  void bothSidesSendReinvites(String transport) throws Exception {
    start(transport);
    establishCall();
    caller.reinvite();
    assertEquals("re-INVITE", callee.nextEvent());
    assertEquals("200 INVITE", caller.nextEvent());
    assertEquals("ACK", callee.nextEvent());
    callee.reinvite();
    assertEquals("re-INVITE", caller.nextEvent());
    assertEquals("200 INVITE", callee.nextEvent());
    assertEquals("ACK", caller.nextEvent());
    caller.bye();
    assertEquals("200 BYE", caller.nextEvent());
  }
}
