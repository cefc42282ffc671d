package coveladder.rehearsal;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A node controlled by a test: records what it receives and sends text unchanged. */
final class RawNode implements SipNode {
  final SipHost host;
  final List<Message> received = new ArrayList<>();
  final List<Failure> failures = new ArrayList<>();

  RawNode(SipHost host) {
    this.host = host;
  }

  record Message(double receivedAt, Hop from, String text) {
    String header(String name) {
      int start = text.indexOf("\r\n" + name + ": ") + name.length() + 4;
      return text.substring(start, text.indexOf("\r\n", start));
    }

    boolean startsWith(String prefix) {
      return text.startsWith(prefix);
    }
  }

  @Override
  public void start() {}

  @Override
  public void receive(Hop from, byte[] message, double arrivedAtMillis) {
    received.add(new Message(host.now(), from, new String(message, StandardCharsets.ISO_8859_1)));
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    failures.add(failure);
  }

  List<Message> receivedStartingWith(String prefix) {
    return received.stream().filter(message -> message.startsWith(prefix)).toList();
  }

  Message lastStartingWith(String prefix) {
    List<Message> found = receivedStartingWith(prefix);
    return found.get(found.size() - 1);
  }

  void send(Hop to, String text) {
    host.send(to, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Responds to a request; the extra headers follow the usual ones, each ending in CRLF. */
  void respond(Message request, String status, String tag, String extraHeaders) {
    String to = request.header("To");
    StringBuilder response = new StringBuilder("SIP/2.0 ").append(status).append("\r\n");
    for (String line : request.text().split("\r\n")) {
      if (line.startsWith("Via: ")) {
        response.append(line).append("\r\n");
      }
    }
    response.append("From: ").append(request.header("From")).append("\r\nTo: ").append(to);
    response.append(tag.isEmpty() ? "" : ";tag=" + tag).append("\r\nCall-ID: ");
    response.append(request.header("Call-ID")).append("\r\nCSeq: ").append(request.header("CSeq"));
    Hop contact = host.localHop(Transport.UDP);
    response
        .append("\r\nContact: <sip:")
        .append(contact.host())
        .append(":5060>\r\n")
        .append(extraHeaders);
    send(request.from(), response.append("\r\n").toString());
  }
}
