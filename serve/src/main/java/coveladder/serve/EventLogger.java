package coveladder.serve;

import coveladder.isupfront.EventLog;
import java.util.function.Consumer;

/**
 * Writes events as lines, at a limited rate so that a flood of messages does not become a flood of
 * lines. Changes of calls' states have a limit of their own, so that they leave room for all else.
 */
final class EventLogger implements EventLog {
  /** Lines per second of each limit. */
  private static final double LINES_PER_SECOND = 200;

  /** Lines that may follow one another at once, for each limit. */
  private static final double MAX_BURST_LINES = 400;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Consumer<String> output;
  private final LineBudget stateBudget = new LineBudget();
  private final LineBudget eventBudget = new LineBudget();
  private long suppressedLines;

  /** A number of lines that refills with time. */
  private static final class LineBudget {
    private double available = MAX_BURST_LINES;
    private double refilledAt = Double.NaN;

    boolean take(double nowMillis) {
      if (!Double.isNaN(refilledAt)) {
        double refill = (nowMillis - refilledAt) * LINES_PER_SECOND / MILLIS_PER_SECOND;
        available = Math.min(MAX_BURST_LINES, available + Math.max(0, refill));
      }
      refilledAt = nowMillis;
      if (available < 1) {
        return false;
      }
      available--;
      return true;
    }
  }

  /**
   * Creates a logger.
   *
   * @param output receives each line
   */
  EventLogger(Consumer<String> output) {
    this.output = output;
  }

  @Override
  public void record(Event event) {
    LineBudget budget = event.kind() == Kind.STATE ? stateBudget : eventBudget;
    if (budget.take(event.timeMillis())) {
      output.accept(format(event));
    } else {
      suppressedLines++;
    }
  }

  /** Returns the number of lines left out since the previous call. */
  long takeSuppressedLines() {
    long taken = suppressedLines;
    suppressedLines = 0;
    return taken;
  }

  private static String format(Event event) {
    StringBuilder line = new StringBuilder(160);
    appendTime(line, event.timeMillis());
    line.append(' ').append(event.kind());
    if (!event.call().isEmpty()) {
      line.append(" call=").append(event.call());
    }
    if (!event.peer().isEmpty()) {
      line.append(" peer=").append(event.peer());
    }
    return line.append(' ').append(event.reason()).toString();
  }

  /** Appends a time as Unix seconds with three decimals. */
  static void appendTime(StringBuilder line, double timeMillis) {
    long millis = (long) timeMillis;
    long fraction = millis % 1_000;
    line.append("t=").append(millis / 1_000).append('.');
    line.append(fraction < 100 ? "0" : "").append(fraction < 10 ? "0" : "").append(fraction);
  }
}
