package coveladder.simhost;

import java.util.HashMap;
import java.util.Map;

/** The name=value pairs of one line. */
final class Fields {
  private final String message;
  private final Map<String, String> values = new HashMap<>();

  /** Reads the pairs that follow the first word of a line; words without a sign are skipped. */
  Fields(String line) {
    int end = line.indexOf(' ');
    message = end < 0 ? line : line.substring(0, end);
    while (end >= 0) {
      int start = end + 1;
      end = line.indexOf(' ', start);
      String pair = line.substring(start, end < 0 ? line.length() : end);
      int sign = pair.indexOf('=');
      if (sign > 0) {
        values.put(pair.substring(0, sign), pair.substring(sign + 1));
      }
    }
  }

  String message() {
    return message;
  }

  boolean has(String name) {
    return !values.getOrDefault(name, "").isEmpty();
  }

  String text(String name) {
    if (!has(name)) {
      throw new WireException(message + " lacks " + name);
    }
    return values.get(name);
  }

  String text(String name, String absent) {
    return has(name) ? values.get(name) : absent;
  }

  double number(String name) {
    return parse(name, text(name));
  }

  double number(String name, double absent) {
    return has(name) ? number(name) : absent;
  }

  long whole(String name) {
    String text = text(name);
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw unreadable(name, text);
    }
  }

  int small(String name) {
    long value = whole(name);
    if (value != (int) value) {
      throw unreadable(name, text(name));
    }
    return (int) value;
  }

  int small(String name, int absent) {
    return has(name) ? small(name) : absent;
  }

  /** Reads a yes or no, written 1 and 0 in messages and as words in settings. */
  boolean flag(String name) {
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
  String[] list(String name) {
    return has(name) ? values.get(name).split(",", -1) : new String[0];
  }

  /** Reads a list of numbers set apart by commas. */
  double[] numbers(String name) {
    String[] texts = list(name);
    double[] numbers = new double[texts.length];
    for (int i = 0; i < texts.length; i++) {
      numbers[i] = parse(name, texts[i]);
    }
    return numbers;
  }

  private double parse(String name, String text) {
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

  private WireException unreadable(String name, String text) {
    return new WireException(message + " has unreadable " + name + "=" + text);
  }
}
