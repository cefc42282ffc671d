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
  private static final String CREW = "standins";

  private final Network world;
  private final FleetConfig config;
  private final long seed;
  private final FaultInjection tampering;
  private final ControllerRestarts restarts;
  private final TrunkNetwork trunks = new TrunkNetwork();
  private final Map<Integer, SipFront> controllers = new TreeMap<>();
  private final Map<Integer, StandinSwitch> switches = new TreeMap<>();
  private final Map<Integer, StandinDirectory.Entry> lines = new TreeMap<>();
  private final Map<Integer, Hop> controllerPlaces = new LinkedHashMap<>();
  private final List<StandinCallers.CallResult> callResults =
      Collections.synchronizedList(new ArrayList<>());
  private StandinDirectory list;
  private StandinCallers callers;
  private int generation;

  /** Builds a fleet; time has not begun yet. */
  public Fleet(Network world, FleetConfig plan, long seed, FaultInjection tampering) {
    this(world, plan, seed, tampering, null);
  }

  /** Builds all but the controllers, which run as processes of their own at these places. */
  public Fleet(Network world, FleetConfig plan, long seed, Map<Integer, Hop> outside) {
    this(world, plan, seed, FaultInjection.NONE, null, outside);
  }

  /** Builds a fleet whose controllers keep their calls and can be killed; null lives: not so. */
  public Fleet(
      Network world,
      FleetConfig plan,
      long seed,
      FaultInjection tampering,
      ControllerRestarts lives) {
    this(world, plan, seed, tampering, lives, Map.of());
  }

  private Fleet(
      Network world,
      FleetConfig plan,
      long seed,
      FaultInjection tampering,
      ControllerRestarts lives,
      Map<Integer, Hop> outside) {
    this.restarts = lives;
    this.world = world;
    this.config = plan;
    this.seed = seed;
    this.tampering = tampering;
    layTrunks();
    place(outside);
    addStandins();
    if (lives != null) {
      lives.setFleet(this);
    }
    for (int i = 0; i < plan.exchangeCount() && outside.isEmpty(); i++) {
      addController(i);
    }
  }

  private void layTrunks() {
    for (int i = 0; i < config.exchangeCount(); i++) {
      for (int j = i + 1; j < config.exchangeCount(); j++) {
        trunks.addGroup(i, j, config.circuitsPerGroup());
      }
    }
  }

  private void place(Map<Integer, Hop> outside) {
    world.reserveAddress("list");
    world.reserveAddress("callers");
    for (int i = 0; i < config.exchangeCount(); i++) {
      world.reserveAddress(switchName(i));
      Hop own = outside.get(i);
      controllerPlaces.put(i, own == null ? world.reserveAddress(controllerName(i)) : own);
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
    list =
        world.addNode(
            "list",
            CREW,
            host -> new StandinDirectory(host, config.timing(), config.directoryDelayMillis()));
    Map<String, Hop> places = new HashMap<>();
    Map<String, Integer> numbers = new HashMap<>();
    for (int i = 0; i < config.exchangeCount(); i++) {
      Hop place = world.reserveAddress(switchName(i));
      places.put(domain(i), place);
      numbers.put(domain(i), i);
      String address = "sip:" + place.host() + ':' + place.port();
      lines.put(
          i, new StandinDirectory.Entry("x" + i + "-0", i, domain(i), address, "in-service", -1));
    }
    list.addEntries(List.copyOf(lines.values()));
    for (int i = 0; i < config.exchangeCount(); i++) {
      SwitchConfig switchPlan = switchPlan(i, places, numbers);
      switches.put(
          i,
          world.addNode(switchName(i), CREW, host -> new StandinSwitch(host, switchPlan, trunks)));
    }
    StandinCallers.Behaviour habits = new StandinCallers.Behaviour(600, 0.5, 400);
    callers =
        world.addNode(
            "callers",
            CREW,
            host ->
                new StandinCallers(
                    host, config.timing(), controllerPlaces, habits, callResults::add));
  }

  private SwitchConfig switchPlan(
      int number, Map<String, Hop> places, Map<String, Integer> numbers) {
    Map<String, Integer> widths = new HashMap<>();
    config.callClasses().forEach(kind -> widths.put(kind.priority(), kind.width()));
    return new SwitchConfig(
        number,
        domain(number),
        controllerPlaces.get(number),
        places,
        numbers,
        widths,
        Map.of("5550000", 3),
        config.answerDelayMillis(),
        config.processorModel(),
        config.timing());
  }

  private void addController(int number) {
    CallPolicy.Settings rules = config.policySettings(number);
    FrontSettings settings = frontSettings(number);
    SipFront front =
        world.addNode(
            controllerName(number),
            controllerName(number),
            host -> front(tampering.hostWrapper().apply(host), settings, rules));
    controllers.put(number, front);
  }

  /** A controller that was killed starts, from what its disk holds. */
  void restartController(int number) {
    CallPolicy.Settings rules = config.policySettings(number);
    FrontSettings settings = frontSettings(number);
    SipFront front =
        ((SimulatedNetwork) world)
            .restartNode(
                controllerName(number),
                host -> front(tampering.hostWrapper().apply(host), settings, rules));
    controllers.put(number, front);
  }

  private SipFront front(SipHost host, FrontSettings settings, CallPolicy.Settings rules) {
    long own = seed * 1000 + rules.localExchange();
    return new SipFront(
        host,
        settings,
        rules,
        tampering.guardFactory().get(),
        CallController.Observer.NONE,
        tampering.policyFactoryFor(rules, own),
        restarts == null
            ? null
            : restarts.persistence(controllerName(rules.localExchange()), host));
  }

  private FrontSettings frontSettings(int number) {
    List<String> names =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::name).toList();
    List<String> priorities =
        config.callClasses().stream().map(FleetConfig.CallClassConfig::priority).toList();
    Transport toSwitch = number % 2 == 0 ? Transport.TCP : Transport.UDP;
    return new FrontSettings(
        domain(number),
        world.reserveAddress(switchName(number)).withTransport(toSwitch),
        world.reserveAddress("list").withTransport(Transport.TCP),
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
  public void setPlannedCalls(List<PlannedCall> plans) {
    callers.setPlannedCalls(plans);
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
    list.scheduleUpdate(List.of(lines.get(number).withState("draining")));
  }

  /** A processor stops: calls through it are cut, its connections reset. */
  public void stop(int number) {
    switches.get(number).disconnectAll();
    switches.get(number).stop();
    world.setReachable(switchName(number), false);
  }

  /** A new processor takes the place of one that stopped; it begins cold. */
  public void startCold(int number) {
    generation++;
    StandinDirectory.Entry old = lines.get(number);
    StandinDirectory.Entry fresh =
        new StandinDirectory.Entry(
            "x" + number + "-" + generation,
            number,
            old.domain(),
            old.address(),
            "in-service",
            world.now());
    lines.put(number, fresh);
    Processor.Model model = config.processorModel();
    world
        .recorder()
        .recordNote(
            world.now(),
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
    world.setReachable(switchName(number), true);
    switches.get(number).startCold();
    list.scheduleUpdate(List.of(old.withState("gone"), fresh));
  }
}
