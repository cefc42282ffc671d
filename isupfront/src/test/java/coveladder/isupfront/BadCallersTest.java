package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerCodec;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers get that send what no caller should, and that nobody else loses by it. */
class BadCallersTest {
  private Script script;
  private Bed bed;
  private Bed.FakeWire caller;

  @BeforeEach
  void begin() {
    bed =
        new Bed(
                deeds -> script = new Script(deeds),
                new Limits(16_384, 4, 5, 6, 2_000, 3, 3, 300, 6_000))
            .open();
    caller = bed.caller();
    script.news();
  }

  @ParameterizedTest
  @CsvSource(
      value = {
        "16|no such class",
        "16|NULL",
        "17|NULL",
        "17|soon",
        "17|-1",
        "17|0",
        "17|NaN",
        "17|1e99",
        "21|NULL",
        "21|dest",
        "21|dest:x;width:1",
        "21|dest:-2;width:1",
        "21|dest:77;width:1",
        "21|dest:1;width:0",
        "21|dest:1;width:4",
        "21|dest:1;width:99999999999",
        "21|dest:1;dest:1"
      },
      delimiter = '|',
      nullValues = "NULL")
  void aSetUpThatCannotBeUsedIsRefusedAndNobodyHearsOfIt(int code, String value) {
    caller.feed(Bed.setUp(7, code, value));
    assertEquals(List.of("12 7 cause 111"), caller.news());
    assertEquals(List.of(), script.news());
    assertFalse(caller.ended);
  }

  @Test
  void aSetUpWithoutAnIdIsRefused() {
    caller.feed(Bed.setUp(0));
    assertEquals(List.of("12 0 cause 111"), caller.news());
  }

  @Test
  void aDescriptionThatIsNoTextIsRefused() {
    byte[] setUp = Bed.setUp(7);
    setUp[setUp.length - 1] = (byte) 0xff;
    caller.feed(setUp);
    assertEquals(List.of("12 7 cause 111"), caller.news());
  }

  @Test
  void octetsThatAreNoMessageEndTheirConnectionAlone() {
    Bed.FakeWire usual = bed.caller();
    Bed.FakeWire wire = bed.to(2);
    usual.feed(Bed.setUp(8));
    caller.feed(Bed.setUp(7));
    caller.feed("GET / HTTP/1.1\r\n".getBytes());
    assertTrue(caller.ended);
    assertEquals(List.of("call 8 3000", "call 7 3000", "left 7"), script.news().subList(0, 3));
    wire.feed(Bed.ready(8, "answer"));
    assertEquals(List.of("9 8answer"), usual.news());
  }

  @Test
  void anIdThatIsOpenOnOneConnectionGetsOneReleaseForBoth() {
    caller.feed(Bed.setUp(7));
    caller.feed(Bed.setUp(7, CallerMessage.DESCRIPTION, "another"));
    assertEquals(List.of("12 7 cause 111"), caller.news());
    bed.to(2).feed(Bed.ready(7, "answer"));
    assertEquals(List.of(), caller.news());
  }

  @Test
  void anotherCallersIdIsRefusedAndThatCallGoesOn() {
    Bed.FakeWire usual = bed.caller();
    usual.feed(Bed.setUp(7));
    caller.feed(Bed.setUp(7, CallerMessage.DESCRIPTION, "another"));
    caller.feed(Bed.release(7));
    assertEquals(List.of("12 7 cause 111", "16 7"), caller.news());
    bed.to(2).feed(Bed.ready(7, "answer"));
    assertEquals(List.of("9 7answer"), usual.news());
  }

  @Test
  void anotherCallersStandingCallIsNotEndedByOneWhoWasRefusedUnderItsId() {
    Bed.FakeWire usual = bed.caller();
    usual.feed(Bed.setUp(7));
    caller.feed(Bed.setUp(7, CallerMessage.DESCRIPTION, "another"));
    bed.to(2).feed(Bed.ready(7, "answer"));
    caller.feed(Bed.release(7));
    assertEquals(List.of("9 7answer"), usual.news());
    bed.to(2).feed(Bed.close(7, 16, ""));
    assertEquals(List.of("12 7 cause 16"), usual.news());
  }

  @Test
  void oneWhoGoesOnSendingWhatCannotBeUsedIsLetGo() {
    for (int i = 0; i < 3; i++) {
      caller.feed(Bed.setUp(7, CallerMessage.CLASS, "no such class"));
    }
    assertEquals(3, caller.news().size());
    assertTrue(caller.ended);
  }

  @Test
  void silentConnectionsAndHalfMessagesAreClosedInTime() {
    Bed.FakeWire half = bed.caller();
    half.feed(Arrays.copyOf(Bed.setUp(7), 20));
    Bed.FakeWire usual = bed.caller();
    usual.feed(Bed.setUp(8));
    bed.to(2).feed(Bed.ready(8, "answer"));
    bed.clock.advance(2_300);
    assertTrue(caller.ended);
    assertTrue(half.ended);
    assertFalse(usual.ended);
  }

  @Test
  void whereThereAreTooManyConnectionsTheLongestSilentMakesRoom() {
    caller.feed(Bed.setUp(7));
    bed.clock.advance(10);
    Bed.FakeWire silent = bed.caller();
    bed.clock.advance(10);
    for (int i = 0; i < 3; i++) {
      assertFalse(bed.caller().ended);
    }
    assertTrue(silent.ended);
    assertFalse(caller.ended);
  }

  @Test
  void aConnectionWhoseCallsStoodIsNotTheOneThatMakesRoom() {
    caller.feed(Bed.setUp(7));
    bed.to(2).feed(Bed.ready(7, "answer"));
    for (int i = 0; i < 20; i++) {
      bed.clock.advance(10);
      bed.caller().feed(CallerCodec.encode(CallerMessage.withCause(52, Bed.id(0), 0)));
    }
    assertFalse(caller.ended);
  }

  @Test
  void hundredsAtOnceAndTakenBackAtOnceLeaveNothing() {
    for (int i = 1; i <= 300; i++) {
      caller.feed(Bed.setUp(i));
    }
    assertEquals(295, caller.news().stream().filter(m -> m.endsWith("cause 42")).count());
    for (int i = 1; i <= 300; i++) {
      caller.feed(Bed.release(i));
    }
    bed.clock.advance(10);
    assertEquals(0, bed.front.controller().callCount());
    assertEquals(300, caller.news().size());
  }

  @Test
  void connectionsThatComeAndGoLeaveNothing() {
    for (int i = 1; i <= 500; i++) {
      Bed.FakeWire wire = bed.caller();
      wire.feed(Bed.setUp(i));
      wire.lose(Loss.CLOSED);
    }
    bed.clock.advance(100);
    assertEquals(0, bed.front.controller().callCount());
    assertTrue(bed.front.stateSummary().contains("caller links 1,"), bed.front.stateSummary());
  }
}
