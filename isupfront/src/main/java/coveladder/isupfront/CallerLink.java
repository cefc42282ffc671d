package coveladder.isupfront;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerFramer;
import coveladder.isup.CallerMessage;
import coveladder.isup.MalformedException;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import coveladder.isupfront.Transport.Loss;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One connection of callers. */
final class CallerLink implements ConnectionListener {
  private static final int MOST_REFUSED = 64;

  private final CallerCalls calls;
  private final Connection wire;
  private final CallerFramer framer;
  private final Set<String> open = new LinkedHashSet<>();
  private final RecentIds refusedAsHeld = new RecentIds(MOST_REFUSED);
  private final Map<String, ReleaseKeeper.Sent> released = new LinkedHashMap<>();
  private double lastWhole;
  private boolean proper;
  private boolean closed;
  private int unusable;
  private int stood;

  CallerLink(CallerCalls calls, Connection wire, int most, double now) {
    this.calls = calls;
    this.wire = wire;
    this.framer = new CallerFramer(most);
    this.lastWhole = now;
  }

  /** Calls without their final answer that came on it. */
  Set<String> open() {
    return open;
  }

  /** Releases written on it lately. */
  Map<String, ReleaseKeeper.Sent> released() {
    return released;
  }

  boolean closed() {
    return closed;
  }

  /** Whether it passed a test, or brought a call that stood. */
  boolean proper() {
    return proper;
  }

  void nowProper() {
    proper = true;
  }

  /** Calls that came on it and stood. */
  int stood() {
    return stood;
  }

  /** Counts a call that stands; how many there were. */
  int countStood() {
    proper = true;
    return ++stood;
  }

  /**
   * Keeps an id that was refused here as another's: what this one sends under it later is not about
   * that call. Guards a standing call against one who takes back a set-up that was refused.
   */
  void refuseHeld(String id) {
    refusedAsHeld.add(id);
  }

  boolean wasHeld(String id) {
    return refusedAsHeld.contains(id);
  }

  /** Counts a message that cannot be used; how many there were. */
  int countUnusable() {
    return ++unusable;
  }

  /** Since when it has been silent, or within one message. */
  double silentFor(double now) {
    return now - lastWhole;
  }

  /** Whether a message has begun and is not whole. */
  boolean within() {
    return framer.hasPartialMessage();
  }

  @Override
  public void received(byte[] octets, double arrived) {
    try {
      framer.feed(octets, body -> message(body, arrived));
    } catch (MalformedException e) {
      calls.unreadable(this, e.getMessage());
    }
  }

  private void message(byte[] body, double arrived) {
    if (closed) {
      return;
    }
    lastWhole = arrived;
    try {
      calls.message(this, CallerCodec.decode(body), arrived);
    } catch (MalformedException e) {
      calls.unreadable(this, e.getMessage());
    }
  }

  @Override
  public void lost(Loss loss) {
    closed = true;
    calls.lost(this);
  }

  /** Sends a message; where too much waits, the connection is let go. */
  boolean send(CallerMessage message) {
    if (closed) {
      return false;
    }
    boolean sent = wire.send(CallerCodec.encode(message));
    if (!sent) {
      wire.reset();
      lost(Loss.CLOSED);
    }
    return sent;
  }

  /** Closes it from this side. */
  void close() {
    if (!closed) {
      wire.close();
      lost(Loss.CLOSED);
    }
  }
}
