package coveladder.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Clients that misuse the protocol. */
final class DisruptiveClients {
  private final Random random;
  private final CallerConnections connections;
  private final List<FaultyConnection> idle = new ArrayList<>();

  DisruptiveClients(Random random, CallerConnections connections) {
    this.random = random;
    this.connections = connections;
  }

  /** Sends something that cannot be used on a new connection. */
  void disturb() {
    byte[] octets = octets();
    FaultyConnection[] connection = new FaultyConnection[1];
    connection[0] =
        connections.open(true, () -> connection[0].send(octets), message -> {}, () -> {});
  }

  private byte[] octets() {
    String call = String.format("%016x", random.nextLong());
    byte[] unknownClass =
        new CallerMessage(
                CallerMessage.SET_UP,
                call,
                java.util.Map.of(CallerMessage.CLASS, "no such class".getBytes()))
            .encode();
    return switch (random.nextInt(5)) {
      case 0 -> new byte[] {0, 1, 2};
      case 1 -> new byte[] {(byte) 0xff, (byte) 0xff, 1, 1, 1};
      case 2 -> java.util.Arrays.copyOf(unknownClass, 12);
      case 3 -> new byte[] {0, 9, 99, 1, 2, 3, 4, 5, 6, 7, 8};
      default -> unknownClass;
    };
  }

  /** Opens connections that stay silent. */
  void openIdle(int count) {
    for (int i = 0; i < count; i++) {
      idle.add(connections.open(true, () -> {}, message -> {}, () -> {}));
    }
  }
}
