package coveladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Exit statuses and output of the subcommands. */
class CommandLineTest {
  @TempDir private Path folder;
  private final StringWriter out = new StringWriter();

  private int run(String... arguments) {
    CommandLine line = Main.commandLine();
    line.setOut(new PrintWriter(out));
    line.setErr(new PrintWriter(out));
    return line.execute(arguments);
  }

  @Test
  void checkAcceptsValidSettingsAndReportsProblems() throws IOException {
    Path file = folder.resolve("x.kdl");
    Files.writeString(file, SettingsFileTest.VALID);
    assertEquals(0, run("check", file.toString()));
    Files.writeString(file, "what is this");
    assertEquals(2, run("check", file.toString()));
    assertTrue(out.toString().contains(file + ":1:1: unknown node what"), out.toString());
    assertEquals(2, run("check", folder.resolve("none").toString()));
    assertTrue(out.toString().contains("no such file"), out.toString());
  }

  @Test
  void simulatedRehearsalSucceedsAndPrintsItsResult() {
    assertEquals(0, run("rehearse", "small", "--simulated", "--seed", "3"));
    assertTrue(out.toString().contains("all rules hold"), out.toString());
    assertEquals(0, run("rehearse", "small", "--seeds", "3"));
    assertTrue(out.toString().contains("3 played"), out.toString());
  }

  @Test
  void unknownArgumentsAreRejected() {
    assertEquals(2, run("rehearse", "no-such-day"));
    assertTrue(out.toString().contains("bad-day"), out.toString());
    assertEquals(2, run("nonsense"));
    assertEquals(2, run("call", "tel:1"));
  }
}
