package coveladder.rehearsal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What the checker found: for each rule how much was looked at and what broke it. */
public final class RuleReport {
  private static final int MAX_TEXTS_PER_RULE = 20;

  private final Map<Rule, List<String>> textsByRule = new EnumMap<>(Rule.class);
  private final Map<Rule, Long> checksByRule = new EnumMap<>(Rule.class);
  private final Map<Rule, Long> breachesByRule = new EnumMap<>(Rule.class);

  /** The five rules of the brief. */
  public enum Rule {
    /** One final outcome for each call taken, in time, and nothing sent after it. */
    ONE_OUTCOME,
    /** Never two attempts outstanding. */
    ONE_ATTEMPT,
    /** Nothing new to an exchange past the grace after word of its drain. */
    DRAINS_KEPT,
    /** A cold processor is not pushed over. */
    COLD_SPARED,
    /** The release guard is awaited. */
    RELEASE_AWAITED
  }

  /** Counts one thing that a rule was applied to. */
  void countCheck(Rule rule) {
    checksByRule.merge(rule, 1L, Long::sum);
  }

  /** Writes a breach down. */
  void addBreach(Rule rule, String text) {
    breachesByRule.merge(rule, 1L, Long::sum);
    List<String> texts = textsByRule.computeIfAbsent(rule, r -> new ArrayList<>());
    if (texts.size() < MAX_TEXTS_PER_RULE) {
      texts.add(text);
    }
  }

  /** Breaches of a rule. */
  public long breachCount(Rule rule) {
    return breachesByRule.getOrDefault(rule, 0L);
  }

  /** Breaches of all rules. */
  public long breachCount() {
    return breachesByRule.values().stream().mapToLong(Long::longValue).sum();
  }

  /** How often a rule was applied. */
  public long checkCount(Rule rule) {
    return checksByRule.getOrDefault(rule, 0L);
  }

  /** The first breaches of a rule, in words. */
  public List<String> breachTexts(Rule rule) {
    return textsByRule.getOrDefault(rule, List.of());
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (Rule rule : Rule.values()) {
      String ruleName = rule.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
      out.append(
          String.format(
              "%-16s %8d looked at  %6d broken%n", ruleName, checkCount(rule), breachCount(rule)));
      breachTexts(rule).forEach(text -> out.append("    ").append(text).append('\n'));
    }
    return out.toString();
  }
}
