package coveladder.rehearsal;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipNode;
import coveladder.sip.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A node that does just what a test says: it keeps what it reads and sends text as it is. */
final class RawNode implements SipNode {
  final SipHost host;
  final List<Read> reads = new ArrayList<>();
  final List<Failure> failures = new ArrayList<>();

  RawNode(SipHost host) {
    this.host = host;
  }

  record Read(double at, Hop from, String text) {
    String field(String name) {
      int at = text.indexOf("\r\n" + name + ": ") + name.length() + 4;
      return text.substring(at, text.indexOf("\r\n", at));
    }

    boolean begins(String word) {
      return text.startsWith(word);
    }
  }

  @Override
  public void start() {}

  @Override
  public void receive(Hop from, byte[] message, double arrived) {
    reads.add(new Read(host.now(), from, new String(message, StandardCharsets.ISO_8859_1)));
  }

  @Override
  public void connectionFailed(Hop hop, Failure failure) {
    failures.add(failure);
  }

  List<Read> all(String begins) {
    return reads.stream().filter(read -> read.begins(begins)).toList();
  }

  Read last(String begins) {
    List<Read> found = all(begins);
    return found.get(found.size() - 1);
  }

  void send(Hop to, String text) {
    host.send(to, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Answers a request as it was read; more is put behind the usual fields. */
  void answer(Read request, String status, String tag, String more) {
    String to = request.field("To");
    StringBuilder out = new StringBuilder("SIP/2.0 ").append(status).append("\r\n");
    for (String line : request.text().split("\r\n")) {
      if (line.startsWith("Via: ")) {
        out.append(line).append("\r\n");
      }
    }
    out.append("From: ").append(request.field("From")).append("\r\nTo: ").append(to);
    out.append(tag.isEmpty() ? "" : ";tag=" + tag).append("\r\nCall-ID: ");
    out.append(request.field("Call-ID")).append("\r\nCSeq: ").append(request.field("CSeq"));
    Hop own = host.localHop(Transport.UDP);
    out.append("\r\nContact: <sip:").append(own.host()).append(":5060>\r\n").append(more);
    send(request.from(), out.append("\r\n").toString());
  }
}
