package coveladder.isup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests switch messages, journal lines, and the line framing and JSON that both use. */
class SwitchCodecTest {

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void descriptionSurvivesEncodingAndDecoding() throws MalformedException {
    String text = "9d41\r\nc=IN \"q\" \\ \u00e9 \ud83d\ude00\u0000\t\n";
    SwitchMessage message =
        new SwitchMessage(
            SwitchMessage.Kind.READY, "9b1f03aa5c7e2d41", Map.of("load", "x0:1"), -1, text);
    byte[] line = SwitchCodec.encode(message);
    assertEquals('\n', line[line.length - 1]);
    assertEquals(message, SwitchCodec.decode(line));
  }

  @Test
  void keepsNumbersAsWrittenAndSkipsUnknownMembers() throws MalformedException {
    SwitchMessage decoded =
        SwitchCodec.decode(
            bytes(
                "{\"msg\":\"close\",\"x\":[{}],\"sid\":\"a\",\"attrs\":{\"n\":1.50},\"code\":34}"));
    assertEquals(
        new SwitchMessage(SwitchMessage.Kind.CLOSE, "a", Map.of("n", "1.50"), 34, null), decoded);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "noise",
        "[]",
        "{}",
        "{\"msg\":\"ready\"",
        "{\"msg\":\"never heard\"}",
        "{\"msg\":\"ready\",\"msg\":\"close\"}",
        "{\"msg\":\"ready\"}{\"msg\":\"ready\"}",
        "{\"msg\":\"ready\",\"text\":7}",
        "{\"msg\":\"ready\",\"text\":\"\\ud83d\"}",
        "{\"msg\":\"ready\",\"text\":\"\\ude00x\"}",
        "{\"msg\":\"close\",\"code\":\"34\"}",
        "{\"msg\":\"close\",\"code\":34000000000}",
        "{\"msg\":\"close\",\"attrs\":[]}",
        "{\"msg\":\"close\",\"attrs\":{\"a\":{}}}"
      })
  void rejectsLinesThatAreNoMessage(String line) {
    assertThrows(MalformedException.class, () -> SwitchCodec.decode(bytes(line)));
  }

  @Test
  void rejectsInvalidUtf8() {
    byte[] line = bytes("{\"msg\":\"ready\",\"text\":\"x\"}");
    line[line.length - 3] = (byte) 0xff;
    assertThrows(MalformedException.class, () -> SwitchCodec.decode(line));
  }

  @Test
  void framesLinesWhereverTheOctetsAreSplitAndRejectsTooLongOnes() throws MalformedException {
    byte[] octets = bytes("one\n\ntwo\nrest");
    for (int splitAt = 0; splitAt <= octets.length; splitAt++) {
      LineFramer framer = new LineFramer(8);
      List<String> lines = new ArrayList<>();
      framer.feed(Arrays.copyOf(octets, splitAt), line -> lines.add(new String(line)));
      framer.feed(
          Arrays.copyOfRange(octets, splitAt, octets.length), line -> lines.add(new String(line)));
      assertEquals(List.of("one", "", "two"), lines);
      assertTrue(framer.hasPartialLine());
    }
    LineFramer framer = new LineFramer(8);
    assertFalse(framer.hasPartialLine());
    assertThrows(MalformedException.class, () -> framer.feed(new byte[9], line -> {}));
  }

  @Test
  void decodesJournalEventsAndBarePositions() throws MalformedException {
    JournalLine event =
        JournalLine.decode(
            bytes(
                "{\"pos\":41,\"hosts\":{\"generation\":7,\"reset\":true,\"instances\":[{"
                    + "\"instanceId\":\"s-1\",\"hostPort\":\"10.1.0.9:2905\",\"zone\":null,\"cell\":2,"
                    + "\"lifecycle\":\"in_service\",\"weight\":4,\"startedAtMs\":0}]}}"));
    assertTrue(event.event() && event.snapshot());
    assertEquals(
        List.of(new JournalLine.Entry("s-1", "10.1.0.9", 2905, 2, "in_service", 0)),
        event.entries());
    for (String line : new String[] {"41", "{\"pos\":41}"}) {
      JournalLine positionOnly = JournalLine.decode(bytes(line));
      assertFalse(positionOnly.event());
      assertEquals(41, positionOnly.position());
    }
    for (String line :
        new String[] {"x", "{}", "{\"pos\":41,\"hosts\":{\"insta", "{\"pos\":\"a\"}"}) {
      assertThrows(MalformedException.class, () -> JournalLine.decode(bytes(line)));
    }
  }

  @Test
  void flattensADocumentToValuesByPath() throws MalformedException {
    Map<String, String> values =
        Json.flatten(bytes("{\"a\":{\"b\":[{\"c\":1},{\"c\":true}],\"d\":[1.5,2],\"e\":null}}"));
    assertEquals(
        Map.of(
            "a.b.0.c",
            "1",
            "a.b.1.c",
            "true",
            "a.b.count",
            "2",
            "a.d",
            "1.5,2",
            "a.d.0",
            "1.5",
            "a.d.1",
            "2",
            "a.d.count",
            "2"),
        values);
  }
}
