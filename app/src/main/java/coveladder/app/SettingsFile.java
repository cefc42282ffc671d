package coveladder.app;

import coveladder.CallPolicy.CallClass;
import coveladder.kdl.KdlException;
import coveladder.kdl.KdlNode;
import coveladder.kdl.KdlReader;
import coveladder.net.SocketLimits;
import coveladder.sip.Hop;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads settings from a KDL document; all problems are found in one reading. */
public final class SettingsFile {
  private static final List<String> ONCE =
      List.of(
          "listen",
          "domain",
          "exchange",
          "fleet",
          "switch",
          "list",
          "calls",
          "cold",
          "timers",
          "limits",
          "state",
          "metrics",
          "log",
          "seed");
  private static final List<String> NEEDED =
      List.of("listen", "domain", "exchange", "fleet", "switch", "list");
  private static final double HOUR = 3_600_000;

  private final Problems problems;
  private final Map<String, KdlNode> nodes = new HashMap<>();
  private final List<Settings.Kind> classes = new ArrayList<>();

  private SettingsFile(String name) {
    problems = new Problems(name);
  }

  /** Settings that cannot be used; each problem is one line with file, line and column. */
  public static final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> problems;

    Unusable(List<String> problems) {
      super(String.join("\n", problems));
      this.problems = problems;
    }

