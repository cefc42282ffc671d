package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.core.CallController;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipStack;
import coveladder.sip.Transport;
import coveladder.sipfront.ClassTable;
import coveladder.sipfront.FrontSettings;
import coveladder.sipfront.SipFront;
import coveladder.standin.PlannedCall;
import coveladder.standin.Processor;
import coveladder.standin.StandinCallers;
import coveladder.standin.StandinDirectory;
import coveladder.standin.StandinSwitch;
import coveladder.standin.SwitchConfig;
import coveladder.standin.TrunkNetwork;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A whole fleet on a world: controllers, their switches, the list, callers. */
public final class Fleet {
  private static final String STANDIN_THREAD = "standins";

  private final Network network;
  private final FleetConfig config;
  private final long seed;
  private final FaultInjection faults;
  private final ControllerRestarts restarts;
  private final TrunkNetwork trunks = new TrunkNetwork();
  private final Map<Integer, SipFront> controllers = new TreeMap<>();
  private final Map<Integer, StandinSwitch> switches = new TreeMap<>();
  private final Map<Integer, StandinDirectory.Entry> directoryEntries = new TreeMap<>();
  private final Map<Integer, Hop> controllerAddresses = new LinkedHashMap<>();
  private final List<StandinCallers.CallResult> callResults =
      Collections.synchronizedList(new ArrayList<>());
  private StandinDirectory directory;
  private StandinCallers callers;
  private int restartCount;

  /** Builds a fleet; time has not begun yet. */
  public Fleet(Network network, FleetConfig config, long seed, FaultInjection faults) {
    this(network, config, seed, faults, null);
  }

  /** Builds all but the controllers, which run as processes of their own at these places. */
  public Fleet(
      Network network, FleetConfig config, long seed, Map<Integer, Hop> externalControllers) {
    this(network, config, seed, FaultInjection.NONE, null, externalControllers);
  }

  /** Builds a fleet whose controllers keep their calls and can be killed; null lives: not so. */
  public Fleet(
      Network network,
      FleetConfig config,
      long seed,
      FaultInjection faults,
      ControllerRestarts restarts) {
    this(network, config, seed, faults, restarts, Map.of());
  }

  private Fleet(
      Network network,
      FleetConfig config,
      long seed,
      FaultInjection faults,
      ControllerRestarts restarts,
      Map<Integer, Hop> externalControllers) {
    this.restarts = restarts;
    this.network = network;
    this.config = config;
    this.seed = seed;
    this.faults = faults;
    createTrunks();
    reserveAddresses(externalControllers);
    addStandins();
    if (restarts != null) {
      restarts.setFleet(this);
    }
    for (int i = 0; i < config.exchangeCount() && externalControllers.isEmpty(); i++) {
      addController(i);
    }
  }

  private void createTrunks() {
    for (int i = 0; i < config.exchangeCount(); i++) {
      for (int j = i + 1; j < config.exchangeCount(); j++) {
        trunks.addGroup(i, j, config.circuitsPerGroup());
      }
    }
  }

  private void reserveAddresses(Map<Integer, Hop> externalControllers) {
    network.reserveAddress("list");
    network.reserveAddress("callers");
    for (int i = 0; i < config.exchangeCount(); i++) {
      network.reserveAddress(switchName(i));
      Hop address = externalControllers.get(i);
      controllerAddresses.put(
          i, address == null ? network.reserveAddress(controllerName(i)) : address);
    }
  }

  /** Name of a controller's node. */
  public static String controllerName(int number) {
    return "controller-" + number;
  }

  /** Name of a switch's node. */
  public static String switchName(int number) {
    return "switch-" + number;
  }

  /** Domain of an exchange. */
  public static String domain(int number) {
    return "x" + number + ".example";
  }

  private void addStandins() {
    directory =
        network.addNode(
            "list",
            STANDIN_THREAD,
            host -> new StandinDirectory(host, config.timing(), config.directoryDelayMillis()));
    Map<String, Hop> switchesByDomain = new HashMap<>();
    Map<String, Integer> exchangesByDomain = new HashMap<>();
    for (int i = 0; i < config.exchangeCount(); i++) {
      Hop switchAddress = network.reserveAddress(switchName(i));
      switchesByDomain.put(domain(i), switchAddress);
      exchangesByDomain.put(domain(i), i);
      String address = "sip:" + switchAddress.host() + ':' + switchAddress.port();
      directoryEntries.put(
          i, new StandinDirectory.Entry("x" + i + "-0", i, domain(i), address, "in-service", -1));
    }
    directory.addEntries(List.copyOf(directoryEntries.values()));
    for (int i = 0; i < config.exchangeCount(); i++) {
      SwitchConfig switchConfig = switchConfig(i, switchesByDomain, exchangesByDomain);
      switches.put(
          i,
          network.addNode(
              switchName(i),
              STANDIN_THREAD,
              host -> new StandinSwitch(host, switchConfig, trunks)));
    }
    StandinCallers.Behaviour behaviour = new StandinCallers.Behaviour(600, 0.5, 400);
    callers =
        network.addNode(
            "callers",
            STANDIN_THREAD,
            host ->
                new StandinCallers(
                    host, config.timing(), controllerAddresses, behaviour, callResults::add));
  }

