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
 * A minimal platform on the loopback interface: one switch, a journal service and one caller, with
 * the controller as a separate process. The build also uses it to record the class archive.
 */
public final class LoopbackPlatform implements AutoCloseable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Time allowed for each connection and each message, ms. */
  private static final int TIMEOUT_MILLIS = 20_000;

  private final ServerSocket switchServer = new ServerSocket(0, 50, LOOPBACK);
  private ServerSocket journalServer = new ServerSocket(0, 50, LOOPBACK);
  private final Path configurationFile;
  private final int controllerPort;
  private final int journalPort;
  private final List<String> command;
  private final Path workingFolder;
  private Process process;
  private Socket journalConnection;
  private Socket switchConnection;
  private Socket callerConnection;
  private BufferedReader switchReader;

  /**
   * Starts a controller and waits until it serves.
   *
   * @param folder folder for the configuration file
   * @param command command line of the controller
   */
  LoopbackPlatform(Path folder, List<String> command) throws IOException {
    this(folder, command, Path.of("."));
  }

  /**
   * Starts a controller and waits until it serves.
   *
   * @param folder folder for the configuration file
   * @param command command line of the controller
   * @param workingFolder folder in which the command runs
   */
  public LoopbackPlatform(Path folder, List<String> command, Path workingFolder)
      throws IOException {
    this.command = command;
    this.workingFolder = workingFolder;
    try (ServerSocket portReservation = new ServerSocket(0, 50, LOOPBACK)) {
      controllerPort = portReservation.getLocalPort();
    }
    configurationFile = folder.resolve("config.json");
    journalPort = journalServer.getLocalPort();
    writeConfiguration(journalPort);
    switchServer.setSoTimeout(TIMEOUT_MILLIS);
    journalServer.setSoTimeout(TIMEOUT_MILLIS);
    startController();
    acceptSwitch();
    connectCaller();
  }

  /** Starts the controller's process; the switch has not accepted its connection yet. */
  public void startController() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(workingFolder.toFile());
    builder.environment().put("RELAY_CONFIG", configurationFile.toAbsolutePath().toString());
    process = builder.inheritIO().start();
    journalConnection = journalServer.accept();
  }

  /** Kills the controller's process by SIGKILL and closes what was connected to it. */
  public void killController() throws IOException, InterruptedException {
    process.destroyForcibly().waitFor();
    callerConnection.close();
    switchConnection.close();
    journalConnection.close();
  }

  /** Accepts the controller's next connection to the switch and reports nine free circuits. */
  public void acceptSwitch() throws IOException {
    acceptSwitchSilently();
    sendLoadReport();
  }

  /** Accepts the controller's next connection to the switch; the switch sends nothing yet. */
  public void acceptSwitchSilently() throws IOException {
    switchConnection = switchServer.accept();
    switchConnection.setSoTimeout(TIMEOUT_MILLIS);
    switchReader = reader(switchConnection);
  }

  /** Reports nine free circuits, after which the controller passes tests. */
  public void sendLoadReport() throws IOException {
    sendLine(
        switchConnection,
        "{\"msg\":\"status\",\"sid\":\"\",\"attrs\":{\"load\":\"free:9;size:9\"}}");
  }

  /** Closes the switch's connection and accepts the next one. */
  void reconnectSwitch() throws IOException {
    switchConnection.close();
    acceptSwitch();
  }

  /** Connects a new caller; later messages are sent and read on its connection. */
  public Socket connectCaller() throws IOException {
    callerConnection = new Socket(LOOPBACK, controllerPort);
    callerConnection.setSoTimeout(TIMEOUT_MILLIS);
    return callerConnection;
  }

  /** Stops the journal service and closes its connection. */
  void stopJournal() throws IOException {
    journalServer.close();
    journalConnection.close();
  }

  /** Restarts the journal service at its address and returns the controller's request. */
  String restartJournal() throws IOException {
    journalServer = new ServerSocket();
    journalServer.setReuseAddress(true);
    journalServer.bind(new InetSocketAddress(LOOPBACK, journalPort));
    journalServer.setSoTimeout(TIMEOUT_MILLIS);
    journalConnection = journalServer.accept();
    return readJournalRequest();
  }

  /**
   * Returns the command line that starts a controller.
   *
   * @param options arguments of the java command
   */
  static List<String> command(List<String> options) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    return command;
  }

  /** Writes the configuration file with the journal service at the given port. */
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

  /** Returns the controller's request to the journal service. */
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

  /** Sends a set-up from the caller and returns the line that the switch receives. */
  public String sendSetUp(String callId) throws IOException {
    sendSetUp(callerConnection, callId, "dest:1;width:1");
    return readSwitchLine();
  }

  /** Names a call on a caller's connection as established at the switch already. */
  public void resumeCall(Socket connection, String callId) throws IOException {
    sendSetUp(connection, callId, "dest:1;width:1;at:s1");
  }

  private static void sendSetUp(Socket connection, String callId, String figures)
      throws IOException {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(CallerMessage.CLASS, "voice".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.LEFT, "5000".getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.FIGURES, figures.getBytes(StandardCharsets.UTF_8));
    parameters.put(CallerMessage.DESCRIPTION, "offer".getBytes(StandardCharsets.UTF_8));
    CallerMessage setUp = new CallerMessage(CallerMessage.SET_UP, callId, parameters);
    connection.getOutputStream().write(CallerCodec.encode(setUp));
  }

  /** Sends a message without parameters but the cause on a caller's connection. */
  public void sendWithCause(Socket connection, int type, String callId, int cause)
      throws IOException {
    connection
        .getOutputStream()
        .write(CallerCodec.encode(CallerMessage.withCause(type, callId, cause)));
  }

  /** Returns the next line that the switch receives. */
  public String readSwitchLine() throws IOException {
    return switchReader.readLine();
  }

  /** Answers a set-up at the switch and returns the message that the caller receives. */
  public CallerMessage answerCall(String callId, String description)
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

  /** Releases a call at the switch and returns the message that the caller receives. */
  CallerMessage releaseCall(String callId, int cause) throws IOException, MalformedException {
    sendSwitchRelease(callId, cause);
    return readCallerMessage();
  }

  /** Sends the release of a call from the switch. */
  public void sendSwitchRelease(String callId, int cause) throws IOException {
    sendLine(
        switchConnection,
        "{\"msg\":\"close\",\"sid\":\""
            + callId
            + "\",\"attrs\":{\"load\":\"free:9;size:9\"},\"code\":"
            + cause
            + "}");
  }

  /** Returns the next message on the connection of the caller that connected last. */
  public CallerMessage readCallerMessage() throws IOException, MalformedException {
    DataInputStream in = new DataInputStream(callerConnection.getInputStream());
    return CallerCodec.decode(in.readNBytes(in.readUnsignedShort()));
  }

  /** Returns the controller's process. */
  public Process process() {
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
