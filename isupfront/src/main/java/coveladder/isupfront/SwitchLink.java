package coveladder.isupfront;

import coveladder.CallPolicy;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.ExchangeDirectory;
import coveladder.isup.SwitchMessage;
import coveladder.isupfront.Transport.Loss;
import coveladder.wire.ReportReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A switch as this controller speaks with it: its connections, the set-ups out and the calls that
 * stand there. An answer counts only on the connection of its set-up; what concerns a standing call
 * may come on any.
 */
final class SwitchLink {
  /** A connection that broke is made again after about so long, ms. */
  private static final double AGAIN_AFTER = 50;

  /** One that was not made is tried again after about so long at first, and at most, ms. */
  private static final double AGAIN_FIRST = 250;

  private static final double AGAIN_MOST = 1_000;

  /**
   * Least silence of a switch where calls stand before a new connection tells whether it is there,
   * ms; up to a third more by the draw. Where traffic is thin a switch in good order is silent for
   * seconds, and its connections come from all controllers: sooner checks were half of them all.
   */
  private static final double CHECK_AFTER = 3_500;

  /**
   * A switch in service that turns connections away for so long is down, ms: the list says so
   * sooner, as a rule, and callers must hear within 8 s of the end.
   */
  private static final double DOWN_AFTER = 6_000;

  /** One that drains turns connections away while its calls stand on, until it stops, ms. */
  private static final double DRAINED_AFTER = 10_000;

  private static final int MOST_GIVEN_UP = 2_048;
  private static final String NOTHING = "0000000000000000";

  private final SwitchLinks links;
  private final PlatformSettings.Address address;
  private final List<SwitchWire> wires = new ArrayList<>();
  private final Map<String, Standing> standing = new LinkedHashMap<>();
  private final RecentIds givenUp = new RecentIds(MOST_GIVEN_UP);
  private final Set<String> toRelease = new LinkedHashSet<>();
  private ExchangeDirectory.Entry entry;
  private boolean stateKnown;
  private boolean followed = true;
  private double heard;
  private double turnedAwaySince = Double.NaN;
  private boolean connectingAgain;
  private double again = AGAIN_FIRST;
  private final double checkAfter;

  /** A set-up that is out. */
  static final class Out {
    final AttemptRequest order;
    final SetUp setUp;
    final double since;
    boolean sent;

    Out(AttemptRequest order, SetUp setUp, double since) {
      this.order = order;
      this.setUp = setUp;
      this.since = since;
    }
  }

  /**
   * A call that stands here.
   *
   * @param attempt the set-up that made it
   * @param since clock at which that set-up left, or the call was told to stand, ms
   */
  private record Standing(int attempt, double since) {}

  SwitchLink(ExchangeDirectory.Entry entry, SwitchLinks links) {
    this.entry = entry;
    this.links = links;
    this.address = PlatformSettings.Address.of("address", entry.address());
    this.heard = links.now();
    this.checkAfter = CHECK_AFTER * (1 + links.draw() / 3);
    connect();
  }

  String id() {
    return entry.id();
  }

  String address() {
    return entry.address();
  }

  /** Whether the state of the group toward it came. */
  boolean stateKnown() {
    return stateKnown;
  }

  int wires() {
    return wires.size();
  }

  int standing() {
    return standing.size();
  }

  // ---- Connections --------------------------------------------------------------------------

  private SwitchWire connect() {
    SwitchWire wire = new SwitchWire(this, links.limits().maxMessageBytes(), links.now());
    wires.add(wire);
    wire.connecting(links.wires().connect(address.host(), address.port(), wire));
    return wire;
  }

  /** The connection with the fewest set-ups out; another is made beside it where all have some. */
  private SwitchWire pick() {
    SwitchWire best = null;
    for (SwitchWire wire : wires) {
      boolean fewer = best == null || wire.outs().size() < best.outs().size();
      if (wire.isOpen() && !wire.silent() && fewer) {
        best = wire;
      }
    }
    boolean room = wires.size() < links.limits().maxConnectionsPerSwitch();
    if (room && !making() && (best == null || !best.outs().isEmpty())) {
      SwitchWire made = connect();
      return best == null ? made : best;
    }
    return best != null ? best : wires.isEmpty() ? connect() : wires.get(wires.size() - 1);
  }

  /** Whether a connection is being made. */
  private boolean making() {
    return wires.stream().anyMatch(wire -> !wire.isOpen());
  }

  /** Whether a call stands there, or a set-up is out. */
  private boolean waits() {
    return !standing.isEmpty() || wires.stream().anyMatch(wire -> !wire.outs().isEmpty());
  }

  /** Octets came from it, or a connection to it was made: it is there. */
  void heard(double when) {
    heard = Math.max(heard, when);
  }

