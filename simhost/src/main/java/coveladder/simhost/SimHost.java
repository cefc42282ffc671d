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

/** Reads batches of events, hands them to the instances and prints their actions. */
final class SimHost {
  private final BufferedReader in;
  private final PrintStream out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Map<Integer, List<CallPolicy.Exchange>> manifests = new HashMap<>();
  private List<CallPolicy.Exchange> manifest = new ArrayList<>();
  private String turn = "none";
  private double now;
  private int line;

  SimHost(BufferedReader in, PrintStream out) {
    this.in = in;
    this.out = out;
  }

  /** Answers batches until the input ends. */
  void run() throws IOException {
    for (String text = in.readLine(); text != null; text = in.readLine()) {
      line++;
      try {
        read(text);
      } catch (WireException | IllegalArgumentException e) {
        throw new WireException("batch " + turn + " line " + line + ": " + e.getMessage());
      }
    }
  }

  private void read(String text) {
    Fields f = Fields.parseLine(text);
    switch (f.messageName()) {
      case "BATCH" -> begin(f);
      case "GO" -> flush();
      case "START" -> start(f);
      case "SHUTDOWN" -> instance(f).policy = null;
      case "MANIFEST" -> manifests.put(f.intValue("page"), manifest = new ArrayList<>());
      case "ROW" -> manifest.add(EventReader.exchange(f));
      case "VIEW" -> {
        var news = EventReader.news(f, manifests);
        deliver(f, (policy, host) -> policy.onDirectoryUpdate(now, news));
      }
      case "CALL" -> {
        var call = EventReader.call(f);
        deliver(f, (policy, host) -> policy.onCall(now, call));
      }
      case "HEADERS" -> {
        var stands = EventReader.stands(f);
        deliver(f, (policy, host) -> policy.onEstablished(now, stands));
      }
      case "CLOSED_ATTEMPT" ->
          deliver(
              f, (policy, host) -> policy.onAttemptEnded(now, EventReader.ended(f, host.columns)));
      case "CANCELLED_BY_CLIENT" -> {
        String call = f.text("handle");
        deliver(f, (policy, host) -> policy.onCallerAbandoned(now, call));
      }
      case "TIMEOUT_FIRED" -> {
        long label = f.longValue("label");
        deliver(f, (policy, host) -> policy.onTimer(now, label));
      }
      case "STATUS_BACK" ->
          deliver(
              f, (policy, host) -> policy.onLoadReport(now, EventReader.report(f, host.columns)));
      case "PEER" -> {
        int author = f.intValue("author");
        byte[] payload = payload(f.text("payload", "-"));
        deliver(f, (policy, host) -> policy.onPeerMessage(now, author, payload));
      }
      default -> {}
    }
  }

  private void begin(Fields f) {
    turn = f.text("turn");
    line = 1;
    now = f.number("atTime");
  }

  private void flush() {
    reply.append("YIELD turn=").append(turn).append('\n');
    out.print(reply);
    out.flush();
    reply.setLength(0);
  }

  private void start(Fields f) {
    int who = f.intValue("who");
    var actions = new WireActions(who, reply);
    var policy = new NestedThresholdPolicy(SettingsReader.read(f), f.longValue("salt"), actions);
    var host = new Instance(who, policy, f.list("stats.fields"));
    instances.put(who, host);
    attempt(host, (p, h) -> p.onStart(now));
  }

  private Instance instance(Fields f) {
    Instance host = instances.get(f.intValue("who"));
    if (host == null) {
      throw new WireException(
          f.messageName() + " for instance " + f.text("who") + ", never started");
    }
    return host;
  }

  private void deliver(Fields f, Delivery delivery) {
    Instance host = instance(f);
    if (host.policy != null) {
      attempt(host, delivery);
    }
  }

  private void attempt(Instance host, Delivery delivery) {
    try {
      delivery.to(host.policy, host);
    } catch (WireException e) {
      throw e;
    } catch (RuntimeException e) {
      reply.append("PANIC who=").append(host.who).append(" noteText=");
      reply.append(String.valueOf(e).replace('\n', ' ')).append('\n');
    }
  }

  private static byte[] payload(String text) {
    return text.equals("-") ? new byte[0] : Base64.getDecoder().decode(text);
  }

  /** One event on its way to one instance. */
  private interface Delivery {
    void to(CallPolicy policy, Instance host);
  }

  /** An instance; its policy is null after a shutdown. */
  private static final class Instance {
    final int who;
    final String[] columns;
    CallPolicy policy;

    Instance(int who, CallPolicy policy, String[] columns) {
      this.who = who;
      this.policy = policy;
      this.columns = columns;
    }
  }
}
