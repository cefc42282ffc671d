package coveladder.rehearsal;

import coveladder.sip.Hop;
import coveladder.sip.Transport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The messages of controllers that run as separate processes, derived from the records of their
 * peers. A message that a peer sent to a controller counts as read by the controller at that time;
 * a message that a peer read counts as sent by the controller at its arrival. A message to a
 * process that was down counts as read, too; the checker uses the notes on kills and restarts to
 * excuse such calls.
 */
public final class ControllerTrafficView {
  private final Map<Integer, String> controllersByPort = new HashMap<>();
  private final Map<String, Hop> peerAddresses;
  private final Map<Hop, String> controllersByConnection = new HashMap<>();

  /**
   * Creates a view.
   *
   * @param controllers address of each controller by its exchange number
   * @param peers address of each peer by its node name
   */
  public ControllerTrafficView(Map<Integer, Hop> controllers, Map<String, Hop> peers) {
    controllers.forEach(
        (exchange, address) ->
            controllersByPort.put(address.port(), Fleet.controllerName(exchange)));
    peerAddresses = Map.copyOf(peers);
  }

  /** The recorded entries together with those of the controllers, ordered by time. */
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

  /** The controller to or from which a message was sent; null if there is none. */
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

  /**
   * Assigns a connection to the controller that the Via of a request names. A controller opens its
   * connections from any port, so that their ports do not identify it.
   */
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
