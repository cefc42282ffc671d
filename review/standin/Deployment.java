package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment on loopback: one controller, six exchanges, the journal service. */
final class Deployment implements AutoCloseable {
  static final int EXCHANGES = 6;

  /** Time after which a case counts as not run, ms; the order of work allows 120 s. */
  private static final long LIMIT_MILLIS = 112_000;

  /** Time after the end of a caller's time from which a missing answer is lost (STANDING.md), ms. */
  static final long LOST_AFTER_MILLIS = 500;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Journal journal;
  final Controller controller;

  /** The switches by exchange number; that of the own exchange, number 0, is null. */
  final List<Switch> switches = new ArrayList<>();

  /** All calls of the usual client. */
  final Map<String, Caller.Call> calls = new ConcurrentHashMap<>();

  interface Body {
    /** Returns whether the rule held. */
    boolean run(Deployment deployment) throws Exception;
  }

  private Deployment(Path recordFile) throws IOException {
    record = new Record(recordFile);
    journal = new Journal(record);
    controller = new Controller(record, EXCHANGES, 1024);
    List<String> list = new ArrayList<>();
    list.add(Journal.instance("s-own", 0, Controller.freePort(), "in_service", 0));
    switches.add(null);
    for (int number = 1; number < EXCHANGES; number++) {
      Switch added = new Switch(record, "s-0000000" + number, number);
      switches.add(added);
      list.add(added.instance("in_service"));
    }
    journal.add(list.toArray(new String[0]));
    controller.configure(journal);
  }

  /** Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. */
  static void run(String[] arguments, Body body) {
    run(arguments, false, body);
  }

  /** The same; {@code oneCore}: the controller gets one core, as on the platform. */
  static void run(String[] arguments, boolean oneCore, Body body) {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(deployment::endController));
      Journal.daemon(deployment::watch);
      deployment.record.say(deployment.trouble ? "with the disruption" : "without the disruption");
      deployment.controller.oneCore = oneCore;
      deployment.controller.start();
      if (Caller.awaitReady(deployment.record, deployment.controller.port, 30_000)) {
        status = body.run(deployment) ? 0 : 1;
      } else {
        deployment.record.say("the controller was not ready within 30 s");
      }
      deployment.record.say(
          status == 0 ? "the rule held" : status == 1 ? "THE RULE WAS BROKEN" : "could not run");
      deployment.controller.copyLog(40);
    } catch (Throwable e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  private void watch() {
    try {
      Thread.sleep(LIMIT_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    record.say("the case did not end in its time");
    endController();
    Runtime.getRuntime().halt(2);
  }

  private void endController() {
    try {
      controller.close();
    } catch (IOException e) {
      // Nothing is left to end.
    }
  }

  Caller connect() throws IOException {
    return new Caller(record, "client", controller.port, calls);
  }

  /** Usual traffic: calls of the three classes to all exchanges, on one connection. */
  final class Traffic {
    private final Thread thread = new Thread(this::run);
    private final long pauseMillis;
    private volatile boolean ending;

    Traffic(long pauseMillis) {
      this.pauseMillis = pauseMillis;
      thread.setDaemon(true);
      thread.start();
    }

    private void run() {
      try {
        Caller caller = connect();
        for (int i = 0; !ending; i++) {
          if (caller.ended) {
            caller = connect();
          }
          // 84 % score-check, 11 % match-centre, 5 % lineup-save; left: a third of the give-up time
          int kind = i % 20;
          int destination = 1 + i % (EXCHANGES - 1);
          if (kind == 7 || kind == 14) {
            caller.call("match-centre", 3, 3000, destination);
          } else if (kind == 19) {
            caller.call("lineup-save", 1, 2000, destination);
          } else {
            caller.call("score-check", 1, 3000, destination);
          }
          Thread.sleep(pauseMillis);
        }
      } catch (IOException | InterruptedException e) {
        record.line("client", "stopped: " + e);
      }
    }

    void end() throws InterruptedException {
      ending = true;
      thread.join(2_000);
    }
  }

  /** Number of set-ups whose final answer came later than 500 ms after their time, or never. */
  long countLost() {
    long now = System.currentTimeMillis();
    long lost = 0;
    for (Caller.Call call : calls.values()) {
      long due = call.sentAt + call.leftMillis + LOST_AFTER_MILLIS;
      if (call.answer == 0 ? now > due : call.answeredAt > due) {
        lost++;
        record.line("check", "lost: " + call.id + (call.answer == 0 ? ", never answered"
            : ", answered " + (call.answeredAt - call.sentAt - call.leftMillis)
                + " ms after its time"));
      }
    }
    return lost;
  }

  /** Number of set-ups without any answer on connections still open, their time long over. */
  long countUnanswered() {
    long now = System.currentTimeMillis();
    return calls.values().stream()
        .filter(call -> call.answer == 0 && call.lostAt == 0)
        .filter(call -> now > call.sentAt + call.leftMillis + LOST_AFTER_MILLIS)
        .count();
  }

  String summary() {
    long stood = calls.values().stream().filter(Caller.Call::stands).count();
    long turned = calls.values().stream().filter(call -> call.answer >= 1000).count();
    return calls.size() + " set-ups of the usual client: " + stood + " answered, " + turned
        + " refused or failed, " + (calls.size() - stood - turned) + " without a final answer";
  }

  @Override
  public void close() throws IOException {
    controller.close();
    journal.close();
    for (Switch each : switches) {
      if (each != null) {
        each.close();
      }
    }
    record.close();
  }
}
