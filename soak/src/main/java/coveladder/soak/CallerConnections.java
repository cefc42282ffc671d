package coveladder.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/** Opens connections of clients to one controller and records what passes them. */
final class CallerConnections {
  private final Reactor reactor;
  private final int controller;
  private final InetSocketAddress address;
  private final NetworkPath path;
  private final List<Observation> recording;
  private int[] nextConnection;

  CallerConnections(
      Reactor reactor,
      int controller,
      InetSocketAddress address,
      NetworkPath path,
      List<Observation> recording,
      int[] nextConnection) {
    this.reactor = reactor;
    this.controller = controller;
    this.address = address;
    this.path = path;
    this.recording = recording;
    this.nextConnection = nextConnection;
  }

  /**
   * Starts to connect.
   *
   * @param disruptive whether the client misuses the protocol: what it writes is not decoded
   * @param received called with each message of the controller
   */
  FaultyConnection open(
      boolean disruptive, Runnable opened, Consumer<CallerMessage> received, Runnable closed) {
    int number = nextConnection[0]++;
    Recorder recorder = new Recorder(number, disruptive);
    FaultyConnection connection;
    try {
      connection = new FaultyConnection(reactor, reactor.connect(address), path, recorder);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    MessageSplitter splitter =
        MessageSplitter.ofMessages(body -> received.accept(CallerMessage.decode(body)));
    connection.setListeners(
        () -> {
          recorder.connected();
          opened.run();
        },
        splitter::feed,
        closed);
    return connection;
  }

  /** Records the messages of one connection. */
  private final class Recorder implements FaultyConnection.Recorder {
    private final int connection;
    private final boolean disruptive;
    private final MessageSplitter written;
    private final MessageSplitter read;
    private boolean connected;

    Recorder(int connection, boolean disruptive) {
      this.connection = connection;
      this.disruptive = disruptive;
      written =
          MessageSplitter.ofMessages(
              body ->
                  recording.add(
                      new Observation.CallerWrote(
                          reactor.now(),
                          controller,
                          connection,
                          disruptive,
                          CallerMessage.decode(body))));
      read =
          MessageSplitter.ofMessages(
              body ->
                  recording.add(
                      new Observation.CallerRead(
                          reactor.now(),
                          controller,
                          connection,
                          disruptive,
                          CallerMessage.decode(body))));
    }

    void connected() {
      connected = true;
      recording.add(
          new Observation.CallerConnected(reactor.now(), controller, connection, disruptive));
    }

    @Override
    public void written(byte[] octets) {
      if (!disruptive) {
        written.feed(octets);
      }
    }

    @Override
    public void read(byte[] octets) {
      read.feed(octets);
    }

    @Override
    public void ended(boolean byController) {
      if (connected) {
        recording.add(
            new Observation.CallerConnectionEnded(
                reactor.now(), controller, connection, byController));
      }
    }
  }
}
