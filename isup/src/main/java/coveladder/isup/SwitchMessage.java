package coveladder.isup;

import java.util.Map;

/**
 * A message between a call controller and a switch.
 *
 * @param kind what it is
 * @param sid the call's id, 16 hex digits
 * @param attrs fields; numbers are kept as they were written
 * @param code the cause; -1 where there is none
 * @param text the description; null where there is none
 */
public record SwitchMessage(
    Kind kind, String sid, Map<String, String> attrs, int code, String text) {

  /** Kinds of messages, by their words. */
  public enum Kind {
    /** A set-up. */
    OPEN,
    /** Progress; means nothing. */
    TRYING,
    /** An answer: the call stands. */
    READY,
    /** A refusal, a give-up or a release. */
    CLOSE,
    /** A release was heard. */
    CLOSED,
    /** A test. */
    PROBE,
    /** What came of a test: cause 1 passed, 0 failed. */
    PROBED,
    /** The state of a group. */
    STATUS
  }

  /** A message with a cause and nothing else. */
  public static SwitchMessage withCode(Kind kind, String sid, int code) {
    return new SwitchMessage(kind, sid, Map.of(), code, null);
  }
}
