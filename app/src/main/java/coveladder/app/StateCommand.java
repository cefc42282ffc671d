package coveladder.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coveladder.core.recovery.SavedCall;
import coveladder.store.DiskStore;
import coveladder.store.StateFolderAdmin;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Inspects and compacts a state folder. */
@Command(
    name = "state",
    description = {
      "Inspect a state folder. All commands but compact also work while a controller uses the",
      "folder: they read a copy and change nothing."
    })
final class StateCommand implements Runnable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getOut());
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  @Command(name = "list", description = "Print one line for each stored call.")
  int list(@Parameters(paramLabel = "FOLDER") Path folder)
      throws IOException, DiskStore.UnusableFolderException {
    StateFolderAdmin.Contents contents = StateFolderAdmin.read(folder);
    for (SavedCall saved : contents.calls()) {
      out()
          .printf(
              "%-24s %-10s class %d attempt %d to %s%n",
              saved.id(), saved.phase(), saved.call().type(), saved.attempt(), saved.exchange());
    }
    out().println(summary(contents));
    return 0;
  }

  private static String summary(StateFolderAdmin.Contents contents) {
    Map<SavedCall.Phase, Integer> counts = new TreeMap<>();
    contents.calls().forEach(saved -> counts.merge(saved.phase(), 1, Integer::sum));
    return contents.calls().size()
        + " calls "
        + counts
        + ", "
        + contents.damagedRecords().size()
        + " damaged, "
        + contents.sizeBytes()
        + " octets"
        + (contents.outOfDate() ? "; BEHIND: calls go or went on unkept" : "");
  }

  @Command(
      name = "show",
      description = "Print all that is stored of one call, including its messages.")
  int show(@Parameters(paramLabel = "FOLDER") Path folder, @Parameters(paramLabel = "ID") String id)
      throws IOException, DiskStore.UnusableFolderException {
    for (SavedCall saved : StateFolderAdmin.read(folder).calls()) {
      if (saved.id().equals(id)) {
        show(saved);
        return 0;
      }
    }
    spec.commandLine().getErr().println("no call " + id + " in " + folder);
    return 1;
  }

  private void show(SavedCall saved) {
    out().println(saved.call());
    out()
        .printf(
            "%s, attempt %d to %s, patience ends %s%n",
            saved.phase(),
            saved.attempt(),
            saved.exchange(),
            Instant.ofEpochMilli(saved.deadline()));
    printSection("caller's leg", saved.callerLeg());
    printSection("attempt's leg", saved.attemptLeg());
    printSection("answer", saved.answer());
  }

  private void printSection(String name, byte[] octets) {
    out().printf("-- %s, %d octets%n", name, octets.length);
    out().println(printable(octets));
  }

  private static String printable(byte[] octets) {
    String text = new String(octets, StandardCharsets.ISO_8859_1).replace("\r\n", "\n");
    String redacted = text.replaceAll("(?mi)^((proxy-)?authorization *:).*$", "$1 [withheld]");
    return redacted.replaceAll("[^\\x20-\\x7e\\n]", ".");
  }

  @Command(
      name = "verify",
      description = "Read every record; status 1 if one is damaged or the file is behind.")
  int verify(@Parameters(paramLabel = "FOLDER") Path folder)
      throws IOException, DiskStore.UnusableFolderException {
    StateFolderAdmin.Contents contents = StateFolderAdmin.read(folder);
    contents.damagedRecords().forEach(out()::println);
    out().println(summary(contents));
    return contents.damagedRecords().isEmpty() && !contents.outOfDate() ? 0 : 1;
  }

  @Command(
      name = "compact",
      description = "Compact the file; no controller may be using the folder.")
  int compact(@Parameters(paramLabel = "FOLDER") Path folder)
      throws IOException, DiskStore.UnusableFolderException {
    long[] sizes = StateFolderAdmin.compact(folder);
    out().printf("%d octets, %d before%n", sizes[1], sizes[0]);
    return 0;
  }

  @Command(
      name = "export",
      description = "Print one JSON line for each call, with its messages in Base64.")
  int export(@Parameters(paramLabel = "FOLDER") Path folder)
      throws IOException, DiskStore.UnusableFolderException {
    for (SavedCall saved : StateFolderAdmin.read(folder).calls()) {
      out().println(json(saved));
    }
    return 0;
  }

  private static String json(SavedCall saved) {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("id", saved.id());
    line.put("phase", saved.phase().name());
    line.put("class", saved.call().type());
    line.put("width", saved.call().width());
    line.put("number", saved.call().number());
    line.put("destination", saved.call().destination());
    line.put("transit", saved.call().transit());
    line.put("attempt", saved.attempt());
    line.put("exchange", saved.exchange());
    line.put("deadline", saved.deadline());
    line.put("callerLeg", saved.callerLeg());
    line.put("attemptLeg", saved.attemptLeg());
    line.put("answer", saved.answer());
    return line.toString();
  }
}
