package coveladder.isupfront;

import coveladder.core.ExchangeDirectory;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Remembers which switches started again under their id while this controller runs. */
final class KnownStarts {
  /** Maximum number of switches remembered; twice as many as can be listed. */
  private static final int MAX_SWITCHES = 2_000;

  /** The first start that was listed for each switch, clock value in ms, oldest switch first. */
  private final Map<String, Double> firstStarts = new LinkedHashMap<>();

  private final Set<String> startedAgain = new HashSet<>();

  /** Records an entry of the exchange directory. */
  void record(ExchangeDirectory.Entry entry) {
    Double firstStart = firstStarts.putIfAbsent(entry.id(), entry.startedAt());
    if (firstStart != null && entry.startedAt() > firstStart) {
      startedAgain.add(entry.id());
    }
    if (firstStarts.size() > MAX_SWITCHES) {
      String oldest = firstStarts.keySet().iterator().next();
      firstStarts.remove(oldest);
      startedAgain.remove(oldest);
    }
  }

  boolean startedAgain(String exchange) {
    return startedAgain.contains(exchange);
  }
}
