package coveladder.app;

import coveladder.net.EventLoop;
import coveladder.net.SocketLimits;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.AbstractSipNode;
import coveladder.sip.CallLeg;
import coveladder.sip.CallListener;
import coveladder.sip.Failure;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.SipStack;
import coveladder.sip.SipUri;
import coveladder.sip.Timing;
import coveladder.sip.Transport;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Makes one call through a running controller and prints its messages and the exchanges passed. */
@Command(
    name = "call",
    description = {
      "Make one call through a running controller and print it hop by hop.",
      "Exit status 0 if it was established."
    })
final class CallCommand implements Callable<Integer> {
  private static final String SDP =
      "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
          + "m=audio 9 RTP/AVP 0\r\n";

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "URI", description = "the called party, such as sip:5551234@x1.example")
  private String uri;

  @Option(
      names = "--via",
      defaultValue = "127.0.0.1:5060",
      paramLabel = "HOST:PORT",
      description = "address of the controller (${DEFAULT-VALUE})")
  private String via;

  @Option(names = "--tcp", description = "use TCP instead of UDP")
  private boolean tcp;

  @Option(
      names = "--priority",
      defaultValue = "",
      description = "Resource-Priority, which determines the class")
  private String priority;

  @Option(
      names = "--patience",
      defaultValue = "5",
      description = "seconds until the caller abandons the call (${DEFAULT-VALUE})")
  private int patience;

  @Option(names = "--hold", defaultValue = "1", description = "seconds from the answer to the BYE")
  private int hold;

  /** Makes the call; waits up to 3 s longer than its patience and holding time. */
  @Override
  public Integer call() throws Exception {
    SipUri controllerUri = SipUri.parse("sip:" + via);
    if (SipUri.parse(uri) == null || controllerUri == null || patience < 1 || hold < 0) {
      spec.commandLine().getErr().println("URI is sip:number@domain, --via HOST:PORT");
      return 2;
    }
    Hop controller = controllerUri.hop().withTransport(tcp ? Transport.TCP : Transport.UDP);
    CountDownLatch done = new CountDownLatch(1);
    try (Sockets sockets = new Sockets(1);
        EventLoop loop = new EventLoop("call", System.nanoTime(), 1_000);
        SocketNode node =
            new SocketNode(
                sockets, loop, SocketLimits.DEFAULTS, "127.0.0.1", 0, System.nanoTime())) {
      TestCall call = new TestCall(node, controller, done);
      loop.start();
      node.start(call);
      boolean ended = done.await(patience + hold + 3L, TimeUnit.SECONDS);
      return ended && call.established ? 0 : 1;
    }
  }

  /** The SIP endpoint that makes the call. */
  private final class TestCall extends AbstractSipNode implements CallListener {
    private final SipHost host;
    private final Hop controller;
    private final CountDownLatch done;
    private final PrintWriter out = spec.commandLine().getOut();
    private volatile boolean established;
    private double startMillis;

    TestCall(SipHost host, Hop controller, CountDownLatch done) {
      super(host, Timing.STANDARD, new SipStack.Limits(128, 100));
      this.host = host;
      this.controller = controller;
      this.done = done;
    }

    private void print(String event) {
      out.printf(Locale.ROOT, "%8.1f ms  %s%n", host.now() - startMillis, event);
      out.flush();
    }

    @Override
    public void start() {
      startMillis = host.now();
      SipRequest invite = new SipRequest("INVITE", uri);
      invite.add("From", "<sip:call@" + host.localHop(controller.transport()).host() + '>');
      invite.add("To", '<' + uri + '>');
      invite.add("Expires", Integer.toString(patience));
      invite.add("Supported", "histinfo");
      invite.add("History-Info", '<' + uri + ">;index=1");
      if (!priority.isEmpty()) {
        invite.add("Resource-Priority", priority);
      }
      invite.body("application/sdp", SDP);
      print("INVITE " + uri + " to " + controller);
      CallLeg leg = userAgent().call(invite, controller, this);
      host.schedule(1000.0 * patience, () -> abandon(leg));
    }

    private void abandon(CallLeg leg) {
      if (leg.isOutstanding()) {
        print("patience is over: CANCEL");
        leg.cancel(null);
      }
    }

    @Override
    public void responseReceived(CallLeg leg, SipResponse response) {
      print(response.startLine());
      for (String historyEntry : response.headers("History-Info")) {
        print("    by way of " + historyEntry);
      }
      for (String name : new String[] {"Reason", "Retry-After"}) {
        if (response.header(name) != null) {
          print("    " + name + ": " + response.header(name));
        }
      }
    }

    @Override
    public void answered(CallLeg leg, SipResponse response) {
      established = true;
      leg.ack(null);
      host.schedule(1000.0 * hold, () -> hangUp(leg));
    }

    /** Sends the BYE; the command ends 200 ms later, in which the answer can arrive. */
    private void hangUp(CallLeg leg) {
      print("BYE");
      leg.bye("Q.850;cause=16");
      host.schedule(200, done::countDown);
    }

    @Override
    public void rejected(CallLeg leg, SipResponse response) {
      done.countDown();
    }

    @Override
    public void failed(CallLeg leg, Failure failure) {
      print("failed: " + failure);
      done.countDown();
    }

    @Override
    public void ended(CallLeg leg, SipRequest bye) {
      print("BYE from the other side " + (bye == null ? "" : bye.header("Reason", "")));
      done.countDown();
    }
  }
}
