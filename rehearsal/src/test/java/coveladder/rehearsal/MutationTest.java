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

/** Each rule broken on purpose must turn the checker red; the same day unbroken is green. */
class MutationTest {
  private static final long SEED = 11;

  @Test
  void theSameDayUnbrokenIsGreen() {
    assertEquals(0, play(FaultInjection.NONE).breachCount());
  }

  @Test
  void aSecondAttemptIsSeen() {
    RuleReport verdict =
        play(
            onSend(
                (text, resend) -> {
                  if (isAttempt(text)) {
                    resend.accept(text.replaceFirst("Call-ID: ", "Call-ID: second-"));
                  }
                }));
    assertTrue(verdict.breachCount(Rule.ONE_ATTEMPT) > 0);
  }

  @Test
  void aSecondAnswerIsSeen() {
    RuleReport verdict =
        play(
            onSend(
                (text, resend) -> {
                  if (text.startsWith("SIP/2.0 503") && text.contains(" INVITE\r\n")) {
                    resend.accept(text.replaceFirst("503 Service Unavailable", "480 Gone"));
                  }
                }));
    assertTrue(verdict.breachCount(Rule.ONE_OUTCOME) > 0);
  }

  @Test
  void aLostCallIsSeen() {
    UnaryOperator<SipHost> deaf =
        host ->
            new Wrapped(host) {
              @Override
              public void send(Hop to, byte[] message) {
                String text = text(message);
                if (!text.startsWith("SIP/2.0 503") && !text.startsWith("SIP/2.0 4")) {
                  super.send(to, message);
                }
              }
            };
    RuleReport verdict = play(tampered(deaf));
    assertTrue(verdict.breachCount(Rule.ONE_OUTCOME) > 0);
  }

  @Test
  void anEarlyResendIsSeen() {
    FaultInjection tampering =
        new FaultInjection(UnaryOperator.identity(), Hasty::new, () -> new AttemptGuard(0, 250));
    assertTrue(play(tampering).breachCount(Rule.RELEASE_AWAITED) > 0);
  }

  @Test
  void aSendToADrainedExchangeIsSeen() {
    FaultInjection tampering =
        new FaultInjection(UnaryOperator.identity(), Blind::new, () -> new AttemptGuard(300, 1e9));
    assertTrue(play(tampering).breachCount(Rule.DRAINS_KEPT) > 0);
  }

  @Test
  void aColdProcessorPushedOverIsSeen() {
    RuleReport verdict =
        play(
            onSend(
                (text, resend) -> {
                  for (int i = 0; isAttempt(text) && i < 400; i++) {
                    resend.accept(text);
                  }
                }));
    assertTrue(verdict.breachCount(Rule.COLD_SPARED) > 0);
  }

  private static RuleReport play(FaultInjection tampering) {
    try (Network world = new SimulatedNetwork(SEED)) {
      return Rehearsal.play(world, day(), SEED, tampering).ruleReport();
    }
  }

  /** A short day with a drain, a cold start, resets and a surge. */
  private static Scenario day() {
    FleetConfig plan = FleetConfig.eightExchanges().withSize(4, 6);
    return new Scenario(
        "mutations",
        "four exchanges, 9 s",
        plan,
        9_000,
        seed ->
            new LoadGenerator(plan, seed)
                .addSurge(new LoadGenerator.Surge(2_000, 8_000, 2.5, -1, null)),
        (world, fleet) -> {
          world.schedule(1_000, "list", () -> fleet.drain(3));
          world.schedule(5_500, "list", () -> fleet.stop(3));
          world.schedule(5_900, "list", () -> fleet.startCold(3));
          world.schedule(3_000, "list", () -> fleet.switchOf(0).processor().setSlowdown(4));
          for (int i = 0; i < 8; i++) {
            world.schedule(3_500 + 200 * i, "list", () -> world.resetConnections("controller-0"));
          }
        });
  }

  private static boolean isAttempt(String text) {
    return text.startsWith("INVITE ") && text.contains("\r\nRoute: ");
  }

  private static String text(byte[] message) {
    return new String(message, StandardCharsets.ISO_8859_1);
  }

  private static FaultInjection tampered(UnaryOperator<SipHost> host) {
    return new FaultInjection(
        host, FaultInjection.NONE.policyFactory(), FaultInjection.NONE.guardFactory());
  }

  /** Sees each message and may send more of its own. */
  private static FaultInjection onSend(
      BiConsumer<String, java.util.function.Consumer<String>> more) {
    return tampered(
        host ->
            new Wrapped(host) {
              @Override
              public void send(Hop to, byte[] message) {
                super.send(to, message);
                more.accept(
                    text(message),
                    extra -> super.send(to, extra.getBytes(StandardCharsets.ISO_8859_1)));
              }
            });
  }

  /** A world that passes everything on. */
  private static class Wrapped implements SipHost {
    private final SipHost host;

    Wrapped(SipHost host) {
      this.host = host;
    }

    @Override
    public double now() {
      return host.now();
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      return host.schedule(delay, task);
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

  /** A policy that passes everything on to the sound one. */
  private static class Passing implements CallPolicy {
    final CallPolicy inner;
    final Actions actions;

    Passing(Settings settings, long seed, Actions actions) {
      this.inner = new NestedThresholdPolicy(settings, seed, actions);
      this.actions = actions;
    }

    @Override
    public void onStart(double now) {
      inner.onStart(now);
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate news) {
      inner.onDirectoryUpdate(now, news);
    }

    @Override
    public void onCall(double now, Call call) {
      inner.onCall(now, call);
    }

    @Override
    public void onEstablished(double now, Established stands) {
      inner.onEstablished(now, stands);
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      inner.onAttemptEnded(now, ended);
    }

    @Override
    public void onCallerAbandoned(double now, String call) {
      inner.onCallerAbandoned(now, call);
    }

    @Override
    public void onLoadReport(double now, LoadReport report) {
      inner.onLoadReport(now, report);
    }

    @Override
    public void onTimer(double now, long label) {
      inner.onTimer(now, label);
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] payload) {
      inner.onPeerMessage(now, from, payload);
    }
  }

  /** Sends again the moment that an attempt was reset. */
  private static final class Hasty extends Passing {
    Hasty(Settings settings, long seed, Actions actions) {
      super(settings, seed, actions);
    }

    @Override
    public void onAttemptEnded(double now, AttemptEnded ended) {
      if (ended.outcome() == Outcome.RESET && !ended.callFinished()) {
        actions.send(ended.call(), ended.exchange(), 800);
      } else {
        inner.onAttemptEnded(now, ended);
      }
    }
  }

  /** Takes drains for service. */
  private static final class Blind extends Passing {
    Blind(Settings settings, long seed, Actions actions) {
      super(settings, seed, actions);
    }

    @Override
    public void onDirectoryUpdate(double now, DirectoryUpdate news) {
      List<Exchange> seen = new ArrayList<>();
      for (Exchange entry : news.entries()) {
        ExchangeState state =
            entry.state() == ExchangeState.DRAINING ? ExchangeState.IN_SERVICE : entry.state();
        seen.add(new Exchange(entry.id(), entry.number(), state, entry.startedAt()));
      }
      inner.onDirectoryUpdate(now, new DirectoryUpdate(news.failed(), news.complete(), seen));
    }
  }
}
