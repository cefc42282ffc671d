package coveladder.rehearsal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a controller was told of the exchange list, read off the NOTIFYs that it got. */
final class KnownList {
  private static final Pattern LINE = Pattern.compile("\\{\"id\":[^}]*\\}");

  private final Map<String, String> domains = new HashMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final Map<String, Boolean> open = new HashMap<>();
  private final Map<String, Double> closedAt = new HashMap<>();
  private long version = -1;

  void read(String body, double now) {
    if (!body.contains("\"exchanges\"")) {
      return;
    }
    boolean full = body.contains("\"full\":true");
    long told = Long.parseLong(body.replaceAll("(?s).*\"version\":([0-9]+).*", "$1"));
    if (!full && told <= version) {
      return;
    }
    version = told;
    Set<String> named = new HashSet<>();
    Matcher lines = LINE.matcher(body);
    while (lines.find()) {
      String line = lines.group();
      String id = field(line, "id");
      named.add(id);
      domains.put(id, field(line, "domain"));
      addresses.put(id, field(line, "address"));
      set(id, field(line, "state").equals("in-service"), now);
    }
    if (full) {
      for (String id : new HashSet<>(open.keySet())) {
        if (!named.contains(id)) {
          set(id, false, now);
        }
      }
    }
  }

  private void set(String id, boolean isOpen, double now) {
    open.put(id, isOpen);
    if (isOpen) {
      closedAt.remove(id);
    } else {
      closedAt.putIfAbsent(id, now);
    }
  }

  private static String field(String line, String name) {
    return line.replaceAll(".*\"" + name + "\":\"([^\"]*)\".*", "$1");
  }

  /** Since when no processor of that domain takes anything new; infinite while one does. */
  double domainClosed(String domain) {
    return closed(domains, domain);
  }

  /** The same by the address of its switch. */
  double addressClosed(String address) {
    return closed(addresses, address);
  }

  private double closed(Map<String, String> by, String value) {
    double last = Double.NEGATIVE_INFINITY;
    for (Map.Entry<String, String> entry : by.entrySet()) {
      if (entry.getValue().equals(value)) {
        boolean isOpen = open.getOrDefault(entry.getKey(), false);
        last = Math.max(last, isOpen ? Double.POSITIVE_INFINITY : closedAt.get(entry.getKey()));
      }
    }
    return last == Double.NEGATIVE_INFINITY ? Double.POSITIVE_INFINITY : last;
  }
}
