package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.Timing;
import java.util.Map;

/**
 * What a stand-in switch is told at start.
 *
 * @param exchange its number
 * @param domain its domain
 * @param controller where its controller takes signalling
 * @param switchesByDomain where the switches of the fleet take signalling, by domain
 * @param exchangesByDomain number of each exchange, by domain
 * @param widthsByPriority circuits that a call takes, by Resource-Priority value
 * @param linesByNumber lines of numbers that have few; any other has enough
 * @param answerDelayMillis time until a called line answers, ms
 * @param processorModel figures of its processor
 * @param timing timer values
 */
public record SwitchConfig(
    int exchange,
    String domain,
    Hop controller,
    Map<String, Hop> switchesByDomain,
    Map<String, Integer> exchangesByDomain,
    Map<String, Integer> widthsByPriority,
    Map<String, Integer> linesByNumber,
    double answerDelayMillis,
    Processor.Model processorModel,
    Timing timing) {}
