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
import coveladder.sipfront.SipFrontEnd;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * A call store that captures the record of one established call. The call is set up by a real
 * controller; the benchmark uses its record as the template for many.
 */
final class SavedCallRecorder implements CallStore {
  private static final int QUEUE_CAPACITY = 10_000;

  private final EventLoop loop;
  private final CompletableFuture<SavedCall> establishedCall = new CompletableFuture<>();

  private SavedCallRecorder(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Sets up one call and returns its record.
   *
   * @param token 12 hex digits that replace the identifiers in both legs
   */
  static SavedCall recordCall(String token) throws Exception {
    long originNanos = System.nanoTime();
    try (Sockets sockets = new Sockets(/* selectorThreads= */ 1);
        EventLoop loop = new EventLoop("controller", originNanos, QUEUE_CAPACITY)) {
      SavedCallRecorder recorder = new SavedCallRecorder(loop);
      SocketNode switchNode = WholePath.Run.newNode(sockets, loop);
      SocketNode controllerNode = WholePath.Run.newNode(sockets, loop);
      SocketNode callerNode = WholePath.Run.newNode(sockets, loop);
      Hop switchAddress = new Hop(Transport.UDP, "127.0.0.1", switchNode.port());
      SipFrontEnd frontEnd =
          WholePath.Run.persistentFrontEnd(
              controllerNode,
              switchAddress,
              recorder,
              new RecoveryRate.Budget(/* callsPerSecond= */ 1, /* verifyDelayMillis= */ 1_000));
      switchNode.start(new StatelessSwitch(switchNode, switchNode.port()));
      controllerNode.start(frontEnd);
      callerNode.start(new SingleCaller(callerNode, controllerNode.localHop(Transport.UDP)));
      loop.start();
      return replaceIdentifiers(recorder.establishedCall.get(20, TimeUnit.SECONDS), token);
    }
  }

  /**
   * Replaces each identifier in both legs by the token, repeated and cut to the identifier's
   * length. The legs keep their size, and each identifier contains the whole token.
   */
  private static SavedCall replaceIdentifiers(SavedCall saved, String token) {
    return new SavedCall(
        saved.call(),
        saved.phase(),
        saved.attempt(),
        saved.exchange(),
        replaceIdentifiers(saved.callerLeg(), token),
        replaceIdentifiers(saved.attemptLeg(), token),
        saved.answer(),
        saved.deadline());
  }

  private static byte[] replaceIdentifiers(byte[] leg, String token) {
    String text = new String(leg, StandardCharsets.ISO_8859_1);
    String replacement = token.repeat(6);
    return Pattern.compile("[0-9a-f]{13,64}")
        .matcher(text)
        .replaceAll(identifier -> replacement.substring(0, identifier.group().length()))
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A caller that makes one call and holds it; a call that is refused is made again. */
  private static final class SingleCaller extends AbstractSipNode implements CallListener {
    private final SipHost host;
    private final Hop controller;

    SingleCaller(SipHost host, Hop controller) {
      super(
          host,
          Timing.STANDARD,
          new SipStack.Limits(/* maxHeaderLines= */ 128, /* maxServerTransactions= */ 100));
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
      establishedCall.complete(call);
    }
  }

  @Override
  public void remove(String id) {}

  @Override
  public void sync(Consumer<Boolean> whenSynced) {
    loop.execute(() -> whenSynced.accept(true));
  }

  @Override
  public Contents initialContents() {
    return new Contents(
        /* calls= */ List.of(),
        /* damagedRecords= */ List.of(),
        /* outOfDate= */ false,
        /* incarnation= */ 1);
  }

  @Override
  public void markUpToDate() {}

  @Override
  public void onRecreated(Runnable rewriteAll) {}
}
