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
  private final Set<String> asked = new TreeSet<>();

  Section(KdlNode node, Problems problems) {
    this.node = node;
    this.problems = problems;
  }

  /** The one argument, a string. */
  String argument(String what) {
    if (node.arguments().size() != 1) {
      problems.at(node, node.name() + " needs one argument, " + what);
      return "";
    }
    KdlValue value = node.arguments().get(0);
    if (value.kind() != KdlValue.Kind.STRING || value.text().isEmpty()) {
      problems.at(value, node.name() + " needs a string, " + what);
      return "";
    }
    return value.text();
  }

  /** Complains of arguments where there are none to be. */
  void noArguments() {
    if (!node.arguments().isEmpty()) {
      problems.at(node.arguments().get(0), node.name() + " has properties only, name=value");
    }
  }

  private KdlValue value(String name) {
    asked.add(name);
    return node.properties().get(name);
  }

  /** A string, or another where it is missing; null for that other makes it needed. */
  String text(String name, String absent) {
    KdlValue value = value(name);
    if (value == null) {
      if (absent == null) {
        problems.at(node, node.name() + " lacks " + name + ", a string");
      }
      return absent == null ? "" : absent;
    }
    if (value.kind() != KdlValue.Kind.STRING) {
      problems.at(value, name + " is a string, in quotes, not " + value.text());
    }
    return value.text();
  }

  /** One of some words. */
  String word(String name, String absent, List<String> words) {
    String text = text(name, absent);
    if (!words.contains(text)) {
      KdlValue value = value(name);
      problems.unknown(value.line(), value.column(), name, text, words);
      return absent;
    }
    return text;
  }

  /** A number between bounds, or another where it is missing; NaN makes it needed. */
  double number(String name, double absent, double least, double most) {
    KdlValue value = value(name);
    if (value == null) {
      if (Double.isNaN(absent)) {
        problems.at(node, node.name() + " lacks " + name + ", a number");
      }
      return Double.isNaN(absent) ? least : absent;
    }
    boolean fits = value.kind() == KdlValue.Kind.NUMBER;
    fits = fits && value.number() >= least && value.number() <= most;
    if (!fits) {
      String range = plain(least) + " to " + plain(most);
      problems.at(value, name + " is a number from " + range + ", not " + value.text());
      return least;
    }
    return value.number();
  }

  /** A whole number between bounds. */
  int whole(String name, double absent, double least, double most) {
    double number = number(name, absent, least, most);
    if (number != Math.rint(number)) {
      problems.at(value(name), name + " is a whole number, not " + value(name).text());
    }
    return (int) number;
  }

  /** A flag, not set where it is missing. */
  boolean flag(String name) {
    KdlValue value = value(name);
    if (value != null && value.kind() != KdlValue.Kind.BOOLEAN) {
      problems.at(value, name + " is #true or #false, not " + value.text());
    }
    return value != null && value.booleanValue();
  }

  private static String plain(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  /** Complains of properties that were never asked for, and of children. */
  void done() {
    for (var entry : node.properties().entrySet()) {
      if (!asked.contains(entry.getKey())) {
        KdlValue value = entry.getValue();
        String kind = "property of " + node.name();
        problems.unknown(value.line(), value.column(), kind, entry.getKey(), asked);
      }
    }
    if (!node.children().isEmpty()) {
      problems.at(node.children().get(0), node.name() + " has no children");
    }
  }
}
