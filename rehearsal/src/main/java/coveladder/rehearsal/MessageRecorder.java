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
 * Everything that crossed the wire, as seen at each node: what the checker judges from. Safe for
 * several threads; bounded in records.
 */
public final class MessageRecorder {
  private static final int MAX_ENTRIES = 20_000_000;

  private final List<Entry> entries = new ArrayList<>();
  private boolean truncated;

  /** What an entry is of. */
  public enum Kind {
    /** A message left the node. */
    SENT,
    /** The node read a message. */
    READ,
    /** The node was told that a connection failed. */
    FAILED,
    /** The script did something to the node. */
    NOTE
  }

  /**
   * One entry.
   *
   * @param time clock, ms
   * @param node the node's name
   * @param kind what it is of
   * @param peer the other side; null for notes
   * @param arrivedAt clock at which a message that was read had arrived, ms
   * @param message the message, or null
   * @param failure the failure, or null
   * @param note what the script did, or null
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

  /** Writes down that a message left. */
  public void recordSent(double time, String node, Hop peer, byte[] message) {
    add(new Entry(time, node, Kind.SENT, peer, time, message, null, null));
  }

  /** Writes down that a message was read. */
  public void recordRead(double time, String node, Hop peer, double arrivedAt, byte[] message) {
    add(new Entry(time, node, Kind.READ, peer, arrivedAt, message, null, null));
  }

  /** Writes down that a connection failed. */
  public void recordFailure(double time, String node, Hop peer, Failure failure) {
    add(new Entry(time, node, Kind.FAILED, peer, time, null, failure, null));
  }

  /** Writes down what the script did to a node. */
  public void recordNote(double time, String node, String note) {
    add(new Entry(time, node, Kind.NOTE, null, time, null, null, note));
  }

  /** Prints all entries, messages as they were. */
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

  /** All entries in the order of their times; those of one node stay in their order. */
  public synchronized List<Entry> entries() {
    if (truncated) {
      throw new IllegalStateException(
          "more than " + MAX_ENTRIES + " messages: the tap is not whole");
    }
    List<Entry> sorted = new ArrayList<>(entries);
    sorted.sort(Comparator.comparingDouble(Entry::time));
    return sorted;
  }
}
