package coveladder.bench;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import java.nio.charset.StandardCharsets;

/**
 * A switch that is also the server of the exchange directory. It keeps no state of calls: each
 * response is built from the request alone.
 */
final class StatelessSwitch implements SipNode {
  /** Number of exchanges in the directory; calls go to all but the first. */
  static final int EXCHANGE_COUNT = 33;

  private static final int CIRCUITS_PER_GROUP = 400;
  private static final double NOTIFY_INTERVAL_MILLIS = 20;

  private final SipHost host;

  /** URI of this switch, which is the address of every exchange in the directory. */
  private final String uri;

  private long sentNotifies;

  StatelessSwitch(SipHost host, int port) {
    this.host = host;
    this.uri = "sip:127.0.0.1:" + port;
  }

  @Override
  public void start() {}

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    String text = new String(message, StandardCharsets.ISO_8859_1);
    if (text.startsWith("INVITE") || text.startsWith("BYE") || text.startsWith("SUBSCRIBE")) {
      send(from, okResponse(text));
    }
    if (text.startsWith("SUBSCRIBE")) {
      notify(from, text);
      if (text.contains("Event: circuit-groups")) {
        scheduleNotifies(from, text);
      }
    }
  }

  /** Sends a NOTIFY at regular intervals, as if the circuit groups changed all the time. */
  private void scheduleNotifies(Hop to, String subscribe) {
    host.schedule(
        NOTIFY_INTERVAL_MILLIS,
        () -> {
          notify(to, subscribe);
          scheduleNotifies(to, subscribe);
        });
  }

  /** The value of the first header with this name, which must be present. */
  static String header(String text, String name) {
    int valueStart = text.indexOf("\r\n" + name + ": ") + name.length() + 4;
    return text.substring(valueStart, text.indexOf("\r\n", valueStart));
  }

  private String okResponse(String request) {
    String to = header(request, "To");
    return "SIP/2.0 200 OK\r\nVia: "
        + header(request, "Via")
        + "\r\nFrom: "
        + header(request, "From")
        + "\r\nTo: "
        + to
        + (to.contains("tag=") ? "" : ";tag=far")
        + "\r\nCall-ID: "
        + header(request, "Call-ID")
        + "\r\nCSeq: "
        + header(request, "CSeq")
        + "\r\nContact: <"
        + uri
        + (request.contains("SIP/2.0/TCP") ? ";transport=tcp" : "")
        + ">\r\nExpires: 600\r\nContent-Length: 0\r\n\r\n";
  }

  private void notify(Hop to, String subscribe) {
    String body =
        subscribe.contains("Event: exchange-list") ? exchangeDirectoryJson() : circuitGroupsJson();
    sentNotifies++;
    String contact = header(subscribe, "Contact");
    send(
        to,
        "NOTIFY "
            + contact.substring(1, contact.indexOf('>'))
            + " SIP/2.0\r\nVia: SIP/2.0/"
            + to.transport()
            + " 127.0.0.1:9;branch=z9hG4bKn"
            + sentNotifies
            + "\r\nMax-Forwards: 70\r\nFrom: "
            + header(subscribe, "To")
            + ";tag=far\r\nTo: "
            + header(subscribe, "From")
            + "\r\nCall-ID: "
            + header(subscribe, "Call-ID")
            + "\r\nCSeq: "
            + sentNotifies
            + " NOTIFY\r\nEvent: "
            + header(subscribe, "Event")
            + "\r\nSubscription-State: active\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private String circuitGroupsJson() {
    StringBuilder json = new StringBuilder("{\"epoch\":\"e\",\"version\":");
    json.append(sentNotifies + 1).append(",\"groups\":[");
    for (int i = 1; i < EXCHANGE_COUNT; i++) {
      json.append(i > 1 ? "," : "").append("{\"toward\":").append(i).append(",\"free\":");
      json.append(CIRCUITS_PER_GROUP).append(",\"size\":").append(CIRCUITS_PER_GROUP).append('}');
    }
    return json.append("]}").toString();
  }

  private String exchangeDirectoryJson() {
    StringBuilder json = new StringBuilder("{\"full\":true,\"version\":1,\"exchanges\":[");
    for (int i = 0; i < EXCHANGE_COUNT; i++) {
      json.append(i > 0 ? "," : "").append(exchangeJson(i));
    }
    return json.append("]}").toString();
  }

  private String exchangeJson(int number) {
    return "{\"id\":\"e"
        + number
        + "\",\"number\":"
        + number
        + ",\"domain\":\"x"
        + number
        + ".example\",\"address\":\""
        + uri
        + "\",\"state\":\"in-service\"}";
  }

  private void send(Hop to, String text) {
    host.send(to, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {}
}
