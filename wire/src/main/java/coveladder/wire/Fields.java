package coveladder.wire;

import java.util.HashMap;
import java.util.Map;

/** Named values of one message, or of the settings by their paths. */
public final class Fields {
  private final String messageName;
  private final Map<String, String> values;

  /** Takes values that were read already; the message's name stands in errors. */
  public Fields(String messageName, Map<String, String> values) {
    this.messageName = messageName;
    this.values = values;
  }

  /** Reads the pairs that follow the first word of a line; words without a sign are skipped. */
  public static Fields parseLine(String line) {
    int end = line.indexOf(' ');
    String messageName = end < 0 ? line : line.substring(0, end);
    Map<String, String> values = new HashMap<>();
    while (end >= 0) {
      int start = end + 1;
      end = line.indexOf(' ', start);
      String pair = line.substring(start, end < 0 ? line.length() : end);
      int equalsIndex = pair.indexOf('=');
      if (equalsIndex > 0) {
        values.put(pair.substring(0, equalsIndex), pair.substring(equalsIndex + 1));
      }
    }
    return new Fields(messageName, values);
  }

  /** The name of the message. */
  public String messageName() {
    return messageName;
  }

  /** Whether a value is there and not empty. */
  public boolean has(String name) {
    return !values.getOrDefault(name, "").isEmpty();
  }

  /** A value that must be there. */
  public String text(String name) {
    if (!has(name)) {
      throw new WireException(messageName + " lacks " + name);
    }
    return values.get(name);
  }

  /** A value, or what stands for it where it is absent. */
  public String text(String name, String defaultValue) {
    return has(name) ? values.get(name) : defaultValue;
  }

  /** A finite number that must be there. */
  public double number(String name) {
    return parseNumber(name, text(name));
  }

  /** A finite number, or what stands for it where it is absent. */
  public double number(String name, double defaultValue) {
    return has(name) ? number(name) : defaultValue;
  }

  /** A number within bounds, or what stands for it where it is absent. */
  public double numberWithin(String name, double defaultValue, double min, double max) {
    double value = number(name, defaultValue);
    if (value >= min && value <= max) {
      return value;
    }
    throw outOfRange(name, value, min, max);
  }

  /** A whole number within bounds, or what stands for it where it is absent. */
  public int intWithin(String name, int defaultValue, int min, int max) {
    int value = intValue(name, defaultValue);
    if (value >= min && value <= max) {
      return value;
    }
    throw outOfRange(name, value, min, max);
  }

  /** A whole number that must be there. */
  public long longValue(String name) {
    String text = text(name);
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw unreadable(name, text);
    }
  }

  /** A whole number of 32 bits that must be there. */
  public int intValue(String name) {
    long value = longValue(name);
    if (value != (int) value) {
      throw unreadable(name, text(name));
    }
    return (int) value;
  }

  /** A whole number of 32 bits, or what stands for it where it is absent. */
  public int intValue(String name, int defaultValue) {
    return has(name) ? intValue(name) : defaultValue;
  }

  /** Reads a yes or no, written 1 and 0 in messages and as words in settings. */
  public boolean flag(String name) {
    String text = text(name, "0");
    if (text.equals("1") || text.equals("true")) {
      return true;
    }
    if (text.equals("0") || text.equals("false")) {
      return false;
    }
    throw unreadable(name, text);
  }

  /** Reads a list of plain values set apart by commas. */
  public String[] list(String name) {
    return has(name) ? values.get(name).split(",", -1) : new String[0];
  }

  /** Reads a list of numbers set apart by commas. */
  public double[] numbers(String name) {
    String[] texts = list(name);
    double[] numbers = new double[texts.length];
    for (int i = 0; i < texts.length; i++) {
      numbers[i] = parseNumber(name, texts[i]);
    }
    return numbers;
  }

  private double parseNumber(String name, String text) {
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw unreadable(name, text);
    }
    throw unreadable(name, text);
  }

  private WireException outOfRange(String name, Number value, Number min, Number max) {
    return new WireException(
        messageName + " has " + name + "=" + value + ", expected " + min + " to " + max);
  }

  private WireException unreadable(String name, String text) {
    return new WireException(messageName + " has unreadable " + name + "=" + text);
  }
}
