package coveladder.wire;

import java.util.HashMap;
import java.util.Map;

/** The named values of a message, or the settings named by their paths. */
public final class Fields {
  private final String messageName;
  private final Map<String, String> values;

  /**
   * Wraps values that were already parsed.
   *
   * @param messageName name of the message in error messages
   * @param values values by name
   */
  public Fields(String messageName, Map<String, String> values) {
    this.messageName = messageName;
    this.values = values;
  }

  /**
   * Parses a line: the name of the message, followed by pairs {@code name=value}. Words without an
   * equals sign are ignored.
   */
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

  /** Returns the name of the message. */
  public String messageName() {
    return messageName;
  }

  /** Returns whether a value is present and not empty. */
  public boolean has(String name) {
    return !values.getOrDefault(name, "").isEmpty();
  }

  /** Returns a required value. */
  public String text(String name) {
    if (!has(name)) {
      throw new WireException(messageName + " lacks " + name);
    }
    return values.get(name);
  }

  /** Returns a value, or the default if it is absent. */
  public String text(String name, String defaultValue) {
    return has(name) ? values.get(name) : defaultValue;
  }

  /** Returns a required finite number. */
  public double number(String name) {
    return parseNumber(name, text(name));
  }

  /** Returns a finite number, or the default if it is absent. */
  public double number(String name, double defaultValue) {
    return has(name) ? number(name) : defaultValue;
  }

  /** Returns a number from min to max, or the default if it is absent. */
  public double numberWithin(String name, double defaultValue, double min, double max) {
    double value = number(name, defaultValue);
    if (value >= min && value <= max) {
      return value;
    }
    throw outOfRange(name, value, min, max);
  }

  /** Returns a 32-bit integer from min to max, or the default if it is absent. */
  public int intWithin(String name, int defaultValue, int min, int max) {
    int value = intValue(name, defaultValue);
    if (value >= min && value <= max) {
      return value;
    }
    throw outOfRange(name, value, min, max);
  }

  /** Returns a required 64-bit integer. */
  public long longValue(String name) {
    String text = text(name);
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw unreadable(name, text);
    }
  }

  /** Returns a required 32-bit integer. */
  public int intValue(String name) {
    long value = longValue(name);
    if (value != (int) value) {
      throw unreadable(name, text(name));
    }
    return (int) value;
  }

  /** Returns a 32-bit integer, or the default if it is absent. */
  public int intValue(String name, int defaultValue) {
    return has(name) ? intValue(name) : defaultValue;
  }

  /** Returns a flag, false if absent. Messages write it as 1 or 0, settings as true or false. */
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

  /** Returns a list of values separated by commas; empty if absent. */
  public String[] list(String name) {
    return has(name) ? values.get(name).split(",", -1) : new String[0];
  }

  /** Returns a list of finite numbers separated by commas; empty if absent. */
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
