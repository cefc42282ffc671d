package coveladder.app;

import coveladder.kdl.KdlNode;
import coveladder.kdl.KdlValue;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One node of the settings, read by the names that it may have. */
final class Section {
  private final KdlNode node;
  private final Problems problems;
  private final Set<String> knownProperties = new TreeSet<>();

  Section(KdlNode node, Problems problems) {
    this.node = node;
    this.problems = problems;
  }

  /** The one argument, a string. */
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

  /** Complains of arguments where there are none to be. */
  void rejectArguments() {
    if (!node.arguments().isEmpty()) {
      problems.add(node.arguments().get(0), node.name() + " has properties only, name=value");
    }
  }

  private KdlValue property(String name) {
    knownProperties.add(name);
    return node.properties().get(name);
  }

  /** A string, or another where it is missing; null for that other makes it needed. */
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

  /** One of some words. */
  String choice(String name, String defaultValue, List<String> choices) {
    String text = text(name, defaultValue);
    if (!choices.contains(text)) {
      KdlValue value = property(name);
      problems.addUnknownName(value.line(), value.column(), name, text, choices);
      return defaultValue;
    }
    return text;
  }

  /** A number between bounds, or another where it is missing; NaN makes it needed. */
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

  /** A whole number between bounds. */
  int integer(String name, double defaultValue, double min, double max) {
    double number = number(name, defaultValue, min, max);
    if (number != Math.rint(number)) {
      problems.add(property(name), name + " is a whole number, not " + property(name).text());
    }
    return (int) number;
  }

  /** A flag, not set where it is missing. */
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

  /** Complains of properties that were never asked for, and of children. */
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
