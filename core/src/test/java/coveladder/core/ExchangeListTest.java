package coveladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeList.Entry;
import coveladder.core.ExchangeList.News;
import coveladder.core.ExchangeList.Taken;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeListTest {
  private final ExchangeList list = new ExchangeList();

  private static Entry entry(String id, int number, ExchangeState state, double started) {
    return new Entry(id, number, "x" + number, "sip:s" + number, state, started);
  }

  private static News full(long version, Entry... entries) {
    return new News(true, 0, version, List.of(entries));
  }

  private static News change(long after, Entry... entries) {
    return new News(false, after, after + 1, List.of(entries));
  }

  @Test
  void changesApplyInOrderAndAGapIsSeen() {
    assertEquals(Taken.CHANGED, list.take(full(4, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(Taken.OLD, list.take(change(3, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(Taken.GAP, list.take(change(5, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertNull(list.byId("b"));
    assertEquals(
        Taken.CHANGED, list.take(change(4, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals("b", list.byNumber(2).id());
    assertEquals(5, list.version());
  }

  @Test
  void closedSinceIsWhenItWasFirstTold() {
    list.take(full(1, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 10);
    assertEquals(Double.POSITIVE_INFINITY, list.closedSince("a"));
    list.take(change(1, entry("a", 1, ExchangeState.DRAINING, 0)), 20);
    list.take(change(2, entry("a", 1, ExchangeState.GONE, 0)), 30);
    assertEquals(20, list.closedSince("a"));
    list.take(change(3, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 40);
    assertEquals(Double.POSITIVE_INFINITY, list.closedSince("a"));
  }

  @Test
  void whatAWholeListLeavesOutIsGone() {
    list.take(
        full(
            1,
            entry("a", 1, ExchangeState.IN_SERVICE, 0),
            entry("b", 2, ExchangeState.IN_SERVICE, 0)),
        0);
    list.take(full(9, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 50);
    assertNull(list.byNumber(1));
    assertEquals(50, list.closedSince("a"));
  }

  @Test
  void theNewestProcessorOfAPlaceCounts() {
    Entry old = entry("a", 1, ExchangeState.IN_SERVICE, 0);
    Entry fresh = entry("c", 1, ExchangeState.IN_SERVICE, 700);
    list.take(full(1, old, fresh), 0);
    assertEquals("c", list.byNumber(1).id());
    assertEquals("c", list.byDomain("X1").id());
    assertEquals(1, list.numberOf("x1"));
    assertEquals(-1, list.numberOf("x9"));
  }
}
