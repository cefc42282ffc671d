package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The network resets the connections between the controller and its switches now and then, all those
 * of one switch at once. A call that ends before the next connection is open is released on that
 * one. Its caller must be told.
 */
final class Case2 {
  /** PROTOCOL.md: released within 8 s of its end, and 50 ms. */
  private static final long RELEASE_LIMIT_MILLIS = 8_000 + 50;

  private static final long TROUBLE_MILLIS = 60_000;

  /** Connections are reset only after a set-up came that was written so long after their start, ms. */
  private static final long LEAST_AGE_MILLIS = 150;

  private Case2() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, true, Case2::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    for (Switch each : deployment.switches) {
      if (each != null) {
        each.writtenAt = id -> deployment.calls.get(id).sentAt;
      }
    }
    List<Deployment.Traffic> traffic = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      traffic.add(deployment.new Traffic(40));
    }
    Thread.sleep(5_000);
    long resets = 0;
    long until = System.currentTimeMillis() + TROUBLE_MILLIS;
    while (System.currentTimeMillis() < until) {
      for (Switch each : deployment.switches) {
        if (each != null && deployment.trouble) {
          resets += each.resetConnections(LEAST_AGE_MILLIS);
        }
        Thread.sleep(60);
      }
    }
    for (Deployment.Traffic each : traffic) {
      each.end();
    }
    // The last call ends 3 s after its answer; then its release has 8 s.
    Thread.sleep(6_500 + RELEASE_LIMIT_MILLIS);
    long judgedUntil = System.currentTimeMillis() - RELEASE_LIMIT_MILLIS;
    long ended = 0;
    long late = 0;
    for (Switch each : deployment.switches) {
      if (each == null) {
        continue;
      }
      for (String id : each.endedAt.keySet()) {
        Caller.Call call = deployment.calls.get(id);
        if (!call.stands() || each.endedAt.get(id) > judgedUntil) {
          continue;
        }
        ended++;
        long after = call.releasedAt - each.endedAt.get(id);
        if (call.releasedAt == 0 || after > RELEASE_LIMIT_MILLIS) {
          late++;
          deployment.record.line("check", id + ": " + each.id + " ended it, its caller was "
              + (call.releasedAt == 0 ? "never told" : "told " + after + " ms later"));
        }
      }
    }
    deployment.record.say(resets + " connections reset; " + ended + " calls that their callers had"
        + " as standing were ended by their switches; not released within "
        + RELEASE_LIMIT_MILLIS + " ms: " + late);
    deployment.record.say(deployment.summary());
    return late == 0;
  }
}
