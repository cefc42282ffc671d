package coveladder.app;

import coveladder.kdl.KdlNode;
import coveladder.kdl.KdlValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Collects the problems of a settings file, each with its position. */
final class Problems {
  private final String file;
  private final List<String> messages = new ArrayList<>();

  Problems(String file) {
    this.file = file;
  }

  void add(KdlNode node, String description) {
    add(node.line(), node.column(), description);
  }

  void add(KdlValue value, String description) {
    add(value.line(), value.column(), description);
  }

  void add(int line, int column, String description) {
    messages.add(file + ":" + line + ":" + column + ": " + description);
  }

  /** Adds an unknown name, with the most similar known name as a hint. */
  void addUnknownName(
      int line, int column, String kind, String name, Collection<String> knownNames) {
    String nearest = nearest(name, knownNames);
    String hint =
        nearest == null
            ? "; known are " + String.join(", ", knownNames)
            : "; did you mean " + nearest + "?";
    add(line, column, "unknown " + kind + " " + name + hint);
  }

  List<String> messages() {
    return messages;
  }

  private static String nearest(String name, Collection<String> knownNames) {
    String nearest = null;
    int maxDistance = Math.max(2, name.length() / 2);
    for (String candidate : knownNames) {
      int distance = editDistance(name, candidate);
      if (distance <= maxDistance) {
        maxDistance = distance - 1;
        nearest = candidate;
      }
    }
    return nearest;
  }

  /** The Levenshtein distance between two names. */
  private static int editDistance(String one, String other) {
    int[] row = new int[other.length() + 1];
    for (int j = 0; j <= other.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= one.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= other.length(); j++) {
        int substituted = diagonal + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(substituted, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[other.length()];
  }
}
