package coveladder.app;

import coveladder.rehearsal.FaultInjection;
import coveladder.rehearsal.Network;
import coveladder.rehearsal.Rehearsal;
import coveladder.rehearsal.Scenario;
import coveladder.rehearsal.Scenarios;
import coveladder.rehearsal.SeedSweep;
import coveladder.rehearsal.ServiceReport;
import coveladder.rehearsal.SimulatedNetwork;
import coveladder.rehearsal.SocketNetwork;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a rehearsal: a scripted scenario with real controllers among stand-ins. */
@Command(
    name = "rehearse",
    description = {
      "Run a scripted scenario: stand-in exchanges and callers around real controllers.",
      "Exit status 0 only if the checker finds no breach of its five rules and every call ended."
    })
final class RehearseCommand implements Callable<Integer> {
  private static final Map<String, RestartRehearsal.Mode> RESTART_MODES =
      Map.of(
          "restart", RestartRehearsal.Mode.RESTART,
          "region", RestartRehearsal.Mode.REGION,
          "upgrade", RestartRehearsal.Mode.UPGRADE);

  @Spec private CommandSpec spec;

  @Parameters(
      paramLabel = "NAME",
      description = {
        "a scenario; 'small' or 'restarts' with --seeds; 'boundaries': a scenario rerun",
        "with a kill at each of its messages and writes in turn; 'list' prints the scenarios"
      })
  private String name;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of the scenario (${DEFAULT-VALUE})")
  private long seed;

  @Option(names = "--simulated", description = "run in virtual time instead of on loopback sockets")
  private boolean simulated;

  @Option(
      names = "--seeds",
      defaultValue = "0",
      paramLabel = "COUNT",
      description = "number of seeds to run in virtual time, starting with --seed")
  private int seeds;

  @Option(
      names = "--calls",
      defaultValue = "5000",
      description = "approximate number of calls of restart, region and upgrade (${DEFAULT-VALUE})")
  private int calls;

  @Option(
      names = "--ends",
      defaultValue = "60",
      description =
          "number of restarts or take-overs in restart, region and upgrade (${DEFAULT-VALUE})")
  private int ends;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    if (name.equals("list")) {
      Scenarios.all()
          .values()
          .forEach(scenario -> out.printf("%-14s %s%n", scenario.name(), scenario.description()));
      out.println("restart        controllers as processes, killed by SIGKILL amid 5,000 calls");
      out.println("region         the same, all of them at once; try --ends 5");
      out.println("upgrade        the same, each taken over by a new process instead");
      return 0;
    }
    if (name.equals("boundaries")) {
      long boundaryCount =
          SeedSweep.playWithKillAt(Scenarios.boundaries(), seed, -1).restarts().boundaryCount();
      out.printf("%d boundaries, a kill at each in turn%n", boundaryCount);
      return sweep(
          out, SeedSweep.ofBoundaries(Scenarios.boundaries(), seed), 1, (int) boundaryCount);
    }
    if (RESTART_MODES.containsKey(name)) {
      RestartRehearsal.Mode mode = RESTART_MODES.get(name);
      return new RestartRehearsal(mode, seed, calls, ends, out).play() ? 0 : 1;
    }
    if (seeds > 0) {
      return sweep(out, sweepOfSeeds(), seed, seeds);
    }
    Scenario scenario = name.equals("small") ? Scenarios.small(seed) : Scenarios.all().get(name);
    if (scenario == null) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "no day '" + name + "'; there are small, " + String.join(", ", Scenarios.all().keySet()));
    }
    out.printf("%s (seed %d): %s%n%n", scenario.name(), seed, scenario.description());
    out.flush();
    return play(out, scenario);
  }

  private int play(PrintWriter out, Scenario scenario) throws IOException {
    long startNanos = System.nanoTime();
    try (Network network = simulated ? new SimulatedNetwork(seed) : new SocketNetwork(seed)) {
      Rehearsal.Result result = Rehearsal.play(network, scenario, seed, FaultInjection.NONE);
      out.println(new ServiceReport(result.fleetConfig(), result.callResults()));
      out.println(result.ruleReport());
      int unfinished = result.plannedCallCount() - result.callResults().size();
      out.printf(
          "%d calls, %d without an end, %d messages, %.1f s%n",
          result.plannedCallCount(),
          unfinished,
          result.messageCount(),
          (System.nanoTime() - startNanos) / 1e9);
      out.println(result.isClean() ? "all rules hold" : "NOT CLEAN");
      return result.isClean() ? 0 : 1;
    }
  }

  /** Returns the sweep that runs the named scenario once for each seed. */
  private SeedSweep sweepOfSeeds() {
    return switch (name) {
      case "small" -> SeedSweep.ofScenarios(Scenarios::small, FaultInjection.NONE);
      case "restarts" -> SeedSweep.ofRestarts();
      default -> SeedSweep.ofScenarios(s -> scenario(), FaultInjection.NONE);
    };
  }

  /**
   * Runs a sweep and prints its failed runs.
   *
   * @param firstNumber number of the first run: its seed or its boundary
   */
  private int sweep(PrintWriter out, SeedSweep sweep, long firstNumber, int count)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    List<SeedSweep.FailedRun> failedRuns =
        sweep.run(firstNumber, count, Runtime.getRuntime().availableProcessors());
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    failedRuns.forEach(
        failure -> out.printf("number %d:%n%s%n", failure.seed(), failure.description()));
    out.printf(
        "%d played, %d calls, %.1f s, %.0f a minute; %d failing%n",
        sweep.runCount(),
        sweep.callCount(),
        elapsedSeconds,
        sweep.runCount() * 60 / elapsedSeconds,
        failedRuns.size());
    return failedRuns.isEmpty() ? 0 : 1;
  }

  private Scenario scenario() {
    Scenario scenario = Scenarios.all().get(name);
    if (scenario == null) {
      throw new IllegalArgumentException("no day '" + name + "'");
    }
    return scenario;
  }
}
