package coveladder.isup;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the encoding, decoding and framing of caller messages. */
class CallerCodecTest {
  private static final int MAX_MESSAGE_BYTES = 16_384;

  private static CallerMessage setUpMessage() {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.DESCRIPTION, "a\r\nb".getBytes(StandardCharsets.UTF_8));
    return new CallerMessage(CallerMessage.SET_UP, "9b1f03aa5c7e2d41", parameters);
  }

  private static List<byte[]> frameInTwoReads(byte[] octets, int splitAt)
      throws MalformedException {
    List<byte[]> bodies = new ArrayList<>();
    CallerFramer framer = new CallerFramer(MAX_MESSAGE_BYTES);
    framer.feed(Arrays.copyOf(octets, splitAt), bodies::add);
    framer.feed(Arrays.copyOfRange(octets, splitAt, octets.length), bodies::add);
    return bodies;
  }

  @Test
  void framesTwoMessagesWhereverTheOctetsAreSplit() throws MalformedException {
    byte[] message = CallerCodec.encode(setUpMessage());
    byte[] twoMessages = Arrays.copyOf(message, 2 * message.length);
    System.arraycopy(message, 0, twoMessages, message.length, message.length);
    for (int splitAt = 0; splitAt <= twoMessages.length; splitAt++) {
      List<byte[]> bodies = frameInTwoReads(twoMessages, splitAt);
      assertEquals(2, bodies.size(), "split at " + splitAt);
      CallerMessage decoded = CallerCodec.decode(bodies.get(1));
      assertEquals("9b1f03aa5c7e2d41", decoded.callId());
      assertEquals("voice", decoded.text(CallerMessage.CLASS));
      assertEquals("a\r\nb", decoded.text(CallerMessage.DESCRIPTION));
    }
  }

  @Test
  void rejectsInvalidLengthBeforeReadingTheBody() {
    for (byte[] lengthField :
        new byte[][] {{0, 0}, {0, 8}, {(byte) 0xff, (byte) 0xff}, {0x40, 0}}) {
      CallerFramer framer = new CallerFramer(MAX_MESSAGE_BYTES);
      assertThrows(MalformedException.class, () -> framer.feed(lengthField, body -> {}));
    }
  }

  @Test
  void rejectsTruncatedAndDuplicateParameters() {
    byte[] header = {1, 0, 0, 0, 0, 0, 0, 0, 1};
    for (byte[] malformedParameters :
        new byte[][] {{16}, {16, 0}, {16, 0, 1}, {16, (byte) 0xff, 0, 1}, {19, 0, 0, 19, 0, 0}}) {
      byte[] body = Arrays.copyOf(header, header.length + malformedParameters.length);
      System.arraycopy(malformedParameters, 0, body, header.length, malformedParameters.length);
      assertThrows(MalformedException.class, () -> CallerCodec.decode(body));
    }
  }

  @Test
  void rejectsInvalidUtf8AndReadsACauseOfOneOctet() {
    Map<Integer, byte[]> parameters = Map.of(CallerMessage.CLASS, new byte[] {(byte) 0xc3});
    CallerMessage message = new CallerMessage(1, "0000000000000001", parameters);
    assertThrows(MalformedException.class, () -> message.text(CallerMessage.CLASS));
    assertEquals(-1, message.cause());
    assertEquals(102, CallerMessage.withCause(12, "0000000000000001", 102).cause());
  }

  @Property(tries = 300)
  void framerNeverBuffersMoreThanOneMessage(@ForAll List<@Size(max = 40) byte[]> chunks) {
    CallerFramer framer = new CallerFramer(64);
    List<byte[]> bodies = new ArrayList<>();
    try {
      for (byte[] chunk : chunks) {
        framer.feed(chunk, bodies::add);
      }
    } catch (MalformedException e) {
      assertTrue(e.getMessage().contains("expected 9 to 62"));
    }
    bodies.forEach(body -> assertTrue(body.length <= 62));
  }

  @Test
  void encodesTheOctetsThatThePlatformExpects() {
    byte[] expected = {0, 13, 12, 0, 0, 0, 0, 0, 0, 0, 5, 30, 0, 1, 34};
    CallerMessage release = CallerMessage.withCause(12, "0000000000000005", 34);
    assertArrayEquals(expected, CallerCodec.encode(release));
  }
}
