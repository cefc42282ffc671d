package coveladder.sip;

/**
 * One INVITE dialog usage, as caller or callee (RFC 3261 sections 13 to 15): from the first INVITE
 * to BYE. All methods that act on a leg in the wrong state do nothing, as crossing messages make
 * every order possible.
 */
public final class CallLeg {

  /** Where the call is. */
  public enum State {
    /** INVITE out or in, no final answer. */
    CALLING,
    /** Caller's side: called off, final answer awaited. */
    CANCELLING,
    /** 2xx out or in, ACK not yet. */
    ANSWERED,
    /** The call stands. */
    CONFIRMED,
    /** Over. */
    ENDED
  }

  private final UserAgent agent;
  private final boolean caller;
  private SipRequest invite;
  private final CallListener listener;
  private final String localTag;
  private State state = State.CALLING;
  private Dialog dialog;
  private InviteClientTransaction client;
  private ServerTransaction server;
  private SipRequest ack;
  private SipResponse ok;
  private SipHost.Timer repeat;
  private SipHost.Timer give;
  private double gap;
  private boolean isReleasing;
  private boolean ownReinvite;
  private boolean theirReinvite;
  private ReinviteAnswers reackOwed;
  private Hop place;
  private ReinviteOk reinviteOk;

  /** Makes the caller's side; the INVITE leaves by {@link #sendInvite}. */
  CallLeg(UserAgent agent, SipRequest invite, CallListener listener) {
    this.agent = agent;
    this.caller = true;
    this.invite = invite;
    this.listener = listener;
    this.localTag = invite.fromTag();
  }

  /** Makes the callee's side. */
  CallLeg(UserAgent agent, ServerTransaction server, String localTag, CallListener listener) {
    this.agent = agent;
    this.caller = false;
    this.invite = server.request();
    this.server = server;
    this.listener = listener;
    this.localTag = localTag;
  }

  /** Goes on, as caller, with a call that stood before a restart. */
  void resume(Hop hop, SipResponse answered, Dialog.Progress kept) {
    place = hop;
    dialog(Dialog.ofCaller(invite, answered));
    dialog.resume(kept);
    state = State.CONFIRMED;
  }

  /**
   * Goes on, as callee, with a call that stood before a restart.
   *
   * @param answered the 2xx, sent again until its ACK comes; null where that had come
   */
  void resume(String to, SipResponse answered, Dialog.Progress kept) {
    place = server.source();
    dialog(Dialog.ofCallee(invite, to, agent.contact(place)));
    if (answered == null) {
      state = State.CONFIRMED;
    } else {
      accept(answered);
    }
    dialog.resume(kept);
  }

  /** A 2xx that came again although its transaction is over: the other side missed the ACK. */
  void strayOk(SipResponse response) {
    if (caller && state == State.CONFIRMED) {
      agent.sendAck(dialog.ack(response.cseq().number()), dialog.hop());
    }
  }

  /** Own tag on this leg. */
  public String localTag() {
    return localTag;
  }

  /** What has changed in the dialog since it was made; null before there is one. */
  public Dialog.Progress progress() {
    return dialog == null ? null : dialog.progress();
  }

  /** The INVITE that began it; null once a call stands for so long that no repeat can come. */
  public SipRequest invite() {
    return invite;
  }

  /** Where the call is. */
  public State state() {
    return state;
  }

  /** Where the INVITE went or came from. */
  public Hop hop() {
    if (place != null) {
      return place;
    }
    return caller ? client.hop() : server.source();
  }

  /**
   * Once the INVITE's transaction is over nothing can ask for what it said: a call that stands for
   * long keeps its dialog only.
   */
  private void settle() {
    if (state == State.CONFIRMED) {
      place = hop();
      invite = null;
      client = null;
      server = null;
      ack = null;
      ok = null;
      repeat = null;
      give = null;
    }
  }

  /** Own Contact on this leg. */
  public String contact() {
    return agent.contact(hop());
  }

  /** Time since the INVITE came to this machine, ms. */
  public double millisSinceInvite(double now) {
    return now - server.arrived();
  }