  private SwitchConfig switchConfig(
      int number, Map<String, Hop> switchesByDomain, Map<String, Integer> exchangesByDomain) {
    Map<String, Integer> widthsByPriority = new HashMap<>();
    config
        .callClasses()
        .forEach(callClass -> widthsByPriority.put(callClass.priority(), callClass.width()));
    return new SwitchConfig(
        number,
        domain(number),
        controllerAddresses.get(number),
        switchesByDomain,
        exchangesByDomain,
        widthsByPriority,
        Map.of("5550000", 3),
        config.answerDelayMillis(),
        config.processorModel(),
        config.timing());
  }

  private void addController(int number) {
    CallPolicy.Settings policySettings = config.policySettings(number);
    FrontSettings frontSettings = frontSettings(number);
    SipFront frontEnd =
        network.addNode(
            controllerName(number),
            controllerName(number),
            host -> newFrontEnd(faults.hostWrapper().apply(host), frontSettings, policySettings));
    controllers.put(number, frontEnd);
  }

  /** A controller that was killed starts, from what its disk holds. */
  void restartController(int number) {
    CallPolicy.Settings policySettings = config.policySettings(number);
    FrontSettings frontSettings = frontSettings(number);
    SipFront frontEnd =
        ((SimulatedNetwork) network)
            .restartNode(
                controllerName(number),
                host ->
                    newFrontEnd(faults.hostWrapper().apply(host), frontSettings, policySettings));
    controllers.put(number, frontEnd);
  }

  private SipFront newFrontEnd(
      SipHost host, FrontSettings frontSettings, CallPolicy.Settings policySettings) {
    long policySeed = seed * 1000 + policySettings.localExchange();
    return new SipFront(
        host,
        frontSettings,
        policySettings,
        faults.guardFactory().get(),
        CallController.Observer.NONE,
        faults.policyFactoryFor(policySettings, policySeed),
        restarts == null
            ? null
            : restarts.persistence(controllerName(policySettings.localExchange()), host));
  }

  private FrontSettings frontSettings(int number) {
    List<String> names =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::name).toList();
    List<String> priorities =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::priority).toList();
    Transport switchTransport = number % 2 == 0 ? Transport.TCP : Transport.UDP;
    return new FrontSettings(
        domain(number),
        network.reserveAddress(switchName(number)).withTransport(switchTransport),
        network.reserveAddress("list").withTransport(Transport.TCP),
        new ClassTable(names, priorities, List.of(), 0),
        3000,
        FleetConfig.ANSWER_MARGIN_MILLIS,
        100_000,
        1,
        config.timing(),
        SipStack.Limits.DEFAULT);
  }

  // ---- What scripts do ----------------------------------------------------------------------

  /** Sets the calls to be made. */
  public void setPlannedCalls(List<PlannedCall> plannedCalls) {
    callers.setPlannedCalls(plannedCalls);
  }

  /** What kills controllers and starts them again; null where that is not part of the day. */
  public ControllerRestarts restarts() {
    return restarts;
  }

  /** A switch. */
  public StandinSwitch switchOf(int number) {
    return switches.get(number);
  }

  /** A controller. */
  public SipFront controller(int number) {
    return controllers.get(number);
  }

  /** The callers. */
  public StandinCallers callers() {
    return callers;
  }

  /** The circuit groups. */
  public TrunkNetwork trunks() {
    return trunks;
  }

  /** The plan. */
  public FleetConfig config() {
    return config;
  }

  /** What became of each call that is over. */
  public List<StandinCallers.CallResult> callResults() {
    return List.copyOf(callResults);
  }

  /** The list says that an exchange drains. On the stand-ins' thread. */
  public void drain(int number) {
    directory.scheduleUpdate(List.of(directoryEntries.get(number).withState("draining")));
  }

  /** A processor stops: calls through it are cut, its connections reset. */
  public void stop(int number) {
    switches.get(number).disconnectAll();
    switches.get(number).stop();
    network.setReachable(switchName(number), false);
  }

  /** A new processor takes the place of one that stopped; it begins cold. */
  public void startCold(int number) {
    restartCount++;
    StandinDirectory.Entry previous = directoryEntries.get(number);
    StandinDirectory.Entry restarted =
        new StandinDirectory.Entry(
            "x" + number + "-" + restartCount,
            number,
            previous.domain(),
            previous.address(),
            "in-service",
            network.now());
    directoryEntries.put(number, restarted);
    Processor.Model model = config.processorModel();
    network
        .recorder()
        .recordNote(
            network.now(),
            switchName(number),
            "cold "
                + model.setupMillis()
                + ' '
                + model.coldShare()
                + ' '
                + model.rampMillis()
                + ' '
                + model.coldMultiple()
                + ' '
                + model.coldWindowMillis());
    network.setReachable(switchName(number), true);
    switches.get(number).startCold();
    directory.scheduleUpdate(List.of(previous.withState("gone"), restarted));
  }
}
