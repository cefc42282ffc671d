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
  /** Shortest time that must pass, and longest time of all, ms: eleven days. */
  private static final double SHORTEST = 0.001;

  private static final double LONGEST = 1e9;
  private static final double DEAREST = 1e9;
  private static final int MOST = 1_000_000;

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
        f.intWithin("familyInfo.selfNo", -1, -1, MOST),
        f.intWithin("instances", 1, 1, MOST),
        classes(f),
        f.numberWithin("resolution", 1, SHORTEST, LONGEST),
        f.intWithin("permissions.attemptsCap", 1, 1, MOST),
        f.flag("permissions.cancel"),
        f.flag("permissions.mayProbe"),
        f.flag("permissions.peers"),
        retryAfter ? f.numberWithin("permissions.maxRetryAfter", 0, 0, LONGEST) : 0,
        f.text("discovery", "push").equals("ask"),
        f.numberWithin("familyInfo.guard", 0, 0, LONGEST),
        f.numberWithin("familyInfo.retransmit", 0, 0, LONGEST),
        f.numberWithin("rules.coldFrom", 1, SHORTEST, 1),
        f.numberWithin("rules.rampTime", 0, 0, LONGEST),
        f.numberWithin("rules.fallMultiple", 1, SHORTEST, DEAREST),
        f.numberWithin("rules.fall", 1000, SHORTEST, LONGEST));
  }

  private static Layout layout(String word) {
    return switch (word) {
      case "mesh" -> Layout.MESH;
      case "pools" -> Layout.POOLS;
      default -> throw new WireException("unusable setting familyInfo.layout=" + word);
    };
  }

  private static List<CallClass> classes(Fields f) {
    int count = f.intValue("classes.count");
    double[] widths = perClass(f, "familyInfo.channelsNeeded", count);
    double[] holds = perClass(f, "familyInfo.classHold", count);
    List<CallClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String path = "classes." + i + ".";
      f.text(path + "giveUp");
      double giveUp = f.numberWithin(path + "giveUp", 0, SHORTEST, LONGEST);
      classes.add(
          new CallClass(
              f.numberWithin(path + "worth", 1, 0, DEAREST),
              f.numberWithin(path + "lateValue", 0, 0, 1),
              f.numberWithin(path + "aim", giveUp, SHORTEST, LONGEST),
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
      case "keyed" -> f.numberWithin(path + "keyTtl", 0, 0, LONGEST);
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
    for (double value : values) {
      if (!(value > 0 && value <= LONGEST)) {
        throw new WireException(
            f.messageName() + " has " + name + "=" + f.text(name) + ", expected numbers above 0");
      }
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
