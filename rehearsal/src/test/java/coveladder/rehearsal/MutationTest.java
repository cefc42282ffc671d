package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy;
import coveladder.NestedThresholdPolicy;
import coveladder.core.AttemptGuard;
import coveladder.rehearsal.RuleReport.Rule;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** The checker detects a breach of each rule, and finds none without a mutation. */
class MutationTest {
  private static final long SEED = 11;

  @Test
  void noBreachWithoutAMutation() {
    assertEquals(0, play(FaultInjection.NONE).breachCount());
  }

  @Test
  void aSecondOutstandingAttemptIsDetected() {
    RuleReport report =
        play(
            onSend(
                (text, resend) -> {
                  if (isAttempt(text)) {
                    resend.accept(text.replaceFirst("Call-ID: ", "Call-ID: second-"));
                  }
                }));
    assertTrue(report.breachCount(Rule.ONE_ATTEMPT) > 0);
  }

  @Test
  void aSecondFinalAnswerIsDetected() {
    RuleReport report =
        play(
            onSend(
                (text, resend) -> {
                  if (text.startsWith("SIP/2.0 503") && text.contains(" INVITE\r\n")) {
                    resend.accept(text.replaceFirst("503 Service Unavailable", "480 Gone"));
                  }
                }));
    assertTrue(report.breachCount(Rule.ONE_OUTCOME) > 0);
  }

  @Test
  void anUnansweredCallIsDetected() {
    UnaryOperator<SipHost> withoutFinalErrors =
        host ->
            new ForwardingHost(host) {
              @Override
              public void send(Hop to, byte[] message) {
                String text = text(message);
                if (!text.startsWith("SIP/2.0 503") && !text.startsWith("SIP/2.0 4")) {
                  super.send(to, message);
                }
              }
            };
    RuleReport report = play(withHostWrapper(withoutFinalErrors));
    assertTrue(report.breachCount(Rule.ONE_OUTCOME) > 0);
  }

  @Test
  void aRetryWithinTheGuardTimeIsDetected() {
    FaultInjection faults =
        new FaultInjection(
            UnaryOperator.identity(),
            ImmediateRetryPolicy::new,
            () -> new AttemptGuard(/* guardTimeMillis= */ 0, /* drainGraceMillis= */ 250));
    assertTrue(play(faults).breachCount(Rule.RELEASE_AWAITED) > 0);
  }

  @Test
  void aSetUpToADrainingExchangeIsDetected() {
    FaultInjection faults =
        new FaultInjection(
            UnaryOperator.identity(),
            DrainIgnoringPolicy::new,
            () -> new AttemptGuard(/* guardTimeMillis= */ 300, /* drainGraceMillis= */ 1e9));
    assertTrue(play(faults).breachCount(Rule.DRAINS_KEPT) > 0);
  }

  @Test
  void anOverloadedColdProcessorIsDetected() {
    RuleReport report =
        play(
            onSend(
                (text, resend) -> {
                  for (int i = 0; isAttempt(text) && i < 400; i++) {
                    resend.accept(text);
                  }
                }));
    assertTrue(report.breachCount(Rule.COLD_SPARED) > 0);
  }

  private static RuleReport play(FaultInjection faults) {
    try (Network network = new SimulatedNetwork(SEED)) {
      return Rehearsal.play(network, scenario(), SEED, faults).ruleReport();
    }
  }

  /** A short scenario with a drain, a cold start, resets and a surge. */
  private static Scenario scenario() {
    FleetConfig config = FleetConfig.eightExchanges().withSize(4, 6);
    return new Scenario(
        "mutations",
        "four exchanges, 9 s",
        config,
        9_000,
        seed ->
            new LoadGenerator(config, seed)
                .addSurge(
                    new LoadGenerator.Surge(
                        2_000, 8_000, 2.5, /* originExchange= */ -1, /* congestedNumber= */ null)),
        (network, fleet) -> {
          network.schedule(1_000, "list", () -> fleet.drain(3));
          network.schedule(5_500, "list", () -> fleet.stop(3));
          network.schedule(5_900, "list", () -> fleet.startCold(3));
          network.schedule(3_000, "list", () -> fleet.switchOf(0).processor().setSlowdown(4));
          for (int i = 0; i < 8; i++) {
            network.schedule(
                3_500 + 200 * i, "list", () -> network.resetConnections("controller-0"));
          }
        });
  }

