package coveladder.sip;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * User agent core (RFC 3261 section 8): places and accepts calls, dispatches requests within a
 * dialog to their leg, and answers requests that match none.
 */
public final class UserAgent implements TransactionUser {
  private static final Set<String> SUPPORTED_METHODS =
      Set.of(
          "INVITE",
          "ACK",
          "BYE",
          "CANCEL",
          "OPTIONS",
          "PRACK",
          "UPDATE",
          "INFO",
          "MESSAGE",
          "SUBSCRIBE",
          "NOTIFY");

  /** Value of the Allow header field: all supported methods. */
  public static final String ALLOW =
      String.join(", ", SUPPORTED_METHODS.stream().sorted().toList());

  private final SipHost host;
  private final Timing timing;
  private final TransactionLayer transactionLayer;
  private final Owner owner;
  private final Map<String, CallLeg> legsByDialogKey = new HashMap<>();
  private final Map<String, Runnable> deferredRestoresByKey = new HashMap<>();
  private final Map<ServerTransaction, CallLeg> pendingLegs = new HashMap<>();
  private long tagCount;

  /** Handles the calls and requests that a user agent receives. */
  public interface Owner {

    /** A new call arrived. Returns the listener of its events, or null if the call was rejected. */
    CallListener incoming(CallLeg leg);

    /** Called with a new call's leg right after {@link #incoming} returned a listener for it. */
    void callAccepted(CallLeg leg);

    /** A request outside any dialog, or a NOTIFY, arrived; the owner must answer it. */
    void request(ServerTransaction transaction, SipRequest request);
  }

  /** Creates a user agent with at most {@code maxServerTransactions} at a time. */
  public UserAgent(SipHost host, Timing timing, int maxServerTransactions, Owner owner) {
    this.host = host;
    this.timing = timing;
    this.owner = owner;
    this.transactionLayer = new TransactionLayer(host, timing, maxServerTransactions, this);
  }

  /** The transaction layer. */
  public TransactionLayer transactionLayer() {
    return transactionLayer;
  }

  Timing timing() {
    return timing;
  }

  SipHost.Timer schedule(double delayMillis, Runnable task) {
    return host.schedule(delayMillis, task);
  }

  /** Creates a unique tag or Call-ID. */
  public String newTag() {
    tagCount++;
    return Long.toHexString(host.random().nextLong() >>> 8) + Long.toHexString(tagCount);
  }

  /** The local Contact for a peer, with the transport that the peer uses. */
  public String contact(Hop peer) {
    Hop local = host.localHop(peer.transport());
    String transportParameter = peer.transport() == Transport.TCP ? ";transport=tcp" : "";
    return "<sip:" + local.host() + ':' + local.port() + transportParameter + '>';
  }

  /**
   * Places a call.
   *
   * @param invite an INVITE with its Request-URI, From and To; the other required header fields are
   *     added
   */
  public CallLeg call(SipRequest invite, Hop hop, CallListener listener) {
    CallLeg leg = prepare(invite, hop, listener);
    leg.sendInvite();
    return leg;
  }

  /** Prepares a call, with its tag, Call-ID and branch, without sending the INVITE yet. */
  public CallLeg prepare(SipRequest invite, Hop hop, CallListener listener) {
    invite.set("From", invite.header("From") + ";tag=" + newTag());
    addRequiredHeaders(invite, newTag() + "@" + host.localHop(hop.transport()).host(), hop);
    CallLeg leg = new CallLeg(this, invite, listener);
    leg.prepare(hop);
    return leg;
  }

  private void addRequiredHeaders(SipRequest request, String callId, Hop hop) {
    request.set("Call-ID", callId);
    request.set("CSeq", new CSeq(1, request.method()).toString());
    if (request.header("Max-Forwards") == null) {
      request.add("Max-Forwards", "70");
    }
    if (request.header("Contact") == null) {
      request.add("Contact", contact(hop));
    }
  }

  /** Sends a request outside any dialog. */
  public void sendOutsideDialog(
      SipRequest request, Hop hop, ClientTransaction.Listener responseListener) {
    if (request.fromTag() == null) {
      request.set("From", request.header("From") + ";tag=" + newTag());
    }
    if (request.callId() == null) {
      addRequiredHeaders(request, newTag() + "@" + host.localHop(hop.transport()).host(), hop);
    }
    transactionLayer.send(request, hop, responseListener);
  }

  // ---- After a restart ----------------------------------------------------------------------

  /**
   * Registers a task that restores the legs of an established call when a message of that call
   * arrives. A restart with very many calls thus need not read them all.
   *
   * @param key key of a dialog, or of the initial INVITE as it may be retransmitted
   */
  public void deferRestore(String key, Runnable restore) {
    deferredRestoresByKey.put(key, restore);
  }

  /** Removes the task registered for a key. */
  public void cancelDeferredRestore(String key) {
    deferredRestoresByKey.remove(key);
  }

  /** Key of an initial INVITE, the same for every retransmission regardless of its path. */
  public static String initialInviteKey(String callId, String fromTag) {
    return callId + ' ' + fromTag;
  }

