package coveladder.isupfront;

import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptGuard;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.Scheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** All switches of the list but the own one, each with its connections. */
final class SwitchLinks {
  private static final double KNOWN_WITHIN = 1_000;

  private final CallController controller;
  private final Scheduler clock;
  private final Transport wires;
  private final Limits limits;
  private final Counters counters;
  private final int self;
  private final AttemptGuard guard;
  private final SplittableRandom random;
  private final Map<String, SwitchLink> links = new LinkedHashMap<>();
  private final Map<String, SwitchLink> byCall = new LinkedHashMap<>();
  private final Map<String, Double> probes = new LinkedHashMap<>();
  private BiConsumer<String, String> descriptions = (call, text) -> {};
  private final double began;

  SwitchLinks(
      CallController controller,
      Scheduler clock,
      Transport wires,
      Limits limits,
      Counters counters,
      int self,
      AttemptGuard guard,
      long seed) {
    this.controller = controller;
    this.clock = clock;
    this.wires = wires;
    this.limits = limits;
    this.counters = counters;
    this.self = self;
    this.guard = guard;
    this.random = new SplittableRandom(seed);
    this.began = clock.now();
  }

  /** Where the descriptions of answers go, just before the controller hears of each. */
  void describeTo(BiConsumer<String, String> taker) {
    descriptions = taker;
  }

  Transport wires() {
    return wires;
  }

  Limits limits() {
    return limits;
  }

  Counters counters() {
    return counters;
  }

  double now() {
    return clock.now();
  }

  /** Whether something new may go to a switch: it is in service, or within its grace. */
  boolean maySend(String exchange) {
    return guard.withinDrainGrace(controller.directory().closedSince(exchange), clock.now());
  }

  /** A number from 0 to 1, drawn from the seed: what all controllers do is spread by it. */
  double draw() {
    return random.nextDouble();
  }

  void after(double delay, Runnable task) {
    clock.schedule(delay, task);
  }

  /** The list has changed. */
  void follow() {
    ExchangeDirectory list = controller.directory();
    for (SwitchLink link : new ArrayList<>(links.values())) {
      ExchangeDirectory.Entry entry = list.byId(link.id());
      if (entry == null || !entry.address().equals(link.address())) {
        links.remove(link.id());
        link.unfollow();
      }
    }
    for (ExchangeDirectory.Entry entry : list.entries()) {
      if (entry.number() != self && entry.state() != ExchangeState.GONE) {
        links.computeIfAbsent(entry.id(), id -> new SwitchLink(entry, this)).listed(entry);
      }
    }
  }

  /** Whether the state of all groups is known, or should have been by now. */
  boolean known() {
    return clock.now() - began > KNOWN_WITHIN
        || !links.isEmpty() && links.values().stream().allMatch(SwitchLink::stateKnown);
  }

  /** Closes all connections; calls that stand go on, and what ends them comes on the next ones. */
  void closeAll() {
    links.values().forEach(SwitchLink::close);
    links.clear();
  }

  /** Looks after all connections. */
  void sweep() {
    new ArrayList<>(links.values()).forEach(SwitchLink::sweep);
  }

  // ---- What the controller asks for ---------------------------------------------------------

  void start(AttemptRequest order, SetUp setUp) {
    SwitchLink link = links.get(order.nextExchange().id());
    if (link == null || setUp == null) {
      clock.schedule(0, () -> over(order, Outcome.REFUSED, Reason.NONE, Load.UNKNOWN));
      return;
    }
    byCall.put(order.call(), link);
    link.start(order, setUp);
  }

  /** Gives a set-up up: it is over as soon as this is written. */
  void cancel(String call, int attempt) {
    SwitchLink link = byCall.get(call);
    if (link != null && link.giveUp(call, attempt)) {
      byCall.remove(call);
      clock.schedule(
          0,
          () ->
              controller.attemptEnded(
                  call, attempt, Outcome.CANCELLED, Reason.NONE, 0, Load.UNKNOWN));
    }
  }

  void release(String call) {
    SwitchLink link = byCall.remove(call);
    if (link != null) {
      link.release(call);
    }
  }

  /** Takes a call up again that stands at a switch; false where the list has no such switch. */
  boolean resume(String call, String exchange) {
    SwitchLink link = links.get(exchange);
    if (link != null) {
      byCall.put(call, link);
      link.resume(call);
    }
    return link != null;
  }

  void probe(ExchangeDirectory.Entry exchange, double askedAt) {
    SwitchLink link = links.get(exchange.id());
    if (link != null) {
      probes.put(exchange.id(), askedAt);
      link.probe();
    }
  }

  // ---- What the links tell ------------------------------------------------------------------

  void stands(AttemptRequest order, String description) {
    descriptions.accept(order.call(), description);
    controller.attemptAnswered(order.call(), order.attempt());
  }

  void over(AttemptRequest order, Outcome outcome, Reason reason, Load load) {
    byCall.remove(order.call());
    controller.attemptEnded(order.call(), order.attempt(), outcome, reason, 0, load);
  }

  void standingOver(String call, int attempt, Outcome outcome, Load load) {
    byCall.remove(call);
    controller.attemptEnded(call, attempt, outcome, Reason.NONE, 0, load);
  }

  void cut(String call, int attempt) {
    standingOver(call, attempt, Outcome.RESET, Load.UNKNOWN);
  }

  void figures(String exchange, Load load) {
    controller.unsolicitedLoadReported(exchange, load);
  }

  void probed(String exchange, boolean good) {
    Double askedAt = probes.remove(exchange);
    if (askedAt != null) {
      controller.probeCompleted(exchange, good, askedAt);
    }
  }

  /** Connections to switches. */
  int connections() {
    return links.values().stream().mapToInt(SwitchLink::wires).sum();
  }

  /** Calls that stand. */
  int standing() {
    return links.values().stream().mapToInt(SwitchLink::standing).sum();
  }
}
