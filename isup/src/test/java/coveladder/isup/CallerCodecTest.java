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

class CallerCodecTest {
  private static final int MOST = 16_384;

  private static CallerMessage setUp() {
    Map<Integer, byte[]> with = new LinkedHashMap<>();
    with.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.DESCRIPTION, "a\r\nb".getBytes(StandardCharsets.UTF_8));
    return new CallerMessage(CallerMessage.SET_UP, "9b1f03aa5c7e2d41", with);
  }

  private static List<byte[]> cut(byte[] octets, int at) throws MalformedException {
    List<byte[]> found = new ArrayList<>();
    CallerFramer framer = new CallerFramer(MOST);
    framer.feed(Arrays.copyOf(octets, at), found::add);
    framer.feed(Arrays.copyOfRange(octets, at, octets.length), found::add);
    return found;
  }

  @Test
  void twoMessagesAreReadWhereverTheyAreCut() throws MalformedException {
    byte[] one = CallerCodec.encode(setUp());
    byte[] both = Arrays.copyOf(one, 2 * one.length);
    System.arraycopy(one, 0, both, one.length, one.length);
    for (int at = 0; at <= both.length; at++) {
      List<byte[]> found = cut(both, at);
      assertEquals(2, found.size(), "cut at " + at);
      CallerMessage read = CallerCodec.decode(found.get(1));
      assertEquals("9b1f03aa5c7e2d41", read.callId());
      assertEquals("voice", read.text(CallerMessage.CLASS));
      assertEquals("a\r\nb", read.text(CallerMessage.DESCRIPTION));
    }
  }

  @Test
  void lengthsThatFitNoMessageAreRefusedAtOnce() {
    for (byte[] head : new byte[][] {{0, 0}, {0, 8}, {(byte) 0xff, (byte) 0xff}, {0x40, 0}}) {
      CallerFramer framer = new CallerFramer(MOST);
      assertThrows(MalformedException.class, () -> framer.feed(head, body -> {}));
    }
  }

  @Test
  void parametersLongerThanTheirMessageOrTwiceAreRefused() {
    byte[] head = {1, 0, 0, 0, 0, 0, 0, 0, 1};
    for (byte[] rest :
        new byte[][] {{16}, {16, 0}, {16, 0, 1}, {16, (byte) 0xff, 0, 1}, {19, 0, 0, 19, 0, 0}}) {
      byte[] body = Arrays.copyOf(head, head.length + rest.length);
      System.arraycopy(rest, 0, body, head.length, rest.length);
      assertThrows(MalformedException.class, () -> CallerCodec.decode(body));
    }
  }

  @Test
  void textThatIsNoUtf8IsRefusedAndACauseIsOneOctet() {
    Map<Integer, byte[]> with = Map.of(CallerMessage.CLASS, new byte[] {(byte) 0xc3});
    CallerMessage message = new CallerMessage(1, "0000000000000001", with);
    assertThrows(MalformedException.class, () -> message.text(CallerMessage.CLASS));
    assertEquals(-1, message.cause());
    assertEquals(102, CallerMessage.withCause(12, "0000000000000001", 102).cause());
  }

  @Property(tries = 300)
  void noOctetsMakeTheFramerHoldMoreThanOneMessage(@ForAll List<@Size(max = 40) byte[]> reads) {
    CallerFramer framer = new CallerFramer(64);
    List<byte[]> found = new ArrayList<>();
    try {
      for (byte[] read : reads) {
        framer.feed(read, found::add);
      }
    } catch (MalformedException e) {
      assertTrue(e.getMessage().contains("expected 9 to 62"));
    }
    found.forEach(body -> assertTrue(body.length <= 62));
  }

  @Test
  void whatIsWrittenIsAsThePlatformHasIt() {
    byte[] expected = {0, 13, 12, 0, 0, 0, 0, 0, 0, 0, 5, 30, 0, 1, 34};
    CallerMessage release = CallerMessage.withCause(12, "0000000000000005", 34);
    assertArrayEquals(expected, CallerCodec.encode(release));
  }
}
