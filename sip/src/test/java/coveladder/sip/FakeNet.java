package coveladder.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** A network of a few stacks in virtual time; a message takes 5 ms, and a filter may drop it. */
final class FakeNet {
  final List<Sent> sent = new ArrayList<>();
  final Map<String, Endpoint> endpoints = new HashMap<>();
  Predicate<Sent> dropIf = s -> false;
  double now;
  private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
  private final SplittableRandom random;
  private long taskCount;

  FakeNet(long seed) {
    random = new SplittableRandom(seed);
  }

  record Sent(String from, Hop to, String text, double sentMillis) {}

  private record ScheduledTask(double dueMillis, long order, Runnable[] task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(dueMillis, other.dueMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  Endpoint endpoint(String name) {
    return endpoints.computeIfAbsent(name, Endpoint::new);
  }

  SipHost.Timer enqueue(double delayMillis, Runnable task) {
    Runnable[] cancellableTask = {task};
    queue.add(new ScheduledTask(now + delayMillis, taskCount++, cancellableTask));
    return () -> cancellableTask[0] = null;
  }

  void run(double durationMillis) {
    double endMillis = now + durationMillis;
    while (!queue.isEmpty() && queue.peek().dueMillis() <= endMillis) {
      ScheduledTask due = queue.poll();
      now = due.dueMillis();
      if (due.task()[0] != null) {
        due.task()[0].run();
      }
    }
    now = endMillis;
  }

  /** Messages sent by one endpoint whose text starts with the prefix. */
  List<Sent> sentBy(String endpoint, String prefix) {
    return sent.stream()
        .filter(s -> s.from().equals(endpoint) && s.text().startsWith(prefix))
        .toList();
  }

  /** A SIP element with its stack. */
  final class Endpoint implements SipHost, UserAgent.Owner {
    final String name;
    final SipStack stack;
    final List<SipRequest> requests = new ArrayList<>();
    final List<CallLeg> calls = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    CallListener listener = new EventRecorder();

    Endpoint(String name) {
      this.name = name;
      this.stack = new SipStack(this, Timing.STANDARD, new SipStack.Limits(64, 100), this);
    }

    /** Records each event as text. */
    class EventRecorder implements CallListener {
      @Override
      public void progress(CallLeg leg, SipResponse response) {
        events.add("progress " + response.status());
      }

      @Override
      public void answered(CallLeg leg, SipResponse response) {
        events.add("answered");
        leg.ack(null);
      }

      @Override
      public void rejected(CallLeg leg, SipResponse response) {
        events.add("rejected " + response.status());
      }

      @Override
      public void failed(CallLeg leg, Failure failure) {
        events.add("failed " + failure);
      }

      @Override
      public void answeredLate(CallLeg leg, SipResponse response) {
        events.add("late");
      }

      @Override
      public void cancelled(CallLeg leg) {
        events.add("cancelled");
      }

      @Override
      public void acknowledged(CallLeg leg, SipRequest ack) {
        events.add("acknowledged");
      }

      @Override
      public void ended(CallLeg leg, SipRequest bye) {
        events.add("ended");
      }
    }

    CallLeg call(String other, Transport transport) {
      SipRequest invite = new SipRequest("INVITE", "sip:x@" + other);
      invite.add("From", "<sip:me@" + name + ">");
      invite.add("To", "<sip:x@" + other + ">");
      return stack.userAgent().call(invite, new Hop(transport, other, 5060), listener);
    }

    @Override
    public double now() {
      return now;
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      return enqueue(delay, task);
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void send(Hop to, byte[] message) {
      if (endpoints.get(name) != this) {
        return; // A restart replaced this endpoint, so it no longer sends.
      }
      Sent sentMessage = new Sent(name, to, new String(message, StandardCharsets.ISO_8859_1), now);
      sent.add(sentMessage);
      Endpoint other = endpoints.get(to.host());
      if (other != null && !dropIf.test(sentMessage)) {
        Hop source = new Hop(to.transport(), name, 5060);
        enqueue(5, () -> other.stack.receive(source, message));
      }
    }

    @Override
    public Hop localHop(Transport transport) {
      return new Hop(transport, name, 5060);
    }

    @Override
    public CallListener incoming(CallLeg leg) {
      requests.add(leg.invite());
      calls.add(leg);
      return listener;
    }

    @Override
    public void callAccepted(CallLeg leg) {}

    @Override
    public void request(ServerTransaction transaction, SipRequest request) {
      requests.add(request);
    }
  }
}
