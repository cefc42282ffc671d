package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.CallPolicy;
import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import coveladder.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Start, journal, new configurations and the end. */
class LifeTest {
  private Script script;
  private Bed bed;

  @BeforeEach
  void begin() {
    bed = new Bed(deeds -> script = new Script(deeds));
    script.news();
  }

  private static String event(int pos, String id, String state) {
    return "{\"pos\":"
        + pos
        + ",\"hosts\":{\"generation\":"
        + pos
        + ",\"reset\":false,"
        + "\"instances\":[{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\"127.0.0.2:2\",\"cell\":1,"
        + "\"lifecycle\":\""
        + state
        + "\",\"startedAtMs\":0}]}}";
  }

  private List<String> listed() {
    return script.news().stream().filter(e -> e.startsWith("list")).toList();
  }

  private static byte[] test() {
    return CallerCodec.encode(CallerMessage.withCause(CallerMessage.TEST, Bed.id(0), 0));
  }

  @Test
  void aTestPassesOnceTheStateOfAllGroupsIsKnown() {
    Bed.FakeWire caller = bed.caller();
    caller.feed(test());
    bed.open();
    caller.feed(test());
    assertEquals(List.of("53 0 cause 0", "53 0 cause 1"), caller.news());
  }

  @Test
  void aTestPassesInTheEndWhereAGroupStaysUnknown() {
    Bed.FakeWire caller = bed.caller();
    bed.clock.advance(1_100);
    caller.feed(test());
    assertEquals(List.of("53 0 cause 1"), caller.news());
  }

  @Test
  void eventsAreTakenOnceAndInOrder() {
    Bed.FakeWire journal = bed.to(8500);
    assertEquals(List.of("tail 1"), journal.news());
    journal.feed(event(2, "s1", "terminating"));
    journal.feed(event(2, "s1", "in_service"));
    journal.feed("2");
    assertEquals(List.of("list s1 DRAINING"), listed());
    journal.feed(event(4, "s1", "terminated"));
    bed.clock.advance(50);
    assertTrue(journal.ended);
    assertEquals(List.of("tail 2"), bed.to(8500).news());
    assertEquals(List.of(), listed());
  }

  @Test
  void aBreakInMidEventIsAskedForAgainAtOnce() {
    Bed.FakeWire journal = bed.to(8500);
    journal.feed(event(2, "s1", "terminating").substring(0, 40).getBytes());
    journal.lose(Loss.CLOSED);
    bed.clock.advance(1);
    assertEquals(List.of("tail 1"), bed.to(8500).news());
    bed.to(8500).feed(event(2, "s1", "terminating"));
    assertEquals(List.of("list s1 DRAINING"), listed());
  }

  @Test
  void aServiceThatFellSilentIsAskedAgainInTime() {
    Bed.FakeWire journal = bed.to(8500);
    bed.clock.advance(1_700);
    assertTrue(journal.ended);
    assertEquals(List.of("tail 1"), bed.to(8500).news());
  }

  @Test
  void aNumberThatRanAheadShowsAnEventLeftOut() {
    Bed.FakeWire journal = bed.to(8500);
    journal.feed("3");
    bed.clock.advance(50);
    assertNotSame(journal, bed.to(8500));
  }

  @Test
  void aNewConfigurationMovesTheJournalAndNumbersGoOn() {
    Bed.FakeWire journal = bed.to(8500);
    journal.feed(event(2, "s1", "terminating"));
    String moved = new String(Bed.CONFIG, StandardCharsets.UTF_8).replace("8500", "8600");
    bed.front.reconfigure(PlatformSettings.read(moved.getBytes(StandardCharsets.UTF_8)));
    bed.clock.advance(1);
    assertTrue(journal.ended);
    assertEquals(List.of("tail 2"), bed.to(8600).news());
  }

  @Test
  void nothingNewGoesToAnExchangePastItsGrace() {
    bed.open();
    bed.to(8500).feed(event(2, "s1", "terminating"));
    bed.clock.advance(251);
    bed.caller().feed(Bed.setUp(7));
    assertEquals(List.of(), bed.to(2).news());
  }

  @Test
  void aNewSwitchAtTheSameAddressGetsItsOwnConnections() {
    bed.open();
    Bed.FakeWire old = bed.to(2);
    bed.to(8500).feed(event(2, "s1", "terminated"));
    bed.to(8500).feed(event(3, "s9", "in_service"));
    assertTrue(old.ended);
    assertNotSame(old, bed.to(2));
    old.lose(Loss.CLOSED);
    assertFalse(bed.to(2).ended);
  }

  @Test
  void toldToEndItServesOnForAWhileAnswersAllAndIsDone() {
    bed.open();
    Bed.FakeWire caller = bed.caller();
    caller.feed(Bed.setUp(6));
    bed.to(2).feed(Bed.ready(6, "stands"));
    bed.front.terminate();
    caller.feed(test());
    bed.clock.advance(1_400);
    bed.to(2).feed(Bed.status(20));
    bed.clock.advance(500);
    caller.feed(Bed.setUp(7));
    bed.to(2).feed(Bed.ready(7, "answer"));
    caller.feed(Bed.setUp(8));
    assertEquals(List.of("9 6stands", "53 0 cause 0", "9 7answer"), caller.news());
    bed.clock.advance(300);
    caller.feed(Bed.setUp(9));
    assertEquals(List.of("12 9 cause 42"), caller.news());
    bed.to(2).feed(Bed.close(7, 16, ""));
    bed.clock.advance(950);
    assertEquals(List.of("12 7 cause 16", "12 8 cause 34 wait 250"), caller.news());
    assertFalse(bed.front.isTerminated());
    bed.clock.advance(100);
    assertTrue(bed.front.isTerminated());
    assertEquals(1, bed.front.controller().callCount());
  }

