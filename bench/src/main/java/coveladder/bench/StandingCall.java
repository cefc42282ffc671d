package coveladder.bench;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.SavedCall;
import coveladder.net.EventLoop;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.AbstractSipNode;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.SipStack;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import coveladder.sipfront.SipFront;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** One call that a real controller set up and kept, for the bench to make many of. */
final class StandingCall implements CallStore {
  private static final int QUEUE = 10_000;

  private final EventLoop loop;
  private final CompletableFuture<SavedCall> standing = new CompletableFuture<>();

  private StandingCall(EventLoop loop) {
    this.loop = loop;
  }

  /** Sets up one call whose names all contain the token. */
  static SavedCall make(String token) throws Exception {
    long origin = System.nanoTime();
    try (Sockets sockets = new Sockets(1);
        EventLoop loop = new EventLoop("controller", origin, QUEUE)) {
      StandingCall kept = new StandingCall(loop);
      SocketNode switchNode = WholePath.Run.node(sockets, loop);
      SocketNode controllerNode = WholePath.Run.node(sockets, loop);
      SocketNode callerNode = WholePath.Run.node(sockets, loop);
      Hop own = new Hop(Transport.UDP, "127.0.0.1", switchNode.port());
      SipFront front =
          WholePath.Run.front(controllerNode, own, kept, new RecoveryRate.Budget(1, 1_000));
      switchNode.start(new EchoSwitch(switchNode, switchNode.port()));
      controllerNode.start(front);
      callerNode.start(new Dialer(callerNode, controllerNode.localHop(Transport.UDP)));
      loop.start();
      return withToken(kept.standing.get(20, TimeUnit.SECONDS), token);
    }
  }

  /** Puts the token into all names of both legs, in place of as many of their octets. */
  private static SavedCall withToken(SavedCall saved, String token) {
    return new SavedCall(
        saved.call(),
        saved.phase(),
        saved.attempt(),
        saved.exchange(),
        withToken(saved.callerLeg(), token),
        withToken(saved.attemptLeg(), token),
        saved.answer(),
        saved.deadline());
  }

  private static byte[] withToken(byte[] leg, String token) {
    String text = new String(leg, StandardCharsets.ISO_8859_1);
    String filling = token.repeat(6);
    return Pattern.compile("[0-9a-f]{13,64}")
        .matcher(text)
        .replaceAll(name -> filling.substring(0, name.group().length()))
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Makes one call and holds it. */
  private static final class Dialer extends AbstractSipNode implements CallListener {
    private final SipHost host;
    private final Hop controller;

    Dialer(SipHost host, Hop controller) {
      super(host, Timing.STANDARD, new SipStack.Limits(128, 100));
      this.host = host;
      this.controller = controller;
    }

    @Override
    public void start() {
      SipRequest invite = new SipRequest("INVITE", "sip:5551234@x1.example");
      invite.add("From", "<sip:member@127.0.0.1>");
      invite.add("To", "<sip:5551234@x1.example>");
      invite.add("Expires", "5");
      invite.body("application/sdp", "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\n");
      userAgent().call(invite, controller, this);
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      leg.ack(null);
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      host.schedule(200, this::start);
    }
  }

  @Override
  public void put(SavedCall call) {
    if (call.phase() == SavedCall.Phase.STANDS) {
      standing.complete(call);
    }
  }

  @Override
  public void remove(String id) {}

  @Override
  public void sync(Consumer<Boolean> done) {
    loop.execute(() -> done.accept(true));
  }

  @Override
  public Contents initialContents() {
    return new Contents(List.of(), List.of(), false, 1);
  }

  @Override
  public void markUpToDate() {}

  @Override
  public void onRecreated(Runnable putAll) {}
}
