package coveladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coveladder.CallPolicy.Call;
import coveladder.core.recovery.SavedCall;
import coveladder.core.recovery.SavedCall.Phase;
import coveladder.store.DiskStore;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The state subcommands on a folder with two stored calls. */
class StateCommandTest {
  @TempDir private Path folder;
  private StringWriter out = new StringWriter();

  private int run(String... arguments) {
    out = new StringWriter();
    CommandLine line = Main.commandLine();
    line.setOut(new PrintWriter(out));
    line.setErr(new PrintWriter(out));
    String[] allArguments = new String[arguments.length + 1];
    allArguments[0] = "state";
    System.arraycopy(arguments, 0, allArguments, 1, arguments.length);
    return line.execute(allArguments);
  }

  private static SavedCall saved(String id, Phase phase) {
    Call call = new Call(id, 1, 2_000, 1, "5551", 2, false, false, false);
    byte[] leg =
        "INVITE sip:5551@x2 SIP/2.0\r\nAuthorization: Digest secret\r\nTo: x\r\n"
            .getBytes(StandardCharsets.ISO_8859_1);
    return new SavedCall(call, phase, 0, "x2-0", leg, new byte[0], new byte[0], 1_000);
  }

  private static void sync(DiskStore store) throws Exception {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    store.sync(done::complete);
    assertTrue(done.get(10, TimeUnit.SECONDS));
  }

  @BeforeEach
  void storeTwoCalls() throws Exception {
    try (DiskStore store = new DiskStore(folder, Runnable::run)) {
      store.put(saved("a-1", Phase.STANDS));
      store.put(saved("a-2", Phase.SETTING_UP));
      sync(store);
    }
  }

  @Test
  void listShowAndVerifyPrintTheStoredCalls() {
    assertEquals(0, run("list", folder.toString()));
    assertTrue(out.toString().contains("2 calls {SETTING_UP=1, STANDS=1}"), out.toString());
    assertEquals(0, run("show", folder.toString(), "a-1"));
    assertTrue(out.toString().contains("INVITE sip:5551@x2 SIP/2.0"), out.toString());
    assertEquals(1, run("show", folder.toString(), "none"));
    assertTrue(out.toString().contains("no call none"), out.toString());
    assertEquals(0, run("verify", folder.toString()));
  }

  @Test
  void credentialsAreWithheld() {
    run("show", folder.toString(), "a-1");
    assertTrue(out.toString().contains("Authorization: [withheld]"), out.toString());
    assertFalse(out.toString().contains("Digest"), out.toString());
  }

  @Test
  void exportPrintsJsonLines() throws Exception {
    assertEquals(0, run("export", folder.toString()));
    String[] lines = out.toString().split("\n");
    assertEquals(2, lines.length);
    JsonNode first = new ObjectMapper().readTree(lines[0]);
    assertEquals("a-1", first.get("id").asText());
    assertEquals("STANDS", first.get("phase").asText());
  }

  @Test
  void folderInUseCanBeReadButNotCompacted() throws Exception {
    try (DiskStore store = new DiskStore(folder, Runnable::run)) {
      store.put(saved("a-3", Phase.STANDS));
      sync(store);
      assertEquals(0, run("list", folder.toString()));
      assertTrue(out.toString().contains("3 calls"), out.toString());
      assertEquals(2, run("compact", folder.toString()));
      assertTrue(out.toString().contains("in use by another process"), out.toString());
    }
    assertEquals(0, run("compact", folder.toString()));
    assertEquals(0, run("list", folder.toString()));
    assertTrue(out.toString().contains("3 calls"), out.toString());
  }

  @Test
  void missingFolderAndMissingInStepFileAreReported() throws Exception {
    assertEquals(2, run("list", folder.resolve("none").toString()));
    assertTrue(out.toString().contains("no such file"), out.toString());
    Files.delete(folder.resolve("in-step"));
    assertEquals(1, run("verify", folder.toString()));
    assertTrue(out.toString().contains("BEHIND"), out.toString());
  }
}
