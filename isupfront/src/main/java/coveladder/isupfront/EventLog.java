package coveladder.isupfront;

/** Receives what happens to each call and connection, so that the log can explain its outcome. */
public interface EventLog {
  /** Discards all events. */
  EventLog NONE = event -> {};

  /** What kind of step an event is. */
  enum Kind {
    /** A call or the process changed its state. */
    STATE,
    /** A connection was closed or lost. */
    CLOSE,
    /** A connection or message is tried again. */
    RETRY,
    /** A set-up was refused. */
    REFUSAL,
    /** A message was received and has no effect now. */
    IGNORED
  }

  /**
   * An event.
   *
   * @param timeMillis clock at which it happened, Unix ms
   * @param kind what kind of step it is
   * @param call id of the call; empty if it concerns none
   * @param peer the remote party or connection; empty if there is none
   * @param reason what happened and why
   */
  record Event(double timeMillis, Kind kind, String call, String peer, String reason) {}

  /** Records an event. */
  void record(Event event);
}
