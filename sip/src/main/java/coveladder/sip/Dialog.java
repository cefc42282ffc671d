package coveladder.sip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A dialog (RFC 3261 section 12): who talks to whom, by which route, with which numbers.
 *
 * <p>It makes requests within the dialog and keeps the order of those that come in.
 */
public final class Dialog {
  private static final long LIFE_JUMP = 1_000;

  private final String callId;
  private final String localTag;
  private final String remoteTag;
  private final String local;
  private final String remote;
  private final List<String> routes;
  private final String contact;
  private String target;
  private long localSeq;
  private long remoteSeq;

  private Dialog(String callId, String local, String remote, List<String> routes, String contact) {
    this.callId = callId;
    this.local = local;
    this.remote = remote;
    this.localTag = NameAddr.parse(local).tag();
    this.remoteTag = NameAddr.parse(remote).tag();
    this.routes = List.copyOf(routes);
    this.contact = contact;
  }

  /** The dialog that a caller has by a response with a tag (section 12.1.2). */
  public static Dialog ofCaller(SipRequest invite, SipResponse response) {
    List<String> routes = response.headers("Record-Route");
    Collections.reverse(routes);
    Dialog dialog =
        new Dialog(
            invite.callId(),
            invite.header("From"),
            response.header("To"),
            routes,
            invite.header("Contact"));
    dialog.localSeq = invite.cseq().number();
    dialog.remoteSeq = -1;
    dialog.target = contactOf(response, invite.uri());
    return dialog;
  }

  /** The dialog that a callee has by its own answer with a tag (section 12.1.1). */
  public static Dialog ofCallee(SipRequest invite, String to, String contact) {
    Dialog dialog =
        new Dialog(
            invite.callId(), to, invite.header("From"), invite.headers("Record-Route"), contact);
    dialog.localSeq = 0;
    dialog.remoteSeq = invite.cseq().number();
    dialog.target = contactOf(invite, dialog.remoteUri());
    return dialog;
  }

  private static String contactOf(SipMessage message, String absent) {
    NameAddr address = message.addressHeader("Contact");
    return address == null ? absent : address.uri();
  }

  private String remoteUri() {
    return NameAddr.parse(remote).uri();
  }

  /**
   * What has changed since the messages that made the dialog: own and other's number, target.
   *
   * @param localSequence last own number
   * @param remoteSequence last number of the other side
   * @param remoteTarget where requests go
   */
  public record Progress(long localSequence, long remoteSequence, String remoteTarget) {

    /**
     * The same in a later life of this side. Own numbers jump past all that a life before may have
     * used without keeping it; a gap is in order (section 12.2.1.1).
     *
     * @param life number of that life, from 1 on; it grows with each
     */
    public Progress forIncarnation(int life) {
      return new Progress(localSequence + LIFE_JUMP * life, remoteSequence, remoteTarget);
    }
  }

  /** What has changed since the dialog was made. */
  public Progress progress() {
    return new Progress(localSeq, remoteSeq, target);
  }

  /** Goes on from what was kept. */
  public void resume(Progress kept) {
    localSeq = kept.localSequence();
    remoteSeq = kept.remoteSequence();
    target = kept.remoteTarget();
  }

  /** The key that requests from the other side find this dialog by. */
  public String key() {
    return key(callId, localTag, remoteTag);
  }

  /** Key of a dialog as seen from one side. */
  public static String key(String callId, String localTag, String remoteTag) {
    return callId + ' ' + localTag + ' ' + remoteTag;
  }

  /** The other side's tag. */
  public String remoteTag() {
    return remoteTag;
  }

  /** The Call-ID. */
  public String callId() {
    return callId;
  }

  /** A new request in this dialog (section 12.2.1.1); an ACK bears the number of its INVITE. */
  public SipRequest request(String method) {
    localSeq++;
    return request(method, localSeq);
  }

  /** The ACK to a 2xx that answered the INVITE of this number (section 13.2.2.4). */
  public SipRequest ack(long number) {
    return request("ACK", number);
  }

  private SipRequest request(String method, long number) {
    boolean strict = !routes.isEmpty() && !isLoose(routes.get(0));
    List<String> way = new ArrayList<>(routes);
    String uri = target;
    if (strict) {
      uri = NameAddr.parse(way.remove(0)).uri();
      way.add("<" + target + ">");
    }
    SipRequest request = new SipRequest(method, uri);
    request.add("Max-Forwards", "70");
    for (String route : way) {
      request.add("Route", route);
    }
    request.add("From", local);
    request.add("To", remote);
    request.add("Call-ID", callId);
    request.add("CSeq", new CSeq(number, method).toString());
    if (!method.equals("BYE") && !method.equals("ACK")) {
      request.add("Contact", contact);
    }
    return request;
  }

  private static boolean isLoose(String route) {
    NameAddr address = NameAddr.parse(route);
    SipUri uri = address == null ? null : SipUri.parse(address.uri());
    return uri != null && uri.params().has("lr");
  }

  /** Where requests of this dialog go; null where no place can be told from its URIs. */
  public Hop hop() {
    NameAddr first = routes.isEmpty() ? null : NameAddr.parse(routes.get(0));
    SipUri uri = SipUri.parse(first == null ? target : first.uri());
    return uri == null ? null : uri.hop();
  }

  /**
   * Takes note of a request from the other side; whether its number is in order. One that refreshes
   * the target (INVITE, UPDATE) gives a new address.
   */
  public boolean receive(SipRequest request) {
    long number = request.cseq().number();
    if (number <= remoteSeq) {
      return false;
    }
    remoteSeq = number;
    refresh(request);
    return true;
  }

  /** Takes the address of a message that refreshes the target (section 12.2). */
  public void refresh(SipMessage message) {
    String method = message.cseq().method();
    if (method.equals("INVITE") || method.equals("UPDATE")) {
      target = contactOf(message, target);
    }
  }
}