  private Bed withLongestDeadline(int longest) {
    return new Bed(
        deeds -> script = new Script(deeds),
        Limits.forDescriptors(256, 3),
        config -> config.replace("\"giveUp\":9000", "\"giveUp\":" + longest));
  }

  /** The platform kills no sooner than the longest deadline, 3 s at most, and 0.7 s after that. */
  @ParameterizedTest
  @CsvSource({"1500, 2200", "3000, 3700", "9000, 3700"})
  void whateverTheDeadlinesAllAnswersLeaveBeforeTheKillMayCome(int longest, int kill) {
    bed = withLongestDeadline(longest).open();
    Bed.FakeWire before = bed.caller();
    before.feed(Bed.setUp(1, CallerMessage.LEFT, Integer.toString(longest)));
    bed.front.terminate();
    double word = bed.clock.now();
    Bed.FakeWire at = bed.caller();
    at.feed(Bed.setUp(2, CallerMessage.LEFT, Integer.toString(longest)));
    int id = 2;
    while (!bed.front.isTerminated() && bed.clock.now() - word < kill) {
      bed.clock.advance(50);
      if (!at.ended) {
        at.feed(
            Bed.setUp(++id, CallerMessage.LEFT, Integer.toString(longest), 21, "dest:1;transit:1"));
      }
    }
    assertTrue(bed.front.isTerminated(), "still there at " + (bed.clock.now() - word));
    assertTrue(bed.clock.now() - word <= kill - 400, "ends at " + (bed.clock.now() - word));
    assertEquals(1, before.news().size());
    assertEquals(id - 1, at.news().size());
    assertFalse(bed.listening);
    assertTrue(at.ended && before.ended);
    assertTrue(bed.connected.stream().filter(w -> w.port == 2).allMatch(w -> w.ended));
  }

  @ParameterizedTest
  @CsvSource({"safe, 42", "unsafe, 41"})
  void atTheEndACallThatMayHaveRunIsToldAsRefusedOnlyWhereItsClassIsSafe(String kind, int cause) {
    String repeat = "\"worth\":1,\"repeat\":\"" + kind + "\",";
    bed =
        new Bed(
                LongTries::new,
                Limits.forDescriptors(256, 3),
                config -> config.replace("\"worth\":1,", repeat))
            .open();
    Bed.FakeWire caller = bed.caller();
    bed.front.terminate();
    bed.clock.advance(1_800);
    caller.feed(Bed.setUp(7));
    bed.clock.advance(1_300);
    assertEquals(List.of("12 7 cause " + cause), caller.news());
  }

  /** Sends each call once, and waits for longer than the end leaves it. */
  private static final class LongTries extends Script {
    LongTries(CallPolicy.Actions actions) {
      super(actions);
    }

    @Override
    public void onCall(double now, Call call) {
      actions.send(call.id(), "s1", 2_500);
    }
  }

  @Test
  void aConfigurationThatCannotBeUsedSaysWhereAndWhy() {
    String good = new String(Bed.CONFIG, StandardCharsets.UTF_8);
    for (String[] change :
        new String[][] {
          {"127.0.0.1:2905", "nowhere", "listen=nowhere, expected host:port"},
          {"\"giveUp\":9000", "\"giveUp\":\"x\"", "giveUp=x"},
          {"\"giveUp\":9000,", "", "lacks classes.0.giveUp"},
          {"\"giveUp\":9000", "\"giveUp\":-1", "classes.0.giveUp=-1.0, expected 0.001 to"},
          {"\"aim\":1200", "\"aim\":1e300", "classes.0.aim=1.0E300, expected 0.001 to"},
          {"\"aim\":1200", "\"aim\":\"NaN\"", "classes.0.aim=NaN"},
          {"\"worth\":1", "\"worth\":-4", "classes.0.worth=-4.0, expected 0.0 to"},
          {"\"lateValue\":0.25", "\"lateValue\":2", "classes.0.lateValue=2.0, expected 0.0 to"},
          {"\"name\":\"wide\"", "\"name\":\"voice\"", "classes.1.name=voice, expected"},
          {"\"worth\":1,", "\"worth\":1,\"repeat\":\"twice\",", "classes.0.repeat=twice, expected"},
          {"[1,3]", "[1,0]", "channelsNeeded=1,0, expected numbers above 0"},
          {"\"instances\":3", "\"instances\":0", "instances=0, expected 1 to"},
          {"\"instances\":3", "\"instances\":9e9", "instances=9e9"},
          {"\"attemptsCap\":6", "\"attemptsCap\":-6", "attemptsCap=-6, expected 1 to"},
          {"\"coldFrom\":0.28", "\"coldFrom\":0", "rules.coldFrom=0.0, expected 0.001 to"},
          {"\"fall\":3000", "\"fall\":0", "rules.fall=0.0, expected 0.001 to"},
          {"\"drainGrace\":250", "\"drainGrace\":-1", "rules.drainGrace=-1.0, expected 0.0 to"},
          {"\"sockets\":256", "\"sockets\":3", "limits.sockets=3, expected 64 to"},
          {"\"resolution\":5", "\"resolution\":0", "resolution=0"},
          {"8c1f30d27a5be964", "seed", "seed=seed"}
        }) {
      byte[] changed = good.replace(change[0], change[1]).getBytes(StandardCharsets.UTF_8);
      WireException e = assertThrows(WireException.class, () -> PlatformSettings.read(changed));
      assertTrue(e.getMessage().contains(change[2]), e.getMessage());
      assertFalse(e.getMessage().contains("\n"));
    }
    byte[] half = java.util.Arrays.copyOf(Bed.CONFIG, Bed.CONFIG.length / 2);
    assertThrows(WireException.class, () -> PlatformSettings.read(half));
  }
}
