package coveladder.isupfront;

import coveladder.isup.Cause;
import coveladder.isup.LineFramer;
import coveladder.isup.MalformedException;
import coveladder.isup.SwitchCodec;
import coveladder.isup.SwitchMessage;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import coveladder.isupfront.Transport.Loss;
import java.util.LinkedHashMap;
import java.util.Map;

/** One connection to a switch, with the set-ups that are out on it. */
final class SwitchWire implements ConnectionListener {
  private final SwitchLink link;
  private final LineFramer framer;
  private final Map<String, SwitchLink.Out> outs = new LinkedHashMap<>();
  private Connection wire;
  private boolean open;
  private boolean over;
  private boolean silent;
  private double heard;
  private double withinSince = Double.NaN;

  SwitchWire(SwitchLink link, int most, double now) {
    this.link = link;
    this.framer = new LineFramer(most);
    this.heard = now;
  }

  void connecting(Connection made) {
    wire = made;
  }

  Map<String, SwitchLink.Out> outs() {
    return outs;
  }

  boolean isOpen() {
    return open && !over;
  }

  boolean isOver() {
    return over;
  }

  /** Clock of the last octets, or of the making, ms. */
  double heard() {
    return heard;
  }

  /** Whether a set-up timed out on it while nothing came: it takes no new ones. */
  boolean silent() {
    return silent;
  }

  void nowSilent() {
    silent = true;
  }

  /** Whether a line has begun and did not go on for so long, ms. */
  boolean stuck(double now, double lasts) {
    return now - withinSince > lasts;
  }

  boolean send(SwitchMessage message) {
    return wire.send(SwitchCodec.encode(message));
  }

  /** Gives a set-up up, or ends a call that stands. */
  void end(String id) {
    send(SwitchMessage.withCode(SwitchMessage.Kind.CLOSE, id, Cause.NORMAL_CLEARING));
  }

  @Override
  public void opened() {
    open = true;
    link.opened(this);
  }

  @Override
  public void received(byte[] octets, double arrived) {
    if (over) {
      return;
    }
    heard = arrived;
    link.heard(arrived);
    silent = false;
    try {
      framer.feed(octets, this::line);
      withinSince = framer.hasPartialLine() ? arrived : Double.NaN;
    } catch (MalformedException e) {
      link.unreadable(this, e.getMessage());
    }
  }

  private void line(byte[] line) {
    if (over) {
      return;
    }
    try {
      link.message(this, SwitchCodec.decode(line));
    } catch (MalformedException e) {
      link.unreadable(this, e.getMessage());
    }
  }

  @Override
  public void lost(Loss loss) {
    if (!over) {
      over = true;
      link.lost(this, loss);
    }
  }

  /** Ends it with a reset, from this side. */
  void reset() {
    if (!over) {
      over = true;
      wire.reset();
    }
  }
}