  private static boolean isAttempt(String text) {
    return text.startsWith("INVITE ") && text.contains("\r\nRoute: ");
  }

  private static String text(byte[] message) {
    return new String(message, StandardCharsets.ISO_8859_1);
  }

  private static FaultInjection withHostWrapper(UnaryOperator<SipHost> hostWrapper) {
    return new FaultInjection(
        hostWrapper, FaultInjection.NONE.policyFactory(), FaultInjection.NONE.guardFactory());
  }

  /** Calls a handler after each message that is sent; the handler may send further messages. */
  private static FaultInjection onSend(
      BiConsumer<String, java.util.function.Consumer<String>> onMessage) {
    return withHostWrapper(
        host ->
            new ForwardingHost(host) {
              @Override
              public void send(Hop to, byte[] message) {
                super.send(to, message);
                onMessage.accept(
                    text(message),
                    extra -> super.send(to, extra.getBytes(StandardCharsets.ISO_8859_1)));
              }
            });
  }

  /** A host that forwards everything. */
  private static class ForwardingHost implements SipHost {
    private final SipHost host;

    ForwardingHost(SipHost host) {
      this.host = host;
    }

    @Override
    public double now() {
      return host.now();
    }

    @Override
    public Timer schedule(double delayMillis, Runnable task) {
      return host.schedule(delayMillis, task);
    }

    @Override
    public RandomGenerator random() {
      return host.random();
    }

    @Override
    public void send(Hop to, byte[] message) {
      host.send(to, message);
    }

    @Override
    public Hop localHop(Transport transport) {
      return host.localHop(transport);
    }
  }

  /** A policy that forwards everything to the one that controllers use. */
  private static class ForwardingPolicy implements CallPolicy {
    final CallPolicy delegate;
    final Actions actions;

    ForwardingPolicy(Settings settings, long seed, Actions actions) {
      this.delegate = new NestedThresholdPolicy(settings, seed, actions);
      this.actions = actions;
    }

    @Override
    public void onStart(double now) {
      delegate.onStart(now);
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate update) {
      delegate.onDirectoryUpdate(now, update);
    }

    @Override
    public void onCall(double now, Call call) {
      delegate.onCall(now, call);
    }

    @Override
    public void onEstablished(double now, Established established) {
      delegate.onEstablished(now, established);
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      delegate.onAttemptEnded(now, ended);
    }

    @Override
    public void onCallerAbandoned(double now, String call) {
      delegate.onCallerAbandoned(now, call);
    }

    @Override
    public void onLoadReport(double now, LoadReport report) {
      delegate.onLoadReport(now, report);
    }

    @Override
    public void onTimer(double now, long label) {
      delegate.onTimer(now, label);
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] payload) {
      delegate.onPeerMessage(now, from, payload);
    }
  }

  /** Retries immediately after an attempt was reset. */
  private static final class ImmediateRetryPolicy extends ForwardingPolicy {
    ImmediateRetryPolicy(Settings settings, long seed, Actions actions) {
      super(settings, seed, actions);
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      if (ended.outcome() == Outcome.RESET && !ended.callFinished()) {
        actions.send(ended.call(), ended.exchange(), /* timeoutMillis= */ 800);
      } else {
        delegate.onAttemptEnded(now, ended);
      }
    }
  }

  /** Treats draining exchanges as being in service. */
  private static final class DrainIgnoringPolicy extends ForwardingPolicy {
    DrainIgnoringPolicy(Settings settings, long seed, Actions actions) {
      super(settings, seed, actions);
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate update) {
      List<Exchange> altered = new ArrayList<>();
      for (Exchange entry : update.entries()) {
        ExchangeState state =
            entry.state() == ExchangeState.DRAINING ? ExchangeState.IN_SERVICE : entry.state();
        altered.add(new Exchange(entry.id(), entry.number(), state, entry.startedAt()));
      }
      delegate.onDirectoryUpdate(
          now, new DirectoryUpdate(update.failed(), update.complete(), altered));
    }
  }
}
