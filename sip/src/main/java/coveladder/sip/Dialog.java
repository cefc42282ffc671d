package coveladder.sip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A dialog (RFC 3261 section 12): its identifiers, route set, remote target and sequence numbers.
 *
 * <p>It creates requests within the dialog and checks the order of received ones.
 */
public final class Dialog {
  /** Sequence numbers that one incarnation may use without persisting them. */
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

  /** Creates the caller's dialog from a response with a tag (section 12.1.2). */
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

  /**
   * Creates the callee's dialog from the tagged To header field of its response (section 12.1.1).
   */
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
   * The part of a dialog that changes after the messages that created it: sequence numbers and
   * target.
   *
   * @param localSequence sequence number of the last request sent
   * @param remoteSequence sequence number of the last request received
   * @param remoteTarget URI that requests are sent to
   */
  public record State(long localSequence, long remoteSequence, String remoteTarget) {

    /**
     * The same state for a later incarnation of this process. The local sequence number skips all
     * that an earlier incarnation may have used without persisting it; gaps are allowed (section
     * 12.2.1.1).
     *
     * @param incarnation number of the incarnation, from 1 on, increasing with each restart
     */
    public State forIncarnation(int incarnation) {
      return new State(
          localSequence + SEQUENCE_GAP_PER_INCARNATION * incarnation, remoteSequence, remoteTarget);
    }
  }

  /** The part of the dialog that changes. */
  public State state() {
    return new State(localSequence, remoteSequence, remoteTarget);
  }

  /** Restores the stored state. */
  public void resume(State stored) {
    localSequence = stored.localSequence();
    remoteSequence = stored.remoteSequence();
    remoteTarget = stored.remoteTarget();
  }

  /** The key by which requests from the remote side are matched to this dialog. */
  public String key() {
    return key(callId, localTag, remoteTag);
  }

  /** Key of a dialog from the point of view of one side. */
  public static String key(String callId, String localTag, String remoteTag) {
    return callId + ' ' + localTag + ' ' + remoteTag;
  }

  /** The remote tag. */
  public String remoteTag() {
    return remoteTag;
  }

  /** The Call-ID. */
  public String callId() {
    return callId;
  }

  /** Creates a request in this dialog with the next sequence number (section 12.2.1.1). */
  public SipRequest request(String method) {
    localSequence++;
    return request(method, localSequence);
  }

  /** Creates the ACK to a 2xx; it carries the sequence number of the INVITE (section 13.2.2.4). */
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

  /** The hop that requests of this dialog are sent to; null if its URIs do not give one. */
  public Hop hop() {
    NameAddr firstRoute = routeSet.isEmpty() ? null : NameAddr.parse(routeSet.get(0));
    SipUri uri = SipUri.parse(firstRoute == null ? remoteTarget : firstRoute.uri());
    return uri == null ? null : uri.hop();
  }

  /**
   * Records a received request and returns whether its sequence number is in order. A target
   * refresh request (INVITE, UPDATE) updates the remote target.
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

  /** Updates the remote target from a target refresh request or its response (section 12.2). */
  public void refresh(SipMessage message) {
    String method = message.cseq().method();
    if (method.equals("INVITE") || method.equals("UPDATE")) {
      remoteTarget = contactUri(message, remoteTarget);
    }
  }
}
