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
 * Logs each step of each call, with call and attempt ids, and counts it in the metrics. Called
 * numbers are not logged, since they may be personal data.
 */
final class CallLog implements CallController.Observer {
  private static final Logger LOG = LoggerFactory.getLogger("coveladder.calls");

  private final MeterRegistry meterRegistry;
  private final List<String> classNames;

  CallLog(MeterRegistry meterRegistry, List<String> classNames) {
    this.meterRegistry = meterRegistry;
    this.classNames = classNames;
  }

  private String className(TrackedCall call) {
    return classNames.get(call.call().type());
  }

  @Override
  public void callAccepted(TrackedCall call) {
    meterRegistry.counter("coveladder.calls", "class", className(call)).increment();
    LOG.debug(
        "call taken",
        kv("call", call.call().id()),
        kv("class", className(call)),
        kv("destination", call.call().destination()),
        kv("transit", call.call().transit()));
  }

  @Override
  public void attemptSent(TrackedCall call, AttemptRequest request) {
    meterRegistry.counter("coveladder.attempts", "class", className(call)).increment();
    LOG.debug(
        "attempt sent",
        kv("call", request.call()),
        kv("attempt", request.attempt()),
        kv("exchange", request.nextExchange().id()),
        kv("tandem", request.viaTandem()),
        kv("within", Math.round(request.timeoutMillis())));
  }

  @Override
  public void attemptEnded(
      TrackedCall call, int attempt, Outcome outcome, Reason reason, double elapsedMillis) {
    meterRegistry
        .counter("coveladder.attempts.over", "outcome", outcome.name(), "reason", reason.name())
        .increment();
    LOG.debug(
        "attempt over",
        kv("call", call.call().id()),
        kv("attempt", attempt),
        kv("outcome", outcome),
        kv("reason", reason),
        kv("spent", Math.round(elapsedMillis)));
  }

  @Override
  public void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double elapsedMillis) {
    String kind = answer.kind().name();
    meterRegistry.counter("coveladder.answers", "class", className(call), "kind", kind).increment();
    meterRegistry
        .timer("coveladder.answer.time", "class", className(call), "kind", kind)
        .record(Duration.ofNanos((long) (elapsedMillis * 1e6)));
    LOG.info(
        "call answered",
        kv("call", call.call().id()),
        kv("class", className(call)),
        kv("answer", kind),
        kv("reason", answer.reason()),
        kv("attempts", call.attemptCount()),
        kv("after", Math.round(elapsedMillis)));
  }

  @Override
  public void callerAbandoned(TrackedCall call, double elapsedMillis) {
    meterRegistry.counter("coveladder.callers.left", "class", className(call)).increment();
    LOG.info("caller left", kv("call", call.call().id()), kv("after", Math.round(elapsedMillis)));
  }
}
