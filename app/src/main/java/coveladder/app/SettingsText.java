package coveladder.app;

import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetConfig;
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
      FleetConfig plan,
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
    text.append("fleet controllers=").append(plan.exchangeCount()).append('\n');
    text.append("switch port=").append(switchPort).append('\n');
    text.append("list port=").append(listPort).append('\n');
    text.append("state folder=\"").append(stateFolder.toAbsolutePath()).append("\"\n");
    for (FleetConfig.CallClassConfig kind : plan.callClasses()) {
      text.append("class \"").append(kind.name()).append("\" worth=").append(kind.worth());
      text.append(" late=").append(kind.lateWorth()).append(" aim=").append(kind.aimMillis());
      text.append(" give-up=")
          .append(kind.callerTimeoutMillis())
          .append(" width=")
          .append(kind.width());
      text.append(" hold=").append(kind.holdMillis());
      text.append(" priority=\"").append(kind.priority()).append('"');
      text.append(kind == plan.callClasses().get(0) ? " default=#true" : "").append('\n');
    }
    return text.append("seed value=").append(exchange + 1).append('\n').toString();
  }
}
