package coveladder.wire;

import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * The one mapping of the platform's settings, by path, to those of the policy: for the adapter and
 * for the front. Paths that it does not know are skipped.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads settings.
   *
   * @throws WireException naming a path that lacks or cannot be read
   */
  public static Settings read(Fields f) {
    boolean retryAfter = f.flag("permissions.retryAfter");
    return new Settings(
        layout(f.text("familyInfo.layout", "mesh")),
        f.small("familyInfo.selfNo", -1),
        f.small("instances", 1),
        classes(f),
        f.number("resolution", 1),
        f.small("permissions.attemptsCap", 1),
        f.flag("permissions.cancel"),
        f.flag("permissions.mayProbe"),
        f.flag("permissions.peers"),
        retryAfter ? f.number("permissions.maxRetryAfter", 0) : 0,
        f.text("discovery", "push").equals("ask"),
        f.number("familyInfo.guard", 0),
        f.number("familyInfo.retransmit", 0),
        f.number("rules.coldFrom", 1),
        f.number("rules.rampTime", 0),
        f.number("rules.fallMultiple", 1),
        f.number("rules.fall", 1000));
  }

  private static Layout layout(String word) {
    return switch (word) {
      case "mesh" -> Layout.MESH;
      case "pools" -> Layout.POOLS;
      default -> throw new WireException("unusable setting familyInfo.layout=" + word);
    };
  }

  private static List<CallClass> classes(Fields f) {
    int count = f.small("classes.count");
    double[] widths = perClass(f, "familyInfo.channelsNeeded", count);
    double[] holds = perClass(f, "familyInfo.classHold", count);
    List<CallClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String path = "classes." + i + ".";
      double giveUp = f.number(path + "giveUp");
      classes.add(
          new CallClass(
              f.number(path + "worth", 1),
              f.number(path + "lateValue", 0),
              f.number(path + "aim", giveUp),
              giveUp,
              widths.length == 0 ? 1 : (int) widths[i],
              holds.length == 0 ? 1000 : holds[i],
              pools(f, i),
              repeatFor(f, path),
              !f.text(path + "repeat", "safe").equals("unsafe")
                  && f.text(path + "keyScope", "all").equals("all")));
    }
    return classes;
  }

  /** A key of a zone is taken as one of a cell, as the policy knows no zones: that is in both. */
  private static double repeatFor(Fields f, String path) {
    String word = f.text(path + "repeat", "safe");
    return switch (word) {
      case "safe" -> Double.POSITIVE_INFINITY;
      case "keyed" -> f.number(path + "keyTtl", 0);
      case "unsafe" -> 0;
      default ->
          throw new WireException(
              "unusable setting " + path + "repeat=" + word + ", expected safe, keyed or unsafe");
    };
  }

  private static double[] perClass(Fields f, String name, int count) {
    double[] values = f.numbers(name);
    if (values.length != 0 && values.length != count) {
      throw new WireException(
          "unusable setting " + name + "=" + f.text(name) + " for classes.count=" + count);
    }
    return values;
  }

  /** Reads the pools of a class, whether the list of lists is written by paths or by signs. */
  private static List<Integer> pools(Fields f, int type) {
    List<Integer> pools = new ArrayList<>();
    for (double pool : f.numbers("familyInfo.allowedPools." + type)) {
      pools.add((int) pool);
    }
    return pools;
  }
}
