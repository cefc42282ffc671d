package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Transactions and dialogs of two stacks on a network that drops the messages each test selects.
 */
class TransactionsTest {
  private final FakeNet net = new FakeNet(3);
  private final FakeNet.Endpoint a = net.endpoint("a");
  private final FakeNet.Endpoint b = net.endpoint("b");

  private CallLeg answeredCall(Transport transport) {
    CallLeg leg = a.call("b", transport);
    net.run(20);
    CallLeg callee = b.calls.get(0);
    callee.accept(callee.response(200));
    net.run(20);
    return leg;
  }

  @Test
  void inviteIsRetransmittedAtDoublingIntervalsUntilTimerB() {
    net.dropIf = s -> true;
    a.call("b", Transport.UDP);
    net.run(40_000);
    List<FakeNet.Sent> invites = net.sentBy("a", "INVITE");
    assertEquals(7, invites.size());
    assertEquals(31_500, invites.get(6).sentMillis());
    assertEquals(List.of("failed TIMED_OUT"), a.events);
  }

  @Test
  void nothingIsRetransmittedOverTcp() {
    net.dropIf = s -> true;
    a.call("b", Transport.TCP);
    net.run(40_000);
    assertEquals(1, net.sentBy("a", "INVITE").size());
  }

  @Test
  void tryingIsSentAfter200MsAndStopsRetransmission() {
    a.call("b", Transport.UDP);
    net.run(3_000);
    assertEquals(205, net.sentBy("b", "SIP/2.0 100").get(0).sentMillis());
    assertEquals(1, net.sentBy("a", "INVITE").size());
    assertEquals(1, b.requests.size());
  }

  @Test
  void errorResponseIsRetransmittedUntilItsAckAndAcknowledgedEachTime() {
    net.dropIf = s -> s.text().startsWith("ACK") && net.sentBy("a", "ACK").size() < 3;
    a.call("b", Transport.UDP);
    net.run(20);
    b.calls.get(0).reject(b.calls.get(0).response(486));
    net.run(10_000);
    assertEquals(3, net.sentBy("b", "SIP/2.0 486").size());
    assertEquals(3, net.sentBy("a", "ACK").size());
    assertEquals(List.of("rejected 486"), a.events);
  }

  @Test
  void okIsRetransmittedByTheCalleeUntilItsAck() {
    net.dropIf = s -> s.text().startsWith("ACK") && net.sentBy("a", "ACK").size() < 3;
    answeredCall(Transport.TCP);
    net.run(10_000);
    assertEquals(3, net.sentBy("b", "SIP/2.0 200").size());
    assertEquals(List.of("answered"), a.events);
    assertEquals(List.of("acknowledged"), b.events);
  }

  @Test
  void callWithoutAckIsReleased() {
    net.dropIf = s -> s.text().startsWith("ACK");
    answeredCall(Transport.UDP);
    net.run(40_000);
    assertEquals(List.of("ended"), b.events);
    assertEquals(List.of("answered", "ended"), a.events);
  }

  @Test
  void retransmittedInviteGetsTheSameResponseAndIsDeliveredOnce() {
    a.call("b", Transport.UDP);
    net.run(20);
    byte[] invite = net.sentBy("a", "INVITE").get(0).text().getBytes(StandardCharsets.ISO_8859_1);
    b.calls.get(0).reject(b.calls.get(0).response(480));
    net.run(20);
    for (double wait : new double[] {10, 4_000, 40_000, 400_000}) {
      net.run(wait);
      b.stack.receive(new Hop(Transport.UDP, "a", 5060), invite);
    }
    net.run(1_000);
    assertEquals(1, b.calls.size());
    assertTrue(
        net.sentBy("b", "SIP/2.0").stream().allMatch(s -> s.text().startsWith("SIP/2.0 480")));
  }

