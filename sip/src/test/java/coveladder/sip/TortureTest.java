package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The cases of RFC 4475, each written anew from what its section says is odd about it. Whole
 * messages are handed to a stack; what it answers, or that it takes the message, is the result.
 */
class TortureTest {
  private final FakeNet net = new FakeNet(1);
  private final FakeNet.Box box = net.box("b");

  /** What became of a message: the status answered, 0 for taken, -1 for dropped. */
  private int fate(String text) {
    box.requests.clear();
    net.sent.clear();
    long unreadable = box.stack.malformedMessages();
    box.stack.receive(new Hop(Transport.UDP, "a", 5060), bytes(text));
    for (FakeNet.Sent sent : net.sent) {
      if (sent.text().startsWith("SIP/2.0 ")) {
        return Integer.parseInt(sent.text().substring(8, 11));
      }
    }
    return box.requests.isEmpty() || box.stack.malformedMessages() > unreadable ? -1 : 0;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String message(String start, String method, String more) {
    return start
        + "\r\nVia: SIP/2.0/UDP a;branch=z9hG4bK"
        + Math.abs((start + more).hashCode())
        + "\r\nMax-Forwards: 70\r\nFrom: <sip:a@a>;tag=1\r\nTo: <sip:b@b>\r\nCall-ID: t"
        + (start + more).hashCode()
        + "\r\nCSeq: 9 "
        + method
        + "\r\n"
        + more
        + "\r\n";
  }

  private static String invite(String more) {
    return message("INVITE sip:b@b SIP/2.0", "INVITE", "Contact: <sip:a@a>\r\n" + more);
  }

  @Test
  void oddButValidMessagesAreTaken() {
    // 3.1.1.1: folding, tabs, blanks before colons, escapes in quotes, unknown parts everywhere.
    assertEquals(
        0,
        fate(
            "INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0\r\n"
                + "TO :\r\n sip:vivekg@chair-dnrc.example.com ;   x  = y\r\n"
                + "from   : \"J Rosenberg \\\\\\\"\"       <sip:jdrosen@example.com>\r\n  ;\r\n"
                + "  tag = 98asjd8\r\nMaX-fOrWaRdS: 0068\r\nCall-ID: wsinv.x@192.0.2.1\r\n"
                + "Content-Length   : 0\r\ncseq: 0009\r\n  INVITE\r\n"
                + "Via  : SIP  /   2.0\r\n /UDP\r\n    192.0.2.2;branch=390skdjuw\r\ns :\r\n"
                + "NewFangledHeader:   newfangled value\r\n continued newfangled value\r\n"
                + "UnknownHeaderWithUnusualValue: ;;,,;;,;\r\nm:\"Quoted string \\\"\\\"\""
                + " <sip:jdrosen@example.com> ; newparam =\r\n newvalue\r\n\r\n"));
    // 3.1.1.3 and 4: escapes in URIs stay as written.
    assertEquals(0, fate(message("INVITE sip:sips%3Auser@b SIP/2.0", "INVITE", "")));
    // 3.1.1.6: no blank between display name and bracket.
    assertEquals(
        0,
        fate(
            "OPTIONS sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bKq\r\n"
                + "From: caller<sip:a@a>;tag=3\r\nTo: sip:b@b\r\nCall-ID: l\r\nCSeq: 6 OPTIONS\r\n\r\n"));
    // 3.1.1.7: long values.
    String longName = "X-" + "l".repeat(500);
    assertEquals(0, fate(invite(longName + ": " + "v".repeat(4000) + "\r\n")));
    // 3.1.1.8: a second request behind the first in one datagram.
    assertEquals(0, fate(invite("Content-Length: 0\r\n") + "INVITE sip:joe@x SIP/2.0\r\n"));
    // 3.1.1.9: semicolons in the user part.
    assertEquals(0, fate(message("OPTIONS sip:user;par=u%40b@b SIP/2.0", "OPTIONS", "")));
    // 3.1.1.10: transports of all kinds in further Via values.
    assertEquals(0, fate(invite("Via: SIP/2.0/SCTP x, SIP/2.0/UNKNOWN y, SIP/2.0/TLS z\r\n")));
    // 3.1.2.15 and 16: dates and languages that are no such do no harm.
    assertEquals(0, fate(invite("Date: Fri, 01 Jan 2010 16:00:00 EST\r\n")));
    // 3.2.1: a branch of nothing but the cookie.
    assertEquals(
        0,
        fate(
            "OPTIONS sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bK\r\n"
                + "From: <sip:a@a>;tag=3\r\nTo: sip:b@b\r\nCall-ID: bb\r\nCSeq: 8 OPTIONS\r\n\r\n"));
    // 3.4.1: a call as RFC 2543 makes it, without tags and Max-Forwards.
    assertEquals(
        0,
        fate(
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
  void requestLines(String what, int status, String method, String uri) {
    String start = method.trim() + ' ' + uri.trim().replace("%20", " ") + " SIP/2.0";
    assertEquals(status, fate(message(start, method.trim(), "")), what);
  }

  @Test
  void brokenMessagesAreAnsweredOrDropped() {
    // 3.1.2.1: separators without values around them.
    assertEquals(400, fate(invite("").replace("To: <sip:b@b>", "To: \"J\" <sip:j@e> ,,;")));
    // 3.1.2.2: more body promised than sent.
    assertEquals(400, fate(invite("Content-Length: 9999\r\n") + "x"));
    // 3.1.2.3: a length below nought.
    assertEquals(400, fate(invite("Content-Length: -999\r\n") + "x"));
    // 3.1.2.4: numbers too large.
    assertEquals(400, fate(invite("").replace("CSeq: 9 ", "CSeq: 36893488147419103232 ")));
    assertEquals(400, fate(invite("Expires: 10000000000000000000\r\n")));
    // 3.1.2.5: the same in a response, which deserves no answer.
    assertEquals(
        -1,
        fate(
            "SIP/2.0 503 Service Unavailable\r\nVia: SIP/2.0/TCP a;branch=z9hG4bKx;unknown\r\n"
                + "CSeq: 9292394834772304023312 OPTIONS\r\nCall-ID: s\r\n"
                + "From: <sip:a@a>;tag=1\r\nTo: <sip:b@b>;tag=2\r\n\r\n"));
    // 3.1.2.6: a quote that never closes.
    assertEquals(400, fate(invite("").replace("To: <sip:b@b>", "To: \"Mr J <sip:b@b>")));
    // 3.1.2.10: blanks behind the version.
    assertEquals(400, fate(message("OPTIONS sip:b@b SIP/2.0  ", "OPTIONS", "")));
    // 3.1.2.14: a display name with signs that need quotes.
    assertEquals(400, fate(invite("").replace("From: <sip:a", "From: Bell, Alexander <sip:a")));
    // 3.1.2.17: another version.
    assertEquals(505, fate(message("OPTIONS sip:b@b SIP/7.0", "OPTIONS", "")));
    // 3.1.2.18 and 19: methods of start line and CSeq differ.
    assertEquals(400, fate(message("OPTIONS sip:b@b SIP/2.0", "INVITE", "")));
    assertEquals(400, fate(message("NEWMETHOD sip:b@b SIP/2.0", "INVITE", "")));
    // 3.1.2.20: a status of more than three digits.
    assertEquals(-1, fate(message("SIP/2.0 4294967301 better not break", "INVITE", "")));
    // 3.3.1: no Call-ID, From or To: nothing to answer with.
    assertEquals(
        -1,
        fate(
            "INVITE sip:b@b SIP/2.0\r\nVia: SIP/2.0/UDP a;branch=z9hG4bKr\r\nCSeq: 1 INVITE\r\n\r\n"));
    // 3.3.5: an extension required of proxies that is not known.
    assertEquals(420, fate(invite("Proxy-Require: noProxiesSupportThis\r\n")));
    // 3.3.8 and 9: fields twice that may stand once.
    assertEquals(400, fate(invite("CSeq: 5 INVITE\r\n")));
    assertEquals(400, fate(invite("Content-Length: 13\r\nContent-Length: 5\r\n")));
    // 3.3.10: a response that is not for us, by its Via.
    assertEquals(-1, fate(message("SIP/2.0 200 OK", "INVITE", "").replace("UDP a;", "UDP x;")));
    // 3.3.11: no hops left.
    assertEquals(483, fate(invite("").replace("Max-Forwards: 70", "Max-Forwards: 0")));
  }

  @Test
  void everyOctetTurnedInAValidMessageIsSurvived() {
    byte[] sound = bytes(invite("Route: <sip:x;lr>\r\nContent-Length: 3\r\n") + "abc");
    SipParser parser = new SipParser(64);
    for (int i = 0; i < sound.length; i++) {
      for (int octet : new int[] {0, '\r', '\n', ' ', '"', '<', ';', ',', 0xff}) {
        byte[] turned = sound.clone();
        turned[i] = (byte) octet;
        survives(parser, turned);
      }
    }
    assertThrows(SipParseException.class, () -> parser.parse(new byte[0]));
  }

  private static void survives(SipParser parser, byte[] octets) {
    try {
      parser.parse(octets).toBytes();
    } catch (SipParseException e) {
      // A clear error is the other good end.
      assertEquals(true, e.getMessage() != null);
    }
  }
}
