package coveladder.isupfront;

import coveladder.CallPolicy;
import coveladder.isup.JournalLine;
import coveladder.isup.Json;
import coveladder.isup.MalformedException;
import coveladder.wire.Fields;
import coveladder.wire.SettingsReader;
import coveladder.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a call controller is told by its configuration file.
 *
 * @param name its name
 * @param listenAddress where callers connect
 * @param seed of all that is drawn
 * @param maxDescriptors most descriptors of the process
 * @param journalAddress where the journal service listens
 * @param journalPosition number of the last event known
 * @param knownEvents the events known
 * @param classNames names of the classes, by their numbers
 * @param drainGraceMillis time within which sends to a closed exchange must cease, ms
 * @param policySettings what the policy is told
 */
public record PlatformSettings(
    String name,
    Address listenAddress,
    long seed,
    int maxDescriptors,
    Address journalAddress,
    long journalPosition,
    List<JournalLine> knownEvents,
    List<String> classNames,
    double drainGraceMillis,
    CallPolicy.Settings policySettings) {

  /**
   * An address.
   *
   * @param host name or number
   * @param port the port
   */
  public record Address(String host, int port) {

    /** Reads `host:port`. */
    static Address of(String path, String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (colon > 0 && port > 0 && port < 65_536) {
          return new Address(text.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        throw new WireException(path + "=" + text + ", expected host:port");
      }
      throw new WireException(path + "=" + text + ", expected host:port");
    }
  }

  /**
   * Reads a configuration file.
   *
   * @throws WireException in one line: the path, what was found, what was expected
   */
  public static PlatformSettings read(byte[] document) {
    try {
      Map<String, String> paths = Json.flatten(document);
      Fields all = new Fields("configuration", paths);
      Fields settings = new Fields("settings", underPrefix(paths, "settings."));
      return new PlatformSettings(
          all.text("name", "controller"),
          Address.of("listen", all.text("listen")),
          seed(all.text("seed", "0")),
          all.intWithin("limits.sockets", 1024, 64, 1 << 20),
          Address.of("journal", all.text("journal")),
          all.longValue("known.pos"),
          JournalLine.decodeAll(paths, "known.entries"),
          classNames(settings),
          settings.numberWithin("rules.drainGrace", 0, 0, 1e9),
          SettingsReader.read(settings));
    } catch (MalformedException | IllegalArgumentException e) {
      throw new WireException("configuration: " + e.getMessage());
    }
  }

  private static Map<String, String> underPrefix(Map<String, String> paths, String prefix) {
    Map<String, String> found = new HashMap<>();
    paths.forEach(
        (path, value) -> {
          if (path.startsWith(prefix)) {
            found.put(path.substring(prefix.length()), value);
          }
        });
    return found;
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new WireException("seed=" + text + ", expected up to 16 hex digits");
    }
  }

  private static List<String> classNames(Fields settings) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < settings.intValue("classes.count"); i++) {
      String path = "classes." + i + ".name";
      String name = settings.text(path);
      if (names.contains(name)) {
        throw new WireException(path + "=" + name + ", expected a name no other class has");
      }
      names.add(name);
    }
    return names;
  }
}
