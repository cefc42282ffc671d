package coveladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeDirectory.Entry;
import coveladder.core.ExchangeDirectory.Update;
import coveladder.core.ExchangeDirectory.UpdateResult;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests updates of the exchange directory, lost ones included, and lookups in it. */
class ExchangeDirectoryTest {
  private final ExchangeDirectory directory = new ExchangeDirectory();

  private static Entry entry(String id, int number, ExchangeState state, double startedAt) {
    return new Entry(id, number, "x" + number, "sip:s" + number, state, startedAt);
  }

  private static Update completeUpdate(long version, Entry... entries) {
    return new Update(true, 0, version, List.of(entries));
  }

  private static Update changeAfter(long baseVersion, Entry... entries) {
    return new Update(false, baseVersion, baseVersion + 1, List.of(entries));
  }

  @Test
  void changesApplyInOrderAndAGapIsDetected() {
    assertEquals(
        UpdateResult.APPLIED,
        directory.apply(completeUpdate(4, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(
        UpdateResult.OUTDATED,
        directory.apply(changeAfter(3, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals(
        UpdateResult.GAP,
        directory.apply(changeAfter(5, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertNull(directory.byId("b"));
    assertEquals(
        UpdateResult.APPLIED,
        directory.apply(changeAfter(4, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 0));
    assertEquals("b", directory.byNumber(2).id());
    assertEquals(5, directory.version());
  }

  @Test
  void closedSinceIsTheTimeOfTheFirstReport() {
    directory.apply(completeUpdate(1, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 10);
    assertEquals(Double.POSITIVE_INFINITY, directory.closedSince("a"));
    directory.apply(changeAfter(1, entry("a", 1, ExchangeState.DRAINING, 0)), 20);
    directory.apply(changeAfter(2, entry("a", 1, ExchangeState.GONE, 0)), 30);
    assertEquals(20, directory.closedSince("a"));
    directory.apply(changeAfter(3, entry("a", 1, ExchangeState.IN_SERVICE, 0)), 40);
    assertEquals(Double.POSITIVE_INFINITY, directory.closedSince("a"));
  }

  @Test
  void exchangesMissingFromACompleteUpdateAreRemoved() {
    directory.apply(
        completeUpdate(
            1,
            entry("a", 1, ExchangeState.IN_SERVICE, 0),
            entry("b", 2, ExchangeState.IN_SERVICE, 0)),
        0);
    directory.apply(completeUpdate(9, entry("b", 2, ExchangeState.IN_SERVICE, 0)), 50);
    assertNull(directory.byNumber(1));
    assertEquals(50, directory.closedSince("a"));
  }

  @Test
  void lookupReturnsTheNewestProcessorOfAnExchange() {
    Entry old = entry("a", 1, ExchangeState.IN_SERVICE, 0);
    Entry replacement = entry("c", 1, ExchangeState.IN_SERVICE, 700);
    directory.apply(completeUpdate(1, old, replacement), 0);
    assertEquals("c", directory.byNumber(1).id());
    assertEquals("c", directory.byDomain("X1").id());
    assertEquals(1, directory.numberOfDomain("x1"));
    assertEquals(-1, directory.numberOfDomain("x9"));
  }
}
