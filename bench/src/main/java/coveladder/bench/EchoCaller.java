package coveladder.bench;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/**
 * Callers without memory but for when each call was due: calls begin on schedule whatever has
 * become of those before, so that a stall is seen in full.
 */
final class EchoCaller implements SipNode {
  private static final double TICK = 1;

  /** The rate grows to its full height in this time, ms: the compiler of the JVM needs it. */
  private static final double RAMP = 6_000;

  private final SipHost host;
  private final Hop controller;
  private final double perMs;
  private final int calls;
  private final boolean hangUp;
  private final int measuredFrom;
  private final double[] due;
  private final Histogram delay = new Histogram(60_000_000, 3);
  private int sent;
  private int stood;
  private int refused;
  private int stoodAfterRamp;
  private double begun;
  private double lastStood;

  /**
   * Makes callers.
   *
   * @param rate calls a second
   * @param hangUp whether each call is released once it stands
   * @param measuredFrom number of the first call whose delay counts
   */
  EchoCaller(
      SipHost host, Hop controller, double rate, int calls, boolean hangUp, int measuredFrom) {
    this.host = host;
    this.controller = controller;
    this.perMs = rate / 1000;
    this.calls = calls;
    this.hangUp = hangUp;
    this.measuredFrom = measuredFrom;
    this.due = new double[calls];
  }

  @Override
  public void start() {
    begun = host.now() + 500;
    host.schedule(500, this::tick);
  }

  private void tick() {
    int owed = (int) Math.min(calls, owed(host.now() - begun));
    while (sent < owed) {
      due[sent] = begun + dueAfter(sent);
      send(request("INVITE", sent, "", "Expires: 30\r\n"));
      sent++;
    }
    if (sent < calls) {
      host.schedule(TICK, this::tick);
    }
  }

  /** Calls due after so long: half the rate times the square while it grows, straight then. */
  private double owed(double age) {
    return age < RAMP ? perMs * age * age / (2 * RAMP) : perMs * (age - RAMP / 2);
  }

  private double dueAfter(int call) {
    double grown = perMs * RAMP / 2;
    return call < grown ? Math.sqrt(2 * RAMP * call / perMs) : RAMP / 2 + call / perMs;
  }

  private String request(String method, int call, String toTag, String more) {
    Hop own = host.localHop(controller.transport());
    String by = controller.transport().name();
    String to = "sip:5551234@x" + (1 + call % (EchoSwitch.EXCHANGES - 1)) + ".example";
    return method
        + ' '
        + to
        + " SIP/2.0\r\nVia: SIP/2.0/"
        + by
        + ' '
        + own.host()
        + ':'
        + own.port()
        + ";branch=z9hG4bK"
        + method
        + call
        + "\r\nMax-Forwards: 70\r\nFrom: <sip:m@h>;tag=m\r\nTo: <"
        + to
        + '>'
        + toTag
        + "\r\nCall-ID: "
        + call
        + "\r\nCSeq: "
        + (method.equals("BYE") ? 2 : 1)
        + ' '
        + method
        + "\r\nContact: <sip:m@"
        + own.host()
        + ':'
        + own.port()
        + (controller.transport() == Transport.TCP ? ";transport=tcp" : "")
        + ">\r\n"
        + more
        + "Content-Type: application/sdp\r\nContent-Length: 4\r\n\r\nv=0\n";
  }

  private void send(String text) {
    host.send(controller, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void receive(Hop from, byte[] message, double arrived) {
    String text = new String(message, StandardCharsets.ISO_8859_1);
    if (!text.startsWith("SIP/2.0 ") || !EchoSwitch.field(text, "CSeq").equals("1 INVITE")) {
      return;
    }
    int status = Integer.parseInt(text.substring(8, 11));
    if (status == 200) {
      stands(text);
    } else if (status > 200) {
      refused++;
      int call = Integer.parseInt(EchoSwitch.field(text, "Call-ID"));
      String to = EchoSwitch.field(text, "To");
      send(
          request("ACK", call, to.substring(to.indexOf(";tag=")), "")
              .replace("branch=z9hG4bKACK", "branch=z9hG4bKINVITE"));
    }
  }

  private void stands(String text) {
    int call = Integer.parseInt(EchoSwitch.field(text, "Call-ID"));
    String to = EchoSwitch.field(text, "To");
    String tag = to.substring(to.indexOf(";tag="));
    if (due[call] > 0) {
      stood++;
      stoodAfterRamp += host.now() - begun > RAMP ? 1 : 0;
      lastStood = host.now();
      if (call >= measuredFrom) {
        delay.recordValue(Math.max(0, (long) ((host.now() - due[call]) * 1000)));
      }
      due[call] = 0;
    }
    send(request("ACK", call, tag, ""));
    if (hangUp) {
      send(request("BYE", call, tag, ""));
    }
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {}

  boolean done() {
    return sent == calls && stood + refused >= calls;
  }

  int stood() {
    return stood;
  }

  int refused() {
    return refused;
  }

  /** Calls that stood, a second, once the rate had grown. */
  double rate() {
    return 1000 * stoodAfterRamp / (lastStood - begun - RAMP);
  }

  /** Time from when a call was due until it stood, microseconds. */
  Histogram delay() {
    return delay;
  }
}
