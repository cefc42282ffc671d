package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.core.recovery.CallStore;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.SavedCall;
import coveladder.core.recovery.SavedCall.Phase;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers that are killed in virtual time, at some boundaries and for some seeds; the rehearse
 * command plays all boundaries and thousands of seeds.
 */
class RestartSweepTest {
  private static final int THREADS = Runtime.getRuntime().availableProcessors();
  private static final RecoveryRate.Budget RECOVERY_BUDGET =
      new RecoveryRate.Budget(/* callsPerSecond= */ 200, /* verifyDelayMillis= */ 300);

  @Test
  void fiftySeedsWithKillsAndFailingDisksKeepAllRules() throws InterruptedException {
    assertEquals(List.of(), SeedSweep.ofRestarts().run(1, 50, THREADS));
  }

  /**
   * Seeds that broke a rule or left circuits busy before: an answer to a CANCEL was not stored
   * (10); a second attempt was sent after a disk had failed and the restarted controller crashed at
   * once, too (12, 221); a 503 followed a 200 that had not been stored (16); CSeq numbers were
   * reused after a restart (31); an ACK arrived before the call was stored (41); a BYE was lost
   * with the process that sent it (106); the caller cancelled while an answer waited for the disk
   * (189). Among 10,000 seeds: an answer that was stored but not sent was sent after the end of the
   * caller's patience (2795, 4201, 7359, 7987, 8368, 9991); an INVITE from before a disk failure
   * was retransmitted seconds later (1568, 3791) or was never answered (7009, 7552).
   */
  @ParameterizedTest
  @ValueSource(
      longs = {
        10, 12, 16, 31, 41, 106, 189, 221, 461, 571, 838, 1568, 2795, 3791, 7009, 7552, 8368
      })
  void seedsThatFailedBefore(long seed) {
    Rehearsal.Result result = SeedSweep.playWithKillAt(Scenarios.restarts(seed), seed, -1);
    assertTrue(result.isClean(), result.ruleReport() + " circuits held " + result.busyCircuits());
  }

  @Test
  void aKillAtSomeBoundariesKeepsAllRules() throws InterruptedException {
    SeedSweep sweep = SeedSweep.ofBoundaries(Scenarios.boundaries(), 1);
    for (long boundary = 5; boundary < 3_900; boundary += 310) {
      assertEquals(List.of(), sweep.run(boundary, 2, THREADS));
    }
  }

  @Test
  void callsEstablishedAtAKillLastToTheirEnd() {
    for (long boundary = 200; boundary < 3_900; boundary += 1_200) {
      Rehearsal.Result result = SeedSweep.playWithKillAt(Scenarios.boundaries(), 2, boundary);
      Set<String> endedEarly =
          result.callResults().stream()
              .filter(callResult -> callResult.disconnected() || callResult.endedByRemote())
              .map(callResult -> callResult.plannedCall().sessionIdPrefix())
              .collect(Collectors.toCollection(TreeSet::new));
      endedEarly.retainAll(result.restarts().establishedAtKill().keySet());
      assertEquals(1, result.restarts().killCount());
      assertEquals(Set.of(), endedEarly);
    }
  }

  @Test
  void aScenarioWithoutKillsIsClean() {
    Rehearsal.Result result = SeedSweep.playWithKillAt(Scenarios.boundaries(), 1, -1);
    assertTrue(result.isClean());
    assertEquals(0, result.restarts().killCount());
  }

  // ---- Mutations that the checker detects -----------------------------------------------------

  /** A store that forwards everything; mutations override one method. */
  private static class ForwardingStore implements CallStore {
    final CallStore delegate;

    ForwardingStore(CallStore delegate) {
      this.delegate = delegate;
    }

    @Override
    public void put(SavedCall call) {
      delegate.put(call);
    }

    @Override
    public void remove(String id) {
      delegate.remove(id);
    }

    @Override
    public void sync(Consumer<Boolean> whenSynced) {
      delegate.sync(whenSynced);
    }

    @Override
    public Contents initialContents() {
      return delegate.initialContents();
    }

    @Override
    public void markUpToDate() {
      delegate.markUpToDate();
    }

    @Override
    public void onRecreated(Runnable rewriteAll) {
      delegate.onRecreated(rewriteAll);
    }
  }

  private static int countFailedRuns(UnaryOperator<CallStore> storeWrapper) {
    int failed = 0;
    for (long seed = 10; seed <= 16; seed++) {
      try (SimulatedNetwork network = new SimulatedNetwork(seed)) {
        ControllerRestarts restarts =
            new ControllerRestarts(network, RECOVERY_BUDGET, seed, storeWrapper);
        Rehearsal.Result result =
            Rehearsal.playWithRestarts(network, Scenarios.restarts(seed), seed, restarts);
        failed += result.isClean() ? 0 : 1;
      }
    }
    return failed;
  }

  @Test
  void noRunFailsWithoutAMutation() {
    assertEquals(0, countFailedRuns(ForwardingStore::new));
  }

  @Test
  void aStoreThatReportsSyncsTooEarlyIsDetected() {
    assertTrue(
        countFailedRuns(
                disk ->
                    new ForwardingStore(disk) {
                      @Override
                      public void sync(Consumer<Boolean> whenSynced) {
                        delegate.sync(succeeded -> {});
                        whenSynced.accept(true);
                      }
                    })
            > 0);
  }

  @Test
  void setUpsThatAreNotStoredAreDetected() {
    assertTrue(
        countFailedRuns(
                disk ->
                    new ForwardingStore(disk) {
                      @Override
                      public void put(SavedCall call) {
                        if (call.phase() != Phase.SETTING_UP) {
                          delegate.put(call);
                        }
                      }
                    })
            > 0);
  }

  @Test
  void aStoreThatHidesThatItIsOutOfDateIsDetected() {
    assertTrue(
        countFailedRuns(
                disk ->
                    new ForwardingStore(disk) {
                      @Override
                      public Contents initialContents() {
                        Contents contents = delegate.initialContents();
                        return new Contents(
                            contents.calls(),
                            contents.damagedRecords(),
                            false,
                            contents.incarnation());
                      }
                    })
            > 0);
  }

  @Test
  void aRestartThatReportsTheFirstIncarnationIsDetected() {
    assertTrue(
        countFailedRuns(
                disk ->
                    new ForwardingStore(disk) {
                      @Override
                      public Contents initialContents() {
                        Contents contents = delegate.initialContents();
                        return new Contents(
                            contents.calls(), contents.damagedRecords(), contents.outOfDate(), 1);
                      }
                    })
            > 0);
  }
}
