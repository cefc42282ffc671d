package coveladder.rehearsal;

import coveladder.sip.Hop;
import coveladder.sip.Transport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The wire of controllers that run as processes of their own, told from what their peers sent and
 * read: what a peer sent to a controller counts as read by it then, what a peer read as sent by the
 * controller when it arrived. What was sent to a process that was down counts as read too; the
 * checker excuses calls by the notes on kills and starts.
 */
public final class ControllerTrafficView {
  private final Map<Integer, String> byPort = new HashMap<>();
  private final Map<String, Hop> places;
  private final Map<Hop, String> connections = new HashMap<>();

  /**
   * Makes a view.
   *
   * @param controllers place of each controller by its number
   * @param peers place of each peer by its name
   */
  public ControllerTrafficView(Map<Integer, Hop> controllers, Map<String, Hop> peers) {
    controllers.forEach((number, hop) -> byPort.put(hop.port(), Fleet.controllerName(number)));
    places = Map.copyOf(peers);
  }

  /** All entries, the controllers' added, in the order of their times. */
  public List<MessageRecorder.Entry> withControllerEntries(List<MessageRecorder.Entry> seen) {
    List<MessageRecorder.Entry> all = new ArrayList<>();
    for (MessageRecorder.Entry entry : seen) {
      all.add(entry);
      String controller = entry.message() == null ? null : controller(entry);
      if (controller != null) {
        all.add(mirrored(entry, controller));
      }
    }
    all.sort(Comparator.comparingDouble(MessageRecorder.Entry::time));
    return all;
  }

  private MessageRecorder.Entry mirrored(MessageRecorder.Entry entry, String controller) {
    Hop peer = places.get(entry.node()).withTransport(entry.peer().transport());
    boolean sent = entry.kind() == MessageRecorder.Kind.SENT;
    double time = sent ? entry.time() : entry.arrivedAt();
    MessageRecorder.Kind kind = sent ? MessageRecorder.Kind.READ : MessageRecorder.Kind.SENT;
    return new MessageRecorder.Entry(
        time, controller, kind, peer, time, entry.message(), null, null);
  }

  /** The controller at the other side of a message; null if it is none. */
  private String controller(MessageRecorder.Entry entry) {
    String direct = byPort.get(entry.peer().port());
    if (direct != null || entry.peer().transport() == Transport.UDP) {
      return direct;
    }
    if (entry.kind() == MessageRecorder.Kind.READ) {
      learn(entry);
    }
    return connections.get(entry.peer());
  }

  /** A connection that a controller opened has any port; the Via of its requests tells whose. */
  private void learn(MessageRecorder.Entry entry) {
    WireMessage message = WireMessage.read(entry.message());
    if (message != null && message.status() == 0) {
      String by = message.sentBy();
      int port = Integer.parseInt(by.substring(by.lastIndexOf(':') + 1));
      if (byPort.containsKey(port)) {
        connections.put(entry.peer(), byPort.get(port));
      } else {
        connections.remove(entry.peer());
      }
    }
  }
}
