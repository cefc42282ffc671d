package coveladder.app;

import coveladder.kdl.KdlNode;
import coveladder.kdl.KdlValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Everything that is wrong with a settings file, each with its place. */
final class Problems {
  private final String file;
  private final List<String> texts = new ArrayList<>();

  Problems(String file) {
    this.file = file;
  }

  void at(KdlNode node, String what) {
    at(node.line(), node.column(), what);
  }

  void at(KdlValue value, String what) {
    at(value.line(), value.column(), what);
  }

  void at(int line, int column, String what) {
    texts.add(file + ":" + line + ":" + column + ": " + what);
  }

  /** Something unknown, with the nearest known name. */
  void unknown(int line, int column, String kind, String name, Collection<String> known) {
    String nearest = nearest(name, known);
    String hint =
        nearest == null
            ? "; known are " + String.join(", ", known)
            : "; did you mean " + nearest + "?";
    at(line, column, "unknown " + kind + " " + name + hint);
  }

  List<String> texts() {
    return texts;
  }

  private static String nearest(String name, Collection<String> known) {
    String best = null;
    int least = Math.max(2, name.length() / 2);
    for (String candidate : known) {
      int distance = distance(name, candidate);
      if (distance <= least) {
        least = distance - 1;
        best = candidate;
      }
    }
    return best;
  }

  /** Letters to add, drop or change, by Levenshtein. */
  private static int distance(String one, String other) {
    int[] row = new int[other.length() + 1];
    for (int j = 0; j <= other.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= one.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= other.length(); j++) {
        int changed = diagonal + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[other.length()];
  }
}
