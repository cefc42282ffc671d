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
 * The contents of a call controller's configuration file.
 *
 * @param name name of the controller, used in the log
 * @param listenAddress address that callers connect to
 * @param seed seed of all random numbers
 * @param maxDescriptors maximum number of file descriptors of the process
 * @param journalAddress address of the journal service
 * @param journalPosition position of the last journal event known
 * @param knownEvents the journal events known
 * @param classNames names of the call classes, indexed by class number
 * @param drainGraceMillis time after the notice of a drain within which set-ups may still be sent,
 *     ms
 * @param policySettings settings of the policy
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
   * A network address.
   *
   * @param host host name or IP address
   * @param port port number
   */
  public record Address(String host, int port) {

    /**
     * Parses {@code host:port}.
     *
     * @param path path of the setting, named in the error
     */
    static Address parse(String path, String text) {
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
   * @throws WireException with one line that names the setting, the value found and the value
   *     expected
   */
  public static PlatformSettings read(byte[] document) {
    try {
      Map<String, String> paths = Json.flatten(document);
      Fields configuration = new Fields("configuration", paths);
      Fields settings = new Fields("settings", underPrefix(paths, "settings."));
      return new PlatformSettings(
          configuration.text("name", "controller"),
          Address.parse("listen", configuration.text("listen")),
          parseSeed(configuration.text("seed", "0")),
          configuration.intWithin("limits.sockets", 1024, 64, 1 << 20),
          Address.parse("journal", configuration.text("journal")),
          configuration.longValue("known.pos"),
          JournalLine.decodeAll(paths, "known.entries"),
          readClassNames(settings),
          settings.numberWithin("rules.drainGrace", 0, 0, 1e9),
          SettingsReader.read(settings));
    } catch (MalformedException | IllegalArgumentException e) {
      throw new WireException("configuration: " + e.getMessage());
    }
  }

  /** Returns the entries whose path has the prefix, with the prefix removed. */
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

  private static long parseSeed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new WireException("seed=" + text + ", expected up to 16 hex digits");
    }
  }

  private static List<String> readClassNames(Fields settings) {
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
