package coveladder.kdl;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Forms of nodes, values and comments in KDL 2, and the positions of errors. */
class KdlReaderTest {

  private static KdlNode readSingleNode(String text) throws KdlException {
    List<KdlNode> nodes = KdlReader.read(text);
    assertEquals(1, nodes.size());
    return nodes.get(0);
  }

  @Test
  void readsArgumentsPropertiesAndChildren() throws KdlException {
    KdlNode node = readSingleNode("a b \"c d\" e=1 e=2 {\n f; g #true\n}");
    assertEquals(List.of("b", "c d"), node.arguments().stream().map(KdlValue::text).toList());
    assertEquals(2, node.properties().get("e").number());
    assertEquals(List.of("f", "g"), node.children().stream().map(KdlNode::name).toList());
    assertTrue(node.children().get(1).arguments().get(0).booleanValue());
  }

  @Test
  void readsNumbersOfAllForms() throws KdlException {
    KdlNode node = readSingleNode("n 1_000 -2.5e+3 0xFf 0o17 -0b101 #inf #-inf #nan");
    double[] actual = node.arguments().stream().mapToDouble(KdlValue::number).toArray();
    double[] expected = {
      1000, -2500, 255, 15, -5, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, Double.NaN
    };
    assertArrayEquals(expected, actual);
  }

  @Test
  void readsStringsOfAllForms() throws KdlException {
    assertEquals("a\"\n\u00e9\\", readSingleString("\"a\\\"\\n\\u{e9}\\\\\""));
    assertEquals("a\\n\"b", readSingleString("#\"a\\n\"b\"#"));
    assertEquals(
        "one\n  two\n\nthree",
        readSingleString("\"\"\"\n    one\n      two\n\n    three\n    \"\"\""));
    assertEquals("ab", readSingleString("\"a\\   \n   b\""));
    assertEquals("raw \\s", readSingleString("##\"\"\"\n  raw \\s\n  \"\"\"##"));
  }

  private static String readSingleString(String literal) throws KdlException {
    return readSingleNode("n " + literal).arguments().get(0).text();
  }

  @Test
  void skipsCommentsAndSlashdash() throws KdlException {
    String text =
        "// line\n/* a /* nested */ one */ a /-b c /-d=1 e=2 /-{ x } { y } // end\n/-gone { z }\n"
            + "b \\ // goes on\n  c\n";
    List<KdlNode> nodes = KdlReader.read(text);
    assertEquals(List.of("a", "b"), nodes.stream().map(KdlNode::name).toList());
    assertEquals("c", nodes.get(0).arguments().get(0).text());
    assertEquals(1, nodes.get(0).arguments().size());
    assertEquals("y", nodes.get(0).children().get(0).name());
    assertEquals("c", nodes.get(1).arguments().get(0).text());
  }

  @Test
  void errorsHaveLineAndColumn() {
    assertError(2, 3, "expected a value", "a\nb c=");
    assertError(1, 3, "without its", "a \"open");
    assertError(2, 1, "'}' without", "a\n}");
    assertError(1, 3, "'{' without", "a { b");
    assertError(1, 3, "must be written #true", "a true");
    assertError(1, 3, "is not a number", "a 1.2.3");
    assertError(1, 3, "unknown escape", "a \"\\q\"");
    assertError(1, 3, "none of #true", "a #yes");
    assertError(1, 1, "comment without", "/* x");
    assertError(1, 6, "expected a blank", "a \"b\"\"c\"");
    assertError(1, 5, "must end on the line", "a \"b\nc\"");
  }

  /**
   * Expects an error at a position; its column is not checked for "expected a value", which is
   * reported at the end of the document.
   */
  private static void assertError(int line, int column, String expectedReason, String text) {
    KdlException e = assertThrows(KdlException.class, () -> KdlReader.read(text));
    assertTrue(e.getMessage().contains(expectedReason), e.getMessage());
    boolean positionMatches =
        e.line() == line && (e.column() == column || expectedReason.equals("expected a value"));
    assertTrue(positionMatches, e.getMessage());
  }

  @Test
  void randomTextIsReadOrThrowsKdlExceptionWithoutLooping() {
    SplittableRandom random = new SplittableRandom(2);
    String alphabet = "ab1.-_#\"\\/{}();=\n\r\t *u\u00e9";
    for (int round = 0; round < 20_000; round++) {
      StringBuilder text = new StringBuilder();
      int length = random.nextInt(30);
      for (int i = 0; i < length; i++) {
        text.append(alphabet.charAt(random.nextInt(alphabet.length())));
      }
      try {
        KdlReader.read(text.toString());
      } catch (KdlException e) {
        assertTrue(e.line() >= 1 && e.column() >= 1);
      }
    }
    assertThrows(KdlException.class, () -> KdlReader.read("a {".repeat(10_000)));
  }
}
