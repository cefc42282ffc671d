package coveladder.rehearsal;

import coveladder.CallPolicy;
import coveladder.core.CallController;
import coveladder.sip.Hop;
import coveladder.sip.SipHost;
import coveladder.sip.SipStack;
import coveladder.sip.Transport;
import coveladder.sipfront.ClassTable;
import coveladder.sipfront.FrontEndSettings;
import coveladder.sipfront.SipFrontEnd;
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

/** A whole fleet on a network: controllers, their switches, the exchange directory, callers. */
public final class Fleet {
  private static final String STANDIN_THREAD = "standins";

  private final Network network;
  private final FleetConfig config;
  private final long seed;
  private final FaultInjection faults;
  private final ControllerRestarts restarts;
  private final TrunkNetwork trunks = new TrunkNetwork();
  private final Map<Integer, SipFrontEnd> controllers = new TreeMap<>();
  private final Map<Integer, StandinSwitch> switches = new TreeMap<>();
  private final Map<Integer, StandinDirectory.Entry> directoryEntries = new TreeMap<>();
  private final Map<Integer, Hop> controllerAddresses = new LinkedHashMap<>();
  private final List<StandinCallers.CallResult> callResults =
      Collections.synchronizedList(new ArrayList<>());
  private StandinDirectory directory;
  private StandinCallers callers;
  private int restartCount;

  /** Builds a fleet whose controllers are never killed. The network does not run yet. */
  public Fleet(Network network, FleetConfig config, long seed, FaultInjection faults) {
    this(network, config, seed, faults, null);
  }

  /** Builds all but the controllers, which run as separate processes at these addresses. */
  public Fleet(
      Network network, FleetConfig config, long seed, Map<Integer, Hop> externalControllers) {
    this(network, config, seed, FaultInjection.NONE, null, externalControllers);
  }

  /**
   * Builds a fleet whose controllers may persist their calls and be killed.
   *
   * @param restarts kills and restarts the controllers; null if they are neither killed nor persist
   *     their calls
   */
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
  public static String controllerName(int exchange) {
    return "controller-" + exchange;
  }

  /** Name of a switch's node. */
  public static String switchName(int exchange) {
    return "switch-" + exchange;
  }

  /** Domain of an exchange. */
  public static String domain(int exchange) {
    return "x" + exchange + ".example";
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
      String switchUri = "sip:" + switchAddress.host() + ':' + switchAddress.port();
      directoryEntries.put(
          i,
          new StandinDirectory.Entry(
              "x" + i + "-0", i, domain(i), switchUri, "in-service", /* startedAtMillis= */ -1));
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
    StandinCallers.Behaviour behaviour =
        new StandinCallers.Behaviour(
            /* minRedialDelayMillis= */ 600,
            /* retryAfterCompliance= */ 0.5,
            /* minReconnectDelayMillis= */ 400);
    callers =
        network.addNode(
            "callers",
            STANDIN_THREAD,
            host ->
                new StandinCallers(
                    host, config.timing(), controllerAddresses, behaviour, callResults::add));
  }

  private SwitchConfig switchConfig(
      int exchange, Map<String, Hop> switchesByDomain, Map<String, Integer> exchangesByDomain) {
    Map<String, Integer> widthsByPriority = new HashMap<>();
    config
        .callClasses()
        .forEach(callClass -> widthsByPriority.put(callClass.priority(), callClass.width()));
    return new SwitchConfig(
        exchange,
        domain(exchange),
        controllerAddresses.get(exchange),
        switchesByDomain,
        exchangesByDomain,
        widthsByPriority,
        /* linesByNumber= */ Map.of("5550000", 3),
        config.answerDelayMillis(),
        config.processorModel(),
        config.timing());
  }

  private void addController(int exchange) {
    CallPolicy.Settings policySettings = config.policySettings(exchange);
    FrontEndSettings frontEndSettings = frontEndSettings(exchange);
    SipFrontEnd frontEnd =
        network.addNode(
            controllerName(exchange),
            controllerName(exchange),
            host ->
                newFrontEnd(faults.hostWrapper().apply(host), frontEndSettings, policySettings));
    controllers.put(exchange, frontEnd);
  }

