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

/** Converts the fields of event lines to the event records of the policy. */
final class EventReader {
  private EventReader() {}

  static Exchange exchange(Fields fields) {
    return new Exchange(
        fields.text("switch"),
        fields.intValue("number"),
        ReportReader.state(fields.text("state")),
        fields.number("startTime", 0));
  }

  static DirectoryUpdate directoryUpdate(
      Fields fields, Map<Integer, List<Exchange>> directoryPages) {
    String mode = fields.text("mode");
    if (mode.equals("failed")) {
      return new DirectoryUpdate(true, false, List.of());
    }
    if (!List.of("delta", "full", "cached").contains(mode)) {
      throw new WireException("VIEW has unknown mode=" + mode);
    }
    List<Exchange> entries = directoryPages.get(fields.intValue("page"));
    if (entries == null) {
      throw new WireException("VIEW names page=" + fields.text("page") + ", never sent");
    }
    return new DirectoryUpdate(false, !mode.equals("delta"), List.copyOf(entries));
  }

  static Call call(Fields fields) {
    return new Call(
        fields.text("handle"),
        fields.intValue("type"),
        fields.number("patienceLeft"),
        fields.intValue("slotsNeeded", 1),
        fields.text("subject", ""),
        fields.intValue("terminatesAt"),
        fields.flag("midflow"),
        fields.flag("isRetry"),
        fields.flag("returned"));
  }

  static Established established(Fields fields) {
    return new Established(fields.text("handle"), fields.intValue("trial"), fields.number("spent"));
  }

  static AttemptEnded attemptEnded(Fields fields, String[] loadColumns) {
    Outcome outcome = outcome(fields.text("ending"));
    int note = fields.intValue("note", 0);
    Reason reason = ReportReader.reason(note);
    return new AttemptEnded(
        fields.text("handle"),
        fields.intValue("trial"),
        fields.text("switch"),
        outcome,
        reason,
        reason == Reason.PROCESSOR_FULL ? note / 16 : 0,
        fields.number("spent"),
        fields.flag("terminal"),
        load(fields, loadColumns));
  }

  static LoadReport loadReport(Fields fields, String[] loadColumns) {
    boolean answered = fields.text("ending").equals("done");
    return new LoadReport(
        fields.text("switch"), answered, fields.number("spent", 0), load(fields, loadColumns));
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

  private static Load load(Fields fields, String[] loadColumns) {
    return ReportReader.load(fields.numbers("report"), loadColumns);
  }
}