  void opened(SwitchWire wire) {
    turnedAwaySince = Double.NaN;
    again = AGAIN_FIRST;
    heard(links.now());
    for (String id : new ArrayList<>(toRelease)) {
      toRelease.remove(id);
      wire.end(id);
    }
    for (Out out : new ArrayList<>(wire.outs().values())) {
      send(wire, out);
    }
  }

  void lost(SwitchWire wire, Loss loss) {
    wires.remove(wire);
    if (loss == Loss.TURNED_AWAY && Double.isNaN(turnedAwaySince)) {
      turnedAwaySince = links.now();
    }
    if (loss == Loss.CLOSED) {
      links.counters().increment("switch connections lost");
    }
    over(wire, loss == Loss.CLOSED);
    connectAgain(loss == Loss.CLOSED ? AGAIN_AFTER : notMadeAgain());
  }

  /**
   * While a call stands there, how soon it is known to be gone depends on these tries; else they
   * grow apart, as every controller makes them.
   */
  private double notMadeAgain() {
    double after = standing.isEmpty() ? again : AGAIN_FIRST;
    again = Math.min(AGAIN_MOST, 2 * again);
    return after;
  }

  private void over(SwitchWire wire, boolean wasOpen) {
    List<Out> outs = new ArrayList<>(wire.outs().values());
    wire.outs().clear();
    for (Out out : outs) {
      Outcome outcome = wasOpen && out.sent ? Outcome.RESET : Outcome.REFUSED;
      links.over(out.order, outcome, Reason.NONE, Load.UNKNOWN);
    }
  }

  /**
   * Another connection takes the place of one that ended, also where others are open: a release
   * that was on the ended one comes again on the next one made, and nowhere else.
   */
  private void connectAgain(double after) {
    if (connectingAgain || !wantsAnother()) {
      return;
    }
    connectingAgain = true;
    links.after(
        after * (0.5 + links.draw()),
        () -> {
          connectingAgain = false;
          if (wantsAnother()) {
            connect();
          }
        });
  }

  private boolean wantsAnother() {
    boolean room = wires.size() < links.limits().maxConnectionsPerSwitch();
    return followed && (wires.isEmpty() || room && !standing.isEmpty());
  }

  /** What came cannot be read: the connection is of no further use, for any of its set-ups. */
  void unreadable(SwitchWire wire, String found) {
    links.counters().increment("switch connections reset as unreadable: " + found);
    drop(wire);
  }

  private void drop(SwitchWire wire) {
    wire.reset();
    wires.remove(wire);
    over(wire, true);
    connectAgain(0);
  }

  /**
   * Looks for connections that hang within a line, and for a machine that fell silent: a new
   * connection to it tells whether it is there.
   */
  void sweep() {
    double now = links.now();
    for (SwitchWire wire : new ArrayList<>(wires)) {
      if (wire.stuck(now, links.limits().partialLineMillis())) {
        links.counters().increment("switch connections reset as stuck within a line");
        drop(wire);
      } else if (wire.silent() && wire.outs().isEmpty() && wires.size() > 1) {
        wire.reset();
        wires.remove(wire);
      }
    }
    if (waits() && now - heard > checkAfter && !making() && !connectingAgain) {
      check();
    }
    boolean drains = entry.state() != CallPolicy.ExchangeState.IN_SERVICE;
    double down = drains ? DRAINED_AFTER : DOWN_AFTER;
    if (now - turnedAwaySince > down || silent(now)) {
      gone("cannot be reached");
    }
  }

  /** Whether nothing came for long, nor a word that turned a connection away. */
  private boolean silent(double now) {
    return Double.isNaN(turnedAwaySince) && now - heard > links.limits().switchSilenceMillis();
  }

  private void check() {
    SwitchWire oldest = wires.isEmpty() ? null : wires.get(0);
    if (wires.size() >= links.limits().maxConnectionsPerSwitch()) {
      if (!oldest.outs().isEmpty()) {
        return;
      }
      oldest.reset();
      wires.remove(oldest);
    }
    connect();
  }

  /**
   * The list names a later start: what stood there before was cut with the old process. Guards
   * against calls left standing where a machine fell silent and came back before it was given up.
   */
  void listed(ExchangeDirectory.Entry now) {
    boolean startedAgain = now.startedAt() > entry.startedAt();
    entry = now;
    if (startedAgain) {
      links.counters().increment("switches that started again");
      cutThoseBefore(now.startedAt());
    }
  }

  private void cutThoseBefore(double time) {
    Map<String, Standing> cut = new LinkedHashMap<>(standing);
    cut.values().removeIf(call -> call.since() >= time);
    standing.keySet().removeAll(cut.keySet());
    cut.forEach((id, call) -> links.cut(id, call.attempt()));
  }

  /** The switch is no more: what was out broke, and what stood there was cut. */
  private void gone(String why) {
    if (!waits()) {
      return;
    }
    links.counters().increment("switches taken as gone: " + why);
    for (SwitchWire wire : new ArrayList<>(wires)) {
      if (wire.isOpen()) {
        drop(wire);
      }
    }
    cutThoseBefore(Double.POSITIVE_INFINITY);
  }

