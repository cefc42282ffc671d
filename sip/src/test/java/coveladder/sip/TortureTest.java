package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The torture test cases of RFC 4475, rewritten from the description in each section. Complete
 * messages are passed to a stack, and its response, or that it accepted the message, is checked.
 */
class TortureTest {
  private final FakeNet net = new FakeNet(1);
  private final FakeNet.Endpoint endpoint = net.endpoint("b");

  /**
   * Returns the status of the response to a message, 0 if it was accepted, -1 if it was dropped.
   */
  private int outcome(String text) {
    endpoint.requests.clear();
    net.sent.clear();
    long malformedBefore = endpoint.stack.malformedMessages();
    endpoint.stack.receive(new Hop(Transport.UDP, "a", 5060), bytes(text));
    for (FakeNet.Sent sent : net.sent) {
      if (sent.text().startsWith("SIP/2.0 ")) {
        return Integer.parseInt(sent.text().substring(8, 11));
      }
    }
    return endpoint.requests.isEmpty() || endpoint.stack.malformedMessages() > malformedBefore
        ? -1
        : 0;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String message(String startLine, String method, String moreHeaders) {
    return startLine
        + "\r\nVia: SIP/2.0/UDP a;branch=z9hG4bK"
        + Math.abs((startLine + moreHeaders).hashCode())
        + "\r\nMax-Forwards: 70\r\nFrom: <sip:a@a>;tag=1\r\nTo: <sip:b@b>\r\nCall-ID: t"
        + (startLine + moreHeaders).hashCode()
        + "\r\nCSeq: 9 "
        + method
        + "\r\n"
        + moreHeaders
        + "\r\n";
  }

  private static String invite(String moreHeaders) {
    return message("INVITE sip:b@b SIP/2.0", "INVITE", "Contact: <sip:a@a>\r\n" + moreHeaders);
  }

  @Test
  void unusualButValidMessagesAreAccepted() {
    // 3.1.1.1: folding, tabs, blanks before colons, escapes in quotes, unknown headers and
    // parameters.
    assertEquals(
        0,
        outcome(
            "INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0\r\n"
                + "TO :\r\n sip:vivekg@chair-dnrc.example.com ;   x  = y\r\n"
                + "from   : \"J Rosenberg \\\\\\\"\"       <sip:jdrosen@example.com>\r\n  ;\r\n"
                + "  tag = 98asjd8\r\nMaX-fOrWaRdS: 0068\r\nCall-ID: wsinv.x@192.0.2.1\r\n"
                + "Content-Length   : 0\r\ncseq: 0009\r\n  INVITE\r\n"
                + "Via  : SIP  /   2.0\r\n /UDP\r\n    192.0.2.2;branch=390skdjuw\r\ns :\r\n"
                + "NewFangledHeader:   newfangled value\r\n continued newfangled value\r\n"
                + "UnknownHeaderWithUnusualValue: ;;,,;;,;\r\nm:\"Quoted string \\\"\\\"\""
                + " <sip:jdrosen@example.com> ; newparam =\r\n newvalue\r\n\r\n"));
    // 3.1.1.3 and 3.1.1.4: escapes in URIs are preserved.
    assertEquals(0, outcome(message("INVITE sip:sips%3Auser@b SIP/2.0", "INVITE", "")));
    // 3.1.1.6: no blank between display name and bracket.
    assertEquals(
        0,
        outcome(
            "OPTIONS sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bKq\r\n"
                + "From: caller<sip:a@a>;tag=3\r\nTo: sip:b@b\r\nCall-ID: l\r\nCSeq: 6 OPTIONS\r\n\r\n"));
    // 3.1.1.7: long values.
    String longName = "X-" + "l".repeat(500);
    assertEquals(0, outcome(invite(longName + ": " + "v".repeat(4000) + "\r\n")));
    // 3.1.1.8: a second request after the first in one datagram.
    assertEquals(0, outcome(invite("Content-Length: 0\r\n") + "INVITE sip:joe@x SIP/2.0\r\n"));
    // 3.1.1.9: semicolons in the user part.
    assertEquals(0, outcome(message("OPTIONS sip:user;par=u%40b@b SIP/2.0", "OPTIONS", "")));
    // 3.1.1.10: known and unknown transports in further Via values.
    assertEquals(0, outcome(invite("Via: SIP/2.0/SCTP x, SIP/2.0/UNKNOWN y, SIP/2.0/TLS z\r\n")));
    // 3.1.2.15 and 3.1.2.16: invalid dates and languages are ignored.
    assertEquals(0, outcome(invite("Date: Fri, 01 Jan 2010 16:00:00 EST\r\n")));
    // 3.2.1: a branch that consists only of the magic cookie.
    assertEquals(
        0,
        outcome(
            "OPTIONS sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bK\r\n"
                + "From: <sip:a@a>;tag=3\r\nTo: sip:b@b\r\nCall-ID: bb\r\nCSeq: 8 OPTIONS\r\n\r\n"));
    // 3.4.1: an INVITE according to RFC 2543, without tags and Max-Forwards.
    assertEquals(
        0,
        outcome(
            "INVITE sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a\r\nFrom: <sip:a@a>\r\n"
                + "To: <sip:b@b>\r\nCall-ID: old\r\nCSeq: 1 INVITE\r\n\r\n"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          3.1.1.2 strange method token   | 501 | !interesting-Method0123456789_*+`.%indeed'~ | sip:b@b
          3.3.2 unknown scheme           | 416 | OPTIONS | nobodyKnowsThisScheme:totallyopaque
          3.3.3 known other scheme       | 416 | OPTIONS | soap.beep://192.0.2.103:3002
          3.1.2.7 brackets in URI        | 400 | INVITE  | <sip:b@b>
          3.1.2.8 blank in URI           | 400 | INVITE  | sip:b@b; lr
          3.1.2.9 blanks in start line   | 400 | INVITE  | sip:b@b%20
          """)
  void requestLines(String section, int status, String method, String uri) {
    String startLine = method.trim() + ' ' + uri.trim().replace("%20", " ") + " SIP/2.0";
    assertEquals(status, outcome(message(startLine, method.trim(), "")), section);
  }

  @Test
  void malformedMessagesAreAnsweredOrDropped() {
    // 3.1.2.1: separators without values around them.
    assertEquals(400, outcome(invite("").replace("To: <sip:b@b>", "To: \"J\" <sip:j@e> ,,;")));
    // 3.1.2.2: Content-Length larger than the body.
    assertEquals(400, outcome(invite("Content-Length: 9999\r\n") + "x"));
    // 3.1.2.3: a negative Content-Length.
    assertEquals(400, outcome(invite("Content-Length: -999\r\n") + "x"));
    // 3.1.2.4: numbers too large.
    assertEquals(400, outcome(invite("").replace("CSeq: 9 ", "CSeq: 36893488147419103232 ")));
    assertEquals(400, outcome(invite("Expires: 10000000000000000000\r\n")));
    // 3.1.2.5: the same in a response, which is not answered.
    assertEquals(
        -1,
        outcome(
            "SIP/2.0 503 Service Unavailable\r\nVia: SIP/2.0/TCP a;branch=z9hG4bKx;unknown\r\n"
                + "CSeq: 9292394834772304023312 OPTIONS\r\nCall-ID: s\r\n"
                + "From: <sip:a@a>;tag=1\r\nTo: <sip:b@b>;tag=2\r\n\r\n"));
    // 3.1.2.6: an unclosed quote.
    assertEquals(400, outcome(invite("").replace("To: <sip:b@b>", "To: \"Mr J <sip:b@b>")));
    // 3.1.2.10: blanks after the version.
    assertEquals(400, outcome(message("OPTIONS sip:b@b SIP/2.0  ", "OPTIONS", "")));
    // 3.1.2.14: an unquoted display name with characters that need quotes.
    assertEquals(400, outcome(invite("").replace("From: <sip:a", "From: Bell, Alexander <sip:a")));
    // 3.1.2.17: an unknown SIP version.
    assertEquals(505, outcome(message("OPTIONS sip:b@b SIP/7.0", "OPTIONS", "")));
    // 3.1.2.18 and 3.1.2.19: the methods of start line and CSeq differ.
    assertEquals(400, outcome(message("OPTIONS sip:b@b SIP/2.0", "INVITE", "")));
    assertEquals(400, outcome(message("NEWMETHOD sip:b@b SIP/2.0", "INVITE", "")));
    // 3.1.2.20: a status of more than three digits; responses are not answered.
    assertEquals(-1, outcome(message("SIP/2.0 4294967301 better not break", "INVITE", "")));
    // 3.3.1: without Call-ID, From and To no response can be built.
    assertEquals(
        -1,
        outcome(
            "INVITE sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bKr\r\nCSeq: 1 INVITE\r\n\r\n"));
    // 3.3.5: an unknown extension in Proxy-Require.
    assertEquals(420, outcome(invite("Proxy-Require: noProxiesSupportThis\r\n")));
    // 3.3.8 and 3.3.9: repeated fields that may occur only once.
    assertEquals(400, outcome(invite("CSeq: 5 INVITE\r\n")));
    assertEquals(400, outcome(invite("Content-Length: 13\r\nContent-Length: 5\r\n")));
    // 3.3.10: a response whose Via names another host.
    assertEquals(-1, outcome(message("SIP/2.0 200 OK", "INVITE", "").replace("UDP a;", "UDP x;")));
    // 3.3.11: Max-Forwards is 0.
    assertEquals(483, outcome(invite("").replace("Max-Forwards: 70", "Max-Forwards: 0")));
  }

  @Test
  void parserHandlesAnySingleChangedOctet() {
    byte[] valid = bytes(invite("Route: <sip:x;lr>\r\nContent-Length: 3\r\n") + "abc");
    SipParser parser = new SipParser(64);
    for (int i = 0; i < valid.length; i++) {
      for (int octet : new int[] {0, '\r', '\n', ' ', '"', '<', ';', ',', 0xff}) {
        byte[] mutated = valid.clone();
        mutated[i] = (byte) octet;
        assertParsedOrRejected(parser, mutated);
      }
    }
    assertThrows(SipParseException.class, () -> parser.parse(new byte[0]));
  }

  private static void assertParsedOrRejected(SipParser parser, byte[] octets) {
    try {
      parser.parse(octets).toBytes();
    } catch (SipParseException e) {
      // Rejecting the message is as good as parsing it.
      assertEquals(true, e.getMessage() != null);
    }
  }
}
