package coveladder.sip;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parameters set apart by semicolons (RFC 3261 section 7.3.1). Names are held in lower case, values
 * as written, quotes included; a flag has the empty value.
 */
public final class Params {
  private final Map<String, String> values = new LinkedHashMap<>();

  /** Reads the text after the first semicolon; null or empty text gives no parameters. */
  public static Params parse(String text) {
    Params params = new Params();
    int at = 0;
    int end = text == null ? 0 : text.length();
    while (at < end) {
      int next = Scan.find(text, ';', at);
      params.add(text.substring(at, next).trim());
      at = next + 1;
    }
    return params;
  }

  private void add(String pair) {
    int sign = pair.indexOf('=');
    String name = sign < 0 ? pair : pair.substring(0, sign).trim();
    if (!name.isEmpty()) {
      values.put(name.toLowerCase(Locale.ROOT), sign < 0 ? "" : pair.substring(sign + 1).trim());
    }
  }

  /** The value, empty for a flag; null where there is none. */
  public String get(String name) {
    return values.get(name);
  }

  /** Whether the parameter is there, with or without value. */
  public boolean has(String name) {
    return values.containsKey(name);
  }

  /** Sets a parameter; an empty value makes a flag. Returns these parameters. */
  public Params set(String name, String value) {
    values.put(name, value);
    return this;
  }

  /** Takes a parameter away. */
  public void remove(String name) {
    values.remove(name);
  }

  /** Writes the parameters, each behind a semicolon. */
  public void write(StringBuilder out) {
    for (Map.Entry<String, String> pair : values.entrySet()) {
      out.append(';').append(pair.getKey());
      if (!pair.getValue().isEmpty()) {
        out.append('=').append(pair.getValue());
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
