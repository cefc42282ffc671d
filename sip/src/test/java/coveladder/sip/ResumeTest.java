package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A restarted element that resumes its calls from stored messages. */
class ResumeTest {
  private static final Hop TO_A = new Hop(Transport.UDP, "a", 5060);
  private static final Hop TO_B = new Hop(Transport.UDP, "b", 5060);

  private final FakeNet net = new FakeNet(8);
  private final FakeNet.Endpoint a = net.endpoint("a");
  private final FakeNet.Endpoint b = net.endpoint("b");

  /** Replaces an endpoint by one without state. */
  private FakeNet.Endpoint restart(String name) {
    net.endpoints.remove(name);
    return net.endpoint(name);
  }

  private static SipMessage parse(String text) {
    try {
      return new SipParser(64).parse(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (SipParseException e) {
      throw new IllegalStateException(e);
    }
  }

  private SipRequest invite() {
    return (SipRequest) parse(net.sentBy("a", "INVITE").get(0).text());
  }

  private SipResponse ok() {
    return (SipResponse) parse(net.sentBy("b", "SIP/2.0 200").get(0).text());
  }

  private CallLeg establishedCall() {
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(20);
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(20);
    return leg;
  }

  @Test
  void restartedCallerCanReleaseTheCall() {
    Dialog.State stored = establishedCall().dialogState();
    FakeNet.Endpoint restarted = restart("a");
    CallLeg leg =
        restarted.stack.userAgent().resumeCaller(invite(), TO_B, ok(), stored, restarted.listener);
    leg.bye(null);
    net.run(100);
    assertEquals(List.of("acknowledged", "ended"), b.events);
  }

  @Test
  void restartedCallerIsReleasedByTheCallee() {
    Dialog.State stored = establishedCall().dialogState();
    FakeNet.Endpoint restarted = restart("a");
    restarted.stack.userAgent().resumeCaller(invite(), TO_B, ok(), stored, restarted.listener);
    b.calls.get(0).bye(null);
    net.run(100);
    assertEquals(List.of("ended"), restarted.events);
  }

  @Test
  void restartedCallerAcknowledgesARetransmittedOk() {
    net.dropIf = s -> s.text().startsWith("ACK") && s.sentMillis() < 100;
    Dialog.State stored = establishedCall().dialogState();
    FakeNet.Endpoint restarted = restart("a");
    restarted.stack.userAgent().resumeCaller(invite(), TO_B, ok(), stored, restarted.listener);
    net.run(2_000);
    assertEquals(List.of("acknowledged"), b.events);
    assertEquals(0, net.sentBy("a", "BYE").size());
  }

  @Test
  void restartedCalleeRetransmitsItsOkUntilTheAck() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.dropIf = s -> s.text().startsWith("SIP/2.0 200");
    b.calls.get(0).accept(b.calls.get(0).response(200));
    Dialog.State stored = b.calls.get(0).dialogState();
    FakeNet.Endpoint restarted = restart("b");
    net.dropIf = s -> false;
    restarted
        .stack
        .userAgent()
        .resumeCallee(
            (SipRequest) parse(requestAsReceived("INVITE")),
            TO_A,
            ok(),
            false,
            stored,
            restarted.listener);
    net.run(2_000);
    assertEquals(List.of("answered"), a.events);
    assertEquals(List.of("acknowledged"), restarted.events);
    assertEquals(0, restarted.calls.size());
  }

  /** A request as the callee received it, with its source in the Via. */
  private String requestAsReceived(String prefix) {
    String sent = net.sentBy("a", prefix).get(0).text();
    return sent.replaceFirst(";rport", ";rport=5060;received=a");
  }

  @Test
  void restartedCalleeKeepsAnAcknowledgedCall() {
    establishedCall();
    Dialog.State stored = b.calls.get(0).dialogState();
    FakeNet.Endpoint restarted = restart("b");
    CallLeg leg =
        restarted
            .stack
            .userAgent()
            .resumeCallee(
                (SipRequest) parse(requestAsReceived("INVITE")),
                TO_A,
                ok(),
                true,
                stored,
                restarted.listener);
    net.run(200_000);
    assertEquals(CallLeg.State.CONFIRMED, leg.state());
    assertEquals(List.of("answered"), a.events);
    assertTrue(leg.send("INFO", null, ClientTransaction.Listener.IGNORE));
    net.run(100);
    assertEquals(1, net.sentBy("b", "INFO").size());
    leg.bye(null);
    net.run(100);
    assertEquals(List.of("answered", "ended"), a.events);
  }

  @Test
  void retransmissionOfAPendingInviteGetsItsFinalResponse() {
    a.call("b", Transport.UDP);
    net.run(20);
    FakeNet.Endpoint restarted = restart("b");
    CallLeg leg =
        restarted
            .stack
            .userAgent()
            .resumePending(
                (SipRequest) parse(requestAsReceived("INVITE")),
                TO_A,
                "stored",
                restarted.listener);
    net.run(600);
    assertEquals(0, restarted.calls.size());
    leg.reject(leg.response(503));
    net.run(5_000);
    assertEquals(List.of("rejected 503"), a.events);
    assertTrue(net.sentBy("b", "SIP/2.0 503").get(0).text().contains(";tag=stored"));
  }

  private int completions;

  private FakeNet.Endpoint restartAndCancel() {
    SipRequest invite = invite();
    FakeNet.Endpoint restarted = restart("a");
    restarted.stack.userAgent().cancelAfterRestart(invite, TO_B, () -> completions++);
    return restarted;
  }

  @Test
  void outstandingInviteIsCancelledAfterRestart() {
    a.call("b", Transport.UDP);
    net.run(20);
    restartAndCancel();
    net.run(1_000);
    assertEquals(1, completions);
    assertEquals(List.of("cancelled"), b.events);
  }

  @Test
  void inviteThatWasNeverDeliveredEndsWith481() {
    net.dropIf = s -> s.text().startsWith("INVITE");
    a.call("b", Transport.UDP);
    restartAndCancel();
    net.run(1_000);
    assertEquals(1, completions);
    assertEquals(1, net.sentBy("a", "INVITE").size());
    assertEquals(0, b.calls.size());
  }

  @Test
  void inviteAnsweredDuringTheRestartIsReleased() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.dropIf = s -> s.text().startsWith("SIP/2.0 200");
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(2);
    net.dropIf = s -> false;
    restartAndCancel();
    net.run(2_000);
    assertEquals(1, completions);
    assertEquals(List.of("ended"), b.events);
    assertEquals(1, net.sentBy("a", "ACK").size());
  }

  @Test
  void inviteToAnUnreachablePeerEndsAfter64T1() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.dropIf = s -> s.from().equals("b");
    restartAndCancel();
    net.run(31_000);
    assertEquals(0, completions);
    net.run(2_000);
    assertEquals(1, completions);
  }
}
