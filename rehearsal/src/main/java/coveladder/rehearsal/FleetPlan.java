package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.Layout;
import coveladder.sip.Timing;
import coveladder.standin.Processor;
import java.util.ArrayList;
import java.util.List;

/**
 * A fleet to rehearse with: sizes, classes, processors, and the figures that controllers are told.
 *
 * @param exchanges how many exchanges
 * @param trunk circuits of each group
 * @param rate calls a second at each exchange on a plain minute
 * @param kinds the classes
 * @param processor figures of each processor
 * @param listLateness how late the exchange list tells changes, ms
 * @param answerAfter time until a called line answers, ms
 * @param timing SIP timers
 */
public record FleetPlan(
    int exchanges,
    int trunk,
    double rate,
    List<Kind> kinds,
    Processor.Model processor,
    double listLateness,
    double answerAfter,
    Timing timing) {

  /** Wait after an unsure end of an attempt, ms. */
  public static final double GUARD = 300;

  /** Time to cease sending after word of a drain, ms. */
  public static final double GRACE = 250;

  /** Time kept for a final answer on its way to the caller, ms. */
  public static final double ANSWER_MARGIN = 30;

  /**
   * One class.
   *
   * @param name its name in reports
   * @param priority its Resource-Priority value
   * @param share its share of all calls
   * @param worth worth of a call that stands in time
   * @param late share of it that a late one earns
   * @param aim wanted time to stand, ms
   * @param patience patience of one try, whole seconds in ms
   * @param giveUp how long a caller keeps trying, ms
   * @param width circuits that it takes
   * @param hold mean time that it lasts, ms
   */
  public record Kind(
      String name,
      String priority,
      double share,
      double worth,
      double late,
      double aim,
      double patience,
      double giveUp,
      int width,
      double hold) {}

  /** The classes of the embedded kit. */
  public static final List<Kind> KINDS =
      List.of(
          new Kind("score-check", "cove.0", 0.82, 1, 0.2, 1200, 3000, 9000, 1, 8000),
          new Kind("match-centre", "cove.1", 0.11, 4, 0.2, 2500, 3000, 9000, 3, 12000),
          new Kind("lineup-save", "cove.2", 0.07, 8, 0.2, 1000, 2000, 6000, 1, 6000));

  /** A fleet of eight exchanges, small enough for a laptop. */
  public static FleetPlan eight() {
    return new FleetPlan(
        8,
        26,
        7,
        KINDS,
        new Processor.Model(12, 4, 4, 1, 3, 1500, 0.3, 12000, 3, 3000),
        900,
        40,
        Timing.STANDARD);
  }

  /** The same with another number of exchanges and rate. */
  public FleetPlan sized(int count, double callsEach) {
    return new FleetPlan(
        count, trunk, callsEach, kinds, processor, listLateness, answerAfter, timing);
  }

  /** The classes as the policy wants them. */
  List<CallClass> classes() {
    List<CallClass> classes = new ArrayList<>();
    for (Kind kind : kinds) {
      classes.add(
          new CallClass(
              kind.worth(),
              kind.late(),
              kind.aim(),
              kind.giveUp(),
              kind.width(),
              kind.hold(),
              List.of()));
    }
    return classes;
  }

  /** What the policy of one controller is told. */
  CallPolicy.Settings rules(int self) {
    return new CallPolicy.Settings(
        Layout.MESH,
        self,
        exchanges,
        classes(),
        5,
        6,
        true,
        false,
        false,
        2000,
        false,
        GUARD,
        timing.t1(),
        processor.coldShare(),
        processor.rampMillis(),
        processor.coldMultiple(),
        processor.coldWindowMillis());
  }
}
