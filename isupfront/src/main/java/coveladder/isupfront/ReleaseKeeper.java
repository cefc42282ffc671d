package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isup.CallerMessage;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Releases toward callers: on the connection of the call, else on any that real callers use, else
 * kept until one comes. One that was written just before its connection ended is written again.
 */
final class ReleaseKeeper {
  private static final int MOST_OWED = 50_000;
  private static final double UNSURE_FOR = 500;
  private static final double KEPT_FOR = 30_000;
  private static final int MOST_SURE = 256;

  private final Scheduler clock;
  private final Set<CallerLink> usual = new LinkedHashSet<>();
  private final Map<String, Sent> owed = new LinkedHashMap<>();

  /**
   * A release.
   *
   * @param cause its cause
   * @param at when it was written, or came to be owed, ms
   */
  record Sent(int cause, double at) {}

  ReleaseKeeper(Scheduler clock) {
    this.clock = clock;
  }

  /**
   * A call stands that came on a connection: real callers use it, and what is owed leaves on it.
   */
  void stands(CallerLink link) {
    if (link.countStood() == 1) {
      usual.add(link);
    }
    sendOwed(link);
  }

  private void sendOwed(CallerLink link) {
    while (!owed.isEmpty() && !link.closed()) {
      Iterator<Map.Entry<String, Sent>> first = owed.entrySet().iterator();
      Map.Entry<String, Sent> next = first.next();
      first.remove();
      if (clock.now() - next.getValue().at() < KEPT_FOR) {
        write(link, next.getKey(), next.getValue().cause());
      }
    }
  }

  /** A connection brought a set-up; where there is no better one, releases leave on it. */
  void firstUsable(CallerLink link) {
    if (usual.isEmpty()) {
      sendOwed(link);
    }
  }

  /** Releases a call toward its caller. */
  void release(CallerLink own, String id, int cause) {
    CallerLink link = own != null && !own.closed() ? own : best();
    if (link == null || !write(link, id, cause)) {
      owed.put(id, new Sent(cause, clock.now()));
      if (owed.size() > MOST_OWED) {
        owed.remove(owed.keySet().iterator().next());
      }
    }
  }

  /**
   * The connection that has brought the most calls that stood. Guards against releases sent to some
   * client that only looks whether the controller lives, or asked once and stayed.
   */
  private CallerLink best() {
    CallerLink best = null;
    for (CallerLink link : usual) {
      best = best == null || link.stood() >= best.stood() ? link : best;
    }
    return best;
  }

  private boolean write(CallerLink link, String id, int cause) {
    forgetSure(link);
    boolean sent = link.send(CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
    if (sent) {
      link.released().put(id, new Sent(cause, clock.now()));
    }
    return sent;
  }

  private void forgetSure(CallerLink link) {
    Iterator<Sent> sent = link.released().values().iterator();
    while (sent.hasNext()) {
      if (clock.now() - sent.next().at() < UNSURE_FOR && link.released().size() < MOST_SURE) {
        return;
      }
      sent.remove();
    }
  }

  /** The caller heard of a release. */
  void heard(CallerLink link, String id) {
    link.released().remove(id);
  }

  /** A connection ended: what was written on it just before may not have been read. */
  void lost(CallerLink link) {
    usual.remove(link);
    forgetSure(link);
    link.released().forEach((id, sent) -> release(null, id, sent.cause()));
    link.released().clear();
  }
}
