package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.Timing;
import java.util.Map;

/**
 * What a stand-in switch is told at start.
 *
 * @param number its number
 * @param domain its domain
 * @param controller where its controller takes signalling
 * @param switches where the switches of the fleet take signalling, by domain
 * @param numbers number of each exchange, by domain
 * @param widths circuits that a call takes, by Resource-Priority value
 * @param lines lines of numbers that have few; any other has enough
 * @param answerAfter time until a called line answers, ms
 * @param processor figures of its processor
 * @param timing timer values
 */
public record SwitchPlan(
    int number,
    String domain,
    Hop controller,
    Map<String, Hop> switches,
    Map<String, Integer> numbers,
    Map<String, Integer> widths,
    Map<String, Integer> lines,
    double answerAfter,
    Processor.Model processor,
    Timing timing) {}
