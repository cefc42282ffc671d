package coveladder.wire;

import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Converts the platform's settings, named by path, to the settings of the policy. The simulator
 * host and the protocol front end share this conversion. Unknown paths are ignored.
 */
public final class SettingsReader {
  /** Smallest value of a setting that must be above 0: a duration in ms, a share or a multiple. */
  private static final double MIN_POSITIVE = 0.001;

  /** Longest duration, ms: eleven days; also the maximum of circuits per call. */
  private static final double MAX_DURATION_MILLIS = 1e9;

  /** Largest value of a call, and largest multiple of a capacity. */
  private static final double MAX_WORTH_OR_MULTIPLE = 1e9;

  /** Largest exchange number, and maximum number of controllers or attempts. */
  private static final int MAX_COUNT = 1_000_000;

  private SettingsReader() {}

  /**
   * Reads the settings of the policy.
   *
   * @throws WireException if a setting is missing, unreadable or out of range; the message names
   *     its path
   */
  public static Settings read(Fields fields) {
    boolean mayRequestRetryDelay = fields.flag("permissions.retryAfter");
    return new Settings(
        layout(fields.text("familyInfo.layout", "mesh")),
        fields.intWithin("familyInfo.selfNo", -1, -1, MAX_COUNT),
        fields.intWithin("instances", 1, 1, MAX_COUNT),
        classes(fields),
        fields.numberWithin("resolution", 1, MIN_POSITIVE, MAX_DURATION_MILLIS),
        fields.intWithin("permissions.attemptsCap", 1, 1, MAX_COUNT),
        fields.flag("permissions.cancel"),
        fields.flag("permissions.mayProbe"),
        fields.flag("permissions.peers"),
        mayRequestRetryDelay
            ? fields.numberWithin("permissions.maxRetryAfter", 0, 0, MAX_DURATION_MILLIS)
            : 0,
        fields.text("discovery", "push").equals("ask"),
        fields.numberWithin("familyInfo.guard", 0, 0, MAX_DURATION_MILLIS),
        fields.numberWithin("familyInfo.retransmit", 0, 0, MAX_DURATION_MILLIS),
        fields.numberWithin("rules.coldFrom", 1, MIN_POSITIVE, 1),
        fields.numberWithin("rules.rampTime", 0, 0, MAX_DURATION_MILLIS),
        fields.numberWithin("rules.fallMultiple", 1, MIN_POSITIVE, MAX_WORTH_OR_MULTIPLE),
        fields.numberWithin("rules.fall", 1000, MIN_POSITIVE, MAX_DURATION_MILLIS));
  }

  private static Layout layout(String word) {
    return switch (word) {
      case "mesh" -> Layout.MESH;
      case "pools" -> Layout.POOLS;
      default -> throw new WireException("unusable setting familyInfo.layout=" + word);
    };
  }

  /**
   * Reads the call classes. The policy does not know zones, so a key that is valid in a zone is
   * treated as one that is valid only in a cell, which lies in its zone.
   */
  private static List<CallClass> classes(Fields fields) {
    int count = fields.intValue("classes.count");
    double[] widths = valuesPerClass(fields, "familyInfo.channelsNeeded", count);
    double[] holds = valuesPerClass(fields, "familyInfo.classHold", count);
    List<CallClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prefix = "classes." + i + ".";
      // The caller time-out has no default: this fails if it is missing.
      fields.text(prefix + "giveUp");
      double callerTimeout =
          fields.numberWithin(prefix + "giveUp", 0, MIN_POSITIVE, MAX_DURATION_MILLIS);
      classes.add(
          new CallClass(
              fields.numberWithin(prefix + "worth", 1, 0, MAX_WORTH_OR_MULTIPLE),
              fields.numberWithin(prefix + "lateValue", 0, 0, 1),
              fields.numberWithin(prefix + "aim", callerTimeout, MIN_POSITIVE, MAX_DURATION_MILLIS),
              callerTimeout,
              widths.length == 0 ? 1 : (int) widths[i],
              holds.length == 0 ? 1000 : holds[i],
              pools(fields, i),
              repeatWindow(fields, prefix),
              !fields.text(prefix + "repeat", "safe").equals("unsafe")
                  && fields.text(prefix + "keyScope", "all").equals("all")));
    }
    return classes;
  }

  /**
   * Reads the time within which a repeat may be sent, ms: without limit if repeats are safe, the
   * validity period of the key if they are keyed, and 0 if they are unsafe.
   */
  private static double repeatWindow(Fields fields, String prefix) {
    String word = fields.text(prefix + "repeat", "safe");
    return switch (word) {
      case "safe" -> Double.POSITIVE_INFINITY;
      case "keyed" -> fields.numberWithin(prefix + "keyTtl", 0, 0, MAX_DURATION_MILLIS);
      case "unsafe" -> 0;
      default ->
          throw new WireException(
              "unusable setting " + prefix + "repeat=" + word + ", expected safe, keyed or unsafe");
    };
  }

  private static double[] valuesPerClass(Fields fields, String path, int count) {
    double[] values = fields.numbers(path);
    if (values.length != 0 && values.length != count) {
      throw new WireException(
          "unusable setting " + path + "=" + fields.text(path) + " for classes.count=" + count);
    }
    for (double value : values) {
      if (!(value > 0 && value <= MAX_DURATION_MILLIS)) {
        throw new WireException(
            fields.messageName()
                + " has "
                + path
                + "="
                + fields.text(path)
                + ", expected numbers above 0");
      }
    }
    return values;
  }

  /**
   * Reads the pools that a class may use. The list of each class has a path of its own, on a START
   * line as in a configuration file.
   */
  private static List<Integer> pools(Fields fields, int classNumber) {
    List<Integer> pools = new ArrayList<>();
    for (double pool : fields.numbers("familyInfo.allowedPools." + classNumber)) {
      pools.add((int) pool);
    }
    return pools;
  }
}
