package coveladder.bench;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/**
 * An open-loop load generator: calls start on schedule whatever became of the earlier ones, and
 * their set-up delay counts from the scheduled start, so that a stall shows at its full length. The
 * only state per call is the time at which it is due.
 */
final class OpenLoopCaller implements SipNode {
  /** Interval at which due calls are sent, ms. */
  private static final double TICK_MILLIS = 1;

  /** Time over which the call rate rises to its full value while the JIT warms up, ms. */
  private static final double RAMP_MILLIS = 6_000;

  private final SipHost host;
  private final Hop controller;
  private final double callsPerMilli;
  private final int callCount;
  private final boolean releaseOnAnswer;
  private final int firstMeasuredCall;

  /** Clock at which each call was due, ms; 0 before it is sent and once it is established. */
  private final double[] dueAtMillis;

  private final Histogram setupDelayMicros = new Histogram(60_000_000, 3);
  private int sentCalls;
  private int establishedCalls;
  private int refusedCalls;
  private int establishedAfterRamp;
  private double startedAtMillis;
  private double lastEstablishedAtMillis;

  /**
   * Creates a load generator.
   *
   * @param controller address of the controller under test
   * @param callsPerSecond calls per second after the ramp
   * @param callCount number of calls to make
   * @param releaseOnAnswer whether each call is released as soon as it is established
   * @param firstMeasuredCall number of the first call whose set-up delay is recorded
   */
  OpenLoopCaller(
      SipHost host,
      Hop controller,
      double callsPerSecond,
      int callCount,
      boolean releaseOnAnswer,
      int firstMeasuredCall) {
    this.host = host;
    this.controller = controller;
    this.callsPerMilli = callsPerSecond / 1000;
    this.callCount = callCount;
    this.releaseOnAnswer = releaseOnAnswer;
    this.firstMeasuredCall = firstMeasuredCall;
    this.dueAtMillis = new double[callCount];
  }

  @Override
  public void start() {
    startedAtMillis = host.now() + 500;
    host.schedule(500, this::sendDueCalls);
  }

  private void sendDueCalls() {
    int dueCalls = (int) Math.min(callCount, callsDueAfter(host.now() - startedAtMillis));
    while (sentCalls < dueCalls) {
      dueAtMillis[sentCalls] = startedAtMillis + dueAfterMillis(sentCalls);
      send(request("INVITE", sentCalls, "", "Expires: 30\r\n"));
      sentCalls++;
    }
    if (sentCalls < callCount) {
      host.schedule(TICK_MILLIS, this::sendDueCalls);
    }
  }

  /**
   * Number of calls due after a given time. The rate rises linearly during the ramp, so the number
   * grows with the square of the time; after the ramp it grows linearly.
   *
   * @param elapsedMillis time since the start, ms
   */
  private double callsDueAfter(double elapsedMillis) {
    return elapsedMillis < RAMP_MILLIS
        ? callsPerMilli * elapsedMillis * elapsedMillis / (2 * RAMP_MILLIS)
        : callsPerMilli * (elapsedMillis - RAMP_MILLIS / 2);
  }

  /** Time from the start until a call is due, ms; the inverse of {@link #callsDueAfter}. */
  private double dueAfterMillis(int call) {
    double callsDuringRamp = callsPerMilli * RAMP_MILLIS / 2;
    return call < callsDuringRamp
        ? Math.sqrt(2 * RAMP_MILLIS * call / callsPerMilli)
        : RAMP_MILLIS / 2 + call / callsPerMilli;
  }

  private String request(String method, int call, String toTagParameter, String extraHeaders) {
    Hop local = host.localHop(controller.transport());
    String transport = controller.transport().name();
    String calledUri =
        "sip:5551234@x" + (1 + call % (StatelessSwitch.EXCHANGE_COUNT - 1)) + ".example";
    return method
        + ' '
        + calledUri
        + " SIP/2.0\r\nVia: SIP/2.0/"
        + transport
        + ' '
        + local.host()
        + ':'
        + local.port()
        + ";branch=z9hG4bK"
        + method
        + call
        + "\r\nMax-Forwards: 70\r\nFrom: <sip:m@h>;tag=m\r\nTo: <"
        + calledUri
        + '>'
        + toTagParameter
        + "\r\nCall-ID: "
        + call
        + "\r\nCSeq: "
        + (method.equals("BYE") ? 2 : 1)
        + ' '
        + method
        + "\r\nContact: <sip:m@"
        + local.host()
        + ':'
        + local.port()
        + (controller.transport() == Transport.TCP ? ";transport=tcp" : "")
        + ">\r\n"
        + extraHeaders
        + "Content-Type: application/sdp\r\nContent-Length: 4\r\n\r\nv=0\n";
  }

  private void send(String text) {
    host.send(controller, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    String text = new String(message, StandardCharsets.ISO_8859_1);
    if (!text.startsWith("SIP/2.0 ") || !StatelessSwitch.header(text, "CSeq").equals("1 INVITE")) {
      return;
    }
    int status = Integer.parseInt(text.substring(8, 11));
    if (status == 200) {
      onEstablished(text);
    } else if (status > 200) {
      refusedCalls++;
      int call = Integer.parseInt(StatelessSwitch.header(text, "Call-ID"));
      String to = StatelessSwitch.header(text, "To");
      send(
          request("ACK", call, to.substring(to.indexOf(";tag=")), "")
              .replace("branch=z9hG4bKACK", "branch=z9hG4bKINVITE"));
    }
  }

  private void onEstablished(String response) {
    int call = Integer.parseInt(StatelessSwitch.header(response, "Call-ID"));
    String to = StatelessSwitch.header(response, "To");
    String toTagParameter = to.substring(to.indexOf(";tag="));
    if (dueAtMillis[call] > 0) {
      establishedCalls++;
      establishedAfterRamp += host.now() - startedAtMillis > RAMP_MILLIS ? 1 : 0;
      lastEstablishedAtMillis = host.now();
      if (call >= firstMeasuredCall) {
        setupDelayMicros.recordValue(Math.max(0, (long) ((host.now() - dueAtMillis[call]) * 1000)));
      }
      dueAtMillis[call] = 0;
    }
    send(request("ACK", call, toTagParameter, ""));
    if (releaseOnAnswer) {
      send(request("BYE", call, toTagParameter, ""));
    }
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {}

  /** Whether all calls were sent and each was established or refused. */
  boolean isFinished() {
    return sentCalls == callCount && establishedCalls + refusedCalls >= callCount;
  }

  int establishedCalls() {
    return establishedCalls;
  }

  int refusedCalls() {
    return refusedCalls;
  }

  /** Calls established per second after the ramp. */
  double establishedPerSecond() {
    return 1000 * establishedAfterRamp / (lastEstablishedAtMillis - startedAtMillis - RAMP_MILLIS);
  }

  /** Time from when a call is due until it is established, microseconds. */
  Histogram setupDelayMicros() {
    return setupDelayMicros;
  }
}
