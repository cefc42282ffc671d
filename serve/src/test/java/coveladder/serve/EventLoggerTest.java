package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import coveladder.isupfront.EventLog.Event;
import coveladder.isupfront.EventLog.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the form and the rate of event lines. */
class EventLoggerTest {
  private final List<String> lines = new ArrayList<>();
  private final EventLogger logger = new EventLogger(lines::add);

  @Test
  void aLineHoldsTimeKindCallPeerAndReason() {
    logger.record(new Event(1_764_842_137_075.9, Kind.IGNORED, "9b1f", "s1#2", "not known"));
    logger.record(new Event(1_764_842_137_100.0, Kind.CLOSE, "", "caller#3", "lost"));
    assertEquals(
        List.of(
            "t=1764842137.075 IGNORED call=9b1f peer=s1#2 not known",
            "t=1764842137.100 CLOSE peer=caller#3 lost"),
        lines);
  }

  @Test
  void aFloodOfStateChangesIsCutAndLeavesRoomForOtherEvents() {
    for (int i = 0; i < 1_000; i++) {
      logger.record(new Event(1_000, Kind.STATE, "1", "", "accepted"));
    }
    assertEquals(400, lines.size());
    assertEquals(600, logger.takeSuppressedLines());
    logger.record(new Event(1_000, Kind.REFUSAL, "1", "", "no"));
    assertEquals(401, lines.size());
    for (int i = 0; i < 1_000; i++) {
      logger.record(new Event(2_000, Kind.STATE, "1", "", "accepted"));
    }
    assertEquals(601, lines.size());
  }
}
