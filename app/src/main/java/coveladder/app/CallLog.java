package coveladder.app;

import static net.logstash.logback.argument.StructuredArguments.kv;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.FinalAnswer;
import coveladder.core.TrackedCall;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes each step of each call to the log, with call and attempt ids, and counts it. Numbers
 * called are not written: they may be somebody's.
 */
final class CallLog implements CallController.Observer {
  private static final Logger LOG = LoggerFactory.getLogger("coveladder.calls");

  private final MeterRegistry meters;
  private final List<String> classes;

  CallLog(MeterRegistry meters, List<String> classes) {
    this.meters = meters;
    this.classes = classes;
  }

  private String type(TrackedCall call) {
    return classes.get(call.call().type());
  }

  @Override
  public void callAccepted(TrackedCall call) {
    meters.counter("coveladder.calls", "class", type(call)).increment();
    LOG.debug(
        "call taken",
        kv("call", call.call().id()),
        kv("class", type(call)),
        kv("destination", call.call().destination()),
        kv("transit", call.call().transit()));
  }

  @Override
  public void attemptSent(TrackedCall call, AttemptRequest order) {
    meters.counter("coveladder.attempts", "class", type(call)).increment();
    LOG.debug(
        "attempt sent",
        kv("call", order.call()),
        kv("attempt", order.attempt()),
        kv("exchange", order.nextExchange().id()),
        kv("tandem", order.viaTandem()),
        kv("within", Math.round(order.timeoutMillis())));
  }

  @Override
  public void attemptEnded(
      TrackedCall call, int attempt, Outcome outcome, Reason reason, double spent) {
    meters
        .counter("coveladder.attempts.over", "outcome", outcome.name(), "reason", reason.name())
        .increment();
    LOG.debug(
        "attempt over",
        kv("call", call.call().id()),
        kv("attempt", attempt),
        kv("outcome", outcome),
        kv("reason", reason),
        kv("spent", Math.round(spent)));
  }

  @Override
  public void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double after) {
    String kind = answer.kind().name();
    meters.counter("coveladder.answers", "class", type(call), "kind", kind).increment();
    meters
        .timer("coveladder.answer.time", "class", type(call), "kind", kind)
        .record(Duration.ofNanos((long) (after * 1e6)));
    LOG.info(
        "call answered",
        kv("call", call.call().id()),
        kv("class", type(call)),
        kv("answer", kind),
        kv("reason", answer.reason()),
        kv("attempts", call.attemptCount()),
        kv("after", Math.round(after)));
  }

  @Override
  public void callerAbandoned(TrackedCall call, double after) {
    meters.counter("coveladder.callers.left", "class", type(call)).increment();
    LOG.info("caller left", kv("call", call.call().id()), kv("after", Math.round(after)));
  }
}
