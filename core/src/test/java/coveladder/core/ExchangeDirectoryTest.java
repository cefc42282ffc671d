package coveladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeDirectory.Entry;
import coveladder.core.ExchangeDirectory.Update;
import coveladder.core.ExchangeDirectory.UpdateResult;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeDirectoryTest {
  private final ExchangeDirectory list = new ExchangeDirectory();

  private static Entry entry(String id, int number, ExchangeState state, double started) {
    return new Entry(id, number, "x" + number, "sip:s" + number, state, started);
  }

  private static Update full(long version, Entry... entries) {
    return new Update(true, 0, version, List.of(entries));
  }

  private static Update change(long after, Entry... entries) {
    return new Update(false, after, after + 1, List.of(entries));
  }

  @Test
  void changesApplyInOrderAndAGapIsSeen() {
    assertEquals(
        UpdateResult.APPLIED, list.apply(full(4, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(
        UpdateResult.OUTDATED,
        list.apply(change(3, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(
        UpdateResult.GAP, list.apply(change(5, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertNull(list.byId("b"));
    assertEquals(
        UpdateResult.APPLIED, list.apply(change(4, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals("b", list.byNumber(2).id());
    assertEquals(5, list.version());
  }

  @Test
  void closedSinceIsWhenItWasFirstTold() {
    list.apply(full(1, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 10);
    assertEquals(Double.POSITIVE_INFINITY, list.closedSince("a"));
    list.apply(change(1, entry("a", 1, ExchangeState.DRAINING, 0)), 20);
    list.apply(change(2, entry("a", 1, ExchangeState.GONE, 0)), 30);
    assertEquals(20, list.closedSince("a"));
    list.apply(change(3, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 40);
    assertEquals(Double.POSITIVE_INFINITY, list.closedSince("a"));
  }

  @Test
  void whatAWholeListLeavesOutIsGone() {
    list.apply(
        full(
            1,
            entry("a", 1, ExchangeState.IN_SERVICE, 0),
            entry("b", 2, ExchangeState.IN_SERVICE, 0)),
        0);
    list.apply(full(9, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 50);
    assertNull(list.byNumber(1));
    assertEquals(50, list.closedSince("a"));
  }

  @Test
  void theNewestProcessorOfAPlaceCounts() {
    Entry old = entry("a", 1, ExchangeState.IN_SERVICE, 0);
    Entry fresh = entry("c", 1, ExchangeState.IN_SERVICE, 700);
    list.apply(full(1, old, fresh), 0);
    assertEquals("c", list.byNumber(1).id());
    assertEquals("c", list.byDomain("X1").id());
    assertEquals(1, list.numberOfDomain("x1"));
    assertEquals(-1, list.numberOfDomain("x9"));
  }
}
