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

/** A network of a few stacks in virtual time; a message takes 5 ms, and a filter may lose it. */
final class FakeNet {
  final List<Sent> sent = new ArrayList<>();
  final Map<String, Endpoint> boxes = new HashMap<>();
  Predicate<Sent> loses = s -> false;
  double now;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private final SplittableRandom random;
  private long order;

  FakeNet(long seed) {
    random = new SplittableRandom(seed);
  }

  record Sent(String from, Hop to, String text, double at) {}

  private record Due(double at, long order, Runnable[] task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  Endpoint endpoint(String name) {
    return boxes.computeIfAbsent(name, Endpoint::new);
  }

  SipHost.Timer at(double delay, Runnable task) {
    Runnable[] held = {task};
    queue.add(new Due(now + delay, order++, held));
    return () -> held[0] = null;
  }

  void run(double lasts) {
    double end = now + lasts;
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      Due due = queue.poll();
      now = due.at();
      if (due.task()[0] != null) {
        due.task()[0].run();
      }
    }
    now = end;
  }

  /** Messages that one box sent and whose text begins so. */
  List<Sent> from(String box, String begins) {
    return sent.stream().filter(s -> s.from().equals(box) && s.text().startsWith(begins)).toList();
  }

  /** One element with its stack. */
  final class Endpoint implements SipHost, UserAgent.Owner {
    final String name;
    final SipStack stack;
    final List<SipRequest> requests = new ArrayList<>();
    final List<CallLeg> calls = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    CallListener listener = new Notes();

    Endpoint(String name) {
      this.name = name;
      this.stack = new SipStack(this, Timing.STANDARD, new SipStack.Limits(64, 100), this);
    }

    /** Writes each event down. */
    class Notes implements CallListener {
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

    CallLeg call(String other, Transport by) {
      SipRequest invite = new SipRequest("INVITE", "sip:x@" + other);
      invite.add("From", "<sip:me@" + name + ">");
      invite.add("To", "<sip:x@" + other + ">");
      return stack.userAgent().call(invite, new Hop(by, other, 5060), listener);
    }

    @Override
    public double now() {
      return now;
    }

    @Override
    public Timer schedule(double delay, Runnable task) {
      return at(delay, task);
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void send(Hop to, byte[] message) {
      if (boxes.get(name) != this) {
        return; // It was replaced: its machine is no more.
      }
      Sent made = new Sent(name, to, new String(message, StandardCharsets.ISO_8859_1), now);
      sent.add(made);
      Endpoint other = boxes.get(to.host());
      if (other != null && !loses.test(made)) {
        Hop source = new Hop(to.transport(), name, 5060);
        at(5, () -> other.stack.receive(source, message));
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
