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

/**
 * Runs five minutes of virtual time with new calls, caller connections and switches with the
 * production policy. Guards against calls or timers that accumulate.
 */
class SoakTest {
  private static final int MINUTES = 5;
  private final SplittableRandom random = new SplittableRandom(7);
  private final FrontEndHarness harness =
      new FrontEndHarness(actions -> new NestedThresholdPolicy(settings(), 7, actions))
          .openSwitchConnections();
  private final ArrayDeque<Runnable> pendingReplies = new ArrayDeque<>();
  private int nextId = 1;
  private int answered;

  private static coveladder.CallPolicy.Settings settings() {
    return PlatformSettings.read(FrontEndHarness.CONFIG).policySettings();
  }

  private void placeCall() {
    int id = nextId++;
    FrontEndHarness.FakeConnection caller = harness.connectCaller();
    int destination = 1 + random.nextInt(2);
    caller.deliver(
        FrontEndHarness.setUp(
            id, CallerMessage.FIGURES, "dest:" + destination + ";width:1;via:-1"));
    answerSetUps();
    List<String> answers =
        caller.takeSent().stream()
            .filter(message -> message.matches("(9|12) " + id + "\\D.*"))
            .toList();
    answered += answers.isEmpty() ? 0 : 1;
    assertTrue(answers.size() <= 1, answers.toString());
    if (random.nextInt(3) == 0) {
      caller.lose(Loss.CLOSED);
    }
  }

  /**
   * Answers the set-ups that arrived at the switches: most are established and released about a
   * hundred calls later, some are refused, and some are answered late.
   */
  private void answerSetUps() {
    for (FrontEndHarness.FakeConnection connection : List.copyOf(harness.connections)) {
      if (connection.port == 8500 || connection.closed) {
        continue;
      }
      for (String message : connection.takeSent()) {
        String[] words = message.split(" ");
        int id = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        int kind = random.nextInt(60);
        if (!words[0].equals("OPEN")) {
          continue;
        } else if (kind == 0) {
          connection.deliver(
              FrontEndHarness.close(
                  id, 34, "\"note\":\"all_trunks_busy\",\"load\":\"free:3;size:30\""));
        } else if (kind == 1) {
          pendingReplies.add(() -> connection.deliver(FrontEndHarness.ready(id, "late")));
        } else {
          connection.deliver(FrontEndHarness.ready(id, "answer"));
          pendingReplies.add(
              () ->
                  connection.deliver(
                      FrontEndHarness.close(id, 16, "\"load\":\"free:20;size:30\"")));
        }
      }
    }
    while (pendingReplies.size() > 100) {
      pendingReplies.poll().run();
    }
  }

  /**
   * Lists a new switch at the address of the previous one and terminates that one.
   *
   * @param position journal position of the first of the two events; the new switch's id contains
   *     it
   */
  private void replaceSwitch(int position) {
    String event =
        "{\"pos\":%d,\"hosts\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":\"s-%d\","
            + "\"hostPort\":\"127.0.0.2:2\",\"cell\":1,\"lifecycle\":\"%s\",\"startedAtMs\":0}]}}";
    harness.connectionTo(8500).deliver(String.format(event, position, position, "in_service"));
    harness
        .connectionTo(8500)
        .deliver(String.format(event, position + 1, position - 2, "terminated"));
    harness.connections.removeIf(connection -> connection.closed);
    harness.connectionTo(2).establish();
    harness.connectionTo(2).deliver(FrontEndHarness.status(30));
  }

  @Test
  void stateDoesNotGrowOverTime() {
    int position = 2;
    int[] timers = new int[MINUTES];
    for (int minute = 0; minute < MINUTES; minute++) {
      for (int i = 0; i < 60 * 20; i++) {
        placeCall();
        harness.clock.advance(50);
        if (i % 20 == 0) {
          harness.connectionTo(8500).deliver(Integer.toString(position - 1));
          harness.connectionTo(2).deliver(FrontEndHarness.status(20));
          harness.connectionTo(3).deliver(FrontEndHarness.status(20));
        }
        if (i % 400 == 0) {
          replaceSwitch(position);
          position += 2;
        }
      }
      timers[minute] = harness.clock.scheduledTasks();
    }
    assertTrue(answered > nextId / 2, answered + " of " + nextId);
    assertTrue(harness.frontEnd.controller().callCount() < 300, harness.frontEnd.stateSummary());
    assertTrue(timers[MINUTES - 1] < 2 * timers[1] + 100, List.of(timers[1], timers[4]).toString());
    pendingReplies.forEach(Runnable::run);
    harness.clock.advance(10_000);
    assertEquals(0, harness.frontEnd.controller().pendingCallCount());
  }
}
