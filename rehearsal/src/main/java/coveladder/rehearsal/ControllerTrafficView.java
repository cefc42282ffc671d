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
  private final Map<Integer, String> controllersByPort = new HashMap<>();
  private final Map<String, Hop> peerAddresses;
  private final Map<Hop, String> controllersByConnection = new HashMap<>();

  /**
   * Makes a view.
   *
   * @param controllers place of each controller by its number
   * @param peers place of each peer by its name
   */
  public ControllerTrafficView(Map<Integer, Hop> controllers, Map<String, Hop> peers) {
    controllers.forEach(
        (number, hop) -> controllersByPort.put(hop.port(), Fleet.controllerName(number)));
    peerAddresses = Map.copyOf(peers);
  }

  /** All entries, the controllers' added, in the order of their times. */
  public List<MessageRecorder.Entry> withControllerEntries(List<MessageRecorder.Entry> recorded) {
    List<MessageRecorder.Entry> all = new ArrayList<>();
    for (MessageRecorder.Entry entry : recorded) {
      all.add(entry);
      String controller = entry.message() == null ? null : controllerOf(entry);
      if (controller != null) {
        all.add(mirror(entry, controller));
      }
    }
    all.sort(Comparator.comparingDouble(MessageRecorder.Entry::time));
    return all;
  }

  private MessageRecorder.Entry mirror(MessageRecorder.Entry entry, String controller) {
    Hop peer = peerAddresses.get(entry.node()).withTransport(entry.peer().transport());
    boolean sent = entry.kind() == MessageRecorder.Kind.SENT;
    double time = sent ? entry.time() : entry.arrivedAt();
    MessageRecorder.Kind kind = sent ? MessageRecorder.Kind.READ : MessageRecorder.Kind.SENT;
    return new MessageRecorder.Entry(
        time, controller, kind, peer, time, entry.message(), null, null);
  }

  /** The controller at the other side of a message; null if it is none. */
  private String controllerOf(MessageRecorder.Entry entry) {
    String controller = controllersByPort.get(entry.peer().port());
    if (controller != null || entry.peer().transport() == Transport.UDP) {
      return controller;
    }
    if (entry.kind() == MessageRecorder.Kind.READ) {
      learnConnection(entry);
    }
    return controllersByConnection.get(entry.peer());
  }

  /** A connection that a controller opened has any port; the Via of its requests tells whose. */
  private void learnConnection(MessageRecorder.Entry entry) {
    WireMessage message = WireMessage.parse(entry.message());
    if (message != null && message.status() == 0) {
      String sentBy = message.sentBy();
      int port = Integer.parseInt(sentBy.substring(sentBy.lastIndexOf(':') + 1));
      if (controllersByPort.containsKey(port)) {
        controllersByConnection.put(entry.peer(), controllersByPort.get(port));
      } else {
        controllersByConnection.remove(entry.peer());
      }
    }
  }
}
