package coveladder.rehearsal;

import coveladder.CallPolicy.ExchangeState;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.recovery.RecoveryRate;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import coveladder.sipfront.ClassTable;
import coveladder.sipfront.FrontEndSettings;
import coveladder.sipfront.SipFrontEnd;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A real controller between a caller and a switch that a test controls. */
final class ControllerHarness {
  static final double SYNC_MILLIS = 1;

  final SimulatedNetwork network = new SimulatedNetwork(5);
  final RawNode caller = network.addNode("caller", "x", RawNode::new);
  final RawNode localSwitch = network.addNode("switch", "x", RawNode::new);
  final RawNode directoryServer = network.addNode("list", "x", RawNode::new);
  final Hop controllerAddress;
  final SimulatedDisk disk =
      new SimulatedDisk(new SplittableRandom(3), SYNC_MILLIS, SYNC_MILLIS, () -> {});
  SipFrontEnd frontEnd;

  /** Difference of the controller's persistent clock from the time of the network, ms. */
  double clockStepMillis;

  private FrontEndSettings settings;
  private final FleetConfig config = FleetConfig.eightExchanges().withSize(4, 1);
  private final boolean persistent;

  ControllerHarness(Transport switchTransport) {
    this(switchTransport, false);
  }

  /** Creates a harness whose controller persists its calls or does not. */
  ControllerHarness(Transport switchTransport, boolean persistent) {
    this.persistent = persistent;
    controllerAddress = network.reserveAddress("controller");
    network.setConditions(
        new Network.Conditions(
            /* minDelayMillis= */ 1,
            /* maxDelayMillis= */ 1,
            /* lossRate= */ 0,
            /* duplicationRate= */ 0));
    settings =
        new FrontEndSettings(
            "x0.example",
            network.reserveAddress("switch").withTransport(switchTransport),
            network.reserveAddress("list"),
            new ClassTable(
                List.of("a", "b", "c"),
                List.of("cove.0", "cove.1", "cove.2"),
                /* prefixes= */ List.of(),
                /* defaultClass= */ 0),
            /* patienceMillis= */ 5_000,
            /* answerMarginMillis= */ 20,
            /* maxCalls= */ 50,
            /* retryAfterSeconds= */ 1,
            Timing.STANDARD,
            SipStack.Limits.DEFAULT);
    frontEnd = network.addNode("controller", "x", this::newFrontEnd);
    runFor(50);
    updateDirectory();
  }

  private SipFrontEnd newFrontEnd(SipHost host) {
    disk.attachTo(host);
    return new SipFrontEnd(
        host,
        settings,
        config.policySettings(0),
        FaultInjection.NONE.guardFactory().get(),
        CallController.Observer.NONE,
        FaultInjection.NONE.policyFactoryFor(config.policySettings(0), 3),
        persistent
            ? new SipFrontEnd.Persistence(
                disk,
                new RecoveryRate.Budget(/* callsPerSecond= */ 1_000, /* verifyDelayMillis= */ 100),
                () -> persistentClockMillis())
            : null);
  }

  private long persistentClockMillis() {
    return (long) (network.now() + clockStepMillis);
  }

  /** Kills the controller, restarts it from its durable records and updates its directory. */
  void restart(double downtimeMillis) {
    network.kill("controller");
    disk.crash();
    runFor(downtimeMillis);
    frontEnd = network.restartNode("controller", this::newFrontEnd);
    runFor(1);
    updateDirectory();
  }

  private void updateDirectory() {
    List<ExchangeDirectory.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String domain = "x" + i + ".example";
      String address = "sip:10.9.9." + i + ":5060";
      entries.add(
          new ExchangeDirectory.Entry("e" + i, i, domain, address, ExchangeState.IN_SERVICE, 0));
    }
    frontEnd
        .controller()
        .updateDirectory(
            new ExchangeDirectory.Update(
                /* complete= */ true, /* baseVersion= */ 0, /* version= */ 1, entries));
    for (int i = 1; i < 4; i++) {
      frontEnd.controller().circuitsReported(i, /* free= */ 20, /* size= */ 20, /* version= */ 1);
    }
  }

  void runFor(double durationMillis) {
    network.runUntil(network.now() + durationMillis, () -> false);
  }

  /** Sends an INVITE from the caller over UDP and returns its text. */
  String invite(String callId, int expiresSeconds) {
    String text =
        "INVITE sip:5551234@x1.example SIP/2.0\r\nVia: SIP/2.0/UDP "
            + caller.host.localHop(Transport.UDP).host()
            + ":5060;branch=z9hG4bK"
            + callId
            + "\r\nMax-Forwards: 70\r\nFrom: <sip:m@h>;tag=m\r\nTo: <sip:5551234@x1.example>\r\n"
            + "Call-ID: "
            + callId
            + "\r\nCSeq: 1 INVITE\r\nContact: <sip:"
            + caller.host.localHop(Transport.UDP).host()
            + ":5060>\r\nExpires: "
            + expiresSeconds
            + "\r\nSession-ID: s"
            + callId
            + "\r\nContent-Type: application/sdp\r\nContent-Length: 2\r\n\r\nv0";
    caller.send(controllerAddress, text);
    return text;
  }

  /** Sends a request of the caller within its call, or the CANCEL of the call. */
  void sendFromCaller(String method, String callId, int cseqNumber, String toTag) {
    String to = "To: <sip:5551234@x1.example>" + (toTag.isEmpty() ? "" : ";tag=" + toTag);
    String branch = method.equals("CANCEL") ? callId : callId + method + cseqNumber;
    caller.send(
        controllerAddress,
        method
            + " sip:5551234@x1.example SIP/2.0\r\nVia: SIP/2.0/UDP "
            + caller.host.localHop(Transport.UDP).host()
            + ":5060;branch=z9hG4bK"
            + branch
            + "\r\nMax-Forwards: 70\r\nFrom: <sip:m@h>;tag=m\r\n"
            + to
            + "\r\nCall-ID: "
            + callId
            + "\r\nCSeq: "
            + cseqNumber
            + ' '
            + method
            + "\r\nContent-Length: 0\r\n\r\n");
  }

  /** The INVITEs of attempts that the switch received, without retransmissions. */
  List<RawNode.Message> attempts() {
    List<String> seen = new ArrayList<>();
    List<RawNode.Message> found = new ArrayList<>();
    for (RawNode.Message message : localSwitch.receivedStartingWith("INVITE")) {
      if (!seen.contains(message.header("Call-ID"))) {
        seen.add(message.header("Call-ID"));
        found.add(message);
      }
    }
    return found;
  }

  /** Status codes of the final responses to the caller's INVITEs, without repetitions. */
  List<String> finalAnswers() {
    return caller.received.stream()
        .filter(message -> message.startsWith("SIP/2.0 ") && !message.startsWith("SIP/2.0 1"))
        .filter(message -> message.header("CSeq").endsWith(" INVITE"))
        .map(message -> message.text().substring(8, 11))
        .distinct()
        .toList();
  }

  String callerTag() {
    return caller.lastStartingWith("SIP/2.0").header("To").replaceAll(".*;tag=", "");
  }

  /** Answers an attempt with 200, which the caller acknowledges. */
  void establish(RawNode.Message attempt, String callId) {
    localSwitch.respond(attempt, "200 OK", "remote", "");
    runFor(10);
    sendFromCaller("ACK", callId, 1, callerTag());
    runFor(10);
  }
}
