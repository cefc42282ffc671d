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
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int TIMEOUT_MILLIS = 20_000;
  private final ServerSocket switchServer = new ServerSocket(0, 50, LOOPBACK);
  private ServerSocket journalServer = new ServerSocket(0, 50, LOOPBACK);
  private final Path configurationFile;
  private final int controllerPort;
  private final int journalPort;
  private final Process process;
  private Socket journalConnection;
  private Socket switchConnection;
  private Socket callerConnection;
  private BufferedReader switchReader;

  /**
   * Starts a controller by its command line, in a folder for its file, and waits until it serves.
   */
  LoopbackPlatform(Path folder, List<String> command) throws IOException {
    try (ServerSocket portReservation = new ServerSocket(0, 50, LOOPBACK)) {
      controllerPort = portReservation.getLocalPort();
    }
    configurationFile = folder.resolve("config.json");
    journalPort = journalServer.getLocalPort();
    writeConfiguration(journalPort);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("RELAY_CONFIG", configurationFile.toString());
    process = builder.inheritIO().start();
    switchServer.setSoTimeout(TIMEOUT_MILLIS);
    journalServer.setSoTimeout(TIMEOUT_MILLIS);
    journalConnection = journalServer.accept();
    acceptSwitch();
    connectCaller();
  }

  /** Takes the next connection to the switch, and tells the state of its group. */
  void acceptSwitch() throws IOException {
    switchConnection = switchServer.accept();
    switchConnection.setSoTimeout(TIMEOUT_MILLIS);
    switchReader = reader(switchConnection);
    sendLine(
        switchConnection,
        "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:9;size:9\"}}");
  }

  /** The switch ends its connection, and takes the next. */
  void reconnectSwitch() throws IOException {
    switchConnection.close();
    acceptSwitch();
  }

  /** A caller connects; what it sends from now on goes there. */
  Socket connectCaller() throws IOException {
    callerConnection = new Socket(LOOPBACK, controllerPort);
    callerConnection.setSoTimeout(TIMEOUT_MILLIS);
    return callerConnection;
  }

  /** The journal service goes away, its connections with it. */
  void stopJournal() throws IOException {
    journalServer.close();
    journalConnection.close();
  }

  /** It is back at its address; what the controller asks it. */
  String restartJournal() throws IOException {
    journalServer = new ServerSocket();
    journalServer.setReuseAddress(true);
    journalServer.bind(new InetSocketAddress(LOOPBACK, journalPort));
    journalServer.setSoTimeout(TIMEOUT_MILLIS);
    journalConnection = journalServer.accept();
    return readJournalRequest();
  }

  /** The command line of a controller on a class path, with options of the virtual machine. */
  static List<String> command(List<String> options) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    return command;
  }

  /** Writes the configuration with the journal service at another port. */
  void writeConfiguration(int journalPort) throws IOException {
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
    Files.writeString(
        configurationFile,
        text.formatted(controllerPort, journalPort, switchServer.getLocalPort()));
  }

  /** What the controller asked the journal service. */
  String readJournalRequest() throws IOException {
    return reader(journalConnection).readLine();
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void sendLine(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a set-up; the line that the switch gets. */
  String sendSetUp(String callId) throws IOException {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.LEFT, "5000".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.FIGURES, "dest:1;width:1".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.DESCRIPTION, "offer".getBytes(StandardCharsets.UTF_8));
    CallerMessage setUp = new CallerMessage(CallerMessage.SET_UP, callId, parameters);
    callerConnection.getOutputStream().write(CallerCodec.encode(setUp));
    return switchReader.readLine();
  }

  /** The switch answers a set-up; what the caller gets. */
  CallerMessage answerCall(String callId, String description)
      throws IOException, MalformedException {
    sendLine(
        switchConnection,
        "{\"msg\":\"ready\",\"sid\":\""
            + callId
            + "\",\"attrs\":{},\"text\":\""
            + description
            + "\"}");
    return readCallerMessage();
  }

  /** The switch ends a call; what the caller gets. */
  CallerMessage releaseCall(String callId, int cause) throws IOException, MalformedException {
    sendLine(
        switchConnection,
        "{\"msg\":\"close\",\"sid\":\""
            + callId
            + "\",\"attrs\":{\"load\":\"free:9;size:9\"},\"code\":"
            + cause
            + "}");
    return readCallerMessage();
  }

  private CallerMessage readCallerMessage() throws IOException, MalformedException {
    DataInputStream in = new DataInputStream(callerConnection.getInputStream());
    return CallerCodec.decode(in.readNBytes(in.readUnsignedShort()));
  }

  /** The controller's process. */
  Process process() {
    return process;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    for (AutoCloseable resource :
        new AutoCloseable[] {
          callerConnection, switchConnection, journalConnection, switchServer, journalServer
        }) {
      try {
        resource.close();
      } catch (Exception e) {
        throw new IOException("a socket did not close: " + e.getMessage(), e);
      }
    }
  }
}
