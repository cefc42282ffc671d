package coveladder.rehearsal;

import java.util.function.BiConsumer;

/**
 * A scripted day.
 *
 * @param name its name on the command line
 * @param about one line on what it holds
 * @param plan the fleet
 * @param lasts time in which calls begin, ms
 * @param load the calls, given the seed
 * @param script what befalls the fleet
 */
public record Day(
    String name,
    String about,
    FleetPlan plan,
    double lasts,
    java.util.function.LongFunction<Load> load,
    BiConsumer<World, Fleet> script) {}
