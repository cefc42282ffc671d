package coveladder;

import java.util.ArrayDeque;

/**
 * Counts the calls of each class that arrived within a sliding window. Arrivals are counted by
 * short intervals instead of kept one by one: the memory depends on the length of the window, not
 * on the rate of calls.
 */
final class ArrivalWindow {
  /** Length of an interval, ms; a small part of the window, which is exact to one interval. */
  private static final double INTERVAL_MILLIS = 100;

  private final double origin;
  private final int classes;
  private final ArrayDeque<Interval> intervals = new ArrayDeque<>();
  private int total;

  /** The arrivals of one interval. */
  private static final class Interval {
    final long number;
    final int[] counts;
    int total;

    Interval(long number, int classes) {
      this.number = number;
      this.counts = new int[classes];
    }
  }

  /**
   * Creates an empty window.
   *
   * @param origin clock at which an interval begins, ms
   * @param classes number of call classes
   */
  ArrivalWindow(double origin, int classes) {
    this.origin = origin;
    this.classes = classes;
  }

  /** Counts an arrival of a class. */
  void add(double now, int type) {
    long number = (long) Math.floor((now - origin) / INTERVAL_MILLIS);
    Interval latest = intervals.peekLast();
    if (latest == null || latest.number < number) {
      latest = new Interval(number, classes);
      intervals.add(latest);
    }
    latest.counts[type]++;
    latest.total++;
    total++;
  }

  /** Forgets the intervals that ended before a time, ms. */
  void removeBefore(double time) {
    while (!intervals.isEmpty() && endOf(intervals.peek()) <= time) {
      total -= intervals.poll().total;
    }
  }

  private double endOf(Interval interval) {
    return origin + (interval.number + 1) * INTERVAL_MILLIS;
  }

  /** Returns the number of arrivals counted. */
  int size() {
    return total;
  }

  /** Returns the number of arrivals of a class counted. */
  int size(int type) {
    int count = 0;
    for (Interval interval : intervals) {
      count += interval.counts[type];
    }
    return count;
  }

  boolean isEmpty() {
    return total == 0;
  }

  /** Returns the number of intervals held. */
  int heldIntervals() {
    return intervals.size();
  }
}
