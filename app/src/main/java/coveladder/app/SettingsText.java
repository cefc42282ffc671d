package coveladder.app;

import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetPlan;
import java.nio.file.Path;

/** Writes the settings document of a controller whose neighbours are stand-ins on this host. */
final class SettingsText {
  private SettingsText() {}

  /**
   * Returns the settings document of one controller.
   *
   * @param exchange number of its exchange
   * @param listenPort port on which it listens
   * @param switchPort port of the local switch
   * @param listPort port of the list server
   * @param stateFolder folder in which it stores its calls
   */
  static String of(
      FleetPlan plan,
      int exchange,
      int listenPort,
      int switchPort,
      int listPort,
      Path stateFolder) {
    StringBuilder text = new StringBuilder();
    text.append("// Settings of one controller; checked by: coveladder check FILE\n");
    text.append("listen port=").append(listenPort).append('\n');
    text.append("domain \"").append(Fleet.domain(exchange)).append("\"\n");
    text.append("exchange number=").append(exchange).append('\n');
    text.append("fleet controllers=").append(plan.exchanges()).append('\n');
    text.append("switch port=").append(switchPort).append('\n');
    text.append("list port=").append(listPort).append('\n');
    text.append("state folder=\"").append(stateFolder.toAbsolutePath()).append("\"\n");
    for (FleetPlan.Kind kind : plan.kinds()) {
      text.append("class \"").append(kind.name()).append("\" worth=").append(kind.worth());
      text.append(" late=").append(kind.late()).append(" aim=").append(kind.aim());
      text.append(" give-up=").append(kind.giveUp()).append(" width=").append(kind.width());
      text.append(" hold=").append(kind.hold());
      text.append(" priority=\"").append(kind.priority()).append('"');
      text.append(kind == plan.kinds().get(0) ? " default=#true" : "").append('\n');
    }
    return text.append("seed value=").append(exchange + 1).append('\n').toString();
  }
}
