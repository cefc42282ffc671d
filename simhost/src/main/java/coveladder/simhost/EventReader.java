package coveladder.simhost;

import coveladder.CallPolicy.AttemptEnded;
import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.DirectoryUpdate;
import coveladder.CallPolicy.Established;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.LoadReport;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.wire.Fields;
import coveladder.wire.ReportReader;
import coveladder.wire.WireException;
import java.util.List;
import java.util.Map;

/** Turns the lines of events into the records of the policy. */
final class EventReader {
  private EventReader() {}

  static Exchange exchange(Fields f) {
    return new Exchange(
        f.text("switch"),
        f.intValue("number"),
        ReportReader.state(f.text("state")),
        f.number("startTime", 0));
  }

  static DirectoryUpdate news(Fields f, Map<Integer, List<Exchange>> manifests) {
    String mode = f.text("mode");
    if (mode.equals("failed")) {
      return new DirectoryUpdate(true, false, List.of());
    }
    if (!List.of("delta", "full", "cached").contains(mode)) {
      throw new WireException("VIEW has unknown mode=" + mode);
    }
    List<Exchange> entries = manifests.get(f.intValue("page"));
    if (entries == null) {
      throw new WireException("VIEW names page=" + f.text("page") + ", never sent");
    }
    return new DirectoryUpdate(false, !mode.equals("delta"), List.copyOf(entries));
  }

  static Call call(Fields f) {
    return new Call(
        f.text("handle"),
        f.intValue("type"),
        f.number("patienceLeft"),
        f.intValue("slotsNeeded", 1),
        f.text("subject", ""),
        f.intValue("terminatesAt"),
        f.flag("midflow"),
        f.flag("isRetry"),
        f.flag("returned"));
  }

  static Established stands(Fields f) {
    return new Established(f.text("handle"), f.intValue("trial"), f.number("spent"));
  }

  static AttemptEnded ended(Fields f, String[] columns) {
    Outcome outcome = outcome(f.text("ending"));
    int note = f.intValue("note", 0);
    Reason reason = ReportReader.reason(note);
    return new AttemptEnded(
        f.text("handle"),
        f.intValue("trial"),
        f.text("switch"),
        outcome,
        reason,
        reason == Reason.PROCESSOR_FULL ? note / 16 : 0,
        f.number("spent"),
        f.flag("terminal"),
        load(f, columns));
  }

  static LoadReport report(Fields f, String[] columns) {
    boolean good = f.text("ending").equals("done");
    return new LoadReport(f.text("switch"), good, f.number("spent", 0), load(f, columns));
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

  private static Load load(Fields f, String[] columns) {
    return ReportReader.load(f.numbers("report"), columns);
  }
}
