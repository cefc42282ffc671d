package coveladder.isupfront;

import coveladder.core.CallController;
import coveladder.core.ExchangeDirectory;
import coveladder.core.Scheduler;
import coveladder.isup.JournalLine;
import coveladder.isup.LineFramer;
import coveladder.isup.MalformedException;
import coveladder.isupfront.Transport.Connection;
import coveladder.isupfront.Transport.ConnectionListener;
import coveladder.isupfront.Transport.Loss;
import coveladder.wire.ReportReader;
import coveladder.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Follows the journal service: takes each event once and in order, and asks again from the last one
 * on a new connection where one breaks, falls silent, leaves one out or cannot be read.
 */
final class JournalFollower {
  /** A line comes each second; without one for so long, the connection is taken as dead, ms. */
  private static final double SILENT = 1_500;

  private static final double AGAIN_FIRST = 20;
  private static final double AGAIN_MOST = 250;
  private static final int LONGEST_LINE = 4 << 20;

  private final CallController controller;
  private final Scheduler clock;
  private final Transport wires;
  private final Counters counters;
  private final Runnable changed;
  private PlatformSettings.Address address;
  private long pos;
  private Link link;
  private double again = AGAIN_FIRST;

  JournalFollower(
      CallController controller,
      Scheduler clock,
      Transport wires,
      Counters counters,
      PlatformSettings.Address address,
      Runnable changed) {
    this.controller = controller;
    this.clock = clock;
    this.wires = wires;
    this.counters = counters;
    this.address = address;
    this.changed = changed;
  }

  /** One connection to the service. */
  private final class Link implements ConnectionListener {
    private final LineFramer framer = new LineFramer(LONGEST_LINE);
    private Connection wire;
    private double heard = clock.now();

    @Override
    public boolean urgent() {
      return true;
    }

    @Override
    public void received(byte[] octets, double arrived) {
      try {
        framer.feed(octets, this::line);
      } catch (MalformedException e) {
        unreadable(e.getMessage());
      }
    }

    private void line(byte[] line) {
      if (link != this) {
        return;
      }
      heard = clock.now();
      again = AGAIN_FIRST;
      try {
        take(JournalLine.decode(line));
      } catch (MalformedException | WireException e) {
        unreadable(e.getMessage());
      }
    }

    private void unreadable(String found) {
      counters.increment("journal lines that cannot be read: " + found);
      askAgain(this, 0);
    }

    @Override
    public void lost(Loss loss) {
      counters.increment("journal connections lost");
      if (link == this) {
        link = null;
        wait(loss == Loss.CLOSED ? 0 : again);
        again = Math.min(AGAIN_MOST, 2 * again);
      }
    }

    private void wait(double delay) {
      clock.schedule(delay, JournalFollower.this::connect);
    }
  }

  /** Takes the events of the configuration in, and begins to follow. */
  void start(List<JournalLine> known, long last) {
    for (JournalLine line : known) {
      pos = line.position() - 1;
      take(line);
    }
    pos = last;
    connect();
  }

  /** The service is at another address from now on; the numbers go on. */
  void moved(PlatformSettings.Address to) {
    address = to;
    if (link != null) {
      askAgain(link, 0);
    }
  }

  private void connect() {
    if (link != null) {
      return;
    }
    link = new Link();
    link.wire = wires.connect(address.host(), address.port(), link);
    link.wire.send(("tail " + pos + "\n").getBytes(StandardCharsets.US_ASCII));
  }

  private void askAgain(Link dead, double after) {
    if (link == dead) {
      dead.wire.reset();
      link = null;
      clock.schedule(after, this::connect);
    }
  }

  /** Looks whether the service has fallen silent. */
  void sweep() {
    if (link != null && clock.now() - link.heard > SILENT) {
      counters.increment("journal connections given up as silent");
      askAgain(link, 0);
    }
  }

  private void take(JournalLine line) {
    if (line.position() <= pos) {
      return;
    }
    if (!line.event() || line.position() != pos + 1) {
      counters.increment("journal events left out");
      if (link != null) {
        askAgain(link, AGAIN_FIRST);
      }
      return;
    }
    pos = line.position();
    List<ExchangeDirectory.Entry> entries = new ArrayList<>();
    for (JournalLine.Entry entry : line.entries()) {
      entries.add(
          new ExchangeDirectory.Entry(
              entry.id(),
              entry.exchangeNumber(),
              "",
              entry.host() + ":" + entry.port(),
              ReportReader.state(entry.state()),
              entry.startedAtMillis()));
    }
    controller.updateDirectory(
        new ExchangeDirectory.Update(
            line.snapshot(), controller.directory().version(), pos, entries));
    changed.run();
  }

  /** Number of the last event taken. */
  long pos() {
    return pos;
  }
}
