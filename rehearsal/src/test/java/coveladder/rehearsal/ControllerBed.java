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
import coveladder.sipfront.FrontSettings;
import coveladder.sipfront.SipFront;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One real controller between a caller and a switch that a test plays by hand. */
final class ControllerBed {
  static final double SYNC = 1;

  final SimulatedNetwork world = new SimulatedNetwork(5);
  final RawNode caller = world.addNode("caller", "x", RawNode::new);
  final RawNode ownSwitch = world.addNode("switch", "x", RawNode::new);
  final RawNode listServer = world.addNode("list", "x", RawNode::new);
  final Hop place;
  final SimDisk disk = new SimDisk(new SplittableRandom(3), SYNC, SYNC, () -> {});
  SipFront front;
  double clockStep;
  private FrontSettings settings;
  private final FleetConfig plan = FleetConfig.eightExchanges().withSize(4, 1);
  private final boolean keeps;

  ControllerBed(Transport toSwitch) {
    this(toSwitch, false);
  }

  /** Makes a bed whose controller keeps its calls, or does not. */
  ControllerBed(Transport toSwitch, boolean keeps) {
    this.keeps = keeps;
    place = world.reserveAddress("controller");
    world.setConditions(new Network.Conditions(1, 1, 0, 0));
    settings =
        new FrontSettings(
            "x0.example",
            world.reserveAddress("switch").withTransport(toSwitch),
            world.reserveAddress("list"),
            new ClassTable(
                List.of("a", "b", "c"), List.of("cove.0", "cove.1", "cove.2"), List.of(), 0),
            5_000,
            20,
            50,
            1,
            Timing.STANDARD,
            SipStack.Limits.DEFAULT);
    front = world.addNode("controller", "x", this::make);
    run(50);
    tellList();
  }

  private SipFront make(SipHost host) {
    disk.into(host);
    return new SipFront(
        host,
        settings,
        plan.policySettings(0),
        FaultInjection.NONE.guardFactory().get(),
        CallController.Observer.NONE,
        FaultInjection.NONE.policyFactoryFor(plan.policySettings(0), 3),
        keeps
            ? new SipFront.Persistence(disk, new RecoveryRate.Budget(1_000, 100), () -> clock())
            : null);
  }

  private long clock() {
    return (long) (world.now() + clockStep);
  }

  /** Kills the controller and starts it again from what was safe; the list comes anew. */
  void restart(double downFor) {
    world.kill("controller");
    disk.crash();
    run(downFor);
    front = world.restartNode("controller", this::make);
    run(1);
    tellList();
  }

  private void tellList() {
    List<ExchangeDirectory.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String domain = "x" + i + ".example";
      String address = "sip:10.9.9." + i + ":5060";
      entries.add(
          new ExchangeDirectory.Entry("e" + i, i, domain, address, ExchangeState.IN_SERVICE, 0));
    }
    front.controller().updateDirectory(new ExchangeDirectory.Update(true, 0, 1, entries));
    for (int i = 1; i < 4; i++) {
      front.controller().circuitsReported(i, 20, 20, 1);
    }
  }

  void run(double lasts) {
    world.runUntil(world.now() + lasts, () -> false);
  }

  /** Sends the text of an INVITE from the caller by UDP; returns it. */
  String invite(String callId, int seconds) {
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
            + seconds
            + "\r\nSession-ID: s"
            + callId
            + "\r\nContent-Type: application/sdp\r\nContent-Length: 2\r\n\r\nv0";
    caller.send(place, text);
    return text;
  }

  /** A request of the caller within its call, or the CANCEL of it. */
  void fromCaller(String method, String callId, int number, String toTag) {
    String to = "To: <sip:5551234@x1.example>" + (toTag.isEmpty() ? "" : ";tag=" + toTag);
    String branch = method.equals("CANCEL") ? callId : callId + method + number;
    caller.send(
        place,
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
            + number
            + ' '
            + method
            + "\r\nContent-Length: 0\r\n\r\n");
  }

  /** INVITEs of attempts that the switch read, repeats left out. */
  List<RawNode.Read> attempts() {
    List<String> seen = new ArrayList<>();
    List<RawNode.Read> found = new ArrayList<>();
    for (RawNode.Read read : ownSwitch.all("INVITE")) {
      if (!seen.contains(read.field("Call-ID"))) {
        seen.add(read.field("Call-ID"));
        found.add(read);
      }
    }
    return found;
  }

  /** Final answers to the caller's INVITE, repeats left out. */
  List<String> finals() {
    return caller.reads.stream()
        .filter(r -> r.begins("SIP/2.0 ") && !r.begins("SIP/2.0 1"))
        .filter(r -> r.field("CSeq").endsWith(" INVITE"))
        .map(r -> r.text().substring(8, 11))
        .distinct()
        .toList();
  }

  String callerTag() {
    return caller.last("SIP/2.0").field("To").replaceAll(".*;tag=", "");
  }

  /** Answers an attempt with 200 and lets the caller acknowledge it. */
  void stand(RawNode.Read attempt, String callId) {
    ownSwitch.answer(attempt, "200 OK", "far", "");
    run(10);
    fromCaller("ACK", callId, 1, callerTag());
    run(10);
  }
}
