package coveladder.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * The deployment of one run, drawn from its seed.
 *
 * @param controllers number of controllers, and of exchanges
 * @param classes the call classes
 * @param guardMillis time after an uncertain end before the call is sent again
 * @param drainGraceMillis time after the notice of a drain within which set-ups may be sent
 * @param coldShare share of its capacity at which a switch starts
 * @param rampMillis time until a cold switch has its full capacity
 * @param coldMultiple multiple of its present capacity that a cold switch bears
 * @param coldWindowMillis time over which that is counted
 * @param descriptors descriptors of each controller
 * @param callsPerSecond calls of each controller
 */
record SoakSettings(
    int controllers,
    List<CallClass> classes,
    double guardMillis,
    double drainGraceMillis,
    double coldShare,
    double rampMillis,
    double coldMultiple,
    double coldWindowMillis,
    int descriptors,
    double callsPerSecond) {

  /** A class of calls; times in ms. */
  record CallClass(
      String name,
      double aimMillis,
      double deadlineMillis,
      double worth,
      int width,
      String repeat) {}

  /** Draws the settings of a seed. */
  static SoakSettings draw(Random random) {
    List<CallClass> classes = new ArrayList<>();
    int count = 1 + random.nextInt(4);
    String[] repeats = {"safe", "safe", "keyed", "unsafe"};
    for (int i = 0; i < count; i++) {
      double deadline = 800 + random.nextInt(random.nextBoolean() ? 1_500 : 7_000);
      double aim = deadline * (0.2 + 0.6 * random.nextDouble());
      String name = "class-" + Integer.toString(random.nextInt(1 << 20), 36) + "-" + i;
      String repeat = repeats[random.nextInt(repeats.length)];
      classes.add(
          new CallClass(name, aim, deadline, 1 + random.nextInt(9), 1 + random.nextInt(3), repeat));
    }
    return new SoakSettings(
        2 + random.nextInt(5),
        classes,
        200 + random.nextInt(300),
        150 + random.nextInt(400),
        0.2 + 0.3 * random.nextDouble(),
        8_000 + random.nextInt(8_000),
        2 + random.nextInt(3),
        2_000 + random.nextInt(2_000),
        128 + 64 * random.nextInt(4),
        5 + random.nextInt(30));
  }

  /** Longest deadline, ms. */
  double longestDeadlineMillis() {
    return classes.stream().mapToDouble(CallClass::deadlineMillis).max().orElseThrow();
  }

  /**
   * Rate that a switch can serve when warm, calls a second; it is ample, as these runs look for
   * faults, not for capacity.
   */
  double switchCapacityPerSecond() {
    return 4 * callsPerSecond;
  }

  /** Returns the settings as a controller is told them. */
  String toJson(int controller) {
    String classList =
        classes.stream().map(SoakSettings::classJson).collect(Collectors.joining(","));
    String widths = classes.stream().map(c -> "" + c.width()).collect(Collectors.joining(","));
    String holds = classes.stream().map(c -> "3000").collect(Collectors.joining(","));
    return "{\"classes\":["
        + classList
        + "],\"familyInfo\":{\"layout\":\"mesh\",\"selfNo\":"
        + controller
        + ",\"channelsNeeded\":["
        + widths
        + "],\"classHold\":["
        + holds
        + "],\"guard\":"
        + guardMillis
        + ",\"retransmit\":800},\"instances\":"
        + controllers
        + ",\"resolution\":5,\"discovery\":\"push\",\"clients\":{\"marksRetry\":true},"
        + "\"permissions\":{\"attemptsCap\":6,\"cancel\":true,\"mayProbe\":false,\"peers\":false,"
        + "\"retryAfter\":true,\"maxRetryAfter\":2000},\"rules\":{\"coldFrom\":"
        + coldShare
        + ",\"rampTime\":"
        + rampMillis
        + ",\"fallMultiple\":"
        + coldMultiple
        + ",\"fall\":"
        + coldWindowMillis
        + ",\"drainGrace\":"
        + drainGraceMillis
        + "}}";
  }

  private static String classJson(CallClass c) {
    return "{\"name\":\""
        + c.name()
        + "\",\"aim\":"
        + c.aimMillis()
        + ",\"giveUp\":"
        + c.deadlineMillis()
        + ",\"worth\":"
        + c.worth()
        + ",\"lateValue\":0.2,\"repeat\":\""
        + c.repeat()
        + "\",\"keyTtl\":5000,\"keyScope\":\"all\"}";
  }
}
