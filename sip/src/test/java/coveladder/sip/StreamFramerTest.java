package coveladder.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StreamFramerTest {
  private final List<String> messages = new ArrayList<>();
  private int pings;

  private void feed(StreamFramer framer, byte[] octets, int from, int count)
      throws SipParseException {
    framer.feed(
        octets,
        from,
        count,
        message -> messages.add(new String(message, StandardCharsets.ISO_8859_1)),
        () -> pings++);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  void anySplitOfAStreamYieldsTheSameMessages() throws SipParseException {
    String one = "A b SIP/2.0\r\nContent-Length : 5\r\nX: l: 9\r\n\r\nab\r\n\r";
    String two = "B c SIP/2.0\r\nl:0\r\n\r\n";
    String three = "C d SIP/2.0\r\nNo-Length: 1\r\n\r\n";
    byte[] stream = bytes("\r\n\r\n" + one + "\r\n" + two + "\r\n\r\n\r\n\r\n" + three);
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 300; round++) {
      messages.clear();
      pings = 0;
      StreamFramer framer = new StreamFramer(100, 100);
      for (int at = 0; at < stream.length; ) {
        int count = Math.min(stream.length - at, 1 + random.nextInt(7));
        feed(framer, stream, at, count);
        at += count;
      }
      assertEquals(List.of(one, two, three), messages);
      assertEquals(3, pings);
      assertEquals(0, framer.bufferedBytes());
    }
  }

  @Test
  void oversizedHeaderOrBodyAndInvalidLengthAreRejected() {
    byte[] longHeader = bytes("A b SIP/2.0\r\n" + "x".repeat(200));
    assertThrows(
        SipParseException.class,
        () -> feed(new StreamFramer(100, 100), longHeader, 0, longHeader.length));
    byte[] longBody = bytes("A b SIP/2.0\r\nContent-Length: 101\r\n\r\n");
    assertThrows(
        SipParseException.class,
        () -> feed(new StreamFramer(100, 100), longBody, 0, longBody.length));
    byte[] invalidLength = bytes("A b SIP/2.0\r\nContent-Length: many\r\n\r\n");
    assertThrows(
        SipParseException.class,
        () -> feed(new StreamFramer(100, 100), invalidLength, 0, invalidLength.length));
  }

  @Test
  void bufferStaysWithinItsBound() {
    SplittableRandom random = new SplittableRandom(9);
    for (int round = 0; round < 500; round++) {
      StreamFramer framer = new StreamFramer(300, 200);
      byte[] noise = new byte[2_000];
      random.nextBytes(noise);
      for (int i = 0; i < 200; i++) {
        noise[random.nextInt(noise.length)] = (byte) "\r\n: lL0123".charAt(random.nextInt(10));
      }
      try {
        for (int at = 0; at < noise.length; at += 50) {
          feed(framer, noise, at, 50);
          assertTrue(framer.bufferedBytes() <= 300 + 50);
        }
      } catch (SipParseException e) {
        assertTrue(e.status() == 400 || e.status() == 513);
      }
    }
  }
}
