package coveladder.sip;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Parameters separated by semicolons (RFC 3261 section 7.3.1). Names are stored in lower case,
 * values as written, including quotes; a parameter without a value has an empty one.
 */
public final class Params {
  private static final int EXPECTED_PARAMS = 4;

  /** Names at even indexes, each followed by its value. */
  private List<String> namesAndValues = List.of();

  /**
   * Parses parameters.
   *
   * @param text the text after the first semicolon; null or empty for no parameters
   */
  public static Params parse(String text) {
    Params params = new Params();
    int pairStart = 0;
    int length = text == null ? 0 : text.length();
    while (pairStart < length) {
      int pairEnd = HeaderScanner.indexOfUnquoted(text, ';', pairStart);
      params.parsePair(text.substring(pairStart, pairEnd).trim());
      pairStart = pairEnd + 1;
    }
    return params;
  }

  private void parsePair(String pair) {
    int equalsSign = pair.indexOf('=');
    String name = equalsSign < 0 ? pair : pair.substring(0, equalsSign).trim();
    if (!name.isEmpty()) {
      set(
          name.toLowerCase(Locale.ROOT),
          equalsSign < 0 ? "" : pair.substring(equalsSign + 1).trim());
    }
  }

  private int indexOf(String name) {
    for (int i = 0; i < namesAndValues.size(); i += 2) {
      if (namesAndValues.get(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The value of a parameter, empty if it has none; null if there is no such parameter. */
  public String get(String name) {
    int index = indexOf(name);
    return index < 0 ? null : namesAndValues.get(index + 1);
  }

  /** Whether the parameter is present, with or without a value. */
  public boolean has(String name) {
    return indexOf(name) >= 0;
  }

  /** Sets a parameter; an empty value writes only its name. Returns this object. */
  public Params set(String name, String value) {
    int index = indexOf(name);
    if (index >= 0) {
      namesAndValues.set(index + 1, value);
      return this;
    }
    if (namesAndValues.isEmpty()) {
      namesAndValues = new ArrayList<>(2 * EXPECTED_PARAMS);
    }
    namesAndValues.add(name);
    namesAndValues.add(value);
    return this;
  }

  /** Writes the parameters, each preceded by a semicolon. */
  public void write(StringBuilder out) {
    for (int i = 0; i < namesAndValues.size(); i += 2) {
      out.append(';').append(namesAndValues.get(i));
      if (!namesAndValues.get(i + 1).isEmpty()) {
        out.append('=').append(namesAndValues.get(i + 1));
      }
    }
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    write(out);
    return out.toString();
  }
}
