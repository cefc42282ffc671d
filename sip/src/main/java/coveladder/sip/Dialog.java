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
  private static final long SEQUENCE_GAP_PER_INCARNATION = 1_000;

  private final String callId;
  private final String localTag;
  private final String remoteTag;
  private final String localAddress;
  private final String remoteAddress;
  private final List<String> routeSet;
  private final String contact;
  private String remoteTarget;
  private long localSequence;
  private long remoteSequence;

  private Dialog(
      String callId,
      String localAddress,
      String remoteAddress,
      List<String> routeSet,
      String contact) {
    this.callId = callId;
    this.localAddress = localAddress;
    this.remoteAddress = remoteAddress;
    this.localTag = NameAddr.parse(localAddress).tag();
    this.remoteTag = NameAddr.parse(remoteAddress).tag();
    this.routeSet = List.copyOf(routeSet);
    this.contact = contact;
  }

  /** The dialog that a caller has by a response with a tag (section 12.1.2). */
  public static Dialog ofCaller(SipRequest invite, SipResponse response) {
    List<String> routeSet = response.headers("Record-Route");
    Collections.reverse(routeSet);
    Dialog dialog =
        new Dialog(
            invite.callId(),
            invite.header("From"),
            response.header("To"),
            routeSet,
            invite.header("Contact"));
    dialog.localSequence = invite.cseq().number();
    dialog.remoteSequence = -1;
    dialog.remoteTarget = contactUri(response, invite.uri());
    return dialog;
  }

  /** The dialog that a callee has by its own answer with a tag (section 12.1.1). */
  public static Dialog ofCallee(SipRequest invite, String toHeader, String contact) {
    Dialog dialog =
        new Dialog(
            invite.callId(),
            toHeader,
            invite.header("From"),
            invite.headers("Record-Route"),
            contact);
    dialog.localSequence = 0;
    dialog.remoteSequence = invite.cseq().number();
    dialog.remoteTarget = contactUri(invite, dialog.remoteUri());
    return dialog;
  }

  private static String contactUri(SipMessage message, String fallback) {
    NameAddr address = message.addressHeader("Contact");
    return address == null ? fallback : address.uri();
  }

  private String remoteUri() {
    return NameAddr.parse(remoteAddress).uri();
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
     * @param incarnation number of that life, from 1 on; it grows with each
     */
    public Progress forIncarnation(int incarnation) {
      return new Progress(
          localSequence + SEQUENCE_GAP_PER_INCARNATION * incarnation, remoteSequence, remoteTarget);
    }
  }

  /** What has changed since the dialog was made. */
  public Progress progress() {
    return new Progress(localSequence, remoteSequence, remoteTarget);
  }

  /** Goes on from what was kept. */
  public void resume(Progress stored) {
    localSequence = stored.localSequence();
    remoteSequence = stored.remoteSequence();
    remoteTarget = stored.remoteTarget();
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
    localSequence++;
    return request(method, localSequence);
  }

  /** The ACK to a 2xx that answered the INVITE of this number (section 13.2.2.4). */
  public SipRequest ack(long inviteSequence) {
    return request("ACK", inviteSequence);
  }

  private SipRequest request(String method, long sequence) {
    boolean strictRouting = !routeSet.isEmpty() && !isLooseRoute(routeSet.get(0));
    List<String> routeHeaders = new ArrayList<>(routeSet);
    String uri = remoteTarget;
    if (strictRouting) {
      uri = NameAddr.parse(routeHeaders.remove(0)).uri();
      routeHeaders.add("<" + remoteTarget + ">");
    }
    SipRequest request = new SipRequest(method, uri);
    request.add("Max-Forwards", "70");
    for (String route : routeHeaders) {
      request.add("Route", route);
    }
    request.add("From", localAddress);
    request.add("To", remoteAddress);
    request.add("Call-ID", callId);
    request.add("CSeq", new CSeq(sequence, method).toString());
    if (!method.equals("BYE") && !method.equals("ACK")) {
      request.add("Contact", contact);
    }
    return request;
  }

  private static boolean isLooseRoute(String route) {
    NameAddr address = NameAddr.parse(route);
    SipUri uri = address == null ? null : SipUri.parse(address.uri());
    return uri != null && uri.params().has("lr");
  }

  /** Where requests of this dialog go; null where no place can be told from its URIs. */
  public Hop hop() {
    NameAddr firstRoute = routeSet.isEmpty() ? null : NameAddr.parse(routeSet.get(0));
    SipUri uri = SipUri.parse(firstRoute == null ? remoteTarget : firstRoute.uri());
    return uri == null ? null : uri.hop();
  }

  /**
   * Takes note of a request from the other side; whether its number is in order. One that refreshes
   * the target (INVITE, UPDATE) gives a new address.
   */
  public boolean receive(SipRequest request) {
    long sequence = request.cseq().number();
    if (sequence <= remoteSequence) {
      return false;
    }
    remoteSequence = sequence;
    refresh(request);
    return true;
  }

  /** Takes the address of a message that refreshes the target (section 12.2). */
  public void refresh(SipMessage message) {
    String method = message.cseq().method();
    if (method.equals("INVITE") || method.equals("UPDATE")) {
      remoteTarget = contactUri(message, remoteTarget);
    }
  }
}
