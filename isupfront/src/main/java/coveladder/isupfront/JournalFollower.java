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
 * breaks, skips an event or cannot be read, it subscribes again on a new connection from the last
 * applied event.
 *
 * <p>If the service falls silent, it subscribes on a further connection as well and keeps those it
 * has: a slow service is heard on the first one, a service that has forgotten a connection on a
 * later one. The connection that brings the next line is kept, the others are reset.
 */
final class JournalFollower {
  /** Time without a line after which it subscribes again; the service sends one each second. */
  private static final double SILENCE_TIMEOUT_MILLIS = 1_500;

  /**
   * The same time after the first further connection: what the service has to tell counts as told 4
   * s after it fell silent, and a connection that it took meanwhile may be forgotten.
   */
  private static final double SECOND_SILENCE_TIMEOUT_MILLIS = 2_000;

  /**
   * The same time once two further connections have brought no line either: a slow service must not
   * be made slower.
   */
  private static final double REPEATED_SILENCE_TIMEOUT_MILLIS = 3_000;

  /**
   * Maximum number of connections. The first one is replaced after 12 s: a service is heard if its
   * lines take up to that time.
   */
  private static final int MAX_SUBSCRIPTIONS = 5;

  /** Maximum number of switches listed; ten times the largest deployment. */
  private static final int MAX_LISTED_SWITCHES = 1_000;

  private static final double MIN_RETRY_DELAY_MILLIS = 20;
  private static final double MAX_RETRY_DELAY_MILLIS = 250;
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final CallController controller;
  private final Scheduler scheduler;
  private final Transport transport;
  private final Counters counters;
  private final EventRecorder log;
  private final Runnable directoryListener;
  private final Runnable confirmationListener;
  private PlatformSettings.Address address;
  private long position;

  /** Connections to the service, oldest first. */
  private final List<Subscription> subscriptions = new ArrayList<>();

  /** Clock of the last line, or of the last connection made since, ms. */
  private double lastProgressAt;

  /** Number of connections made since the last line because the service was silent. */
  private int silentAttempts;

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
    private boolean receivedOctets;

    /** Clock of its last octets, or at which it was begun, ms. */
    private double heardAt;

    @Override
    public boolean urgent() {
      return true;
    }

    @Override
    public void received(byte[] octets, double arrived) {
      receivedOctets = true;
      heardAt = scheduler.now();
      try {
        framer.feed(octets, this::onLine);
      } catch (MalformedException e) {
        onUnreadable(e.getMessage());
      }
    }

    private void onLine(byte[] line) {
      if (!subscriptions.contains(this)) {
        return;
      }
      keepOnly(this);
      lastProgressAt = scheduler.now();
      silentAttempts = 0;
      try {
        apply(JournalLine.decode(line));
      } catch (MalformedException | WireException e) {
        onUnreadable(e.getMessage());
      }
    }

    private void onUnreadable(String problem) {
      counters.increment("journal lines that cannot be read: " + problem);
      boolean first = retryDelayMillis == MIN_RETRY_DELAY_MILLIS;
      resubscribe(this, first ? 0 : retryDelayMillis, "unreadable: " + problem);
      growRetryDelay();
    }

    @Override
    public void lost(Loss loss) {
      counters.increment("journal connections lost");
      log.closed("journal", "lost: " + loss);
      if (subscriptions.remove(this) && noneIsHeard()) {
        boolean firstBreak = receivedOctets && retryDelayMillis == MIN_RETRY_DELAY_MILLIS;
        reconnectAfter(firstBreak ? 0 : retryDelayMillis);
        growRetryDelay();
      }
    }

    private void reconnectAfter(double delayMillis) {
      log.retried("", "journal", "connects again in " + Math.round(delayMillis) + " ms");
      scheduler.schedule(delayMillis, JournalFollower.this::connectIfNoneIsHeard);
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
    connectIfNone();
  }

  /** Moves to another address of the service, continuing from the same position. */
  void moveTo(PlatformSettings.Address newAddress) {
    address = newAddress;
    if (!subscriptions.isEmpty()) {
      resetAll("moved to another address");
      scheduler.schedule(0, this::connectIfNone);
    }
  }

  private void connectIfNone() {
    if (subscriptions.isEmpty()) {
      connect();
    }
  }

  /** Connects unless a connection is left that brings lines, or may still bring its first one. */
  private void connectIfNoneIsHeard() {
    if (noneIsHeard()) {
      connect();
    }
  }

  /**
   * Whether all connections that are left have been silent for long, or none is left. A connection
   * to a service that has forgotten it stays open and silent.
   */
  private boolean noneIsHeard() {
    double now = scheduler.now();
    return subscriptions.stream()
        .allMatch(subscription -> now - subscription.heardAt > SILENCE_TIMEOUT_MILLIS);
  }