  /** The list holds it no more. */
  void unfollow() {
    followed = false;
    gone("not on the list");
    close();
  }

  /** Ends all connections to it, and makes no more. */
  void close() {
    followed = false;
    wires.forEach(SwitchWire::reset);
    wires.clear();
  }

  // ---- What the controller asks for ---------------------------------------------------------

  /**
   * Puts a set-up on a connection. It leaves at the next turn, after all that is there to be heard:
   * a caller who has gone by then, in whatever way, ends it unsent.
   */
  void start(AttemptRequest order, SetUp setUp) {
    Out out = new Out(order, setUp, links.now());
    SwitchWire wire = pick();
    wire.outs().put(order.call(), out);
    givenUp.remove(order.call());
    links.after(0, () -> leave(wire, out));
  }

  private void leave(SwitchWire wire, Out out) {
    if (wire.isOpen() && !out.sent && wire.outs().get(out.order.call()) == out) {
      send(wire, out);
    }
  }

  /**
   * The set-up leaves, unless the exchange was told as closed meanwhile and its grace is over: it
   * may have waited for its connection since it was decided on.
   */
  private void send(SwitchWire wire, Out out) {
    if (!links.maySend(id())) {
      wire.outs().remove(out.order.call());
      links.over(out.order, Outcome.REFUSED, Reason.NONE, Load.UNKNOWN);
      return;
    }
    out.sent = true;
    double left = Math.max(1, out.order.timeoutMillis() - (links.now() - out.since));
    Map<String, String> attrs = new LinkedHashMap<>();
    attrs.put("class", out.setUp.className());
    attrs.put("key", out.setUp.number());
    attrs.put("left", Long.toString(Math.round(left)));
    SwitchMessage message =
        new SwitchMessage(
            SwitchMessage.Kind.OPEN, out.order.call(), attrs, -1, out.setUp.description());
    if (!wire.send(message)) {
      links.counters().increment("switch connections reset as too much waits");
      links.after(0, () -> drop(wire));
    }
  }

  /** Gives a set-up up; whether it was out here. One that has not left never leaves. */
  boolean giveUp(String id, int attempt) {
    for (SwitchWire wire : wires) {
      Out out = wire.outs().get(id);
      if (out != null && out.order.attempt() == attempt) {
        wire.outs().remove(id);
        if (out.sent) {
          wire.end(id);
          givenUp.add(id);
          if (wire.heard() < out.since) {
            wire.nowSilent();
          }
        }
        return true;
      }
    }
    return false;
  }

  /** Ends a call, where it stands here. */
  void release(String id) {
    if (standing.remove(id) == null) {
      return;
    }
    for (SwitchWire wire : wires) {
      if (wire.isOpen() && !wire.silent()) {
        wire.end(id);
        return;
      }
    }
    toRelease.add(id);
  }

  void resume(String id) {
    standing.put(id, new Standing(0, links.now()));
  }

  // ---- Messages -----------------------------------------------------------------------------

  void message(SwitchWire wire, SwitchMessage message) {
    switch (message.kind()) {
      case READY -> ready(wire, message);
      case CLOSE -> closed(wire, message);
      case STATUS -> {
        stateKnown = true;
        links.figures(id(), Outcomes.load(message.attrs().get("load")));
      }
      case PROBED -> links.probed(id(), message.code() == 1);
      default -> {}
    }
  }

  private void ready(SwitchWire wire, SwitchMessage message) {
    String id = message.sid();
    Out out = wire.outs().get(id);
    if (out != null && out.sent) {
      if (message.text() == null) {
        unreadable(wire, "an answer without a description");
        return;
      }
      wire.outs().remove(id);
      standing.put(id, new Standing(out.order.attempt(), out.since));
      links.stands(out.order, message.text());
    } else if (!standing.containsKey(id) && givenUp.remove(id) && !isOut(id)) {
      wire.end(id);
    }
  }

  private boolean isOut(String id) {
    return wires.stream().anyMatch(wire -> wire.outs().containsKey(id));
  }

  private void closed(SwitchWire wire, SwitchMessage message) {
    String id = message.sid();
    Out out = wire.outs().get(id);
    Load load = Outcomes.load(message.attrs().get("load"));
    if (out != null && out.sent) {
      wire.outs().remove(id);
      Reason reason = ReportReader.reason(message.attrs().getOrDefault("note", ""));
      links.over(out.order, Outcomes.before(message.code()), reason, load);
      return;
    }
    Standing call = standing.remove(id);
    if (call != null) {
      links.standingOver(id, call.attempt(), Outcomes.after(message.code()), load);
    }
  }

  /** Asks for a sign of life. */
  void probe() {
    pick().send(SwitchMessage.withCode(SwitchMessage.Kind.PROBE, NOTHING, 0));
  }
}
