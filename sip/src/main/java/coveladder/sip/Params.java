package coveladder.sip;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Parameters set apart by semicolons (RFC 3261 section 7.3.1). Names are held in lower case, values
 * as written, quotes included; a flag has the empty value.
 */
public final class Params {
  private static final int USUAL = 4;

  private List<String> pairs = List.of();

  /** Reads the text after the first semicolon; null or empty text gives no parameters. */
  public static Params parse(String text) {
    Params params = new Params();
    int at = 0;
    int end = text == null ? 0 : text.length();
    while (at < end) {
      int next = Scan.find(text, ';', at);
      params.read(text.substring(at, next).trim());
      at = next + 1;
    }
    return params;
  }

  private void read(String pair) {
    int sign = pair.indexOf('=');
    String name = sign < 0 ? pair : pair.substring(0, sign).trim();
    if (!name.isEmpty()) {
      set(name.toLowerCase(Locale.ROOT), sign < 0 ? "" : pair.substring(sign + 1).trim());
    }
  }

  private int find(String name) {
    for (int i = 0; i < pairs.size(); i += 2) {
      if (pairs.get(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The value, empty for a flag; null where there is none. */
  public String get(String name) {
    int at = find(name);
    return at < 0 ? null : pairs.get(at + 1);
  }

  /** Whether the parameter is there, with or without value. */
  public boolean has(String name) {
    return find(name) >= 0;
  }

  /** Sets a parameter; an empty value makes a flag. Returns these parameters. */
  public Params set(String name, String value) {
    int at = find(name);
    if (at >= 0) {
      pairs.set(at + 1, value);
      return this;
    }
    if (pairs.isEmpty()) {
      pairs = new ArrayList<>(2 * USUAL);
    }
    pairs.add(name);
    pairs.add(value);
    return this;
  }

  /** Writes the parameters, each behind a semicolon. */
  public void write(StringBuilder out) {
    for (int i = 0; i < pairs.size(); i += 2) {
      out.append(';').append(pairs.get(i));
      if (!pairs.get(i + 1).isEmpty()) {
        out.append('=').append(pairs.get(i + 1));
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