    /** The problems, each with its place. */
    public List<String> problems() {
      return problems;
    }
  }

  /** Reads a file. */
  public static Settings read(Path file) throws IOException, Unusable {
    return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
  }

  /** Reads a document that came under a name. */
  public static Settings read(String name, String document) throws Unusable {
    SettingsFile file = new SettingsFile(name);
    Settings settings = null;
    try {
      settings = file.settings(KdlReader.read(document));
    } catch (KdlException e) {
      file.problems.at(e.line(), e.column(), e.reason());
    }
    if (!file.problems.texts().isEmpty()) {
      throw new Unusable(file.problems.texts());
    }
    return settings;
  }

  private Settings settings(List<KdlNode> document) {
    for (KdlNode node : document) {
      sort(node);
    }
    for (String name : NEEDED) {
      if (!nodes.containsKey(name)) {
        problems.at(1, 1, "node " + name + " is missing");
      }
    }
    if (classes.isEmpty()) {
      problems.at(1, 1, "at least one class is needed");
    }
    return problems.texts().isEmpty() ? build() : null;
  }

  private void sort(KdlNode node) {
    if (node.name().equals("class")) {
      classes.add(kind(new Section(node, problems)));
    } else if (!ONCE.contains(node.name())) {
      List<String> known = new ArrayList<>(ONCE);
      known.add("class");
      problems.unknown(node.line(), node.column(), "node", node.name(), known);
    } else if (nodes.putIfAbsent(node.name(), node) != null) {
      problems.at(node, "node " + node.name() + " stands twice");
    }
  }

  private Section section(String name) {
    KdlNode node = nodes.get(name);
    KdlNode empty = new KdlNode(name, List.of(), Map.of(), List.of(), 1, 1);
    return new Section(node == null ? empty : node, problems);
  }

  private Settings build() {
    Section exchange = section("exchange");
    int number = exchange.whole("number", Double.NaN, 0, 9999);
    exchange.done();
    Section fleet = section("fleet");
    int instances = fleet.whole("controllers", Double.NaN, 1, 10_000);
    fleet.done();
    Section seed = section("seed");
    int drawn = seed.whole("value", 1, 0, Integer.MAX_VALUE);
    seed.done();
    Section log = section("log");
    List<String> levels = List.of("error", "warn", "info", "debug");
    String level = log.word("level", "info", levels);
    log.done();
    Section limits = section("limits");
    Settings made =
        new Settings(
            place("listen", false, 0),
            section("domain").argument("the own domain"),
            number,
            instances,
            place("switch", true, 1),
            place("list", true, 1),
            List.copyOf(classes),
            calls(),
            cold(),
            timing(),
            stack(limits),
            sockets(limits),
            nodes.containsKey("state") ? state() : null,
            nodes.containsKey("metrics") ? place("metrics", false, 0) : null,
            level,
            drawn);
    limits.done();
    return made;
  }

  private Settings.State state() {
    Section section = section("state");
    section.noArguments();
    Settings.State made =
        new Settings.State(
            Path.of(section.text("folder", null)),
            section.number("recover-per-second", 200, 1, 100_000),
            section.number("ask-after", 2_000, 0, HOUR));
    section.done();
    return made;
  }

  private Hop place(String name, boolean chosen, int leastPort) {
    Section section = section(name);
    section.noArguments();
    String host = section.text("host", "127.0.0.1");
    int port = section.whole("port", Double.NaN, leastPort, 65535);
    String by = chosen ? section.word("transport", "tcp", List.of("tcp", "udp")) : "udp";
    section.done();
    return new Hop(Transport.fromName(by), host, port);
  }

  private Settings.Kind kind(Section section) {
    String name = section.argument("its name");
    double worth = section.number("worth", 1, 0, 1e9);
    double late = section.number("late", 0, 0, 1);
    double aim = section.number("aim", Double.NaN, 1, HOUR);
    double giveUp = section.number("give-up", Double.NaN, 1, HOUR);
    int width = section.whole("width", 1, 1, 1000);
    double hold = section.number("hold", Double.NaN, 1, 24 * HOUR);
    String priority = section.text("priority", "");
    String prefixes = section.text("prefixes", "");
    boolean isDefault = section.flag("default");
    section.done();
    List<String> list = prefixes.isBlank() ? List.of() : List.of(prefixes.trim().split("[ ,]+"));
    CallClass figures = new CallClass(worth, late, aim, giveUp, width, hold, List.of());
    return new Settings.Kind(name, priority, list, isDefault, figures);
  }

  private Settings.Calls calls() {
    Section section = section("calls");
    Settings.Calls made =
        new Settings.Calls(
            section.whole("attempts", 6, 1, 100),
            section.number("guard", 300, 0, HOUR),
            section.number("grace", 250, 0, HOUR),
            section.number("patience", 5_000, 1, HOUR),
            section.number("answer-margin", 30, 0, HOUR),
            section.number("come-back", 2_000, 0, HOUR),
            section.flag("probe"),
            section.flag("tell"),
            section.flag("list-by-asking"),
            section.whole("most", 100_000, 1, 10_000_000),
            section.whole("retry-after", 2, 1, 3600),
            section.number("drain", 2_000, 0, HOUR));
    section.done();
    return made;
  }

  private Settings.Cold cold() {
    Section section = section("cold");
    Settings.Cold made =
        new Settings.Cold(
            section.number("from", 0.3, 0.001, 1),
            section.number("ramp", 12_000, 0, HOUR),
            section.number("multiple", 3, 0.1, 1000),
            section.number("window", 3_000, 1, HOUR));
    section.done();
    return made;
  }

  private Timing timing() {
    Section section = section("timers");
    double t1 = section.number("t1", 500, 1, 60_000);
    double t2 = section.number("t2", Math.max(4_000, t1), t1, 600_000);
    double t4 = section.number("t4", 5_000, 1, 600_000);
    section.done();
    return new Timing(t1, t2, t4);
  }

  private static SipStack.Limits stack(Section limits) {
    return new SipStack.Limits(
        limits.whole("headers", 128, 10, 10_000),
        limits.whole("transactions", 400_000, 10, 10_000_000));
  }

  private static SocketLimits sockets(Section limits) {
    SocketLimits usual = SocketLimits.DEFAULTS;
    return new SocketLimits(
        limits.whole("head-bytes", usual.maxHeadBytes(), 1_000, 1 << 20),
        limits.whole("body-bytes", usual.maxBodyBytes(), 1_000, 1 << 24),
        limits.whole("connections", usual.maxConnections(), 1, 1_000_000),
        limits.whole("waiting-bytes", usual.maxQueuedBytes(), 10_000, 1 << 30),
        limits.number("connect-within", usual.connectTimeoutMillis(), 1, 60_000),
        limits.number("ping-every", usual.pingIntervalMillis(), 100, HOUR));
  }
}
