package coveladder.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Plays soak runs of a range of seeds and reports what broke; the root is the working folder. */
public final class SoakCommand {
  private static final int SHOWN_VIOLATIONS = 5;

  private SoakCommand() {}

  /**
   * Plays the runs.
   *
   * @param arguments first seed, number of seeds, seconds of each run, and folder of the logs
   */
  public static void main(String[] arguments) throws IOException {
    long firstSeed = Long.parseLong(arguments[0]);
    int count = Integer.parseInt(arguments[1]);
    double durationMillis = Double.parseDouble(arguments[2]) * 1_000;
    Path folder = Path.of(arguments[3]);
    int failed = 0;
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      failed += play(seed, durationMillis, Path.of("."), folder).isEmpty() ? 0 : 1;
    }
    System.out.println("runs " + count + ", runs with a broken rule or a crash " + failed);
    System.exit(failed == 0 ? 0 : 1);
  }

  /** Plays one run, prints its seed and what broke, and returns the broken rules. */
  static List<Violation> play(long seed, double durationMillis, Path root, Path folder)
      throws IOException {
    Path logs = Files.createDirectories(folder.resolve("seed-" + seed));
    try (SoakRun run = new SoakRun(seed, root, logs).drawGroups()) {
      List<Observation> recording = run.play(durationMillis);
      List<Violation> violations = new RuleChecker(run.settings(), recording).check();
      Files.write(logs.resolve("faults.txt"), run.faults());
      Files.write(
          logs.resolve("recording.txt"), recording.stream().map(Observation::toString).toList());
      long setUps =
          recording.stream()
              .filter(
                  o ->
                      o instanceof Observation.CallerWrote wrote
                          && wrote.message().type() == CallerMessage.SET_UP)
              .count();
      System.out.println(run.describe() + ", set-ups " + setUps + ", broken " + violations.size());
      violations.stream().limit(SHOWN_VIOLATIONS).forEach(v -> System.out.println("  " + v));
      return violations;
    }
  }
}
