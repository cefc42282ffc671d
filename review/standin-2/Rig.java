import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The stand-ins of one case: a controller process started by the run line of the deploy file,
 * switches, a journal service and callers, all on loopback addresses and the real clock. A case
 * ends with status 0 (the rule held), 1 (it was broken) or 2 (the case could not run).
 */
abstract class Rig {
  static final InetAddress LOOPBACK = loopback();

  /** Longest run of a case, ms. */
  private static final long MAX_RUN_MILLIS = 110_000;

  final Path root;
  final Path folder;
  final Path temporary;
  final boolean trouble;
  final Random random = new Random();
  private final PrintWriter recordFile;
  private final long startNanos = System.nanoTime();
  final List<SwitchNode> switches = new CopyOnWriteArrayList<>();
  Journal journal;
  Controller controller;

  Rig(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = folder;
    this.trouble = !"0".equals(System.getenv("TROUBLE"));
    this.temporary = Files.createTempDirectory("case");
    this.recordFile = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
  }

  /** Thrown where a case cannot run: the deployment did not come up as it should. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  /** Runs the case; returns an empty text if the rule held, else what broke it. */
  abstract String run() throws Exception;

  static void main(Rig rig) {
    Runtime.getRuntime().addShutdownHook(new Thread(rig::end));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(MAX_RUN_MILLIS);
              rig.record("the case took too long");
              System.exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int status = 2;
    try {
      rig.record("trouble " + (rig.trouble ? "on" : "off"));
      String broken = rig.run();
      rig.record(broken.isEmpty() ? "RESULT the rule held" : "RESULT broken: " + broken);
      status = broken.isEmpty() ? 0 : 1;
    } catch (Throwable e) {
      rig.record("RESULT could not run: " + e);
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Ends all that the case started. */
  private synchronized void end() {
    if (controller != null) {
      controller.kill();
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("temporary folder not removed: " + e);
    }
  }

  /** Milliseconds since the case began. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void record(String text) {
    String line = String.format("%9.1f %s", now(), text);
    recordFile.println(line);
    System.out.println(line);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until a condition holds; returns whether it did in time. */
  static boolean await(long millis, BooleanSupplier condition) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - until > 0) {
        return false;
      }
      sleep(2);
    }
    return true;
  }

  static void require(boolean condition, String what) {
    if (!condition) {
      throw new CannotRun(what);
    }
  }

  String newId() {
    return HexFormat.of().toHexDigits(random.nextLong() | 1);
  }

  private static InetAddress loopback() {
    try {
      return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- Configuration -------------------------------------------------------------------------

  /** Settings like those of a small deployment of port-louis-leagues. */
  String settings(int exchanges) {
    return "{\"classes\":["
        + "{\"name\":\"score-check\",\"aim\":1200,\"giveUp\":9000,\"worth\":1,\"lateValue\":0.25,\"repeat\":\"safe\"},"
        + "{\"name\":\"match-centre\",\"aim\":2500,\"giveUp\":9000,\"worth\":4,\"lateValue\":0.1,\"repeat\":\"safe\"},"
        + "{\"name\":\"lineup-save\",\"aim\":1000,\"giveUp\":6000,\"worth\":8,\"lateValue\":0.25,\"repeat\":\"safe\"}],"
        + "\"familyInfo\":{\"layout\":\"mesh\",\"selfNo\":0,\"channelsNeeded\":[1,3,1],"
        + "\"classHold\":[9800,15700,5900],\"guard\":300,\"retransmit\":800,\"remoteLoad\":\"piggyback\"},"
        + "\"instances\":" + exchanges + ",\"resolution\":5,\"discovery\":\"push\","
        + "\"clients\":{\"marksRetry\":true},"
        + "\"permissions\":{\"attemptsCap\":6,\"cancel\":true,\"mayProbe\":false,\"peers\":false,"
        + "\"retryAfter\":true,\"maxRetryAfter\":2000,\"dialTimeout\":500,\"idleClose\":600000,"
        + "\"secondCopies\":false},"
        + "\"stats\":{\"how\":\"piggyback\",\"fields\":[\"free\",\"size\",\"hold_back\"]},"
        + "\"rules\":{\"answerSlack\":20,\"coldFrom\":0.28,\"rampTime\":13000,\"fallMultiple\":3,"
        + "\"fall\":3000,\"drainGrace\":250}}";
  }

  /** Starts the journal service and switches 1 to {@code exchanges - 1}. */
  void startPlatform(int exchanges) throws IOException {
    journal = new Journal();
    for (int number = 1; number < exchanges; number++) {
      switches.add(new SwitchNode("s-" + number, number, 0));
    }
    journal.add(event(switches, true));
  }

  /** The hosts part of an event. */
  static String event(List<SwitchNode> listed, boolean whole) {
    StringBuilder text = new StringBuilder("\"hosts\":{\"generation\":1,\"reset\":" + whole + ",\"instances\":[");
    for (int i = 0; i < listed.size(); i++) {
      SwitchNode node = listed.get(i);
      text.append(i == 0 ? "" : ",")
          .append("{\"instanceId\":\"").append(node.id)
          .append("\",\"hostPort\":\"127.0.0.1:").append(node.port)
          .append("\",\"zone\":\"port-louis\",\"machineType\":\"single-core\",\"cell\":").append(node.number)
          .append(",\"lifecycle\":\"").append(node.state)
          .append("\",\"weight\":1,\"startedAtMs\":").append(node.startedAtMillis).append("}");
    }
    return text.append("]}").toString();
  }

  // ---- The controller ------------------------------------------------------------------------

  /** The process of the controller, started by the run line of the deploy file. */
  final class Controller {
    final int port;
    private final int sockets;
    private final int exchanges;
    private Process process;
    private int runs;

    Controller(int exchanges, int sockets) throws IOException {
      this.exchanges = exchanges;
      this.sockets = sockets;
      try (ServerSocket reserved = new ServerSocket(0, 50, LOOPBACK)) {
        port = reserved.getLocalPort();
      }
      controller = this;
    }

    void writeConfiguration() throws IOException {
      String known;
      synchronized (journal) {
        known = "{\"pos\":" + journal.events.size() + ",\"entries\":[" + String.join(",", journal.events) + "]}";
      }
      String json = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\""
          + HexFormat.of().toHexDigits(random.nextLong()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
          + sockets + "},\"journal\":\"127.0.0.1:" + journal.port + "\",\"known\":" + known
          + ",\"settings\":" + settings(exchanges) + "}";
      Path written = temporary.resolve("config.tmp");
      Files.writeString(written, json);
      Files.move(written, temporary.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a run of the controller, and waits until it passes a test. */
    void start() throws IOException {
      journal.newRun();
      writeConfiguration();
      String run =
          Files.readString(root.resolve("deploy/balancer.toml")).lines()
              .filter(line -> line.startsWith("run = "))
              .findFirst().orElseThrow();
      run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
      Path tmp = Files.createDirectories(temporary.resolve("tmp" + ++runs));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(root.toFile());
      builder.environment().put("RELAY_NAME", "n0");
      builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("RELAY_CONFIG", temporary.resolve("config.json").toString());
      builder.environment().put("TMPDIR", tmp.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.to(log().toFile()));
      process = builder.start();
      record("controller: run " + runs + " started");
      require(await(30_000, this::passesTest), "the controller is not ready within 30 s");
      record("controller: passed a test");
    }

    long pid() {
      return process.pid();
    }

    Path log() {
      return temporary.resolve("controller-" + runs + ".log");
    }

    private boolean passesTest() {
      require(process.isAlive(), "the controller has ended");
      try (Caller caller = new Caller("front")) {
        caller.send(52, "0000000000000000", Map.of(30, new byte[] {0}));
        return await(300, () -> caller.received.stream().anyMatch(m -> m.type == 53 && m.cause == 1));
      } catch (IOException e) {
        sleep(100);
        return false;
      }
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    int exitValue() {
      return process.exitValue();
    }

    /** SIGKILL. */
    void kill() {
      if (isAlive()) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
        record("controller: killed");
      }
    }

    void signal(String name) throws Exception {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      record("controller: signal " + name);
    }
  }

  // ---- The journal service -------------------------------------------------------------------

  /** The journal service: events, and each second the last number. */
  final class Journal {
    private ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
    final int port = server.getLocalPort();
    final List<String> events = new ArrayList<>();
    private final List<Socket> followers = new CopyOnWriteArrayList<>();

    /** Connections that stay open and bring nothing more. */
    private final List<Socket> silent = new ArrayList<>();

    private volatile int ticks;

    Journal() throws IOException {
      daemon(this::accept);
      daemon(this::tick);
    }

    /**
     * Falls silent just after a line with the last number: its open connections stay open and bring
     * nothing more, new ones are refused.
     */
    void fallSilent() throws IOException {
      int seen = ticks;
      await(2_000, () -> ticks > seen);
      synchronized (this) {
        record("journal: silent from now on, open connections stay open, new ones are refused");
        silent.addAll(followers);
        followers.clear();
        server.close();
      }
    }

    /** Serves new connections again; the old ones are forgotten and stay silent. */
    synchronized void serveAgain() throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(LOOPBACK, port), 50);
      daemon(this::accept);
      record("journal: serves new connections again");
    }

    /** Events are counted from 1 at every start of a controller: one event holds the whole list. */
    synchronized void newRun() {
      events.clear();
      events.add("{\"pos\":1," + event(switches, true) + "}");
    }

    synchronized void add(String hosts) {
      String line = "{\"pos\":" + (events.size() + 1) + "," + hosts + "}";
      events.add(line);
      record("journal: " + line);
      followers.forEach(follower -> write(follower, line));
    }

    private void accept() throws IOException {
      ServerSocket current = server;
      while (true) {
        Socket follower = current.accept();
        daemon(() -> follow(follower));
      }
    }

    private void follow(Socket follower) throws IOException {
      String line = reader(follower).readLine();
      if (line != null && line.startsWith("tail ")) {
        record("journal <- " + line);
        synchronized (this) {
          for (int i = Integer.parseInt(line.substring(5).trim()); i < events.size(); i++) {
            write(follower, events.get(i));
          }
          followers.add(follower);
        }
      }
    }

    private void tick() {
      while (true) {
        sleep(1_000);
        synchronized (this) {
          followers.forEach(follower -> write(follower, Integer.toString(events.size())));
          ticks++;
        }
      }
    }

    private void write(Socket follower, String line) {
      try {
        follower.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      } catch (IOException e) {
        followers.remove(follower);
      }
    }
  }

  // ---- Switches ------------------------------------------------------------------------------

  private static final Pattern KIND = Pattern.compile("\"msg\":\"(\\w+)\"");
  private static final Pattern SID = Pattern.compile("\"sid\":\"([0-9a-f]*)\"");
  private static final Pattern LEFT = Pattern.compile("\"left\":\"?(\\d+)");

  static String find(Pattern pattern, String line) {
    Matcher matcher = pattern.matcher(line);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** One connection to a switch. */
  final class Link {
    final SwitchNode node;
    final int number;
    private final Socket socket;
    volatile boolean open = true;

    Link(SwitchNode node, int number, Socket socket) {
      this.node = node;
      this.number = number;
      this.socket = socket;
    }

    String name() {
      return node.id + "#" + number;
    }

    synchronized boolean write(String line) {
      try {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        return true;
      } catch (IOException e) {
        return false;
      }
    }

    void reset() {
      open = false;
      resetSocket(socket);
    }
  }

  static void resetSocket(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }

  /**
   * A switch that follows the protocol: it answers each set-up after 20 ms, and calls stand until
   * they are ended here or by the controller. Cases override what they need.
   */
  class SwitchNode {
    final String id;
    final int number;
    final int port;
    final List<Link> links = new CopyOnWriteArrayList<>();

    /** Calls that stand here, with the number of the set-up that made them. */
    final Map<String, Integer> standing = new LinkedHashMap<>();

    /** Set-ups that are not answered, with the connection on which they came. */
    final Map<String, Link> pending = new LinkedHashMap<>();

    /** Releases that could not be written on any connection. */
    final Map<String, Integer> unsentReleases = new LinkedHashMap<>();

    volatile String state = "in_service";
    volatile long startedAtMillis;
    private ServerSocket server;
    private volatile boolean vanished;
    private int accepted;
    int setUps;

    SwitchNode(String id, int number, long startedAtMillis) throws IOException {
      this(id, number, startedAtMillis, 0);
    }

    /** Creates a switch at a port; 0: any free one. */
    SwitchNode(String id, int number, long startedAtMillis, int atPort) throws IOException {
      this.id = id;
      this.number = number;
      this.startedAtMillis = startedAtMillis;
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(LOOPBACK, atPort), 50);
      port = server.getLocalPort();
      listen();
    }

    private void listen() {
      ServerSocket current = server;
      daemon(
          () -> {
            while (true) {
              accepted(current.accept());
            }
          });
    }

    private void accepted(Socket socket) throws IOException {
      socket.setTcpNoDelay(true);
      if (!admits()) {
        record("path to " + id + ": a new connection is reset");
        resetSocket(socket);
        return;
      }
      Link link = new Link(this, ++accepted, socket);
      synchronized (this) {
        links.add(link);
        record(link.name() + " connected");
        link.write(status());
        unsentReleases.forEach((call, code) -> writeRelease(link, call, code));
        unsentReleases.clear();
      }
      daemon(() -> read(link, socket));
    }

    /** Whether the way to this switch lets a new connection pass. */
    boolean admits() {
      return true;
    }

    String status() {
      return "{\"msg\":\"status\",\"sid\":\"0000000000000000\",\"attrs\":{\"load\":\"x0:140;x1:159;eps:0\"}}";
    }

    private void read(Link link, Socket socket) {
      try {
        BufferedReader reader = reader(socket);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          onLine(link, line);
        }
      } catch (IOException e) {
        // The connection has ended.
      }
      lost(link);
    }

    synchronized void lost(Link link) {
      if (links.remove(link)) {
        link.open = false;
        record(link.name() + " ended");
        pending.values().removeIf(other -> other == link);
      }
    }

    synchronized void onLine(Link link, String line) {
      if (vanished) {
        return;
      }
      String kind = find(KIND, line);
      String call = find(SID, line);
      switch (kind) {
        case "open" -> {
          setUps++;
          record(link.name() + " <- set-up " + call + " left " + find(LEFT, line));
          onSetUp(link, call);
        }
        case "close" -> {
          boolean given = pending.remove(call, link);
          boolean known = given || standing.remove(call) != null;
          record(link.name() + " <- release " + call + (known ? "" : " (not known)"));
          link.write("{\"msg\":\"closed\",\"sid\":\"" + call + "\",\"attrs\":{}}");
        }
        default -> {}
      }
    }

    /** Time from a set-up to its answer, ms. */
    long answerMillis() {
      return 20;
    }

    void onSetUp(Link link, String call) {
      pending.put(call, link);
      later(answerMillis(), () -> answer(link, call));
    }

    synchronized void answer(Link link, String call) {
      if (pending.remove(call, link)) {
        standing.put(call, setUps);
        record(link.name() + " -> answer " + call);
        link.write("{\"msg\":\"ready\",\"sid\":\"" + call + "\",\"attrs\":{\"load\":\"x0:140;x1:159;eps:0\"},"
            + "\"text\":\"answer of " + id + " to " + call + "\"}");
      }
    }

    /** The call comes to its end here: the release goes out on any connection, or on the next. */
    synchronized void endCall(String call, int code) {
      standing.remove(call);
      for (Link link : links) {
        if (link.open && writeRelease(link, call, code)) {
          return;
        }
      }
      record(id + ": " + call + " is over, no connection to release it on");
      unsentReleases.put(call, code);
    }

    /** The line of a release, as it arrives at the controller. */
    String release(String call, int code) {
      return "{\"msg\":\"close\",\"sid\":\"" + call + "\",\"attrs\":{\"load\":\"x0:140;x1:159;eps:0\"},\"code\":"
          + code + "}";
    }

    private boolean writeRelease(Link link, String call, int code) {
      String line = release(call, code);
      record(link.name() + " -> release " + call + " cause " + code + " " + line);
      return link.write(line);
    }

    /** New connections are refused from now on. */
    void stopListening() throws IOException {
      server.close();
    }

    /** New connections are accepted again. */
    void listenAgain() throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(LOOPBACK, port), 50);
      listen();
      record(id + ": accepts connections again");
    }

    /**
     * The machine vanishes with its calls: it says nothing more, and its open connections stay open
     * and silent.
     */
    synchronized void vanish() throws IOException {
      record(id + ": its machine vanishes, calls cut " + standing.keySet());
      server.close();
      vanished = true;
      standing.clear();
      pending.clear();
    }

    /** The process dies: its connections are reset and its calls cut. */
    synchronized void die() throws IOException {
      record(id + ": its process dies, calls cut " + standing.keySet());
      server.close();
      links.forEach(Link::reset);
      links.clear();
      standing.clear();
      pending.clear();
      unsentReleases.clear();
    }

    /** Starts a new process at the same address. */
    synchronized void startAgain() throws IOException {
      startedAtMillis = System.currentTimeMillis();
      record(id + ": a new process, started at " + startedAtMillis);
      listenAgain();
    }
  }

  // ---- Callers -------------------------------------------------------------------------------

  /** A message to or from a caller. */
  static final class Message {
    int type;
    String call;
    int cause = -1;
    String text = "";
    double at;
  }

  /** One connection of a client. */
  final class Caller implements AutoCloseable {
    final String name;
    final Socket socket;
    final List<Message> received = new CopyOnWriteArrayList<>();
    volatile boolean ended;
    volatile boolean quiet;

    /** The call whose messages are recorded also on a quiet connection. */
    volatile String watched = "";

    volatile long count;

    Caller(String name) throws IOException {
      this.name = name;
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, controller.port), 2_000);
      daemon(this::read);
    }

    private void read() {
      try (DataInputStream input = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
        while (true) {
          byte[] body = new byte[input.readUnsignedShort()];
          input.readFully(body);
          Message message = decode(body);
          message.at = now();
          count++;
          if (!quiet || message.call.equals(watched)) {
            received.add(message);
            if (message.type != 53) {
              record(name + " <- " + word(message.type) + " " + message.call
                  + (message.cause >= 0 ? " cause " + message.cause : "")
                  + (message.text.isEmpty() ? "" : " '" + message.text + "'"));
            }
          }
        }
      } catch (EOFException e) {
        ended = true;
      } catch (IOException e) {
        ended = true;
      }
    }

    private Message decode(byte[] body) {
      Message message = new Message();
      message.type = body[0];
      message.call = HexFormat.of().formatHex(body, 1, 9);
      for (int at = 9; at + 3 <= body.length; ) {
        int length = (body[at + 1] & 0xff) << 8 | body[at + 2] & 0xff;
        if (body[at] == 30) {
          message.cause = body[at + 3] & 0xff;
        } else if (body[at] == 31) {
          message.text = new String(body, at + 3, length, StandardCharsets.UTF_8);
        }
        at += 3 + length;
      }
      return message;
    }

    void send(int type, String call, Map<Integer, byte[]> parameters) throws IOException {
      write(encode(type, call, parameters));
    }

    synchronized void write(byte[] octets) throws IOException {
      socket.getOutputStream().write(octets);
    }

    /** Sends a set-up of the class score-check. */
    void setUp(String call, int left, String figures) throws IOException {
      setUp("score-check", call, left, figures);
    }

    void setUp(String className, String call, int left, String figures) throws IOException {
      record(name + " -> set-up " + call + " " + className + " left " + left + " " + figures);
      write(encodeSetUp(className, call, left, figures));
    }

    void release(String call) throws IOException {
      record(name + " -> release " + call);
      send(12, call, Map.of(30, new byte[] {16}));
    }

    boolean got(int type, String call) {
      return received.stream().anyMatch(m -> m.type == type && m.call.equals(call));
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // It has ended already.
      }
    }
  }

  static String word(int type) {
    return switch (type) {
      case 9 -> "answer";
      case 12 -> "release";
      case 16 -> "release heard";
      case 6 -> "progress";
      default -> "type " + type;
    };
  }

  static byte[] encodeSetUp(String className, String call, int left, String figures) {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(16, className.getBytes(StandardCharsets.UTF_8));
    parameters.put(17, Integer.toString(left).getBytes(StandardCharsets.UTF_8));
    parameters.put(20, "7f3a9c21e0b4d655".getBytes(StandardCharsets.UTF_8));
    parameters.put(21, figures.getBytes(StandardCharsets.UTF_8));
    parameters.put(31, ("offer of " + call).getBytes(StandardCharsets.UTF_8));
    return encode(1, call, parameters);
  }

  static byte[] encode(int type, String call, Map<Integer, byte[]> parameters) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.write(type);
    body.writeBytes(HexFormat.of().parseHex(call));
    parameters.forEach(
        (code, value) -> {
          body.write(code);
          body.write(value.length >> 8);
          body.write(value.length);
          body.writeBytes(value);
        });
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.write(body.size() >> 8);
    message.write(body.size());
    message.writeBytes(body.toByteArray());
    return message.toByteArray();
  }

  // ---- Threads -------------------------------------------------------------------------------

  /** Work of a thread. */
  interface Work {
    void run() throws IOException;
  }

  static void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // Its socket was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  static void later(long millis, Work work) {
    daemon(
        () -> {
          sleep(millis);
          work.run();
        });
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }
}
