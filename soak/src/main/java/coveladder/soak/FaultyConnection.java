package coveladder.soak;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A connection to a controller through a network path with faults: octets are delayed, split, held
 * back or lost by a reset. It tells the recorder what passed the controller's socket, and when.
 */
final class FaultyConnection {
  private final Reactor reactor;
  private final Endpoint endpoint;
  private final NetworkPath path;
  private final Recorder recorder;
  private final ArrayDeque<Piece> toController = new ArrayDeque<>();
  private final ArrayDeque<byte[]> heldBack = new ArrayDeque<>();
  private Consumer<byte[]> receiver = octets -> {};
  private Runnable closeListener = () -> {};
  private Runnable openListener = () -> {};
  private double lastDueMillis;
  private boolean sending;
  private boolean closeRequested;
  private boolean ended;

  /** Octets for the controller and the time at which they are written. */
  private record Piece(double dueMillis, byte[] octets) {}

  /** Records what passed the controller's socket. */
  interface Recorder {
    void written(byte[] octets);

    void read(byte[] octets);

    void ended(boolean byController);
  }

  FaultyConnection(Reactor reactor, Endpoint endpoint, NetworkPath path, Recorder recorder) {
    this.reactor = reactor;
    this.endpoint = endpoint;
    this.path = path;
    this.recorder = recorder;
    endpoint.setHandler(
        new Endpoint.Handler() {
          @Override
          public void opened() {
            openListener.run();
          }

          @Override
          public void received(byte[] octets) {
            recorder.read(octets);
            deliver(octets);
          }

          @Override
          public void closed() {
            end(true);
            closeListener.run();
          }
        });
  }

  void setListeners(Runnable opened, Consumer<byte[]> received, Runnable closed) {
    openListener = opened;
    receiver = received;
    closeListener = closed;
  }

  boolean isOpen() {
    return endpoint.isOpen() && !ended;
  }

  private void deliver(byte[] octets) {
    if (path.isCut() || !heldBack.isEmpty()) {
      heldBack.add(octets);
      path.onHeal(this::deliverHeldBack);
    } else if (path.delayMillis > 0) {
      reactor.schedule(path.delayMillis, () -> receiver.accept(octets));
    } else {
      receiver.accept(octets);
    }
  }

  /** Delivers octets that arrived before there was a receiver. */
  void deliverEarly(byte[] octets) {
    receiver.accept(octets);
  }

  private void deliverHeldBack() {
    while (!heldBack.isEmpty()) {
      receiver.accept(heldBack.poll());
    }
  }

  /** Sends octets to the controller as the path lets them pass. */
  void send(byte[] octets) {
    int pieceBytes = path.pieceBytes > 0 ? path.pieceBytes : octets.length;
    double dueMillis = Math.max(lastDueMillis, reactor.now() + path.delayMillis);
    for (int from = 0; from < octets.length; from += pieceBytes) {
      int to = Math.min(octets.length, from + pieceBytes);
      toController.add(new Piece(dueMillis, Arrays.copyOfRange(octets, from, to)));
      dueMillis += path.pieceBytes > 0 ? path.pieceGapMillis : 0;
    }
    lastDueMillis = dueMillis;
    sendDue();
  }

  private void sendDue() {
    if (sending) {
      return;
    }
    while (!toController.isEmpty() && !ended) {
      if (path.isCut()) {
        path.onHeal(this::sendDue);
        return;
      }
      double waitMillis = toController.peek().dueMillis() - reactor.now();
      if (waitMillis > 0) {
        sending = true;
        reactor.schedule(
            waitMillis,
            () -> {
              sending = false;
              sendDue();
            });
        return;
      }
      byte[] octets = toController.poll().octets();
      endpoint.send(octets);
      recorder.written(octets);
    }
    if (closeRequested && !ended) {
      end(false);
      endpoint.close();
    }
  }

  /** Closes the connection after all octets for the controller. */
  void close() {
    closeRequested = true;
    sendDue();
  }

  /** Resets the connection. */
  void reset() {
    end(false);
    endpoint.reset();
  }

  private void end(boolean byController) {
    if (!ended) {
      ended = true;
      recorder.ended(byController);
    }
  }
}
