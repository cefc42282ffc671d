package coveladder.rehearsal;

import coveladder.sip.Failure;
import coveladder.sip.Hop;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Records all messages that each node sent and read, together with failures and notes; the checker
 * works on these records. Thread-safe, with a maximum number of entries.
 */
public final class MessageRecorder {
  private static final int MAX_ENTRIES = 20_000_000;

  private final List<Entry> entries = new ArrayList<>();
  private boolean truncated;

  /** The kind of an entry. */
  public enum Kind {
    /** The node sent a message. */
    SENT,
    /** The node read a message. */
    READ,
    /** A connection of the node failed. */
    FAILED,
    /** The scenario did something to the node. */
    NOTE
  }

  /**
   * One entry.
   *
   * @param time clock time, ms
   * @param node the node's name
   * @param kind the kind of the entry
   * @param peer the other side; null for a note
   * @param arrivedAt clock time at which a message that was read had arrived, ms
   * @param message the message, or null
   * @param failure the failure, or null
   * @param note what the scenario did, or null
   */
  public record Entry(
      double time,
      String node,
      Kind kind,
      Hop peer,
      double arrivedAt,
      byte[] message,
      Failure failure,
      String note) {}

  /** Records that a message was sent. */
  public void recordSent(double time, String node, Hop peer, byte[] message) {
    add(new Entry(time, node, Kind.SENT, peer, time, message, null, null));
  }

  /** Records that a message was read. */
  public void recordRead(double time, String node, Hop peer, double arrivedAt, byte[] message) {
    add(new Entry(time, node, Kind.READ, peer, arrivedAt, message, null, null));
  }

  /** Records that a connection failed. */
  public void recordFailure(double time, String node, Hop peer, Failure failure) {
    add(new Entry(time, node, Kind.FAILED, peer, time, null, failure, null));
  }

  /** Records what the scenario did to a node. */
  public void recordNote(double time, String node, String note) {
    add(new Entry(time, node, Kind.NOTE, null, time, null, null, note));
  }

  /** Prints all entries with the unchanged text of their messages. */
  public void print(PrintWriter out) {
    for (Entry entry : entries()) {
      String text =
          entry.message() == null
              ? String.valueOf(entry.failure() == null ? entry.note() : entry.failure())
              : new String(entry.message(), StandardCharsets.ISO_8859_1).trim();
      out.printf(
          Locale.ROOT,
          "%.3f %s %s %s%n%s%n%n",
          entry.time(),
          entry.node(),
          entry.kind(),
          entry.peer(),
          text);
    }
  }

  private synchronized void add(Entry entry) {
    if (entries.size() < MAX_ENTRIES) {
      entries.add(entry);
    } else {
      truncated = true;
    }
  }

  /** All entries, ordered by time; entries with equal times keep their order. */
  public synchronized List<Entry> entries() {
    if (truncated) {
      throw new IllegalStateException(
          "more than " + MAX_ENTRIES + " entries: the record is incomplete");
    }
    List<Entry> sorted = new ArrayList<>(entries);
    sorted.sort(Comparator.comparingDouble(Entry::time));
    return sorted;
  }
}
