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

  private final World world;
  private final FleetPlan plan;
  private final long seed;
  private final Tampering tampering;
  private final Lives lives;
  private final TrunkNetwork trunks = new TrunkNetwork();
  private final Map<Integer, SipFront> controllers = new TreeMap<>();
  private final Map<Integer, StandinSwitch> switches = new TreeMap<>();
  private final Map<Integer, StandinDirectory.Entry> lines = new TreeMap<>();
  private final Map<Integer, Hop> controllerPlaces = new LinkedHashMap<>();
  private final List<StandinCallers.CallResult> fates =
      Collections.synchronizedList(new ArrayList<>());
  private StandinDirectory list;
  private StandinCallers callers;
  private int generation;

  /** Builds a fleet; time has not begun yet. */
  public Fleet(World world, FleetPlan plan, long seed, Tampering tampering) {
    this(world, plan, seed, tampering, null);
  }

  /** Builds all but the controllers, which run as processes of their own at these places. */
  public Fleet(World world, FleetPlan plan, long seed, Map<Integer, Hop> outside) {
    this(world, plan, seed, Tampering.NONE, null, outside);
  }

  /** Builds a fleet whose controllers keep their calls and can be killed; null lives: not so. */
  public Fleet(World world, FleetPlan plan, long seed, Tampering tampering, Lives lives) {
    this(world, plan, seed, tampering, lives, Map.of());
  }

  private Fleet(
      World world,
      FleetPlan plan,
      long seed,
      Tampering tampering,
      Lives lives,
      Map<Integer, Hop> outside) {
    this.lives = lives;
    this.world = world;
    this.plan = plan;
    this.seed = seed;
    this.tampering = tampering;
    layTrunks();
    place(outside);
    addStandins();
    if (lives != null) {
      lives.of(this);
    }
    for (int i = 0; i < plan.exchanges() && outside.isEmpty(); i++) {
      addController(i);
    }
  }

  private void layTrunks() {
    for (int i = 0; i < plan.exchanges(); i++) {
      for (int j = i + 1; j < plan.exchanges(); j++) {
        trunks.addGroup(i, j, plan.trunk());
      }
    }
  }

  private void place(Map<Integer, Hop> outside) {
    world.place("list");
    world.place("callers");
    for (int i = 0; i < plan.exchanges(); i++) {
      world.place(switchName(i));
      Hop own = outside.get(i);
      controllerPlaces.put(i, own == null ? world.place(controllerName(i)) : own);
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
        world.add(
            "list", CREW, host -> new StandinDirectory(host, plan.timing(), plan.listLateness()));
    Map<String, Hop> places = new HashMap<>();
    Map<String, Integer> numbers = new HashMap<>();
    for (int i = 0; i < plan.exchanges(); i++) {
      Hop place = world.place(switchName(i));
      places.put(domain(i), place);
      numbers.put(domain(i), i);
      String address = "sip:" + place.host() + ':' + place.port();
      lines.put(
          i, new StandinDirectory.Entry("x" + i + "-0", i, domain(i), address, "in-service", -1));
    }
    list.addEntries(List.copyOf(lines.values()));
    for (int i = 0; i < plan.exchanges(); i++) {
      SwitchConfig switchPlan = switchPlan(i, places, numbers);
      switches.put(
          i, world.add(switchName(i), CREW, host -> new StandinSwitch(host, switchPlan, trunks)));
    }
    StandinCallers.Behaviour habits = new StandinCallers.Behaviour(600, 0.5, 400);
    callers =
        world.add(
            "callers",
            CREW,
            host -> new StandinCallers(host, plan.timing(), controllerPlaces, habits, fates::add));
  }

  private SwitchConfig switchPlan(
      int number, Map<String, Hop> places, Map<String, Integer> numbers) {
    Map<String, Integer> widths = new HashMap<>();
    plan.kinds().forEach(kind -> widths.put(kind.priority(), kind.width()));
    return new SwitchConfig(
        number,
        domain(number),
        controllerPlaces.get(number),
        places,
        numbers,
        widths,
        Map.of("5550000", 3),
        plan.answerAfter(),
        plan.processor(),
        plan.timing());
  }

  private void addController(int number) {
    CallPolicy.Settings rules = plan.rules(number);
    FrontSettings settings = frontSettings(number);
    SipFront front =
        world.add(
            controllerName(number),
            controllerName(number),
            host -> front(tampering.host().apply(host), settings, rules));
    controllers.put(number, front);
  }

  /** A controller that was killed starts, from what its disk holds. */
  void startAgain(int number) {
    CallPolicy.Settings rules = plan.rules(number);
    FrontSettings settings = frontSettings(number);
    SipFront front =
        ((SimWorld) world)
            .revive(
                controllerName(number),
                host -> front(tampering.host().apply(host), settings, rules));
    controllers.put(number, front);
  }

  private SipFront front(SipHost host, FrontSettings settings, CallPolicy.Settings rules) {
    long own = seed * 1000 + rules.localExchange();
    return new SipFront(
        host,
        settings,
        rules,
        tampering.guard().get(),
        CallController.Observer.NONE,
        tampering.maker(rules, own),
        lives == null ? null : lives.keeping(controllerName(rules.localExchange()), host));
  }

  private FrontSettings frontSettings(int number) {
    List<String> names = plan.kinds().stream().map(FleetPlan.Kind::name).toList();
    List<String> priorities = plan.kinds().stream().map(FleetPlan.Kind::priority).toList();
    Transport toSwitch = number % 2 == 0 ? Transport.TCP : Transport.UDP;
    return new FrontSettings(
        domain(number),
        world.place(switchName(number)).withTransport(toSwitch),
        world.place("list").withTransport(Transport.TCP),
        new ClassTable(names, priorities, List.of(), 0),
        3000,
        FleetPlan.ANSWER_MARGIN,
        100_000,
        1,
        plan.timing(),
        SipStack.Limits.DEFAULT);
  }

  // ---- What scripts do ----------------------------------------------------------------------

  /** Sets the calls to be made. */
  public void calls(List<PlannedCall> plans) {
    callers.setPlannedCalls(plans);
  }

  /** What kills controllers and starts them again; null where that is not part of the day. */
  public Lives lives() {
    return lives;
  }

  /** A switch. */
  public StandinSwitch exchange(int number) {
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
  public FleetPlan plan() {
    return plan;
  }

  /** What became of each call that is over. */
  public List<StandinCallers.CallResult> fates() {
    return List.copyOf(fates);
  }

  /** The list says that an exchange drains. On the stand-ins' thread. */
  public void drain(int number) {
    list.scheduleUpdate(List.of(lines.get(number).withState("draining")));
  }

  /** A processor stops: calls through it are cut, its connections reset. */
  public void stop(int number) {
    switches.get(number).disconnectAll();
    switches.get(number).stop();
    world.reachable(switchName(number), false);
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
    Processor.Model model = plan.processor();
    world
        .tap()
        .note(
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
    world.reachable(switchName(number), true);
    switches.get(number).startCold();
    list.scheduleUpdate(List.of(old.withState("gone"), fresh));
  }
}
