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
 * Subscribes to the journal service and applies each event once and in order. If a connection
 * breaks, falls silent, skips an event or cannot be read, it subscribes again on a new connection
 * from the last applied event.
 */
final class JournalFollower {
  /** Time without a line after which a connection is dead; the service sends one each second. */
  private static final double SILENCE_TIMEOUT_MILLIS = 1_500;

  private static final double MIN_RETRY_DELAY_MILLIS = 20;
  private static final double MAX_RETRY_DELAY_MILLIS = 250;
  private static final int MAX_LINE_BYTES = 4 << 20;

  private final CallController controller;
  private final Scheduler scheduler;
  private final Transport transport;
  private final Counters counters;
  private final EventRecorder log;
  private final Runnable directoryListener;
  private final Runnable confirmationListener;
  private PlatformSettings.Address address;
  private long position;
  private Subscription subscription;
  private double retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

  /**
   * Creates a follower that is not subscribed yet.
   *
   * @param directoryListener called after each change of the exchange directory
   * @param confirmationListener called when the service has confirmed that no event is missing
   */
  JournalFollower(
      CallController controller,
      Scheduler scheduler,
      Transport transport,
      Counters counters,
      EventRecorder log,
      PlatformSettings.Address address,
      Runnable directoryListener,
      Runnable confirmationListener) {
    this.controller = controller;
    this.scheduler = scheduler;
    this.transport = transport;
    this.counters = counters;
    this.log = log;
    this.address = address;
    this.directoryListener = directoryListener;
    this.confirmationListener = confirmationListener;
  }

  /** One connection to the journal service. */
  private final class Subscription implements ConnectionListener {
    private final LineFramer framer = new LineFramer(MAX_LINE_BYTES);
    private Connection connection;
    private double lastLineAt = scheduler.now();
    private boolean receivedOctets;

    @Override
    public boolean urgent() {
      return true;
    }

    @Override
    public void received(byte[] octets, double arrived) {
      receivedOctets = true;
      try {
        framer.feed(octets, this::onLine);
      } catch (MalformedException e) {
        onUnreadable(e.getMessage());
      }
    }

    private void onLine(byte[] line) {
      if (subscription != this) {
        return;
      }
      lastLineAt = scheduler.now();
      retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
      try {
        apply(JournalLine.decode(line));
      } catch (MalformedException | WireException e) {
        onUnreadable(e.getMessage());
      }
    }

    private void onUnreadable(String problem) {
      counters.increment("journal lines that cannot be read: " + problem);
      resubscribe(this, 0, "unreadable: " + problem);
    }

    @Override
    public void lost(Loss loss) {
      counters.increment("journal connections lost");
      log.closed("journal", "lost: " + loss);
      if (subscription == this) {
        subscription = null;
        boolean firstBreak = receivedOctets && retryDelayMillis == MIN_RETRY_DELAY_MILLIS;
        reconnectAfter(firstBreak ? 0 : retryDelayMillis);
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
      }
    }

    private void reconnectAfter(double delayMillis) {
      log.retried("", "journal", "connects again in " + Math.round(delayMillis) + " ms");
      scheduler.schedule(delayMillis, JournalFollower.this::connect);
    }
  }

  /**
   * Applies the events of the configuration and subscribes to later ones.
   *
   * @param lastPosition position of the last event known
   */
  void start(List<JournalLine> knownEvents, long lastPosition) {
    for (JournalLine line : knownEvents) {
      position = line.position() - 1;
      apply(line);
    }
    position = lastPosition;
    connect();
  }

  /** Moves to another address of the service, continuing from the same position. */
  void moveTo(PlatformSettings.Address newAddress) {
    address = newAddress;
    if (subscription != null) {
      resubscribe(subscription, 0, "moved to another address");
    }
  }

  private void connect() {
    if (subscription != null) {
      return;
    }
    subscription = new Subscription();
    subscription.connection = transport.connect(address.host(), address.port(), subscription);
    subscription.connection.send(("tail " + position + "\n").getBytes(StandardCharsets.US_ASCII));
  }

  private void resubscribe(Subscription failed, double delayMillis, String reason) {
    if (subscription == failed) {
      log.closed("journal", "reset: " + reason);
      failed.connection.reset();
      subscription = null;
      scheduler.schedule(delayMillis, this::connect);
    }
  }

  /** Subscribes again if the service has fallen silent. */
  void resubscribeIfSilent() {
    if (subscription != null
        && scheduler.now() - subscription.lastLineAt > SILENCE_TIMEOUT_MILLIS) {
      counters.increment("journal connections given up as silent");
      resubscribe(subscription, 0, "silent");
    }
  }

  /**
   * Applies an event to the exchange directory. If the event is out of sequence, or if the line
   * only carries a position ahead of the last applied event, an event was skipped: it subscribes
   * again.
   */
  private void apply(JournalLine line) {
    if (line.position() <= position) {
      if (line.event()) {
        log.ignored("", "journal", "event " + line.position() + " is applied already");
      } else if (line.position() == position) {
        confirmationListener.run();
      }
      return;
    }
    if (!line.event() || line.position() != position + 1) {
      counters.increment("journal events left out");
      if (subscription != null) {
        resubscribe(subscription, MIN_RETRY_DELAY_MILLIS, "an event is missing");
      }
      return;
    }
    position = line.position();
    log.state("", "journal", "event " + position + " applied");
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
            line.snapshot(), controller.directory().version(), position, entries));
    directoryListener.run();
  }

  /** Position of the last applied event. */
  long position() {
    return position;
  }
}
