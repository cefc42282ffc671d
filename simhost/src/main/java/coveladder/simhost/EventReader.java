package coveladder.simhost;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.Ended;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ListNews;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.CallPolicy.Report;
import coveladder.CallPolicy.Stands;
import coveladder.CallPolicy.State;
import java.util.List;
import java.util.Map;

/** Turns the lines of events into the records of the policy. */
final class EventReader {
  private EventReader() {}

  static Exchange exchange(Fields f) {
    return new Exchange(
        f.text("switch"), f.small("number"), state(f.text("state")), f.number("startTime", 0));
  }

  private static State state(String word) {
    return switch (word) {
      case "in_service" -> State.IN_SERVICE;
      case "terminating" -> State.DRAINING;
      case "terminated" -> State.GONE;
      default -> throw new WireException("unknown state=" + word);
    };
  }

  static ListNews news(Fields f, Map<Integer, List<Exchange>> manifests) {
    String mode = f.text("mode");
    if (mode.equals("failed")) {
      return new ListNews(true, false, List.of());
    }
    if (!List.of("delta", "full", "cached").contains(mode)) {
      throw new WireException("VIEW has unknown mode=" + mode);
    }
    List<Exchange> entries = manifests.get(f.small("page"));
    if (entries == null) {
      throw new WireException("VIEW names page=" + f.text("page") + ", never sent");
    }
    return new ListNews(false, !mode.equals("delta"), List.copyOf(entries));
  }

  static Call call(Fields f) {
    return new Call(
        f.text("handle"),
        f.small("type"),
        f.number("patienceLeft"),
        f.small("slotsNeeded", 1),
        f.text("subject", ""),
        f.small("terminatesAt"),
        f.flag("midflow"),
        f.flag("isRetry"),
        f.flag("returned"));
  }

  static Stands stands(Fields f) {
    return new Stands(f.text("handle"), f.small("trial"), f.number("spent"));
  }

  static Ended ended(Fields f, String[] columns) {
    Outcome outcome = outcome(f.text("ending"));
    int note = f.small("note", 0);
    Reason reason = reason(note);
    return new Ended(
        f.text("handle"),
        f.small("trial"),
        f.text("switch"),
        outcome,
        reason,
        reason == Reason.PROCESSOR_FULL ? note / 16 : 0,
        f.number("spent"),
        f.flag("terminal"),
        load(f, columns));
  }

  static Report report(Fields f, String[] columns) {
    boolean good = f.text("ending").equals("done");
    return new Report(f.text("switch"), good, f.number("spent", 0), load(f, columns));
  }

  private static Outcome outcome(String word) {
    return switch (word) {
      case "done" -> Outcome.DONE;
      case "err" -> Outcome.ERROR;
      case "busy" -> Outcome.BUSY;
      case "etimedout" -> Outcome.TIMED_OUT;
      case "econnrefused" -> Outcome.REFUSED;
      case "econnreset" -> Outcome.RESET;
      case "ecanceled" -> Outcome.CANCELLED;
      case "skipped" -> Outcome.SKIPPED;
      default -> throw new WireException("unknown ending=" + word);
    };
  }

  private static Reason reason(int note) {
    return switch (note % 16) {
      case 1 -> Reason.NO_CIRCUIT;
      case 2 -> note < 16 ? Reason.TURNED_BACK : Reason.FULL_BEYOND;
      case 3 -> Reason.PROCESSOR_FULL;
      case 4 -> Reason.NUMBER_BUSY;
      default -> Reason.NONE;
    };
  }

  private static Load load(Fields f, String[] columns) {
    double[] values = f.numbers("report");
    if (values.length == 0) {
      return Load.NOTHING;
    }
    return new Load(
        value("free", values, columns),
        value("size", values, columns),
        value("busy_reqs", values, columns),
        value("pending", values, columns),
        value("cpu_share", values, columns),
        value("svc_ms", values, columns),
        value("can_take", values, columns),
        value("hold_back", values, columns));
  }

  private static double value(String name, double[] values, String[] columns) {
    for (int i = 0; i < columns.length && i < values.length; i++) {
      if (columns[i].equals(name)) {
        return values[i] < 0 ? Double.NaN : values[i];
      }
    }
    return Double.NaN;
  }
}