  /** Restarts a controller that was killed, from the contents of its disk. */
  void restartController(int exchange) {
    CallPolicy.Settings policySettings = config.policySettings(exchange);
    FrontEndSettings frontEndSettings = frontEndSettings(exchange);
    SipFrontEnd frontEnd =
        ((SimulatedNetwork) network)
            .restartNode(
                controllerName(exchange),
                host ->
                    newFrontEnd(
                        faults.hostWrapper().apply(host), frontEndSettings, policySettings));
    controllers.put(exchange, frontEnd);
  }

  private SipFrontEnd newFrontEnd(
      SipHost host, FrontEndSettings frontEndSettings, CallPolicy.Settings policySettings) {
    long policySeed = seed * 1000 + policySettings.localExchange();
    return new SipFrontEnd(
        host,
        frontEndSettings,
        policySettings,
        faults.guardFactory().get(),
        CallController.Observer.NONE,
        faults.policyFactoryFor(policySettings, policySeed),
        restarts == null
            ? null
            : restarts.persistence(controllerName(policySettings.localExchange()), host));
  }

  private FrontEndSettings frontEndSettings(int exchange) {
    List<String> names =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::name).toList();
    List<String> priorities =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::priority).toList();
    Transport switchTransport = exchange % 2 == 0 ? Transport.TCP : Transport.UDP;
    return new FrontEndSettings(
        domain(exchange),
        network.reserveAddress(switchName(exchange)).withTransport(switchTransport),
        network.reserveAddress("list").withTransport(Transport.TCP),
        new ClassTable(names, priorities, /* prefixes= */ List.of(), /* defaultClass= */ 0),
        /* patienceMillis= */ 3000,
        FleetConfig.ANSWER_MARGIN_MILLIS,
        /* maxCalls= */ 100_000,
        /* retryAfterSeconds= */ 1,
        config.timing(),
        SipStack.Limits.DEFAULT);
  }

  // ---- Actions of scenarios -----------------------------------------------------------------

  /** Sets the calls to be made. */
  public void setPlannedCalls(List<PlannedCall> plannedCalls) {
    callers.setPlannedCalls(plannedCalls);
  }

  /** Kills and restarts the controllers; null if the scenario has no kills. */
  public ControllerRestarts restarts() {
    return restarts;
  }

  /** The switch of an exchange. */
  public StandinSwitch switchOf(int exchange) {
    return switches.get(exchange);
  }

  /** The controller of an exchange. */
  public SipFrontEnd controller(int exchange) {
    return controllers.get(exchange);
  }

  /** The callers. */
  public StandinCallers callers() {
    return callers;
  }

  /** The circuit groups. */
  public TrunkNetwork trunks() {
    return trunks;
  }

  /** The configuration of the fleet. */
  public FleetConfig config() {
    return config;
  }

  /** The result of each call that is over. */
  public List<StandinCallers.CallResult> callResults() {
    return List.copyOf(callResults);
  }

  /** Announces in the exchange directory that an exchange drains. Runs on the stand-ins' thread. */
  public void drain(int exchange) {
    directory.scheduleUpdate(List.of(directoryEntries.get(exchange).withState("draining")));
  }

  /** Stops a processor: calls through it are disconnected, its connections reset. */
  public void stop(int exchange) {
    switches.get(exchange).disconnectAll();
    switches.get(exchange).stop();
    network.setReachable(switchName(exchange), false);
  }

  /** Replaces a stopped processor by a new one that starts cold. */
  public void startCold(int exchange) {
    restartCount++;
    StandinDirectory.Entry previous = directoryEntries.get(exchange);
    StandinDirectory.Entry restarted =
        new StandinDirectory.Entry(
            "x" + exchange + "-" + restartCount,
            exchange,
            previous.domain(),
            previous.address(),
            "in-service",
            network.now());
    directoryEntries.put(exchange, restarted);
    // The checker reads the parameters of the cold start from this note, in this order.
    Processor.Model model = config.processorModel();
    network
        .recorder()
        .recordNote(
            network.now(),
            switchName(exchange),
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
    network.setReachable(switchName(exchange), true);
    switches.get(exchange).startCold();
    directory.scheduleUpdate(List.of(previous.withState("gone"), restarted));
  }
}
