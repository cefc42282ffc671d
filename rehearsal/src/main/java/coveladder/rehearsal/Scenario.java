package coveladder.rehearsal;

import java.util.function.BiConsumer;

/**
 * A scripted day.
 *
 * @param name its name on the command line
 * @param description one line on what it holds
 * @param fleetConfig the fleet
 * @param durationMillis time in which calls begin, ms
 * @param load the calls, given the seed
 * @param script what befalls the fleet
 */
public record Scenario(
    String name,
    String description,
    FleetConfig fleetConfig,
    double durationMillis,
    java.util.function.LongFunction<LoadGenerator> load,
    BiConsumer<Network, Fleet> script) {}
