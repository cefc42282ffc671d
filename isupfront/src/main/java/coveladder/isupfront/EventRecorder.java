package coveladder.isupfront;

import coveladder.core.Scheduler;
import coveladder.isupfront.EventLog.Event;
import coveladder.isupfront.EventLog.Kind;

/** Records events with the clock of the moment. */
final class EventRecorder {
  private final Scheduler scheduler;
  private final EventLog log;

  EventRecorder(Scheduler scheduler, EventLog log) {
    this.scheduler = scheduler;
    this.log = log;
  }

  private void record(Kind kind, String call, String peer, String reason) {
    log.record(new Event(scheduler.now(), kind, call, peer, reason));
  }

  /** A call, or the process if {@code call} is empty, changed its state. */
  void state(String call, String peer, String change) {
    record(Kind.STATE, call, peer, change);
  }

  /** A connection was closed or lost. */
  void closed(String peer, String reason) {
    record(Kind.CLOSE, "", peer, reason);
  }

  /** A connection or message is tried again; {@code call} is empty for a connection. */
  void retried(String call, String peer, String reason) {
    record(Kind.RETRY, call, peer, reason);
  }

  /** A set-up was refused. */
  void refused(String call, String peer, String reason) {
    record(Kind.REFUSAL, call, peer, reason);
  }

  /** A message was received and has no effect now. */
  void ignored(String call, String peer, String reason) {
    record(Kind.IGNORED, call, peer, reason);
  }
}
