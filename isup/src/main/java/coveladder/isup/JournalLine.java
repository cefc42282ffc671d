package coveladder.isup;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One line of the journal service: an event, or only the number of the last one.
 *
 * @param position its number, or the last number
 * @param event whether it is an event
 * @param snapshot whether it holds the whole list
 * @param entries the lines of the list, or those that changed
 */
public record JournalLine(long position, boolean event, boolean snapshot, List<Entry> entries) {

  /**
   * A line of the list of switches.
   *
   * @param id the switch's id
   * @param host where it listens
   * @param port where it listens
   * @param exchangeNumber the exchange's number
   * @param state the platform's word for its state
   * @param startedAtMillis Unix time of a late start, ms; 0: long ago
   */
  public record Entry(
      String id, String host, int port, int exchangeNumber, String state, double startedAtMillis) {}

  /**
   * Reads a line: an object, or a bare number.
   *
   * @throws MalformedException where it is neither
   */
  public static JournalLine decode(byte[] line) throws MalformedException {
    String text = new String(line, java.nio.charset.StandardCharsets.UTF_8).trim();
    if (!text.startsWith("{")) {
      return new JournalLine(parseLong("pos", text), false, false, List.of());
    }
    return read("", Json.flatten(line));
  }

  /** Reads the events of a list that stands in a document at a path. */
  public static List<JournalLine> decodeAll(Map<String, String> paths, String path)
      throws MalformedException {
    List<JournalLine> lines = new ArrayList<>();
    long count = parseLong(path, paths.getOrDefault(path + ".count", "0"));
    for (int i = 0; i < count; i++) {
      lines.add(read(path + "." + i + ".", paths));
    }
    return lines;
  }

  private static JournalLine read(String path, Map<String, String> values)
      throws MalformedException {
    long pos = parseLong(path + "pos", text(values, path + "pos"));
    String list = path + "hosts.instances.";
    if (!values.containsKey(list + "count")) {
      return new JournalLine(pos, values.containsKey(path + "hosts.generation"), false, List.of());
    }
    long count = parseLong(list, values.get(list + "count"));
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(entry(list + i + ".", values));
    }
    boolean whole = Boolean.parseBoolean(values.get(path + "hosts.reset"));
    return new JournalLine(pos, true, whole, entries);
  }

  private static Entry entry(String path, Map<String, String> values) throws MalformedException {
    String address = text(values, path + "hostPort");
    int colon = address.lastIndexOf(':');
    MalformedException.expect(colon > 0, path + "hostPort is no address");
    String started = values.getOrDefault(path + "startedAtMs", "0");
    return new Entry(
        text(values, path + "instanceId"),
        address.substring(0, colon),
        (int) parseLong(path + "hostPort", address.substring(colon + 1)),
        (int) parseLong(path + "cell", text(values, path + "cell")),
        text(values, path + "lifecycle"),
        number(path + "startedAtMs", started));
  }

  private static String text(Map<String, String> values, String path) throws MalformedException {
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

  private static double number(String path, String text) throws MalformedException {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new MalformedException(path + " is no number");
    }
  }
}
