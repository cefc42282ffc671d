package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.NestedThresholdPolicy;
import coveladder.isup.CallerMessage;
import coveladder.isupfront.Transport.Loss;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Minutes of ever new calls, callers' connections and switches with the policy that ships. */
class SoakTest {
  private static final int MINUTES = 5;
  private final SplittableRandom random = new SplittableRandom(7);
  private final Bed bed = new Bed(deeds -> new NestedThresholdPolicy(settings(), 7, deeds)).open();
  private final ArrayDeque<Runnable> due = new ArrayDeque<>();
  private int next = 1;
  private int answered;

  private static coveladder.CallPolicy.Settings settings() {
    return PlatformSettings.read(Bed.CONFIG).policySettings();
  }

  private void call() {
    int id = next++;
    Bed.FakeWire caller = bed.caller();
    int dest = 1 + random.nextInt(2);
    caller.feed(Bed.setUp(id, CallerMessage.FIGURES, "dest:" + dest + ";width:1;via:-1"));
    serve();
    List<String> answers =
        caller.news().stream().filter(told -> told.matches("(9|12) " + id + "\\D.*")).toList();
    answered += answers.isEmpty() ? 0 : 1;
    assertTrue(answers.size() <= 1, answers.toString());
    if (random.nextInt(3) == 0) {
      caller.lose(Loss.CLOSED);
    }
  }

  /** Both switches answer what came, and end the call some hundred calls later. */
  private void serve() {
    for (Bed.FakeWire wire : List.copyOf(bed.connected)) {
      if (wire.port == 8500 || wire.ended) {
        continue;
      }
      for (String said : wire.news()) {
        String[] words = said.split(" ");
        int id = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        int kind = random.nextInt(60);
        if (!words[0].equals("OPEN")) {
          continue;
        } else if (kind == 0) {
          wire.feed(Bed.close(id, 34, "\"note\":\"all_trunks_busy\",\"load\":\"free:3;size:30\""));
        } else if (kind == 1) {
          due.add(() -> wire.feed(Bed.ready(id, "late")));
        } else {
          wire.feed(Bed.ready(id, "answer"));
          due.add(() -> wire.feed(Bed.close(id, 16, "\"load\":\"free:20;size:30\"")));
        }
      }
    }
    while (due.size() > 100) {
      due.poll().run();
    }
  }

  private void replaceSwitch(int pos) {
    String event =
        "{\"pos\":%d,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":\"s-%d\","
            + "\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"%s\",\"startedAtMs\":0}]}}";
    bed.to(8500).feed(String.format(event, pos, pos, "in_service"));
    bed.to(8500).feed(String.format(event, pos + 1, pos - 2, "terminated"));
    bed.connected.removeIf(wire -> wire.ended);
    bed.to(2).open();
    bed.to(2).feed(Bed.status(30));
  }

  @Test
  void whatIsHeldStaysLevel() {
    int pos = 2;
    int[] timers = new int[MINUTES];
    for (int minute = 0; minute < MINUTES; minute++) {
      for (int i = 0; i < 60 * 20; i++) {
        call();
        bed.clock.advance(50);
        if (i % 20 == 0) {
          bed.to(8500).feed(Integer.toString(pos - 1));
          bed.to(3).feed(Bed.status(20));
        }
        if (i % 400 == 0) {
          replaceSwitch(pos);
          pos += 2;
        }
      }
      timers[minute] = bed.clock.scheduledTasks();
    }
    assertTrue(answered > next / 2, answered + " of " + next);
    assertTrue(bed.front.controller().callCount() < 300, bed.front.stateSummary());
    assertTrue(timers[MINUTES - 1] < 2 * timers[1] + 100, List.of(timers[1], timers[4]).toString());
    due.forEach(Runnable::run);
    bed.clock.advance(10_000);
    assertEquals(0, bed.front.controller().pendingCallCount());
  }
}
