package coveladder.rehearsal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The exchange directory as a controller knows it, read from the NOTIFY requests that it received.
 */
final class ReportedDirectory {
  private static final Pattern ENTRY = Pattern.compile("\\{\"id\":[^}]*\\}");

  private final Map<String, String> domains = new HashMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final Map<String, Boolean> inService = new HashMap<>();
  private final Map<String, Double> closedAt = new HashMap<>();
  private long version = -1;

  /** Applies the body of a NOTIFY; one of another event package is ignored. */
  void update(String body, double now) {
    if (!body.contains("\"exchanges\"")) {
      return;
    }
    boolean full = body.contains("\"full\":true");
    long reportedVersion = Long.parseLong(body.replaceAll("(?s).*\"version\":([0-9]+).*", "$1"));
    if (!full && reportedVersion <= version) {
      return;
    }
    version = reportedVersion;
    Set<String> listed = new HashSet<>();
    Matcher entries = ENTRY.matcher(body);
    while (entries.find()) {
      String entry = entries.group();
      String id = field(entry, "id");
      listed.add(id);
      domains.put(id, field(entry, "domain"));
      addresses.put(id, field(entry, "address"));
      setInService(id, field(entry, "state").equals("in-service"), now);
    }
    if (full) {
      for (String id : new HashSet<>(inService.keySet())) {
        if (!listed.contains(id)) {
          setInService(id, false, now);
        }
      }
    }
  }

  private void setInService(String id, boolean isInService, double now) {
    inService.put(id, isInService);
    if (isInService) {
      closedAt.remove(id);
    } else {
      closedAt.putIfAbsent(id, now);
    }
  }

  private static String field(String entry, String name) {
    return entry.replaceAll(".*\"" + name + "\":\"([^\"]*)\".*", "$1");
  }

  /**
   * Clock time since which no processor of a domain accepts new calls, ms; infinite while one does
   * or if none is known.
   */
  double domainClosedSince(String domain) {
    return closedSince(domains, domain);
  }

  /** The same for the processors behind the switch with an address. */
  double addressClosedSince(String address) {
    return closedSince(addresses, address);
  }

  private double closedSince(Map<String, String> attributeById, String value) {
    double latest = Double.NEGATIVE_INFINITY;
    for (Map.Entry<String, String> entry : attributeById.entrySet()) {
      if (entry.getValue().equals(value)) {
        boolean isInService = inService.getOrDefault(entry.getKey(), false);
        latest =
            Math.max(latest, isInService ? Double.POSITIVE_INFINITY : closedAt.get(entry.getKey()));
      }
    }
    return latest == Double.NEGATIVE_INFINITY ? Double.POSITIVE_INFINITY : latest;
  }
}
