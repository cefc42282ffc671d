package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An element that lost its memory and goes on from messages that were kept. */
class ResumeTest {
  private static final Hop TO_A = new Hop(Transport.UDP, "a", 5060);
  private static final Hop TO_B = new Hop(Transport.UDP, "b", 5060);

  private final FakeNet net = new FakeNet(8);
  private final FakeNet.Endpoint a = net.endpoint("a");
  private final FakeNet.Endpoint b = net.endpoint("b");

  /** Puts an element without memory in the place of one. */
  private FakeNet.Endpoint restart(String name) {
    net.boxes.remove(name);
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
    return (SipRequest) parse(net.from("a", "INVITE").get(0).text());
  }

  private SipResponse ok() {
    return (SipResponse) parse(net.from("b", "SIP/2.0 200").get(0).text());
  }

  private CallLeg standing() {
    CallLeg leg = a.call("b", Transport.UDP);
    net.run(20);
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(20);
    return leg;
  }

  @Test
  void aCallerGoesOnAndReleases() {
    Dialog.Progress kept = standing().progress();
    FakeNet.Endpoint again = restart("a");
    CallLeg leg = again.stack.userAgent().resumeCaller(invite(), TO_B, ok(), kept, again.listener);
    leg.bye(null);
    net.run(100);
    assertEquals(List.of("acknowledged", "ended"), b.events);
  }

  @Test
  void aCallerGoesOnAndIsReleased() {
    Dialog.Progress kept = standing().progress();
    FakeNet.Endpoint again = restart("a");
    again.stack.userAgent().resumeCaller(invite(), TO_B, ok(), kept, again.listener);
    b.calls.get(0).bye(null);
    net.run(100);
    assertEquals(List.of("ended"), again.events);
  }

  @Test
  void aCallerWhoseAckWasLostWithItAcknowledgesTheRepeat() {
    net.loses = s -> s.text().startsWith("ACK") && s.at() < 100;
    Dialog.Progress kept = standing().progress();
    FakeNet.Endpoint again = restart("a");
    again.stack.userAgent().resumeCaller(invite(), TO_B, ok(), kept, again.listener);
    net.run(2_000);
    assertEquals(List.of("acknowledged"), b.events);
    assertEquals(0, net.from("a", "BYE").size());
  }

  @Test
  void aCalleeRepeatsItsAnswerUntilTheAck() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.loses = s -> s.text().startsWith("SIP/2.0 200");
    b.calls.get(0).accept(b.calls.get(0).response(200));
    Dialog.Progress kept = b.calls.get(0).progress();
    FakeNet.Endpoint again = restart("b");
    net.loses = s -> false;
    again
        .stack
        .userAgent()
        .resumeCallee(
            (SipRequest) parse(received("INVITE")), TO_A, ok(), false, kept, again.listener);
    net.run(2_000);
    assertEquals(List.of("answered"), a.events);
    assertEquals(List.of("acknowledged"), again.events);
    assertEquals(0, again.calls.size());
  }

  /** The INVITE as the callee had it, with where it came from. */
  private String received(String begins) {
    String sent = net.from("a", begins).get(0).text();
    return sent.replaceFirst(";rport", ";rport=5060;received=a");
  }

  @Test
  void aCalleeWhoseAckHadComeKeepsTheCallForLong() {
    standing();
    Dialog.Progress kept = b.calls.get(0).progress();
    FakeNet.Endpoint again = restart("b");
    CallLeg leg =
        again
            .stack
            .userAgent()
            .resumeCallee(
                (SipRequest) parse(received("INVITE")), TO_A, ok(), true, kept, again.listener);
    net.run(200_000);
    assertEquals(CallLeg.State.CONFIRMED, leg.state());
    assertEquals(List.of("answered"), a.events);
    assertTrue(leg.send("INFO", null, ClientTransaction.Listener.IGNORE));
    net.run(100);
    assertEquals(1, net.from("b", "INFO").size());
    leg.bye(null);
    net.run(100);
    assertEquals(List.of("answered", "ended"), a.events);
  }

  @Test
  void aRepeatOfAnInviteThatWasCutShortFindsItsAnswer() {
    a.call("b", Transport.UDP);
    net.run(20);
    FakeNet.Endpoint again = restart("b");
    CallLeg leg =
        again
            .stack
            .userAgent()
            .resumePending((SipRequest) parse(received("INVITE")), TO_A, "kept", again.listener);
    net.run(600);
    assertEquals(0, again.calls.size());
    leg.reject(leg.response(503));
    net.run(5_000);
    assertEquals(List.of("rejected 503"), a.events);
    assertTrue(net.from("b", "SIP/2.0 503").get(0).text().contains(";tag=kept"));
  }

  private int ends;

  private FakeNet.Endpoint calledOff() {
    SipRequest invite = invite();
    FakeNet.Endpoint again = restart("a");
    again.stack.userAgent().cancelAfterRestart(invite, TO_B, () -> ends++);
    return again;
  }

  @Test
  void anAttemptThatIsOutIsCalledOff() {
    a.call("b", Transport.UDP);
    net.run(20);
    calledOff();
    net.run(1_000);
    assertEquals(1, ends);
    assertEquals(List.of("cancelled"), b.events);
  }

  @Test
  void anAttemptThatNeverLeftIsOverWith481() {
    net.loses = s -> s.text().startsWith("INVITE");
    a.call("b", Transport.UDP);
    calledOff();
    net.run(1_000);
    assertEquals(1, ends);
    assertEquals(1, net.from("a", "INVITE").size());
    assertEquals(0, b.calls.size());
  }

  @Test
  void anAttemptThatWasAnsweredMeanwhileIsReleased() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.loses = s -> s.text().startsWith("SIP/2.0 200");
    b.calls.get(0).accept(b.calls.get(0).response(200));
    net.run(2);
    net.loses = s -> false;
    calledOff();
    net.run(2_000);
    assertEquals(1, ends);
    assertEquals(List.of("ended"), b.events);
    assertEquals(1, net.from("a", "ACK").size());
  }

  @Test
  void anAttemptWhosePeerIsGoneIsOverAfter64T1() {
    a.call("b", Transport.UDP);
    net.run(20);
    net.loses = s -> s.from().equals("b");
    calledOff();
    net.run(31_000);
    assertEquals(0, ends);
    net.run(2_000);
    assertEquals(1, ends);
  }
}
