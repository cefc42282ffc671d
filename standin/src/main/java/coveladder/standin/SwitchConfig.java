package coveladder.standin;

import coveladder.sip.Hop;
import coveladder.sip.Timing;
import java.util.Map;

/**
 * The configuration of a stand-in switch.
 *
 * @param exchange number of its exchange
 * @param domain domain of its exchange
 * @param controller signalling address of its controller
 * @param switchesByDomain signalling addresses of all switches, by domain
 * @param exchangesByDomain exchange numbers, by domain
 * @param widthsByPriority circuits per call, by Resource-Priority value; 1 for any other
 * @param linesByNumber number of lines of called numbers; any other number has no limit
 * @param answerDelayMillis time until a called line answers, ms
 * @param processorModel parameters of its processor
 * @param timing SIP timers
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
