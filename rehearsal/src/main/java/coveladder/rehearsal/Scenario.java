package coveladder.rehearsal;

import java.util.function.BiConsumer;

/**
 * A scripted rehearsal.
 *
 * @param name its name on the command line
 * @param description a description in one line
 * @param fleetConfig the configuration of the fleet
 * @param durationMillis period in which calls are made, ms
 * @param loadFactory creates the generator of calls from a seed
 * @param script schedules what happens to the fleet
 */
public record Scenario(
    String name,
    String description,
    FleetConfig fleetConfig,
    double durationMillis,
    java.util.function.LongFunction<LoadGenerator> loadFactory,
    BiConsumer<Network, Fleet> script) {}