  @Test
  void mergedRequestIsRejected() {
    a.call("b", Transport.UDP);
    net.run(20);
    String other =
        net.sentBy("a", "INVITE")
            .get(0)
            .text()
            .replaceFirst("branch=z9hG4bK", "branch=z9hG4bKother");
    b.stack.receive(new Hop(Transport.UDP, "a", 5060), other.getBytes(StandardCharsets.ISO_8859_1));
    assertEquals(1, net.sentBy("b", "SIP/2.0 482").size());
    assertEquals(1, b.calls.size());
  }

  @Test
  void cancelWaitsForTheFirstProvisionalResponse() {
    CallLeg leg = a.call("b", Transport.UDP);
    leg.cancel(null);
    net.run(100);
    assertEquals(0, net.sentBy("a", "CANCEL").size());
    net.run(400);
    assertEquals(1, net.sentBy("a", "CANCEL").size());
    assertEquals(List.of("rejected 487"), a.events);
    assertEquals(List.of("cancelled"), b.events);
  }

  @Test
  void unansweredCancelEndsAfter64T1() {
    net.dropIf = s -> s.from().equals("b") && !s.text().startsWith("SIP/2.0 100");
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(500);
    leg.cancel(null);
    net.run(31_900);
    assertEquals(List.of(), a.events);
    net.run(200);
    assertEquals(List.of("failed TIMED_OUT"), a.events);
  }

  @Test
  void okThatCrossesTheCancelIsReleasedAtOnce() {
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(300);
    leg.cancel(null);
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(1_000);
    assertEquals(List.of("late"), a.events);
    assertEquals(1, net.sentBy("a", "BYE").size());
    assertEquals(List.of("ended"), b.events);
  }

  @Test
  void secondForkedAnswerIsReleasedAndTheFirstStaysEstablished() {
    CallLeg leg = answeredCall(Transport.UDP);
    String other =
        net.sentBy("b", "SIP/2.0 200")
            .get(0)
            .text()
            .replaceFirst(";tag=([0-9a-f]+)\r\nCall", ";tag=fork\r\nCall");
    a.stack.receive(new Hop(Transport.UDP, "b", 5060), other.getBytes(StandardCharsets.ISO_8859_1));
    net.run(100);
    assertEquals(1, net.sentBy("a", "BYE").size());
    assertTrue(net.sentBy("a", "BYE").get(0).text().contains("tag=fork"));
    assertEquals(CallLeg.State.CONFIRMED, leg.state());
  }

  @Test
  void responsesOfOtherTransactionsAreIgnored() {
    a.call("b", Transport.UDP);
    String invite = net.sentBy("a", "INVITE").get(0).text();
    String ok =
        invite
            .replaceFirst("INVITE [^\r]*", "SIP/2.0 200 OK")
            .replaceFirst("(To: [^\r]*)", "$1;tag=9");
    receive(ok.replaceFirst("Call-ID: [^\r]*", "Call-ID: another"));
    receive(ok.replaceFirst("UDP a", "UDP elsewhere"));
    receive(ok.replaceFirst("CSeq: 1 ", "CSeq: 7 "));
    receive("\u0000\u0001 nonsense");
    assertEquals(List.of(), a.events);
    receive(ok);
    assertEquals(List.of("answered"), a.events);
  }

