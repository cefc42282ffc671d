package coveladder.isup;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A line of the journal service: an event, or only the position of the last event.
 *
 * @param position position of this event in the journal; if the line is no event, that of the last
 *     event
 * @param event whether the line is an event
 * @param snapshot whether the event lists all switches, not only the changed ones
 * @param entries all switches, or the changed ones
 */
public record JournalLine(long position, boolean event, boolean snapshot, List<Entry> entries) {
  private static final int MAX_PORT = 65_535;

  /** Latest start that a list can name: the year 2286. */
  private static final double MAX_START_MILLIS = 1e13;

  /**
   * A switch as the journal lists it.
   *
   * @param id the switch's id
   * @param host host on which it listens
   * @param port port on which it listens
   * @param exchangeNumber number of its exchange
   * @param state its state, in the words of the protocol
   * @param startedAtMillis Unix time of its start, ms; 0 if it started long ago
   */
  public record Entry(
      String id, String host, int port, int exchangeNumber, String state, double startedAtMillis) {}

  /**
   * Decodes a line: a JSON object, or a bare position.
   *
   * @throws MalformedException if it is neither
   */
  public static JournalLine decode(byte[] line) throws MalformedException {
    String text = new String(line, StandardCharsets.UTF_8).trim();
    if (!text.startsWith("{")) {
      return new JournalLine(parseLong("pos", text), false, false, List.of());
    }
    return parse("", Json.flatten(line));
  }

  /**
   * Decodes the list of events at a path of a configuration document.
   *
   * @param values the document as {@link Json#flatten} returns it
   * @param path path of the list
   * @throws MalformedException if an event cannot be read
   */
  public static List<JournalLine> decodeAll(Map<String, String> values, String path)
      throws MalformedException {
    List<JournalLine> lines = new ArrayList<>();
    long count = parseLong(path, values.getOrDefault(path + ".count", "0"));
    for (int i = 0; i < count; i++) {
      lines.add(parse(path + "." + i + ".", values));
    }
    return lines;
  }

  private static JournalLine parse(String prefix, Map<String, String> values)
      throws MalformedException {
    long position = parseLong(prefix + "pos", requireValue(values, prefix + "pos"));
    String instancesPath = prefix + "hosts.instances.";
    if (!values.containsKey(instancesPath + "count")) {
      return new JournalLine(
          position, values.containsKey(prefix + "hosts.generation"), false, List.of());
    }
    long count = parseLong(instancesPath, values.get(instancesPath + "count"));
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(parseEntry(instancesPath + i + ".", values));
    }
    boolean snapshot = Boolean.parseBoolean(values.get(prefix + "hosts.reset"));
    return new JournalLine(position, true, snapshot, entries);
  }

  private static Entry parseEntry(String prefix, Map<String, String> values)
      throws MalformedException {
    String address = requireValue(values, prefix + "hostPort");
    int colon = address.lastIndexOf(':');
    MalformedException.expect(colon > 0, prefix + "hostPort is no address");
    String startedAtMillis = values.getOrDefault(prefix + "startedAtMs", "0");
    return new Entry(
        requireValue(values, prefix + "instanceId"),
        address.substring(0, colon),
        (int) parseWithin(prefix + "hostPort", address.substring(colon + 1), 1, MAX_PORT),
        (int)
            parseWithin(
                prefix + "cell", requireValue(values, prefix + "cell"), 0, Integer.MAX_VALUE),
        requireValue(values, prefix + "lifecycle"),
        parseStart(prefix + "startedAtMs", startedAtMillis));
  }

  private static String requireValue(Map<String, String> values, String path)
      throws MalformedException {
    String value = values.get(path);
    MalformedException.expect(value != null, path + " is missing");
    return value;
  }

  private static long parseLong(String path, String text) throws MalformedException {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new MalformedException(path + " is no whole number");
    }
  }

  private static long parseWithin(String path, String text, long min, long max)
      throws MalformedException {
    long value = parseLong(path, text);
    MalformedException.expect(value >= min && value <= max, path + " is out of range");
    return value;
  }

  private static double parseStart(String path, String text) throws MalformedException {
    try {
      double startedAtMillis = Double.parseDouble(text);
      MalformedException.expect(
          startedAtMillis >= 0 && startedAtMillis <= MAX_START_MILLIS, path + " is out of range");
      return startedAtMillis;
    } catch (NumberFormatException e) {
      throw new MalformedException(path + " is no number");
    }
  }
}
