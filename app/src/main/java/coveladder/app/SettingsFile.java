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

/** Reads settings from a KDL document and reports all problems in it at once. */
public final class SettingsFile {
  /** Nodes that may appear at most once. */
  private static final List<String> SINGLE_NODES =
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

  /** Nodes without which a controller cannot run; one class is required besides. */
  private static final List<String> REQUIRED_NODES =
      List.of("listen", "domain", "exchange", "fleet", "switch", "list");

  private static final double HOUR_MILLIS = 3_600_000;

  private final Problems problems;
  private final Map<String, KdlNode> nodes = new HashMap<>();
  private final List<Settings.ClassSettings> classes = new ArrayList<>();

  private SettingsFile(String name) {
    problems = new Problems(name);
  }

  /** Thrown for unusable settings; its message has one line, with a position, for each problem. */
  public static final class UnusableSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> problems;

    UnusableSettingsException(List<String> problems) {
      super(String.join("\n", problems));
      this.problems = problems;
    }

    /** The problems, each as {@code FILE:LINE:COLUMN: description}. */
    public List<String> problems() {
      return problems;
    }
  }

  /** Reads a settings file. */
  public static Settings read(Path file) throws IOException, UnusableSettingsException {
    return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
  }

  /**
   * Reads a settings document.
   *
   * @param name file name for the positions of problems
   */
  public static Settings read(String name, String document) throws UnusableSettingsException {
    SettingsFile file = new SettingsFile(name);
    Settings settings = null;
    try {
      settings = file.parse(KdlReader.read(document));
    } catch (KdlException e) {
      file.problems.add(e.line(), e.column(), e.reason());
    }
    if (!file.problems.messages().isEmpty()) {
      throw new UnusableSettingsException(file.problems.messages());
    }
    return settings;
  }

  private Settings parse(List<KdlNode> topLevelNodes) {
    for (KdlNode node : topLevelNodes) {
      addNode(node);
    }
    for (String name : REQUIRED_NODES) {
      if (!nodes.containsKey(name)) {
        problems.add(1, 1, "node " + name + " is missing");
      }
    }
    if (classes.isEmpty()) {
      problems.add(1, 1, "at least one class is needed");
    }
    return problems.messages().isEmpty() ? build() : null;
  }

  private void addNode(KdlNode node) {
    if (node.name().equals("class")) {
      classes.add(classSettings(new Section(node, problems)));
    } else if (!SINGLE_NODES.contains(node.name())) {
      List<String> knownNames = new ArrayList<>(SINGLE_NODES);
      knownNames.add("class");
      problems.addUnknownName(node.line(), node.column(), "node", node.name(), knownNames);
    } else if (nodes.putIfAbsent(node.name(), node) != null) {
      problems.add(node, "node " + node.name() + " appears more than once");
    }
  }

  private Section section(String name) {
    KdlNode node = nodes.get(name);
    KdlNode empty = new KdlNode(name, List.of(), Map.of(), List.of(), 1, 1);
    return new Section(node == null ? empty : node, problems);
  }

  private Settings build() {
    Section exchange = section("exchange");
    int exchangeNumber = exchange.integer("number", Double.NaN, 0, 9999);
    exchange.rejectUnknownContent();
    Section fleet = section("fleet");
    int controllerCount = fleet.integer("controllers", Double.NaN, 1, 10_000);
    fleet.rejectUnknownContent();
    Section seed = section("seed");
    int seedValue = seed.integer("value", 1, 0, Integer.MAX_VALUE);
    seed.rejectUnknownContent();
    Section log = section("log");
    List<String> levels = List.of("error", "warn", "info", "debug");
    String level = log.choice("level", "info", levels);
    log.rejectUnknownContent();
    Section limits = section("limits");
    Settings settings =
        new Settings(
            address("listen", false, 0),
            section("domain").argument("the domain of the local exchange"),
            exchangeNumber,
            controllerCount,
            address("switch", true, 1),
            address("list", true, 1),
            List.copyOf(classes),
            callSettings(),
            coldStartSettings(),
            timing(),
            stackLimits(limits),
            socketLimits(limits),
            nodes.containsKey("state") ? stateSettings() : null,
            nodes.containsKey("metrics") ? address("metrics", false, 0) : null,
            level,
            seedValue);
    limits.rejectUnknownContent();
    return settings;
  }

  private Settings.StateSettings stateSettings() {
    Section section = section("state");
    section.rejectArguments();
    Settings.StateSettings settings =
        new Settings.StateSettings(
            Path.of(section.text("folder", null)),
            section.number("recover-per-second", 200, 1, 100_000),
            section.number("ask-after", 2_000, 0, HOUR_MILLIS));
    section.rejectUnknownContent();
    return settings;
  }

  private Hop address(String name, boolean hasTransport, int minPort) {
    Section section = section(name);
    section.rejectArguments();
    String host = section.text("host", "127.0.0.1");
    int port = section.integer("port", Double.NaN, minPort, 65535);
    String transport =
        hasTransport ? section.choice("transport", "tcp", List.of("tcp", "udp")) : "udp";
    section.rejectUnknownContent();
    return new Hop(Transport.fromName(transport), host, port);
  }

  private Settings.ClassSettings classSettings(Section section) {
    String name = section.argument("its name");
    double worth = section.number("worth", 1, 0, 1e9);
    double lateWorth = section.number("late", 0, 0, 1);
    double aimMillis = section.number("aim", Double.NaN, 1, HOUR_MILLIS);
    double callerTimeoutMillis = section.number("give-up", Double.NaN, 1, HOUR_MILLIS);
    int width = section.integer("width", 1, 1, 1000);
    double holdMillis = section.number("hold", Double.NaN, 1, 24 * HOUR_MILLIS);
    String priority = section.text("priority", "");
    String prefixes = section.text("prefixes", "");
    boolean isDefault = section.flag("default");
    section.rejectUnknownContent();
    List<String> prefixList =
        prefixes.isBlank() ? List.of() : List.of(prefixes.trim().split("[ ,]+"));
    CallClass policyClass =
        new CallClass(
            worth, lateWorth, aimMillis, callerTimeoutMillis, width, holdMillis, List.of());
    return new Settings.ClassSettings(name, priority, prefixList, isDefault, policyClass);
  }

  private Settings.CallSettings callSettings() {
    Section section = section("calls");
    Settings.CallSettings settings =
        new Settings.CallSettings(
            section.integer("attempts", 6, 1, 100),
            section.number("guard", 300, 0, HOUR_MILLIS),
            section.number("grace", 250, 0, HOUR_MILLIS),
            section.number("patience", 5_000, 1, HOUR_MILLIS),
            section.number("answer-margin", 30, 0, HOUR_MILLIS),
            section.number("come-back", 2_000, 0, HOUR_MILLIS),
            section.flag("probe"),
            section.flag("tell"),
            section.flag("list-by-asking"),
            section.integer("most", 100_000, 1, 10_000_000),
            section.integer("retry-after", 2, 1, 3600),
            section.number("drain", 2_000, 0, HOUR_MILLIS));
    section.rejectUnknownContent();
    return settings;
  }

  private Settings.ColdStartSettings coldStartSettings() {
    Section section = section("cold");
    Settings.ColdStartSettings settings =
        new Settings.ColdStartSettings(
            section.number("from", 0.3, 0.001, 1),
            section.number("ramp", 12_000, 0, HOUR_MILLIS),
            section.number("multiple", 3, 0.1, 1000),
            section.number("window", 3_000, 1, HOUR_MILLIS));
    section.rejectUnknownContent();
    return settings;
  }

  private Timing timing() {
    Section section = section("timers");
    double t1 = section.number("t1", 500, 1, 60_000);
    double t2 = section.number("t2", Math.max(4_000, t1), t1, 600_000);
    double t4 = section.number("t4", 5_000, 1, 600_000);
    section.rejectUnknownContent();
    return new Timing(t1, t2, t4);
  }

  private static SipStack.Limits stackLimits(Section limits) {
    return new SipStack.Limits(
        limits.integer("headers", 128, 10, 10_000),
        limits.integer("transactions", 400_000, 10, 10_000_000));
  }

  private static SocketLimits socketLimits(Section limits) {
    SocketLimits defaults = SocketLimits.DEFAULTS;
    return new SocketLimits(
        limits.integer("head-bytes", defaults.maxHeadBytes(), 1_000, 1 << 20),
        limits.integer("body-bytes", defaults.maxBodyBytes(), 1_000, 1 << 24),
        limits.integer("connections", defaults.maxConnections(), 1, 1_000_000),
        limits.integer("waiting-bytes", defaults.maxQueuedBytes(), 10_000, 1 << 30),
        limits.number("connect-within", defaults.connectTimeoutMillis(), 1, 60_000),
        limits.number("ping-every", defaults.pingIntervalMillis(), 100, HOUR_MILLIS));
  }
}