  /** Whether an INVITE or final answer is still awaited from the other side. */
  public boolean isOutstanding() {
    return caller && (state == State.CALLING || state == State.CANCELLING);
  }

  // ---- Caller's side ------------------------------------------------------------------------

  void prepare(Hop hop) {
    client =
        (InviteClientTransaction)
            agent.transactionLayer().prepare(invite, hop, new InviteAnswers());
  }

  /** Sends the INVITE of a leg that {@link UserAgent#prepare} made ready. */
  public void sendInvite() {
    agent.transactionLayer().begin(client);
  }

  /** Hears the answers to the first INVITE. */
  private final class InviteAnswers implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      listener.responseReceived(CallLeg.this, response);
      if (response.isProvisional()) {
        provisional(response);
      } else if (response.isSuccess()) {
        success(response);
      } else if (isOutstanding()) {
        end();
        listener.rejected(CallLeg.this, response);
      }
    }

    @Override
    public void failed(Failure failure) {
      if (isOutstanding()) {
        end();
        listener.failed(CallLeg.this, failure);
      }
    }

    @Override
    public void over() {
      settle();
    }
  }

  private void provisional(SipResponse response) {
    if (response.status() > 100 && state == State.CALLING) {
      if (dialog == null && response.toTag() != null) {
        dialog(Dialog.ofCaller(invite, response));
      }
      listener.progress(this, response);
    }
  }

  /** Guards against answers that cross our CANCEL, repeats, and a second answer by a fork. */
  private void success(SipResponse response) {
    boolean first = dialog == null || isOutstanding();
    if (state == State.CANCELLING) {
      dialog(Dialog.ofCaller(invite, response));
      isReleasing = true;
      agent.release(invite, response, this::released);
      end();
      listener.answeredLate(this, response);
    } else if (first && state == State.CALLING) {
      dialog(Dialog.ofCaller(invite, response));
      state = State.ANSWERED;
      listener.answered(this, response);
    } else if (dialog == null || !dialog.remoteTag().equals(response.toTag())) {
      agent.release(invite, response, () -> {});
    } else if (ack != null) {
      agent.sendAgain(ack, dialog.hop());
    }
  }

  /**
   * Acknowledges the 2xx.
   *
   * @param from message whose body goes along, an answer to an offer in the 2xx; or null
   */
  public void ack(SipMessage from) {
    if (caller && state == State.ANSWERED) {
      state = State.CONFIRMED;
      ack = dialog.ack(invite.cseq().number());
      copyBody(from, ack);
      agent.sendAck(ack, dialog.hop());
    }
  }

  /** Calls the INVITE off; a late 2xx is released at once. */
  public void cancel(String reason) {
    if (caller && state == State.CALLING) {
      state = State.CANCELLING;
      client.cancel(reason);
    }
  }

  // ---- Callee's side ------------------------------------------------------------------------

  /** A response to the INVITE with this leg's tag and contact. */
  public SipResponse response(int status) {
    return response(status, SipResponse.reasonPhrase(status));
  }

  /** The same with a reason phrase of one's own. */
  public SipResponse response(int status, String phrase) {
    SipResponse response = invite.response(status, phrase);
    if (status > 100) {
      response.set("To", tagged(invite.header("To")));
    }
    if (status < 300 && status > 100) {
      response.copyHeaders("Record-Route", invite);
      response.add("Contact", agent.contact(server.source()));
    }
    return response;
  }

  private String tagged(String to) {
    NameAddr address = NameAddr.parse(to);
    if (address.tag() != null) {
      return to;
    }
    return to + ";tag=" + localTag;
  }

  /** Sends a provisional answer, made by {@link #response}. */
  public void progress(SipResponse response) {
    if (!caller && state == State.CALLING) {
      early(response);
      server.respond(response);
    }
  }

  private void early(SipResponse response) {
    if (dialog == null && response.status() > 100) {
      String contact = agent.contact(server.source());
      dialog(Dialog.ofCallee(invite, response.header("To"), contact));
    }
  }

  /** Answers with a 2xx, made by {@link #response}; it is repeated until the ACK comes. */
  public void accept(SipResponse response) {
    if (!caller && state == State.CALLING) {
      early(response);
      state = State.ANSWERED;
      ok = response;
      agent.answered(server);
      gap = agent.timing().t1();
      server.whenOver(this::settle);
      server.respond(response);
      repeat = agent.after(gap, this::repeatOk);
      give = agent.after(agent.timing().transactionTimeout(), this::neverAcknowledged);
    }
  }

  private void repeatOk() {
    if (state == State.ANSWERED) {
      server.respond(ok);
      gap = Math.min(2 * gap, agent.timing().t2());
      repeat = agent.after(gap, this::repeatOk);
    }
  }

  private void neverAcknowledged() {
    if (state == State.ANSWERED) {
      bye(null);
      listener.ended(this, null);
    }
  }

  /** Answers with a final response other than 2xx; the leg is over. */
  public void reject(SipResponse response) {
    if (!caller && state == State.CALLING) {
      end();
      server.respond(response);
    }
  }

  /**
   * Lets go of an INVITE that will not be answered here; its caller had its answer, or has left.
   */
  public void abandon() {
    if (!caller && state == State.CALLING) {
      end();
      ((InviteServerTransaction) server).abandon();
    }
  }

  void cancelled() {
    if (!caller && state == State.CALLING) {
      listener.cancelRequested(this, () -> reject(response(487)));
    }
  }

  // ---- Within the dialog --------------------------------------------------------------------

  /** Ends an answered call; {@code reason} is the value of a Reason field, or null. */
  public void bye(String reason) {
    if (state == State.ANSWERED || state == State.CONFIRMED) {
      if (caller && state == State.ANSWERED) {
        ack(null);
      }
      SipRequest bye = dialog.request("BYE");
      if (reason != null) {
        bye.add("Reason", reason);
      }
      end();
      isReleasing = true;
      agent.send(bye, dialog.hop(), new ByeAnswers());
    }
  }

  /** Whether our BYE is out and not answered. */
  public boolean isReleasing() {
    return isReleasing;
  }

  private void released() {
    isReleasing = false;
    listener.released(this);
  }

  /** Hears of the end of our BYE, whatever it is. */
  private final class ByeAnswers implements ClientTransaction.Listener {
    @Override
    public void response(SipResponse response) {
      if (!response.isProvisional()) {
        released();
      }
    }

    @Override
    public void failed(Failure failure) {
      released();
    }
  }

  /**
   * Sends a request within the dialog; INVITE and UPDATE among them. Whether it could be sent: not
   * without a dialog, nor an INVITE while another is under way (RFC 3261 section 14.1).
   *
   * @param like message whose body and end-to-end fields are copied
   */
  public boolean send(String method, SipMessage like, ClientTransaction.Listener answers) {
    return send(method, like, null, answers);
  }

  /** The same with the value of a RAck field (RFC 3262), or null. */
  public boolean send(
      String method, SipMessage like, String rack, ClientTransaction.Listener answers) {
    boolean reinvite = method.equals("INVITE");
    if (dialog == null || state == State.ENDED || reinvite && (ownReinvite || theirReinvite)) {
      return false;
    }
    SipRequest request = dialog.request(method);
    EndToEndHeaders.copy(like, request);
    if (rack != null) {
      request.add("RAck", rack);
    }
    ownReinvite |= reinvite;
    agent.send(request, dialog.hop(), reinvite ? new ReinviteAnswers(request, answers) : answers);
    return true;
  }

  /** Hears the answers to a re-INVITE and sees that each is acknowledged. */
  private final class ReinviteAnswers implements ClientTransaction.Listener {
    private final SipRequest sent;
    private final ClientTransaction.Listener answers;
    private boolean answered;
    private SipRequest ownAck;

    ReinviteAnswers(SipRequest sent, ClientTransaction.Listener answers) {
      this.sent = sent;
      this.answers = answers;
    }

    @Override
    public void response(SipResponse response) {
      if (answered) {
        if (response.isSuccess()) {
          acknowledge();
        }
        return;
      }
      if (response.isSuccess()) {
        dialog.refresh(response);
        answered = true;
        ownAck = dialog.ack(sent.cseq().number());
        boolean offered = sent.body().length == 0 && response.body().length > 0;
        reackOwed = offered ? this : null;
        if (!offered) {
          acknowledge();
        }
      }
      ownReinvite &= response.isProvisional();
      answers.response(response);
    }

    private void acknowledge() {
      if (reackOwed != this) {
        agent.sendAgain(ownAck, dialog.hop());
      }
    }

    @Override
    public void failed(Failure failure) {
      ownReinvite = false;
      answers.failed(failure);
    }
  }

  /** Acknowledges a re-INVITE whose 2xx held the offer, with the answer to it. */
  public void acknowledgeReinvite(SipMessage from) {
    if (reackOwed != null) {
      ReinviteAnswers owed = reackOwed;
      reackOwed = null;
      copyBody(from, owed.ownAck);
      owed.acknowledge();
    }
  }

  private static void copyBody(SipMessage from, SipMessage to) {
    if (from != null && from.body().length > 0) {
      to.set("Content-Type", from.header("Content-Type", "application/sdp"));
      to.body(from.body());
    }
  }

  void receive(ServerTransaction transaction, SipRequest request) {
    if (dialog.receive(request)) {
      inOrder(transaction, request);
    } else {
      transaction.respond(request.response(500));
    }
  }

  private void inOrder(ServerTransaction transaction, SipRequest request) {
    if (request.is("BYE")) {
      transaction.respond(request.response(200));
      theyLeft(request);
    } else if (request.is("INVITE") && (ownReinvite || state == State.ANSWERED)) {
      transaction.respond(request.response(491));
    } else if (request.is("INVITE") && (theirReinvite || state != State.CONFIRMED)) {
      SipResponse wait = request.response(500);
      wait.add("Retry-After", "1");
      transaction.respond(wait);
    } else {
      theirReinvite |= request.is("INVITE");
      listener.request(this, transaction, request);
    }
  }

  /** Answers a re-INVITE that {@link CallListener#request} brought. */
  public void answerReinvite(ServerTransaction transaction, SipResponse response) {
    if (!response.isProvisional()) {
      theirReinvite = false;
      if (response.isSuccess()) {
        new ReinviteOk(transaction, response).send();
      }
    }
    transaction.respond(response);
  }

  /** Repeats a 2xx to a re-INVITE until its ACK, over UDP and TCP alike. */
  private final class ReinviteOk {
    private final ServerTransaction transaction;
    private final SipResponse response;
    private double pause = agent.timing().t1();
    private double spent;

    ReinviteOk(ServerTransaction transaction, SipResponse response) {
      this.transaction = transaction;
      this.response = response;
    }

    void send() {
      reinviteOk = this;
      agent.after(pause, this::again);
    }

    private void again() {
      spent += pause;
      if (reinviteOk == this
          && state == State.CONFIRMED
          && spent < agent.timing().transactionTimeout()) {
        transaction.respond(response);
        pause = Math.min(2 * pause, agent.timing().t2());
        agent.after(pause, this::again);
      }
    }
  }

  private void theyLeft(SipRequest bye) {
    if (state == State.CALLING && !caller) {
      cancelled();
    } else if (state == State.ANSWERED || state == State.CONFIRMED) {
      end();
      listener.ended(this, bye);
    }
  }

  void acknowledged(SipRequest received) {
    boolean first = state == State.ANSWERED && !caller;
    if (first) {
      state = State.CONFIRMED;
      ok = null;
      repeat.cancel();
      give.cancel();
    }
    if (first || reinviteOk != null) {
      reinviteOk = null;
      listener.acknowledged(this, received);
    }
  }

  private void dialog(Dialog made) {
    if (dialog != null) {
      agent.forget(dialog);
    }
    dialog = made;
    agent.remember(dialog, this);
  }

  private void end() {
    state = State.ENDED;
    if (repeat != null) {
      repeat.cancel();
      give.cancel();
    }
    if (dialog != null) {
      agent.forget(dialog);
    }
    if (server != null) {
      agent.answered(server);
    }
  }
}
