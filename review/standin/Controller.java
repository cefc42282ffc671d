package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One real call controller: the `run` line of the deploy file in a process of its own. */
final class Controller implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  private static final Path TASKSET = Path.of("/usr/bin/taskset");
  final Path root;
  final Path folder;
  final int port;
  private final Record record;
  private final int sockets;
  private final int exchanges;
  private Process process;
  private int starts;

  /** Whether the process gets one core, as on the platform. */
  boolean oneCore;

  Controller(Record record, int exchanges, int sockets) throws IOException {
    this.record = record;
    this.exchanges = exchanges;
    this.sockets = sockets;
    this.root = Path.of(System.getProperty("review.root")).toAbsolutePath();
    this.folder = Files.createTempDirectory("review");
    this.port = freePort();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  Path configuration() {
    return folder.resolve("config.json");
  }

  /** Writes the configuration: the settings of port-louis-leagues at a small size. */
  void configure(Journal journal) throws IOException {
    String classes =
        classOf("score-check", 1200, 9000, 0.25, 1)
            + ","
            + classOf("match-centre", 2500, 9000, 0.1, 4)
            + ","
            + classOf("lineup-save", 1000, 6000, 0.25, 8);
    String text =
        "{\"name\":\"n0\",\"listen\":\"" + HOST + ":" + port + "\",\"seed\":\"8c1f30d27a5be96"
            + (starts % 10) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
            + sockets + "},\"journal\":\"" + HOST + ":" + journal.port()
            + "\",\"known\":" + journal.known()
            + ",\"settings\":{\"classes\":[" + classes + "],"
            + "\"clients\":{\"marksRetry\":true},\"dcs\":[\"port-louis\"],\"discovery\":\"push\","
            + "\"family\":\"trunks\",\"familyInfo\":{\"allowedPools\":[],"
            + "\"channelsNeeded\":[1,3,1],\"classHold\":[9800.0,15700.0,5900.0],"
            + "\"givesWait\":false,\"guard\":300.0,\"hintsRoute\":false,\"layout\":\"mesh\","
            + "\"remoteLoad\":\"piggyback\",\"retransmit\":800.0,\"selfNo\":0},"
            + "\"instances\":" + exchanges + ",\"machineTypes\":[\"single-core\"],\"me\":0,"
            + "\"myZone\":0,\"overShareWorth\":0.1,\"permissions\":{\"attemptsCap\":6,"
            + "\"cancel\":true,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":300000,"
            + "\"dialTimeout\":500.0,\"idleClose\":600000.0,\"maxOpen\":20000,"
            + "\"maxRetryAfter\":2000.0,\"mayProbe\":false,\"multiplex\":1048576,"
            + "\"peers\":false,\"retryAfter\":true,\"secondCopies\":false},"
            + "\"resolution\":5.0,\"rules\":{\"answerSlack\":20.0,\"askWithin\":10000.0,"
            + "\"coldFrom\":0.28,\"drainGrace\":250.0,\"fall\":3000.0,\"fallMultiple\":3.0,"
            + "\"rampTime\":13000.0},\"stage\":0,\"stats\":{\"fields\":[\"free\",\"size\","
            + "\"hold_back\"],\"how\":\"piggyback\"},\"tiers\":[\"league-exchanges\"],"
            + "\"valueBy\":\"request\",\"weights\":\"silent\"}}";
    Path written = folder.resolve("config.new");
    Files.writeString(written, text);
    Files.move(written, configuration(), java.nio.file.StandardCopyOption.ATOMIC_MOVE,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  private static String classOf(String name, int aim, int giveUp, double late, double worth) {
    return "{\"name\":\"" + name + "\",\"aim\":" + aim + ".0,\"giveUp\":" + giveUp
        + ".0,\"keyScope\":\"all\",\"keyTtl\":5000.0,\"lateValue\":" + late
        + ",\"repeat\":\"safe\",\"streamed\":true,\"worth\":" + worth + "}";
  }

  /** Starts the process with the `run` line and waits until it listens. */
  void start() throws IOException, InterruptedException {
    String run = null;
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        run = line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    File log = folder.resolve("controller-" + ++starts + ".log").toFile();
    List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", run));
    if (oneCore && TASKSET.toFile().canExecute()) {
      // DEPLOY.md: "One core runs the processes". A core that this process may use.
      command.addAll(0, List.of(TASKSET.toString(), "-c", lastCore()));
    }
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(root.toFile());
    builder.environment().put("RELAY_NAME", "n0");
    builder.environment().put("RELAY_LISTEN", HOST + ":" + port);
    builder.environment().put("RELAY_CONFIG", configuration().toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true).redirectOutput(log);
    process = builder.start();
    record.line("controller", "started, pid " + process.pid());
  }

  /** The last core that this process may use. */
  private static String lastCore() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      if (line.startsWith("Cpus_allowed_list:")) {
        String[] cores = line.substring(line.indexOf(':') + 1).trim().split("[,-]");
        return cores[cores.length - 1];
      }
    }
    return "0";
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  long pid() {
    return process.pid();
  }

  /** Sends a signal by name to the controller's process alone. */
  void signal(String name) throws IOException, InterruptedException {
    record.line("controller", "SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start()
        .waitFor();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  List<String> log() throws IOException {
    return Files.readAllLines(folder.resolve("controller-" + starts + ".log"));
  }

  /** Appends the last lines of the controller's own log to the record. */
  void copyLog(int lines) throws IOException {
    List<String> log = log();
    for (String line : log.subList(Math.max(0, log.size() - lines), log.size())) {
      record.line("its log", line);
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      file.delete();
    }
    folder.toFile().delete();
  }
}
