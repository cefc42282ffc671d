package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * For any input the parser throws nothing but its own exception, and a message that it accepts is
 * the same after it was serialized and parsed again.
 */
class ParserFuzzTest {
  private static final String[] PIECES = {
    "INVITE sip:a@b SIP/2.0\r\n",
    "SIP/2.0 200 OK\r\n",
    "Via: SIP/2.0/UDP h;branch=z9hG4bKx\r\n",
    "v: SIP/2.0/TCP [::1]:5060 ;rport\r\n",
    "From: \"x\" <sip:a@b>;tag=1\r\n",
    "To: <sip:a@b>\r\n",
    "t: sip:a@b;tag=2\r\n",
    "Call-ID: c\r\n",
    "CSeq: 1 INVITE\r\n",
    "CSeq: 99999999999 X\r\n",
    "Content-Length: 5\r\n",
    "l: -1\r\n",
    "Contact: *\r\n",
    "Route: <sip:a;lr>,\r\n",
    " folded\r\n",
    ":\r\n",
    "\r\n",
    "\n",
    "\"",
    "<",
    "\\",
    "body"
  };

  @Provide
  Arbitrary<String> messages() {
    Arbitrary<String> piece = Arbitraries.of(PIECES);
    Arbitrary<String> noise = Arbitraries.strings().withCharRange('\0', '\u00ff').ofMaxLength(8);
    return Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(9, piece), net.jqwik.api.Tuple.of(1, noise))
        .list()
        .ofMaxSize(24)
        .map(parts -> String.join("", parts));
  }

  @Property(tries = 5_000, seed = "42")
  void anyInputIsParsedOrRejected(@ForAll("messages") String text) {
    byte[] octets = text.getBytes(StandardCharsets.ISO_8859_1);
    try {
      SipMessage message = new SipParser(32).parse(octets);
      byte[] written = message.toBytes();
      SipMessage reparsed = new SipParser(64).parse(written);
      assertEquals(message.startLine(), reparsed.startLine());
      assertEquals(message.callId(), reparsed.callId());
      assertEquals(message.bodyText(), reparsed.bodyText());
    } catch (SipParseException e) {
      assertTrue(e.status() >= 400 && e.status() < 600);
    }
  }

  @Property(tries = 2_000, seed = "43")
  void stackLeavesNoTransactionAfterAnyInput(@ForAll("messages") String text) {
    FakeNet net = new FakeNet(1);
    FakeNet.Endpoint endpoint = net.endpoint("b");
    endpoint.stack.receive(
        new Hop(Transport.UDP, "a", 5060), text.getBytes(StandardCharsets.ISO_8859_1));
    net.run(100_000);
    assertEquals(0, endpoint.stack.userAgent().transactionLayer().size());
  }
}
