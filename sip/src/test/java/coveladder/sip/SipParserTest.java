package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class SipParserTest {
  static final String INVITE_HEADERS =
      "INVITE sip:bob@example.com SIP/2.0\r\n"
          + "Via: SIP/2.0/UDP 10.0.0.1:5070;branch=z9hG4bKa;rport\r\n"
          + "Max-Forwards: 70\r\n"
          + "From: <sip:alice@example.com>;tag=1\r\n"
          + "To: <sip:bob@example.com>\r\n"
          + "Call-ID: c1\r\n"
          + "CSeq: 1 INVITE\r\n";

  static SipMessage parse(String text) throws SipParseException {
    return new SipParser(64).parse(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void requestIsParsedAndSerializedUnchanged() throws SipParseException {
    SipRequest request = (SipRequest) parse(INVITE_HEADERS + "Content-Length: 4\r\n\r\nbody");
    assertEquals("INVITE", request.method());
    assertEquals("sip:bob@example.com", request.uri());
    assertEquals("body", request.bodyText());
    assertEquals("z9hG4bKa", request.via().branch());
    String written = new String(request.toBytes(), StandardCharsets.ISO_8859_1);
    assertEquals(INVITE_HEADERS + "Content-Length: 4\r\n\r\nbody", written);
  }

  @Test
  void compactFormsAndFoldingAreEquivalent() throws SipParseException {
    SipMessage message =
        parse(
            "INVITE sip:b@x SIP/2.0\r\nv: SIP/2.0/TCP h\r\nf: <sip:a@x>;tag=1\r\n"
                + "t:\r\n <sip:b@x>\r\ni : c\r\nCSEQ:\t1\r\n  INVITE\r\nm: <sip:a@x>\r\nl: 0\r\n\r\n");
    assertEquals("c", message.callId());
    assertEquals("INVITE", message.cseq().method());
    assertEquals("<sip:b@x>", message.header("To"));
    assertEquals("<sip:a@x>", message.header("contact"));
  }

  @Test
  void commaSeparatedAndRepeatedHeadersAreEquivalent() throws SipParseException {
    SipMessage message =
        parse(
            INVITE_HEADERS
                + "Route: <sip:a;lr>, \"x, y\" <sip:b,c;lr>\r\nRoute: <sip:d;lr>\r\n"
                + "Via: SIP/2.0/UDP first, SIP/2.0/UDP second\r\n\r\n");
    assertEquals(
        List.of("<sip:a;lr>", "\"x, y\" <sip:b,c;lr>", "<sip:d;lr>"), message.headers("Route"));
    assertEquals("<sip:a;lr>", message.removeFirstValue("Route"));
    assertEquals(2, message.headers("Route").size());
    assertEquals(3, message.headers("Via").size());
  }

  @Test
  void unknownHeadersAndMethodsArePreserved() throws SipParseException {
    SipRequest request =
        (SipRequest)
            parse(INVITE_HEADERS.replace("INVITE", "NEWMETHOD") + "X-Odd: \u00e9 kept\r\n\r\n");
    assertEquals("NEWMETHOD", request.method());
    assertEquals("\u00e9 kept", request.header("x-odd"));
    String written = new String(request.toBytes(), StandardCharsets.ISO_8859_1);
    assertTrue(written.contains("X-Odd: \u00e9 kept\r\n"));
  }

  @Test
  void octetsAfterTheBodyOfADatagramAreDropped() throws SipParseException {
    SipMessage message = parse(INVITE_HEADERS + "Content-Length: 2\r\n\r\nabcd");
    assertArrayEquals(new byte[] {'a', 'b'}, message.body());
  }

  @Test
  void malformedRequestsReportProblemStatusAndRequest() {
    assertProblem(400, "Content-Length", INVITE_HEADERS + "Content-Length: 9\r\n\r\nx");
    assertProblem(400, "Content-Length", INVITE_HEADERS + "Content-Length: -9\r\n\r\nx");
    assertProblem(
        400, "CSeq", INVITE_HEADERS.replace("1 INVITE", "36893488147419103232 INVITE") + "\r\n");
    assertProblem(
        400, "CSeq names OPTIONS", INVITE_HEADERS.replace("1 INVITE", "1 OPTIONS") + "\r\n");
    assertProblem(400, "Max-Forwards", INVITE_HEADERS.replace(": 70", ": 300") + "\r\n");
    assertProblem(400, "From more than once", INVITE_HEADERS + "From: <sip:x@y>\r\n\r\n");
    assertProblem(505, "version", INVITE_HEADERS.replace("com SIP/2.0", "com SIP/7.0") + "\r\n");
  }

  private static void assertProblem(int status, String expectedText, String text) {
    SipParseException e = assertThrows(SipParseException.class, () -> parse(text));
    assertEquals(status, e.status());
    assertTrue(e.getMessage().contains(expectedText), e.getMessage());
    assertEquals("c1", e.answerableRequest().callId());
  }

  @Test
  void unanswerableMessagesCarryNoRequest() {
    for (String text : new String[] {"", "\r\n", "hello\r\n\r\n", "SIP/2.0 99 x\r\n\r\n"}) {
      assertNull(assertThrows(SipParseException.class, () -> parse(text)).answerableRequest());
    }
    String ack = INVITE_HEADERS.replace("INVITE", "ACK") + "Content-Length: 5\r\n\r\n";
    assertNull(assertThrows(SipParseException.class, () -> parse(ack)).answerableRequest());
  }

  @Test
  void headerLineCountIsBounded() {
    String manyHeaders = INVITE_HEADERS + "X: y\r\n".repeat(60) + "\r\n";
    assertThrows(SipParseException.class, () -> parse(manyHeaders));
    String manyFoldedLines = INVITE_HEADERS + "X: y\r\n" + " z\r\n".repeat(60) + "\r\n";
    assertThrows(SipParseException.class, () -> parse(manyFoldedLines));
  }

  @Test
  void urisAreSplitIntoTheirParts() {
    SipUri uri = SipUri.parse("SIP:a%20b;c=d@[2001:db8::9]:5070;transport=tcp;lr?x=y");
    assertEquals("2001:db8::9", uri.host());
    assertEquals("a%20b;c=d", uri.user());
    assertEquals(new Hop(Transport.TCP, "2001:db8::9", 5070), uri.hop());
    assertTrue(uri.params().has("lr"));
    assertNull(SipUri.parse("tel:+123"));
    assertNull(SipUri.parse("sip:a@b:99999"));
  }
}
