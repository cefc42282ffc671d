package coveladder.wire;

import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Reason;
import java.util.function.ToDoubleFunction;

/**
 * Converts the platform's load figures, reasons and exchange states to those of the policy. The
 * simulator host and the protocol front end share this conversion.
 */
public final class ReportReader {
  private ReportReader() {}

  /**
   * Converts load figures that are listed by position.
   *
   * @param values the figures; a negative one was not reported
   * @param columns names of the figures, in the order of the values
   */
  public static Load load(double[] values, String[] columns) {
    if (values.length == 0) {
      return Load.UNKNOWN;
    }
    return load(name -> valueInColumn(name, values, columns));
  }

  /**
   * Converts load figures that are looked up by name.
   *
   * @param figureByName returns the figure of a name; NaN or negative: not reported
   */
  public static Load load(ToDoubleFunction<String> figureByName) {
    return new Load(
        reportedFigure(figureByName, "free"),
        reportedFigure(figureByName, "size"),
        reportedFigure(figureByName, "busy_reqs"),
        reportedFigure(figureByName, "pending"),
        reportedFigure(figureByName, "cpu_share"),
        reportedFigure(figureByName, "svc_ms"),
        reportedFigure(figureByName, "can_take"),
        reportedFigure(figureByName, "hold_back"));
  }

  private static double reportedFigure(ToDoubleFunction<String> figureByName, String name) {
    double value = figureByName.applyAsDouble(name);
    return value < 0 ? Double.NaN : value;
  }

  private static double valueInColumn(String name, double[] values, String[] columns) {
    for (int i = 0; i < columns.length && i < values.length; i++) {
      if (columns[i].equals(name)) {
        return values[i];
      }
    }
    return Double.NaN;
  }

  /**
   * Converts the number of a note to the reason why an attempt was not set up.
   *
   * @param note {@code note % 16} is the reason. With a full processor, {@code note / 16} is the
   *     waiting time that it requests, ms. With a crankback, a note of 16 or above says that a
   *     processor beyond the tandem is full.
   */
  public static Reason reason(int note) {
    return switch (note % 16) {
      case 1 -> Reason.NO_CIRCUIT;
      case 2 -> note < 16 ? Reason.TURNED_BACK : Reason.FULL_BEYOND;
      case 3 -> Reason.PROCESSOR_FULL;
      case 4 -> Reason.NUMBER_BUSY;
      default -> Reason.NONE;
    };
  }

  /**
   * Converts the word of a note to the reason why an attempt was not set up; an unknown word gives
   * {@link Reason#NONE}.
   */
  public static Reason reason(String note) {
    return switch (note) {
      case "all_trunks_busy" -> Reason.NO_CIRCUIT;
      case "via_said_no" -> Reason.TURNED_BACK;
      case "far_cpu_full" -> Reason.FULL_BEYOND;
      case "cpu_full" -> Reason.PROCESSOR_FULL;
      case "number_busy" -> Reason.NUMBER_BUSY;
      default -> Reason.NONE;
    };
  }

  /** Converts the state of an exchange in the exchange directory. */
  public static ExchangeState state(String word) {
    return switch (word) {
      case "in_service" -> ExchangeState.IN_SERVICE;
      case "terminating" -> ExchangeState.DRAINING;
      case "terminated" -> ExchangeState.GONE;
      default -> throw new WireException("unknown state=" + word);
    };
  }
}
