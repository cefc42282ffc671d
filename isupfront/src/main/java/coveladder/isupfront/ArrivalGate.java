package coveladder.isupfront;

import coveladder.core.Scheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Holds accepted set-ups until nothing unread is behind them on their connection: the client may
 * give them up in there, or have closed the connection behind it. A set-up that is held for long is
 * refused.
 */
final class ArrivalGate {
  /** Interval at which a connection is checked whose input is not read yet. */
  private static final double INPUT_CHECK_MILLIS = 5;

  /** Time after which a set-up is refused whose connection still has input that is not read. */
  private static final double MAX_HOLD_MILLIS = 500;

  private final Scheduler scheduler;
  private final BiConsumer<CallerConnection, HeldSetUp> receiver;
  private final Consumer<String> refuser;

  /**
   * A set-up that waits until the input behind it is read.
   *
   * @param setUp the set-up
   * @param arrived clock at which it was read, ms
   */
  record HeldSetUp(SetUp setUp, double arrived) {}

  /**
   * Creates a gate.
   *
   * @param receiver called with each set-up behind which nothing is unread
   * @param refuser called with the id of each set-up that was held for too long; it must end it
   */
  ArrivalGate(
      Scheduler scheduler,
      BiConsumer<CallerConnection, HeldSetUp> receiver,
      Consumer<String> refuser) {
    this.scheduler = scheduler;
    this.receiver = receiver;
    this.refuser = refuser;
  }

  /** Holds a set-up until the part of the input that brought it is processed, or longer. */
  void hold(CallerConnection connection, HeldSetUp held) {
    connection.heldSetUps().put(held.setUp().id(), held);
  }

  /** Passes the set-ups of a connection on, unless more of its input has arrived. */
  void inputProcessed(CallerConnection connection) {
    if (connection.heldSetUps().isEmpty()) {
      return;
    }
    if (connection.hasUnreadInput()) {
      refuseHeldForLong(connection);
      connection.checkInputAfter(INPUT_CHECK_MILLIS, scheduler);
    } else {
      open(connection);
    }
  }

  private void refuseHeldForLong(CallerConnection connection) {
    double now = scheduler.now();
    for (HeldSetUp held : new ArrayList<>(connection.heldSetUps().values())) {
      if (now - held.arrived() < MAX_HOLD_MILLIS) {
        return;
      }
      refuser.accept(held.setUp().id());
    }
  }

  /** Passes all set-ups of a connection on. */
  void open(CallerConnection connection) {
    List<HeldSetUp> held = new ArrayList<>(connection.heldSetUps().values());
    connection.heldSetUps().clear();
    held.forEach(next -> receiver.accept(connection, next));
  }
}
