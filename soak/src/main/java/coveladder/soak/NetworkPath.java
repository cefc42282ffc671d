package coveladder.soak;

import java.util.ArrayList;
import java.util.List;

/** The present faults of the network between one controller and one other party. */
final class NetworkPath {
  /** Delay of all octets, ms. */
  double delayMillis;

  /** Size of the pieces into which octets sent to the controller are split, octets; 0: none. */
  int pieceBytes;

  /** Pause between two pieces, ms. */
  double pieceGapMillis;

  private boolean cut;
  private final List<Runnable> healListeners = new ArrayList<>();

  boolean isCut() {
    return cut;
  }

  /** Holds back all octets in both directions; connections stay open. */
  void cut() {
    cut = true;
  }

  /** Lets octets pass again, those held back first. */
  void heal() {
    cut = false;
    List<Runnable> listeners = new ArrayList<>(healListeners);
    healListeners.clear();
    listeners.forEach(Runnable::run);
  }

  /** Runs an action when the path is healed. */
  void onHeal(Runnable action) {
    healListeners.add(action);
  }
}