  private CallLeg findLeg(String key) {
    Runnable restore = deferredRestoresByKey.isEmpty() ? null : deferredRestoresByKey.get(key);
    if (restore != null) {
      restore.run();
    }
    return legsByDialogKey.get(key);
  }

  /** Resumes an established call as its caller, from the INVITE as sent and its 2xx. */
  public CallLeg resumeCaller(
      SipRequest invite,
      Hop hop,
      SipResponse okResponse,
      Dialog.State stored,
      CallListener listener) {
    CallLeg leg = new CallLeg(this, invite, listener);
    leg.resume(hop, okResponse, stored);
    return leg;
  }

  /**
   * Resumes an answered call as its callee.
   *
   * @param okResponse the 2xx as sent
   * @param acknowledged whether its ACK had arrived
   */
  public CallLeg resumeCallee(
      SipRequest invite,
      Hop source,
      SipResponse okResponse,
      boolean acknowledged,
      Dialog.State stored,
      CallListener listener) {
    InviteServerTransaction server = transactionLayer.resumeInvite(invite, source);
    CallLeg leg = new CallLeg(this, server, okResponse.toTag(), listener);
    if (acknowledged) {
      server.resumeAccepted();
    }
    leg.resume(okResponse.header("To"), acknowledged ? null : okResponse, stored);
    return leg;
  }

  /** Resumes an INVITE without final response, with the tag that its leg had. */
  public CallLeg resumePending(
      SipRequest invite, Hop source, String localTag, CallListener listener) {
    InviteServerTransaction server = transactionLayer.resumeInvite(invite, source);
    CallLeg leg = new CallLeg(this, server, localTag, listener);
    server.onRetransmission(() -> listener.inviteRetransmitted(leg));
    pendingLegs.put(server, leg);
    return leg;
  }

  /**
   * Cancels an INVITE that may have been sent before the restart; {@code onDone} runs when it has
   * ended.
   *
   * @param invite the INVITE as it was sent or prepared, with its Via
   */
  public void cancelAfterRestart(SipRequest invite, Hop hop, Runnable onDone) {
    transactionLayer.cancelAfterRestart(invite, hop, new CancelledInviteListener(invite, onDone));
  }

  /** Handles the outcome of an INVITE that was cancelled after a restart. */
  private final class CancelledInviteListener implements ClientTransaction.Listener {
    private final SipRequest invite;
    private final Runnable onDone;
    private boolean released;

    CancelledInviteListener(SipRequest invite, Runnable onDone) {
      this.invite = invite;
      this.onDone = onDone;
    }

    @Override
    public void response(SipResponse response) {
      if (response.isSuccess() && !released) {
        released = true;
        release(invite, response, onDone);
      } else if (!response.isProvisional() && !released) {
        onDone.run();
      }
    }

    @Override
    public void failed(Failure failure) {
      if (!released) {
        onDone.run();
      }
    }
  }

  // ---- Used by call legs --------------------------------------------------------------------

  void send(SipRequest request, Hop hop, ClientTransaction.Listener responseListener) {
    if (hop == null) {
      responseListener.failed(Failure.REFUSED);
    } else {
      transactionLayer.send(request, hop, responseListener);
    }
  }

  void sendAck(SipRequest ack, Hop hop) {
    if (hop != null) {
      transactionLayer.sendAck(ack, hop);
    }
  }

  /** Sends an ACK, reusing its Via if it was sent before. */
  void resendAck(SipRequest ack, Hop hop) {
    if (ack.header("Via") == null) {
      sendAck(ack, hop);
    } else if (hop != null) {
      host.send(hop, ack.toBytes());
    }
  }

  void register(Dialog dialog, CallLeg leg) {
    legsByDialogKey.put(dialog.key(), leg);
  }

  void unregister(Dialog dialog) {
    legsByDialogKey.remove(dialog.key());
  }

  void inviteAnswered(ServerTransaction invite) {
    pendingLegs.remove(invite);
  }

  /**
   * Releases a 2xx that is no longer wanted. The BYE is sent first, and the ACK once the BYE is
   * answered: if this process ends in between, the remote side retransmits its 2xx, which is then
   * released. A caller may send BYE on confirmed and early dialogs (RFC 3261 section 15).
   */
  void release(SipRequest invite, SipResponse response, Runnable onDone) {
    Dialog dialog = Dialog.ofCaller(invite, response);
    Runnable sendAck = () -> sendAck(dialog.ack(response.cseq().number()), dialog.hop());
    send(dialog.request("BYE"), dialog.hop(), new ReleaseByeListener(sendAck, dialog, onDone));
  }

  /**
   * Handles the response to the BYE that releases a late 2xx. A remote side that wants the ACK
   * first rejects the BYE, for example with 491 or 500, and gets a second BYE after the ACK.
   */
  private final class ReleaseByeListener implements ClientTransaction.Listener {
    private final Runnable sendAck;
    private final Dialog dialog;
    private final Runnable onDone;

    ReleaseByeListener(Runnable sendAck, Dialog dialog, Runnable onDone) {
      this.sendAck = sendAck;
      this.dialog = dialog;
      this.onDone = onDone;
    }

