package coveladder.rehearsal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The findings of the checker: for each rule the number of checks and the breaches. */
public final class RuleReport {
  private static final int MAX_TEXTS_PER_RULE = 20;

  private final Map<Rule, List<String>> textsByRule = new EnumMap<>(Rule.class);
  private final Map<Rule, Long> checksByRule = new EnumMap<>(Rule.class);
  private final Map<Rule, Long> breachesByRule = new EnumMap<>(Rule.class);

  /** The five rules that every scenario has to keep. */
  public enum Rule {
    /** Each accepted call has one final outcome, in time, and no attempt follows it. */
    ONE_OUTCOME,
    /** A call never has two outstanding attempts. */
    ONE_ATTEMPT,
    /** No set-up is sent to an exchange after the grace time of its drain. */
    DRAINS_KEPT,
    /** A cold processor does not receive more set-ups than it withstands. */
    COLD_SPARED,
    /** After an uncertain end of an attempt, the next one waits for the guard time. */
    RELEASE_AWAITED
  }

  /** Counts one check of a rule. */
  void countCheck(Rule rule) {
    checksByRule.merge(rule, 1L, Long::sum);
  }

  /** Records a breach of a rule. */
  void addBreach(Rule rule, String text) {
    breachesByRule.merge(rule, 1L, Long::sum);
    List<String> texts = textsByRule.computeIfAbsent(rule, r -> new ArrayList<>());
    if (texts.size() < MAX_TEXTS_PER_RULE) {
      texts.add(text);
    }
  }

  /** Number of breaches of a rule. */
  public long breachCount(Rule rule) {
    return breachesByRule.getOrDefault(rule, 0L);
  }

  /** Number of breaches of all rules. */
  public long breachCount() {
    return breachesByRule.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Number of checks of a rule. */
  public long checkCount(Rule rule) {
    return checksByRule.getOrDefault(rule, 0L);
  }

  /** Descriptions of the first breaches of a rule. */
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
