package coveladder.isupfront;

import coveladder.core.CallController;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.isup.CallerMessage;
import coveladder.isup.Cause;
import coveladder.isup.MalformedException;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What callers ask: set-ups, give-ups, releases and tests, each answered once. */
final class CallerCalls {
  private final CallController controller;
  private final Scheduler clock;
  private final Limits limits;
  private final SetUp.Reader reader;
  private final ReleaseKeeper releases;
  private final SwitchLinks switches;
  private final Counters counters;
  private final Set<CallerLink> links = new LinkedHashSet<>();
  private final Map<String, Held> calls = new HashMap<>();
  private int open;
  private boolean failing;
  private boolean ending;

  /** A call of a caller that has its final answer to come, or stands. */
  private static final class Held {
    final SetUp setUp;
    final CallerLink link;
    String description = "";

    Held(SetUp setUp, CallerLink link) {
      this.setUp = setUp;
      this.link = link;
    }
  }

  CallerCalls(
      CallController controller,
      Scheduler clock,
      Limits limits,
      SetUp.Reader reader,
      ReleaseKeeper releases,
      SwitchLinks switches,
      Counters counters) {
    this.controller = controller;
    this.clock = clock;
    this.limits = limits;
    this.reader = reader;
    this.releases = releases;
    this.switches = switches;
    this.counters = counters;
  }

  // ---- Connections --------------------------------------------------------------------------

  /** A caller connected. Where there are too many, the one least used makes room. */
  ConnectionListener accepted(Connection wire) {
    CallerLink link = new CallerLink(this, wire, limits.maxMessageBytes(), clock.now());
    if (links.size() >= limits.maxCallerConnections()) {
      CallerLink idle = leastUsed();
      (idle == null ? link : idle).close();
      counters.increment("caller links closed for room");
    }
    if (!link.closed()) {
      links.add(link);
    }
    return link;
  }

  /**
   * Of those without a call open the one that brought the fewest calls that stood, longest silent.
   * Guards usual callers against crowds of connections that ask little and stay.
   */
  private CallerLink leastUsed() {
    CallerLink found = null;
    for (CallerLink link : links) {
      if (link.open().isEmpty() && (found == null || lessUsed(link, found))) {
        found = link;
      }
    }
    return found;
  }

  private boolean lessUsed(CallerLink one, CallerLink other) {
    double now = clock.now();
    return one.stood() < other.stood()
        || one.stood() == other.stood() && one.silentFor(now) > other.silentFor(now);
  }

  /** Closes connections on which nothing came, or a message that does not end. */
  void sweep() {
    double now = clock.now();
    for (CallerLink link : new ArrayList<>(links)) {
      boolean nothing = !link.proper() && link.open().isEmpty();
      if (link.silentFor(now) > limits.callerSilenceMillis() && (link.within() || nothing)) {
        counters.increment("caller links closed as silent");
        link.close();
      }
    }
  }

  /** A connection ended: its set-ups without an answer are taken back. */
  void lost(CallerLink link) {
    links.remove(link);
    for (String id : new ArrayList<>(link.open())) {
      takenBack(id);
    }
    releases.lost(link);
  }

  /** Octets that are no message: the connection ends. */
  void unreadable(CallerLink link, String found) {
    counters.increment("caller links closed as unreadable: " + found);
    link.close();
  }

  int links() {
    return links.size();
  }

  // ---- Messages -----------------------------------------------------------------------------

  void message(CallerLink link, CallerMessage message, double arrived) throws MalformedException {
    switch (message.type()) {
      case CallerMessage.SET_UP -> setUp(link, message, arrived);
      case CallerMessage.RELEASE -> released(link, message);
      case CallerMessage.RELEASE_HEARD -> releases.heard(link, message.callId());
      case CallerMessage.TEST -> test(link, message);
      case CallerMessage.PROGRESS -> {}
      default -> throw new MalformedException("unknown type " + message.type());
    }
  }

  private void test(CallerLink link, CallerMessage message) {
    int passed = !failing && switches.known() ? 1 : 0;
    link.send(CallerMessage.withCause(CallerMessage.TESTED, message.callId(), passed));
    link.nowProper();
  }

  private void setUp(CallerLink link, CallerMessage message, double arrived) {
    String id = message.callId();
    SetUp setUp;
    try {
      setUp = reader.read(message);
    } catch (MalformedException e) {
      counters.increment("set-ups that cannot be used: " + e.getMessage());
      unusable(link, id);
      return;
    }
    if (!setUp.at().isEmpty()) {
      stands(link, setUp);
    } else if (controller.call(id) != null || calls.containsKey(id)) {
      twice(link, id);
    } else if (ending || open >= limits.maxPendingCalls()) {
      link.send(CallerMessage.withCause(CallerMessage.RELEASE, id, Cause.CONGESTION));
    } else {
      take(link, setUp, arrived);
    }
  }

