package coveladder.app;

import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetConfig;
import java.nio.file.Path;

/** Writes the settings document of a controller that works with stand-ins on this host. */
final class SettingsText {
  private SettingsText() {}

  /**
   * Returns the settings document of one controller.
   *
   * @param fleetConfig network of the exchanges, with its call classes
   * @param exchange number of its exchange
   * @param listenPort port on which it listens
   * @param switchPort port of the local switch
   * @param directoryServerPort port of the directory server
   * @param stateFolder folder in which it stores its calls
   */
  static String of(
      FleetConfig fleetConfig,
      int exchange,
      int listenPort,
      int switchPort,
      int directoryServerPort,
      Path stateFolder) {
    StringBuilder text = new StringBuilder();
    text.append("// Settings of one controller; checked by: coveladder check FILE\n");
    text.append("listen port=").append(listenPort).append('\n');
    text.append("domain \"").append(Fleet.domain(exchange)).append("\"\n");
    text.append("exchange number=").append(exchange).append('\n');
    text.append("fleet controllers=").append(fleetConfig.exchangeCount()).append('\n');
    text.append("switch port=").append(switchPort).append('\n');
    text.append("list port=").append(directoryServerPort).append('\n');
    text.append("state folder=\"").append(stateFolder.toAbsolutePath()).append("\"\n");
    for (FleetConfig.CallClassConfig callClass : fleetConfig.callClasses()) {
      text.append("class \"")
          .append(callClass.name())
          .append("\" worth=")
          .append(callClass.worth());
      text.append(" late=")
          .append(callClass.lateWorth())
          .append(" aim=")
          .append(callClass.aimMillis());
      text.append(" give-up=")
          .append(callClass.callerTimeoutMillis())
          .append(" width=")
          .append(callClass.width());
      text.append(" hold=").append(callClass.holdMillis());
      text.append(" priority=\"").append(callClass.priority()).append('"');
      text.append(callClass == fleetConfig.callClasses().get(0) ? " default=#true" : "")
          .append('\n');
    }
    return text.append("seed value=").append(exchange + 1).append('\n').toString();
  }
}