    @Override
    public void response(SipResponse response) {
      if (response.isProvisional()) {
        return;
      }
      sendAck.run();
      if (response.status() >= 490) {
        send(dialog.request("BYE"), dialog.hop(), ClientTransaction.Listener.IGNORE);
      }
      onDone.run();
    }

    @Override
    public void failed(Failure failure) {
      sendAck.run();
      onDone.run();
    }
  }

  // ---- Events of the transaction layer ------------------------------------------------------

  @Override
  public void request(ServerTransaction transaction, SipRequest request) {
    SipResponse rejection = validate(request);
    if (rejection != null) {
      transaction.respond(rejection);
    } else if (request.toTag() != null && !request.is("NOTIFY")) {
      receiveInDialog(transaction, request);
    } else if (request.is("INVITE")) {
      receiveInvite(transaction);
    } else if (request.is("OPTIONS") || isForOwner(request)) {
      owner.request(transaction, request);
    } else {
      transaction.respond(request.response(481));
    }
  }

  private static boolean isForOwner(SipRequest request) {
    return request.is("MESSAGE") || request.is("SUBSCRIBE") || request.is("NOTIFY");
  }

  /** Returns the error response to a request that fails the checks of section 8.2, or null. */
  private static SipResponse validate(SipRequest request) {
    if (!SUPPORTED_METHODS.contains(request.method())) {
      SipResponse response = request.response(501);
      response.add("Allow", ALLOW);
      return response;
    }
    if (SipUri.parse(request.uri()) == null) {
      return request.response(416);
    }
    if (request.numericHeader("Max-Forwards", 70) == 0 && request.toTag() == null) {
      return request.response(483);
    }
    String required = request.header("Proxy-Require");
    if (required != null) {
      SipResponse response = request.response(420);
      response.add("Unsupported", required);
      return response;
    }
    return null;
  }

  private void receiveInDialog(ServerTransaction transaction, SipRequest request) {
    CallLeg leg = findLeg(Dialog.key(request.callId(), request.toTag(), request.fromTag()));
    if (leg == null) {
      transaction.respond(request.response(481));
    } else {
      leg.receive(transaction, request);
    }
  }

  private void receiveInvite(ServerTransaction transaction) {
    SipRequest invite = transaction.request();
    Runnable restore =
        deferredRestoresByKey.isEmpty()
            ? null
            : deferredRestoresByKey.get(initialInviteKey(invite.callId(), invite.fromTag()));
    if (restore != null) {
      // The call was established before the restart; a retransmitted INVITE is not a new call and
      // was already answered.
      restore.run();
      ((InviteServerTransaction) transaction).abandon();
      return;
    }
    ListenerProxy proxy = new ListenerProxy();
    CallLeg leg = new CallLeg(this, transaction, newTag(), proxy);
    proxy.listener = owner.incoming(leg);
    if (proxy.listener != null) {
      pendingLegs.put(transaction, leg);
      owner.callAccepted(leg);
    }
  }

  /**
   * Forwards a callee's events to the listener that the owner returns: the leg needs a listener
   * before the owner has seen it.
   */
  private static final class ListenerProxy implements CallListener {
    private CallListener listener;

    @Override
    public void cancelRequested(CallLeg leg, Runnable sendResponse) {
      listener.cancelRequested(leg, sendResponse);
    }

    @Override
    public void acknowledged(CallLeg leg, SipRequest ack) {
      listener.acknowledged(leg, ack);
    }

    @Override
    public void request(CallLeg leg, ServerTransaction transaction, SipRequest request) {
      listener.request(leg, transaction, request);
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      listener.ended(leg, bye);
    }

    @Override
    public void released(CallLeg leg) {
      listener.released(leg);
    }
  }

  @Override
  public void ack(SipRequest ack) {
    CallLeg leg = findLeg(Dialog.key(ack.callId(), ack.toTag(), ack.fromTag()));
    if (leg != null) {
      leg.handleAck(ack);
    }
  }

  @Override
  public void cancelled(ServerTransaction invite, SipRequest cancel) {
    CallLeg leg = pendingLegs.get(invite);
    if (leg != null) {
      leg.handleCancel();
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>It is acknowledged if its call is established here, and released otherwise. The Request-URI
   * of its INVITE is no longer known; requests in the dialog go to the Contact of the 2xx.
   */
  @Override
  public void strayOk(SipResponse response) {
    SipRequest invite = new SipRequest("INVITE", "sip:unknown.invalid");
    invite.copyHeaders("From", response);
    invite.copyHeaders("Call-ID", response);
    invite.copyHeaders("CSeq", response);
    CallLeg leg = findLeg(Dialog.key(response.callId(), response.fromTag(), response.toTag()));
    boolean established = leg != null && leg.state() == CallLeg.State.CONFIRMED;
    if (established) {
      leg.handleRetransmittedOk(response);
    }
    if (!established && response.addressHeader("Contact") != null && response.toTag() != null) {
      release(invite, response, () -> {});
    }
  }
}
