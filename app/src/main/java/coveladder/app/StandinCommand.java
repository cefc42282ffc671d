package coveladder.app;

import coveladder.net.EventLoop;
import coveladder.net.SocketLimits;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.rehearsal.Fleet;
import coveladder.rehearsal.FleetConfig;
import coveladder.sip.Hop;
import coveladder.sip.Transport;
import coveladder.standin.StandinDirectory;
import coveladder.standin.StandinSwitch;
import coveladder.standin.SwitchConfig;
import coveladder.standin.TrunkNetwork;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs stand-in switches and a directory server for controllers in other processes on this host.
 */
@Command(
    name = "standin",
    description = {
      "Run stand-in switches and a directory server on loopback, and write settings for the",
      "controllers that belong to them. Ends after --minutes."
    })
final class StandinCommand implements Callable<Integer> {
  private static final String HOST = "127.0.0.1";

  /** Difference of the first switch's port from the base port. */
  private static final int SWITCH_PORT_OFFSET = 10;

  /** Difference of the first controller's port from the base port. */
  private static final int CONTROLLER_PORT_OFFSET = 100;

  private static final int MAX_EXCHANGES = 64;

  @Spec private CommandSpec spec;

  @Option(names = "--exchanges", defaultValue = "4", description = "number of exchanges, 2 to 64")
  private int exchanges;

  @Option(
      names = "--base-port",
      defaultValue = "15000",
      description =
          "port of the directory server; switches start 10 above it, controllers 100 above it")
  private int basePort;

  @Option(
      names = "--settings",
      defaultValue = "standin-settings",
      paramLabel = "FOLDER",
      description = "folder for the controllers' settings (${DEFAULT-VALUE})")
  private Path folder;

  @Option(names = "--minutes", defaultValue = "60", description = "minutes until the command ends")
  private int minutes;

  @Override
  public Integer call() throws Exception {
    if (exchanges < 2 || exchanges > MAX_EXCHANGES) {
      spec.commandLine()
          .getErr()
          .println("--exchanges is 2 to " + MAX_EXCHANGES + ", not " + exchanges);
      return 2;
    }
    FleetConfig fleetConfig = FleetConfig.eightExchanges().withSize(exchanges, 1);
    PrintWriter out = spec.commandLine().getOut();
    try (Sockets sockets = new Sockets(1);
        EventLoop loop = new EventLoop("standins", System.nanoTime(), 100_000)) {
      startNodes(sockets, loop, fleetConfig);
      loop.start();
      writeSettings(fleetConfig, out);
      out.flush();
      new CountDownLatch(1).await(minutes, TimeUnit.MINUTES);
    }
    return 0;
  }

  private void startNodes(Sockets sockets, EventLoop loop, FleetConfig fleetConfig)
      throws IOException {
    Map<String, Hop> switchesByDomain = new HashMap<>();
    Map<String, Integer> exchangesByDomain = new HashMap<>();
    List<StandinDirectory.Entry> entries = new ArrayList<>();
    TrunkNetwork trunks = new TrunkNetwork();
    for (int i = 0; i < exchanges; i++) {
      Hop switchAddress = new Hop(Transport.UDP, HOST, basePort + SWITCH_PORT_OFFSET + i);
      switchesByDomain.put(Fleet.domain(i), switchAddress);
      exchangesByDomain.put(Fleet.domain(i), i);
      String switchUri = "sip:" + HOST + ':' + switchAddress.port();
      String domain = Fleet.domain(i);
      entries.add(
          new StandinDirectory.Entry("x" + i + "-0", i, domain, switchUri, "in-service", -1));
      for (int j = i + 1; j < exchanges; j++) {
        trunks.addGroup(i, j, fleetConfig.circuitsPerGroup());
      }
    }
    SocketNode directoryNode = newNode(sockets, loop, basePort);
    StandinDirectory directory =
        new StandinDirectory(
            directoryNode, fleetConfig.timing(), fleetConfig.directoryDelayMillis());
    directory.addEntries(entries);
    directoryNode.start(directory);
    for (int i = 0; i < exchanges; i++) {
      SocketNode node = newNode(sockets, loop, basePort + SWITCH_PORT_OFFSET + i);
      node.start(
          new StandinSwitch(
              node, switchConfig(fleetConfig, i, switchesByDomain, exchangesByDomain), trunks));
    }
  }

  private SwitchConfig switchConfig(
      FleetConfig fleetConfig,
      int exchange,
      Map<String, Hop> switchesByDomain,
      Map<String, Integer> exchangesByDomain) {
    Map<String, Integer> widthsByPriority = new HashMap<>();
    fleetConfig
        .callClasses()
        .forEach(callClass -> widthsByPriority.put(callClass.priority(), callClass.width()));
    Hop controller = new Hop(Transport.UDP, HOST, basePort + CONTROLLER_PORT_OFFSET + exchange);
    return new SwitchConfig(
        exchange,
        Fleet.domain(exchange),
        controller,
        switchesByDomain,
        exchangesByDomain,
        widthsByPriority,
        Map.of(),
        fleetConfig.answerDelayMillis(),
        fleetConfig.processorModel(),
        fleetConfig.timing());
  }

  private static SocketNode newNode(Sockets sockets, EventLoop loop, int port) throws IOException {
    return new SocketNode(sockets, loop, SocketLimits.DEFAULTS, HOST, port, port);
  }

  private void writeSettings(FleetConfig fleetConfig, PrintWriter out) throws IOException {
    Files.createDirectories(folder);
    for (int i = 0; i < exchanges; i++) {
      Path file = folder.resolve("x" + i + ".kdl");
      Files.writeString(
          file,
          SettingsText.of(
              fleetConfig,
              i,
              basePort + CONTROLLER_PORT_OFFSET + i,
              basePort + SWITCH_PORT_OFFSET + i,
              basePort,
              folder.resolve("state-x" + i)));
      out.printf(
          "%s: switch %d, controller %d, settings %s%n",
          Fleet.domain(i),
          basePort + SWITCH_PORT_OFFSET + i,
          basePort + CONTROLLER_PORT_OFFSET + i,
          file);
    }
    out.printf("list server %d; ends after %d minutes%n", basePort, minutes);
  }
}