  private void connect() {
    Subscription subscription = new Subscription();
    subscriptions.add(subscription);
    subscription.heardAt = scheduler.now();
    lastProgressAt = scheduler.now();
    subscription.connection = transport.connect(address.host(), address.port(), subscription);
    subscription.connection.send(("tail " + position + "\n").getBytes(StandardCharsets.US_ASCII));
  }

  private void growRetryDelay() {
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
  }

  /** Subscribes again after the failure of a connection, unless another one is left. */
  private void resubscribe(Subscription failed, double delayMillis, String reason) {
    if (subscriptions.remove(failed)) {
      reset(failed, reason);
      scheduler.schedule(delayMillis, this::connectIfNone);
    }
  }

  private void reset(Subscription subscription, String reason) {
    log.closed("journal", "reset: " + reason);
    subscription.connection.reset();
  }

  private void resetAll(String reason) {
    subscriptions.forEach(subscription -> reset(subscription, reason));
    subscriptions.clear();
  }

  /** Resets all connections but one, which has brought a line. */
  private void keepOnly(Subscription subscription) {
    if (subscriptions.size() > 1) {
      subscriptions.remove(subscription);
      resetAll("another connection has brought a line");
      subscriptions.add(subscription);
    }
  }

  private double silenceTimeoutMillis() {
    return switch (silentAttempts) {
      case 0 -> SILENCE_TIMEOUT_MILLIS;
      case 1 -> SECOND_SILENCE_TIMEOUT_MILLIS;
      default -> REPEATED_SILENCE_TIMEOUT_MILLIS;
    };
  }

  /** Subscribes on a further connection if the service has fallen silent. */
  void resubscribeIfSilent() {
    double timeoutMillis = silenceTimeoutMillis();
    if (subscriptions.isEmpty() || scheduler.now() - lastProgressAt <= timeoutMillis) {
      return;
    }
    silentAttempts++;
    counters.increment("journal connections added, as the service was silent");
    log.retried("", "journal", "no line for " + Math.round(timeoutMillis) + " ms");
    if (subscriptions.size() >= MAX_SUBSCRIPTIONS) {
      reset(subscriptions.remove(0), "silent");
    }
    connect();
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
        retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        confirmationListener.run();
      }
      return;
    }
    if (!line.event() || line.position() != position + 1) {
      counters.increment("journal events left out");
      resubscribeAll("an event is missing");
      return;
    }
    List<ExchangeDirectory.Entry> listed = listedEntries(line);
    position = line.position();
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    log.state("", "journal", "event " + position + " applied");
    controller.updateDirectory(
        new ExchangeDirectory.Update(
            line.snapshot(),
            controller.directory().version(),
            position,
            AddressOwners.closeSuperseded(listed, line.snapshot(), controller.directory())));
    directoryListener.run();
  }

  /** Returns the entries of an event, without new switches beyond the maximum number. */
  private List<ExchangeDirectory.Entry> listedEntries(JournalLine line) {
    ExchangeDirectory directory = controller.directory();
    int room = MAX_LISTED_SWITCHES - (line.snapshot() ? 0 : directory.entries().size());
    List<ExchangeDirectory.Entry> listed = new ArrayList<>();
    for (JournalLine.Entry entry : line.entries()) {
      boolean known = !line.snapshot() && directory.byId(entry.id()) != null;
      if (known || room > 0) {
        room -= known ? 0 : 1;
        listed.add(directoryEntry(entry));
      } else {
        counters.increment("switches left out, as too many are listed");
      }
    }
    return listed;
  }

  /** Returns the start of a listed switch; one that is still to come is damaged, and ignored. */
  private double startedAt(JournalLine.Entry entry) {
    if (entry.startedAtMillis() <= scheduler.now()) {
      return entry.startedAtMillis();
    }
    ExchangeDirectory.Entry known = controller.directory().byId(entry.id());
    return known == null ? scheduler.now() : known.startedAt();
  }

  private ExchangeDirectory.Entry directoryEntry(JournalLine.Entry entry) {
    return new ExchangeDirectory.Entry(
        entry.id(),
        entry.exchangeNumber(),
        "",
        entry.host() + ":" + entry.port(),
        ReportReader.state(entry.state()),
        startedAt(entry));
  }

  private void resubscribeAll(String reason) {
    if (!subscriptions.isEmpty()) {
      resetAll(reason);
      scheduler.schedule(MIN_RETRY_DELAY_MILLIS, this::connectIfNone);
    }
  }

  /** Position of the last applied event. */
  long position() {
    return position;
  }
}