  private void take(CallerLink link, SetUp setUp, double arrived) {
    if (failing) {
      counters.increment(setUp.transit() ? "late set-ups in transit" : "late set-ups of callers");
    }
    calls.put(setUp.id(), new Held(setUp, link));
    link.open().add(setUp.id());
    open++;
    releases.firstUsable(link);
    double waited = Math.max(0, clock.now() - arrived);
    controller.callArrived(setUp.call(Math.max(0, setUp.left() - waited)));
  }

  /** A set-up that cannot be used is refused; one who goes on sending such is let go. */
  private void unusable(CallerLink link, String id) {
    if (link.open().contains(id)) {
      takenBack(id);
    }
    link.send(CallerMessage.withCause(CallerMessage.RELEASE, id, Cause.PROTOCOL_ERROR));
    if (link.countUnusable() >= limits.maxUnusableMessages() && link.open().isEmpty()) {
      link.close();
    }
  }

  /**
   * Two set-ups under one id cannot be told apart by their caller: on one connection the first is
   * taken back and one release answers for both; elsewhere the second alone is refused.
   */
  private void twice(CallerLink link, String id) {
    counters.increment("set-ups under an id that is held");
    link.refuseHeld(id);
    unusable(link, id);
  }

  /** A call that stood before this controller began; its caller expects no answer. */
  private void stands(CallerLink link, SetUp setUp) {
    if (controller.call(setUp.id()) != null) {
      return;
    }
    if (calls.size() >= limits.maxTrackedCalls() || !switches.resume(setUp.id(), setUp.at())) {
      counters.increment("calls said to stand at a switch that is not known");
      releases.release(link, setUp.id(), Cause.TEMPORARY_FAILURE);
      return;
    }
    calls.put(setUp.id(), new Held(setUp, link));
    releases.stands(link);
    controller.resume(setUp.call(0), 0, setUp.at());
  }

  /** A caller gives a set-up up, on its connection, or ends a call that stands, on any. */
  private void released(CallerLink link, CallerMessage message) {
    String id = message.callId();
    link.send(new CallerMessage(CallerMessage.RELEASE_HEARD, id, Map.of()));
    if (link.open().contains(id)) {
      takenBack(id);
    } else if (link.wasHeld(id)) {
      counters.increment("releases under an id that was another's");
    } else {
      Held held = calls.get(id);
      if (held != null && held.link != link && !held.link.closed()) {
        counters.increment("calls ended from another connection than theirs, which is open");
      }
      controller.callerReleased(id);
    }
  }

  private void takenBack(String id) {
    answered(id);
    calls.remove(id);
    controller.callerAbandoned(id);
  }

  private void answered(String id) {
    Held held = calls.get(id);
    if (held != null && held.link.open().remove(id)) {
      open--;
    }
  }

  // ---- What the controller asks for ---------------------------------------------------------

  /** The set-up of a call that is held. */
  SetUp setUp(String id) {
    Held held = calls.get(id);
    return held == null ? null : held.setUp;
  }

  /** Keeps the description that a switch gave, until the answer leaves. */
  void describe(String id, String description) {
    Held held = calls.get(id);
    if (held != null) {
      held.description = description;
    }
  }

  /** Gives the one final answer. */
  void answer(String id, FinalAnswer answer) {
    Held held = calls.get(id);
    if (held == null) {
      return;
    }
    answered(id);
    if (answer.kind() == FinalAnswer.Kind.STANDS) {
      Map<Integer, byte[]> with = new LinkedHashMap<>();
      with.put(CallerMessage.DESCRIPTION, held.description.getBytes(StandardCharsets.UTF_8));
      held.description = "";
      held.link.send(new CallerMessage(CallerMessage.ANSWER, id, with));
      releases.stands(held.link);
    } else {
      calls.remove(id);
      held.link.send(refusal(id, answer));
    }
  }

  private static CallerMessage refusal(String id, FinalAnswer answer) {
    CallerMessage message =
        CallerMessage.withCause(CallerMessage.RELEASE, id, Outcomes.cause(answer));
    if (answer.retryAfterMillis() > 0) {
      String wait = Long.toString((long) Math.ceil(answer.retryAfterMillis()));
      message.parameters().put(CallerMessage.WAIT, wait.getBytes(StandardCharsets.US_ASCII));
    }
    return message;
  }

  /** A call that stood is over. */
  void release(String id, boolean cut) {
    Held held = calls.remove(id);
    int cause = cut ? Cause.TEMPORARY_FAILURE : Cause.NORMAL_CLEARING;
    releases.release(held == null ? null : held.link, id, cause);
  }

  /** Nothing is left of a call. */
  void ended(String id) {
    calls.remove(id);
  }

  /** Tests fail from now on, so that new calls go elsewhere; those that come are served. */
  void failTests() {
    failing = true;
  }

  /** Takes no new set-ups from now on; each is refused at once. */
  void end() {
    ending = true;
  }

  /** Closes all connections; none has a set-up without its answer by now. */
  void closeAll() {
    new ArrayList<>(links).forEach(CallerLink::close);
  }

  /** Calls without their final answer. */
  int open() {
    return open;
  }
}