  private void receive(String text) {
    a.stack.receive(new Hop(Transport.UDP, "b", 5060), text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void provisionalResponseAfterAFinalOneIsIgnored() {
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(20);
    CallLeg callee = b.calls.get(0);
    SipResponse ringing = callee.response(180);
    callee.reject(callee.response(486));
    net.run(20);
    receive(new String(ringing.toBytes(), StandardCharsets.ISO_8859_1));
    assertEquals(List.of("rejected 486"), a.events);
    assertEquals(CallLeg.State.ENDED, leg.state());
  }

  @Test
  void byeOnAnEarlyDialogEndsTheCall() {
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(20);
    CallLeg callee = b.calls.get(0);
    callee.progress(callee.response(180));
    net.run(20);
    assertTrue(leg.send("BYE", null, ClientTransaction.Listener.IGNORE));
    net.run(100);
    assertEquals(List.of("cancelled"), b.events);
    assertEquals(List.of("progress 180", "rejected 487"), a.events);
  }

  @Test
  void largeRequestUsesTcpAndFallsBackToUdpWhenRefused() {
    SipRequest invite = new SipRequest("INVITE", "sip:x@b");
    invite.add("From", "<sip:me@a>");
    invite.add("To", "<sip:x@b>");
    invite.add("X-Long", "l".repeat(1500));
    a.stack.userAgent().call(invite, new Hop(Transport.UDP, "b", 5060), a.listener);
    assertEquals(Transport.TCP, net.sent.get(0).to().transport());
    assertTrue(net.sent.get(0).text().contains("Via: SIP/2.0/TCP"));
    a.stack.connectionFailed(new Hop(Transport.TCP, "b", 5060), Failure.REFUSED);
    assertEquals(Transport.UDP, net.sent.get(1).to().transport());
    assertTrue(net.sent.get(1).text().contains("Via: SIP/2.0/UDP"));
    assertEquals(List.of(), a.events);
  }

  @Test
  void connectionResetFailsItsTransactions() {
    a.call("b", Transport.TCP);
    net.run(20);
    a.stack.connectionFailed(new Hop(Transport.TCP, "b", 5060), Failure.RESET);
    assertEquals(List.of("failed RESET"), a.events);
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(1_000);
    assertEquals(1, net.sentBy("a", "BYE").size());
    assertEquals(List.of("failed RESET"), a.events);
  }

  @Test
  void responseGoesToTheSentByAddressAfterConnectionLoss() {
    a.call("b", Transport.TCP);
    Hop ephemeral = new Hop(Transport.TCP, "a", 40_000);
    String invite = net.sentBy("a", "INVITE").get(0).text();
    b.stack.receive(ephemeral, invite.getBytes(StandardCharsets.ISO_8859_1));
    b.calls.get(0).reject(b.calls.get(0).response(486));
    b.stack.connectionFailed(ephemeral, Failure.RESET);
    List<FakeNet.Sent> answers = net.sentBy("b", "SIP/2.0 486");
    assertEquals(List.of(40_000, 5060), answers.stream().map(s -> s.to().port()).toList());
  }

  @Test
  void crossingReinvitesAreAnswered491() {
    CallLeg leg = answeredCall(Transport.UDP);
    CallLeg callee = b.calls.get(0);
    assertTrue(leg.send("INVITE", null, ClientTransaction.Listener.IGNORE));
    assertTrue(callee.send("INVITE", null, ClientTransaction.Listener.IGNORE));
    net.run(100);
    assertEquals(1, net.sentBy("a", "SIP/2.0 491").size());
    assertEquals(1, net.sentBy("b", "SIP/2.0 491").size());
  }

  @Test
  void outOfOrderRequestsAreRejected() {
    CallLeg leg = answeredCall(Transport.UDP);
    leg.send("INFO", null, ClientTransaction.Listener.IGNORE);
    leg.send("INFO", null, ClientTransaction.Listener.IGNORE);
    net.run(100);
    String first = net.sentBy("a", "INFO").get(0).text().replaceFirst("branch=", "branch=z9hG4bKx");
    b.stack.receive(new Hop(Transport.UDP, "a", 5060), first.getBytes(StandardCharsets.ISO_8859_1));
    assertEquals(1, net.sentBy("b", "SIP/2.0 500").size());
  }

  @Test
  void excessRequestIsRejectedWithoutATransaction() {
    for (int i = 0; i < 101; i++) {
      a.call("b", Transport.UDP);
    }
    net.run(6);
    assertEquals(1, net.sentBy("b", "SIP/2.0 503").size());
    assertEquals(100, b.calls.size());
  }
}
