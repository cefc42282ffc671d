package coveladder.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the program's replies to the simulator's input lines, and its exit status. */
class SimHostTest {
  private static final String START_FIELDS =
      " salt=1 classes.count=1 classes.0.aim=1000 classes.0.giveUp=6000 classes.0.worth=1"
          + " familyInfo.layout=mesh familyInfo.selfNo=0 familyInfo.channelsNeeded=1"
          + " familyInfo.classHold=9000 instances=2 permissions.attemptsCap=4 stats.fields=free,size"
          + " some.newKey=7\n";
  private static final String DIRECTORY =
      "MANIFEST page=0 elements=2\n"
          + "ROW state=in_service number=0 switch=sa\n"
          + "ROW state=in_service number=1 switch=sb\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private int status;

  private String run(String input, String... args) throws IOException {
    out.reset();
    err.reset();
    var in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
    String[] arguments = args.length == 0 ? new String[] {"simhost"} : args;
    var outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    status = Main.run(arguments, in, outStream, new PrintStream(err, true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(int turn, String... events) {
    return "BATCH atTime=" + 100 * turn + " turn=" + turn + "\n" + String.join("", events) + "GO\n";
  }

  private static String startEvents(int instanceId) {
    return "START who="
        + instanceId
        + START_FIELDS
        + DIRECTORY
        + "VIEW who="
        + instanceId
        + " page=0 mode=cached rev=1\n";
  }

  private static String callEvent(int instanceId, String callId) {
    return "CALL who="
        + instanceId
        + " handle="
        + callId
        + " type=0 patienceLeft=3000 slotsNeeded=1 terminatesAt=1\n";
  }

  @Test
  void anEmptyBatchGetsAReply() throws IOException {
    assertEquals("YIELD turn=1\n", run("BATCH atTime=8412.25 turn=1\nGO\n"));
    assertEquals(0, status);
  }

  @Test
  void aCallIsRelayed() throws IOException {
    String reply = run(batch(1, startEvents(3), callEvent(3, "00aa")));
    assertTrue(reply.contains("RELAY who=3 handle=00aa switch=sb within=1000.0\n"), reply);
    assertTrue(reply.endsWith("YIELD turn=1\n"));
  }

  @Test
  void aPageSentAgainInABatchAppliesToLaterViewsOnly() throws IOException {
    String changedPage = DIRECTORY.replace("switch=sb", "switch=sc");
    String secondView = "VIEW who=3 page=0 mode=full rev=2\n";
    String reply =
        run(
            batch(
                1,
                startEvents(3),
                callEvent(3, "00aa"),
                changedPage,
                secondView,
                callEvent(3, "00bb")));
    assertTrue(reply.contains("handle=00aa switch=sb"), reply);
    assertTrue(reply.contains("handle=00bb switch=sc"), reply);
  }

  @Test
  void anInstanceCanBeRestartedWithinOneBatch() throws IOException {
    String reply =
        run(
            batch(1, startEvents(3), callEvent(3, "00aa"))
                + batch(2, "SHUTDOWN who=3\n", startEvents(3), callEvent(3, "00bb")));
    assertTrue(reply.contains("handle=00bb switch=sb"), reply);
  }

  @Test
  void instancesBehaveTheSameInOneProcessAsInSeparateOnes() throws IOException {
    String together =
        run(batch(1, startEvents(1), startEvents(2), callEvent(1, "00aa"), callEvent(2, "00bb")));
    String first = run(batch(1, startEvents(1), callEvent(1, "00aa")));
    String second = run(batch(1, startEvents(2), callEvent(2, "00bb")));
    assertEquals(linesContaining(together, "who=1"), linesContaining(first, "who=1"));
    assertEquals(linesContaining(together, "who=2"), linesContaining(second, "who=2"));
  }

  private static java.util.List<String> linesContaining(String text, String part) {
    return text.lines().filter(line -> line.contains(part)).toList();
  }

  @Test
  void unknownMessagesAndKeysAreSkipped() throws IOException {
    assertEquals("YIELD turn=1\n", run("BATCH atTime=1 turn=1 extra=9\nNOVELTY a=b\nGO\n"));
    assertEquals(0, status);
  }

  @Test
  void malformedInputExitsWithStatusTwoAndOneErrorLine() throws IOException {
    assertRejected(
        batch(4, "CALL who=9 handle=00aa type=0 patienceLeft=1 terminatesAt=1\n"), "never started");
    assertRejected(
        batch(4, startEvents(3), "CALL who=3 type=0 patienceLeft=1 terminatesAt=1\n"),
        "lacks handle");
    assertRejected(
        batch(4, startEvents(3), callEvent(3, "00aa").replace("3000", "soon")),
        "patienceLeft=soon");
    assertRejected(
        batch(4, startEvents(3).replace("layout=mesh", "layout=ring")), "familyInfo.layout=ring");
    assertRejected(
        batch(4, startEvents(3).replace("classes.count=1", "classes.count=2")), "channelsNeeded=1");
    assertRejected(batch(4, startEvents(3).replace("instances=2", "instances=0")), "instances=0");
  }

  private void assertRejected(String input, String reason) throws IOException {
    run(input);
    String errorText = err.toString(StandardCharsets.UTF_8);
    assertEquals(2, status);
    assertEquals(1, errorText.lines().count());
    assertTrue(errorText.startsWith("batch 4 line ") && errorText.contains(reason), errorText);
  }

  @Test
  void argumentsAreChecked() throws IOException {
    assertTrue(run("", "--help").startsWith("usage:"));
    assertEquals(0, status);
    assertTrue(run("", "--version").startsWith("coveladder "));
    assertEquals(0, status);
    run("", "simhost", "more");
    assertEquals(2, status);
    assertTrue(err.toString(StandardCharsets.UTF_8).startsWith("usage:"));
  }
}
