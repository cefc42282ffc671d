package coveladder.serve;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isup.MalformedException;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The least that a controller needs around it, on loopback: one switch, a journal service, one
 * caller, and the controller as a process of its own. The build trains the class archive with it.
 */
final class LoopbackPlatform implements AutoCloseable {
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private static final int PATIENCE = 20_000;
  private final ServerSocket farSwitch = new ServerSocket(0, 50, HERE);
  private ServerSocket journal = new ServerSocket(0, 50, HERE);
  private final Path config;
  private final int port;
  private final int journalPort;
  private final Process process;
  private Socket events;
  private Socket toSwitch;
  private Socket caller;
  private BufferedReader fromController;

  /**
   * Starts a controller by its command line, in a folder for its file, and waits until it serves.
   */
  LoopbackPlatform(Path folder, List<String> command) throws IOException {
    try (ServerSocket free = new ServerSocket(0, 50, HERE)) {
      port = free.getLocalPort();
    }
    config = folder.resolve("config.json");
    journalPort = journal.getLocalPort();
    configure(journalPort);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("RELAY_CONFIG", config.toString());
    process = builder.inheritIO().start();
    farSwitch.setSoTimeout(PATIENCE);
    journal.setSoTimeout(PATIENCE);
    events = journal.accept();
    acceptSwitch();
    callAnew();
  }

  /** Takes the next connection to the switch, and tells the state of its group. */
  void acceptSwitch() throws IOException {
    toSwitch = farSwitch.accept();
    toSwitch.setSoTimeout(PATIENCE);
    fromController = reader(toSwitch);
    say(toSwitch, "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:9;size:9\"}}");
  }

  /** The switch ends its connection, and takes the next. */
  void breakSwitch() throws IOException {
    toSwitch.close();
    acceptSwitch();
  }

  /** A caller connects; what it sends from now on goes there. */
  Socket callAnew() throws IOException {
    caller = new Socket(HERE, port);
    caller.setSoTimeout(PATIENCE);
    return caller;
  }

  /** The journal service goes away, its connections with it. */
  void loseJournal() throws IOException {
    journal.close();
    events.close();
  }

  /** It is back at its address; what the controller asks it. */
  String journalBack() throws IOException {
    journal = new ServerSocket();
    journal.setReuseAddress(true);
    journal.bind(new InetSocketAddress(HERE, journalPort));
    journal.setSoTimeout(PATIENCE);
    events = journal.accept();
    return asked();
  }

  /** The command line of a controller on a class path, with options of the virtual machine. */
  static List<String> command(List<String> options) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    return command;
  }

  /** Writes the configuration with the journal service at another port. */
  void configure(int journalPort) throws IOException {
    String text =
        """
        {"name":"n0","listen":"127.0.0.1:%d","seed":"1","journal":"127.0.0.1:%d",
         "limits":{"sockets":256},"known":{"pos":1,"entries":[{"pos":1,"hosts":{"generation":1,
          "reset":true,"instances":[{"instanceId":"s1","hostPort":"127.0.0.1:%d","cell":1,
          "lifecycle":"in_service","startedAtMs":0}]}}]},
         "settings":{"classes":[{"name":"voice","aim":1200,"giveUp":9000}],
          "familyInfo":{"selfNo":0},"instances":2,"permissions":{"attemptsCap":6,"cancel":true},
          "rules":{"drainGrace":250}}}
        """;
    Files.writeString(config, text.formatted(port, journalPort, farSwitch.getLocalPort()));
  }

  /** What the controller asked the journal service. */
  String asked() throws IOException {
    return reader(events).readLine();
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void say(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a set-up; the line that the switch gets. */
  String setUp(String id) throws IOException {
    Map<Integer, byte[]> with = new LinkedHashMap<>();
    with.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.LEFT, "5000".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.FIGURES, "dest:1;width:1".getBytes(StandardCharsets.UTF_8));
    with.put(CallerMessage.DESCRIPTION, "offer".getBytes(StandardCharsets.UTF_8));
    CallerMessage setUp = new CallerMessage(CallerMessage.SET_UP, id, with);
    caller.getOutputStream().write(CallerCodec.encode(setUp));
    return fromController.readLine();
  }

  /** The switch answers a set-up; what the caller gets. */
  CallerMessage answer(String id, String text) throws IOException, MalformedException {
    say(
        toSwitch,
        "{\"msg\":\"ready\",\"sid\":\"" + id + "\",\"attrs\":{},\"text\":\"" + text + "\"}");
    return hear();
  }

  /** The switch ends a call; what the caller gets. */
  CallerMessage close(String id, int code) throws IOException, MalformedException {
    say(
        toSwitch,
        "{\"msg\":\"close\",\"sid\":\""
            + id
            + "\",\"attrs\":{\"load\":\"free:9;size:9\"},\"code\":"
            + code
            + "}");
    return hear();
  }

  private CallerMessage hear() throws IOException, MalformedException {
    DataInputStream in = new DataInputStream(caller.getInputStream());
    return CallerCodec.decode(in.readNBytes(in.readUnsignedShort()));
  }

  /** The controller's process. */
  Process process() {
    return process;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    for (AutoCloseable end : new AutoCloseable[] {caller, toSwitch, events, farSwitch, journal}) {
      try {
        end.close();
      } catch (Exception e) {
        throw new IOException("a socket did not close: " + e.getMessage(), e);
      }
    }
  }
}
