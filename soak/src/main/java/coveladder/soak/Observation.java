package coveladder.soak;

/** Something that happened at a socket of a controller, to its process, or in the directory. */
sealed interface Observation {
  /** Unix clock, ms. */
  double timeMillis();

  /** Number of the controller. */
  int controller();

  /**
   * A caller's message was written whole to a controller.
   *
   * @param disruptive whether the client is one that misuses the protocol
   */
  record CallerWrote(
      double timeMillis, int controller, int connection, boolean disruptive, CallerMessage message)
      implements Observation {}

  /** A controller's message to a caller was read whole. */
  record CallerRead(
      double timeMillis, int controller, int connection, boolean disruptive, CallerMessage message)
      implements Observation {}

  /** A caller's connection was established. */
  record CallerConnected(double timeMillis, int controller, int connection, boolean disruptive)
      implements Observation {}

  /** A caller's connection ended. */
  record CallerConnectionEnded(
      double timeMillis, int controller, int connection, boolean byController)
      implements Observation {}

  /** A switch's line was written whole to a controller. */
  record SwitchWrote(
      double timeMillis, int controller, int connection, String switchId, SwitchLine line)
      implements Observation {}

  /** A controller's line to a switch was read whole. */
  record SwitchRead(
      double timeMillis, int controller, int connection, String switchId, SwitchLine line)
      implements Observation {}

  /** A controller's connection to a switch ended. */
  record SwitchConnectionEnded(double timeMillis, int controller, int connection, String switchId)
      implements Observation {}

  /** A change of the directory counts as told to a controller. */
  record SwitchTold(
      double timeMillis, int controller, String switchId, String state, double startedAtMillis)
      implements Observation {}

  /** A switch ended and with it all its calls. */
  record SwitchEnded(double timeMillis, int controller, String switchId) implements Observation {}

  /** The network between a controller and a caller or switch was cut or healed. */
  record PathChanged(double timeMillis, int controller, String party, boolean cut)
      implements Observation {}

  /** What happened to the process of a controller. */
  record ProcessChanged(double timeMillis, int controller, Change change) implements Observation {}

  /** Changes of a process. */
  enum Change {
    STARTED,
    READY,
    TERMINATION_REQUESTED,
    KILLED,
    CRASHED
  }
}
