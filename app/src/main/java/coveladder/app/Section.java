package coveladder.app;

import coveladder.kdl.KdlNode;
import coveladder.kdl.KdlValue;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads the argument and the properties of one settings node. Properties that were not read are
 * reported by {@link #rejectUnknownContent}.
 */
final class Section {
  private final KdlNode node;
  private final Problems problems;
  private final Set<String> knownProperties = new TreeSet<>();

  Section(KdlNode node, Problems problems) {
    this.node = node;
    this.problems = problems;
  }

  /**
   * Returns the node's only argument, a non-empty string.
   *
   * @param description what the argument is, for the error message
   */
  String argument(String description) {
    if (node.arguments().size() != 1) {
      problems.add(node, node.name() + " needs one argument, " + description);
      return "";
    }
    KdlValue value = node.arguments().get(0);
    if (value.kind() != KdlValue.Kind.STRING || value.text().isEmpty()) {
      problems.add(value, node.name() + " needs a string, " + description);
      return "";
    }
    return value.text();
  }

  /** Reports a problem if the node has arguments. */
  void rejectArguments() {
    if (!node.arguments().isEmpty()) {
      problems.add(node.arguments().get(0), node.name() + " has properties only, name=value");
    }
  }

  private KdlValue property(String name) {
    knownProperties.add(name);
    return node.properties().get(name);
  }

  /** Returns a string property, or its default; without a default (null) it is required. */
  String text(String name, String defaultValue) {
    KdlValue value = property(name);
    if (value == null) {
      if (defaultValue == null) {
        problems.add(node, node.name() + " lacks " + name + ", a string");
      }
      return defaultValue == null ? "" : defaultValue;
    }
    if (value.kind() != KdlValue.Kind.STRING) {
      problems.add(value, name + " is a string, in quotes, not " + value.text());
    }
    return value.text();
  }

  /** Returns a string property that has one of the given values. */
  String choice(String name, String defaultValue, List<String> choices) {
    String text = text(name, defaultValue);
    if (!choices.contains(text)) {
      KdlValue value = property(name);
      problems.addUnknownName(value.line(), value.column(), name, text, choices);
      return defaultValue;
    }
    return text;
  }

  /** Returns a number from min to max, or its default; without a default (NaN) it is required. */
  double number(String name, double defaultValue, double min, double max) {
    KdlValue value = property(name);
    if (value == null) {
      if (Double.isNaN(defaultValue)) {
        problems.add(node, node.name() + " lacks " + name + ", a number");
      }
      return Double.isNaN(defaultValue) ? min : defaultValue;
    }
    boolean valid = value.kind() == KdlValue.Kind.NUMBER;
    valid = valid && value.number() >= min && value.number() <= max;
    if (!valid) {
      String range = format(min) + " to " + format(max);
      problems.add(value, name + " is a number from " + range + ", not " + value.text());
      return min;
    }
    return value.number();
  }

  /** Returns an integer from min to max; defaults are as for {@link #number}. */
  int integer(String name, double defaultValue, double min, double max) {
    double number = number(name, defaultValue, min, max);
    if (number != Math.rint(number)) {
      problems.add(property(name), name + " is a whole number, not " + property(name).text());
    }
    return (int) number;
  }

  /** Returns a boolean property; false if it is missing. */
  boolean flag(String name) {
    KdlValue value = property(name);
    if (value != null && value.kind() != KdlValue.Kind.BOOLEAN) {
      problems.add(value, name + " is #true or #false, not " + value.text());
    }
    return value != null && value.booleanValue();
  }

  private static String format(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  /** Reports properties that have not been read, and children. */
  void rejectUnknownContent() {
    for (var entry : node.properties().entrySet()) {
      if (!knownProperties.contains(entry.getKey())) {
        KdlValue value = entry.getValue();
        String kind = "property of " + node.name();
        problems.addUnknownName(
            value.line(), value.column(), kind, entry.getKey(), knownProperties);
      }
    }
    if (!node.children().isEmpty()) {
      problems.add(node.children().get(0), node.name() + " has no children");
    }
  }
}
