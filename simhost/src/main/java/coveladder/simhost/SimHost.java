package coveladder.simhost;

import coveladder.CallPolicy;
import coveladder.NestedThresholdPolicy;
import coveladder.wire.Fields;
import coveladder.wire.SettingsReader;
import coveladder.wire.WireException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the policy instances of a simulation: reads batches of events, delivers each event to its
 * instance and prints the actions that the instances request.
 */
final class SimHost {
  private final BufferedReader in;
  private final PrintStream out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Map<Integer, List<CallPolicy.Exchange>> directoryPages = new HashMap<>();

  /** The directory page that the next entries belong to. */
  private List<CallPolicy.Exchange> currentPage = new ArrayList<>();

  /** Id of the current batch; {@code none} before the first. */
  private String batchId = "none";

  /** Simulated time of the current batch, ms. */
  private double now;

  /** Number of the current line within its batch, from 1. */
  private int lineNumber;

  SimHost(BufferedReader in, PrintStream out) {
    this.in = in;
    this.out = out;
  }

  /**
   * Processes batches until the input ends.
   *
   * @throws WireException if a line cannot be read; the message names the batch and the line
   */
  void run() throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lineNumber++;
      try {
        handleLine(line);
      } catch (WireException | IllegalArgumentException e) {
        throw new WireException("batch " + batchId + " line " + lineNumber + ": " + e.getMessage());
      }
    }
  }

  private void handleLine(String line) {
    Fields fields = Fields.parseLine(line);
    switch (fields.messageName()) {
      case "BATCH" -> beginBatch(fields);
      case "GO" -> endBatch();
      case "START" -> startInstance(fields);
      case "SHUTDOWN" -> requireInstance(fields).policy = null;
      case "MANIFEST" ->
          directoryPages.put(fields.intValue("page"), currentPage = new ArrayList<>());
      case "ROW" -> currentPage.add(EventReader.exchange(fields));
      case "VIEW" -> {
        var update = EventReader.directoryUpdate(fields, directoryPages);
        deliver(fields, (policy, instance) -> policy.onDirectoryUpdate(now, update));
      }
      case "CALL" -> {
        var call = EventReader.call(fields);
        deliver(fields, (policy, instance) -> policy.onCall(now, call));
      }
      case "HEADERS" -> {
        var established = EventReader.established(fields);
        deliver(fields, (policy, instance) -> policy.onEstablished(now, established));
      }
      case "CLOSED_ATTEMPT" ->
          deliver(
              fields,
              (policy, instance) ->
                  policy.onAttemptEnded(
                      now, EventReader.attemptEnded(fields, instance.loadColumns)));
      case "CANCELLED_BY_CLIENT" -> {
        String call = fields.text("handle");
        deliver(fields, (policy, instance) -> policy.onCallerAbandoned(now, call));
      }
      case "TIMEOUT_FIRED" -> {
        long label = fields.longValue("label");
        deliver(fields, (policy, instance) -> policy.onTimer(now, label));
      }
      case "STATUS_BACK" ->
          deliver(
              fields,
              (policy, instance) ->
                  policy.onLoadReport(now, EventReader.loadReport(fields, instance.loadColumns)));
      case "PEER" -> {
        int author = fields.intValue("author");
        byte[] payload = decodePayload(fields.text("payload", "-"));
        deliver(fields, (policy, instance) -> policy.onPeerMessage(now, author, payload));
      }
      default -> {}
    }
  }

  private void beginBatch(Fields fields) {
    batchId = fields.text("turn");
    lineNumber = 1;
    now = fields.number("atTime");
  }

  private void endBatch() {
    reply.append("YIELD turn=").append(batchId).append('\n');
    out.print(reply);
    out.flush();
    reply.setLength(0);
  }

  private void startInstance(Fields fields) {
    int id = fields.intValue("who");
    var actions = new WireActions(id, reply);
    var newPolicy =
        new NestedThresholdPolicy(SettingsReader.read(fields), fields.longValue("salt"), actions);
    var newInstance = new Instance(id, newPolicy, fields.list("stats.fields"));
    instances.put(id, newInstance);
    deliverReportingFailure(newInstance, (policy, instance) -> policy.onStart(now));
  }

  private Instance requireInstance(Fields fields) {
    Instance instance = instances.get(fields.intValue("who"));
    if (instance == null) {
      throw new WireException(
          fields.messageName() + " for instance " + fields.text("who") + ", never started");
    }
    return instance;
  }

  private void deliver(Fields fields, PolicyEvent event) {
    Instance instance = requireInstance(fields);
    if (instance.policy != null) {
      deliverReportingFailure(instance, event);
    }
  }

  /**
   * Delivers an event. An exception of the policy becomes a PANIC line in the reply; one that
   * reports unreadable input is rethrown.
   */
  private void deliverReportingFailure(Instance instance, PolicyEvent event) {
    try {
      event.to(instance.policy, instance);
    } catch (WireException e) {
      throw e;
    } catch (RuntimeException e) {
      reply.append("PANIC who=").append(instance.id).append(" noteText=");
      reply.append(String.valueOf(e).replace('\n', ' ')).append('\n');
    }
  }

  private static byte[] decodePayload(String text) {
    return text.equals("-") ? new byte[0] : Base64.getDecoder().decode(text);
  }

  /** An event that can be delivered to the policy of an instance. */
  private interface PolicyEvent {
    void to(CallPolicy policy, Instance instance);
  }

  /** A simulated controller; its policy is null after a shutdown. */
  private static final class Instance {
    final int id;
    final String[] loadColumns;
    CallPolicy policy;

    Instance(int id, CallPolicy policy, String[] loadColumns) {
      this.id = id;
      this.policy = policy;
      this.loadColumns = loadColumns;
    }
  }
}
