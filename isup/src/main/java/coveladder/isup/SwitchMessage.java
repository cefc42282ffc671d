package coveladder.isup;

import java.util.Map;

/**
 * A message between a call controller and a switch.
 *
 * @param kind the type of the message
 * @param sid the call's id, 16 hex digits
 * @param attrs further fields; numbers as the sender wrote them
 * @param code the cause, or the result of a probe; -1 if there is none
 * @param text the session description; null if there is none
 */
public record SwitchMessage(
    Kind kind, String sid, Map<String, String> attrs, int code, String text) {

  /** Types of messages. Each constant's name, in lower case, is its name on the wire. */
  public enum Kind {
    /** Set-up of a call. */
    OPEN,
    /** Progress of a set-up; carries no information. */
    TRYING,
    /** Answer: the call is established. */
    READY,
    /** Refusal, abandonment or release. */
    CLOSE,
    /** Acknowledgement of a {@link #CLOSE}. */
    CLOSED,
    /** Test of the switch. */
    PROBE,
    /** Result of a test: code 1 for passed, 0 for failed. */
    PROBED,
    /** Load report, which includes the state of a circuit group. */
    STATUS
  }

  /** Creates a message with a code, without fields and description. */
  public static SwitchMessage withCode(Kind kind, String sid, int code) {
    return new SwitchMessage(kind, sid, Map.of(), code, null);
  }
}
