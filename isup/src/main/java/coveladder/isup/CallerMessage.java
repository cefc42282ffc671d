package coveladder.isup;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A message between a caller and a call controller: a type, the call's id and parameters.
 *
 * @param type one of the constants here; unknown types are left to the receiver
 * @param callId the call's id, 16 hex digits
 * @param parameters values by code, in the order in which they were sent
 */
public record CallerMessage(int type, String callId, Map<Integer, byte[]> parameters) {
  /** Set-up of a call, with a description. */
  public static final int SET_UP = 1;

  /** Progress of a set-up; carries no information. */
  public static final int PROGRESS = 6;

  /** Answer, with a description: the call is established. */
  public static final int ANSWER = 9;

  /** Refusal, abandonment or release, depending on its sender and the state of the call. */
  public static final int RELEASE = 12;

  /** Acknowledgement of a {@link #RELEASE}. */
  public static final int RELEASE_HEARD = 16;

  /** Test of the controller by the caller. */
  public static final int TEST = 52;

  /** Result of a test: cause 1 for passed, 0 for failed. */
  public static final int TESTED = 53;

  /** Parameter: the call class. */
  public static final int CLASS = 16;

  /** Parameter: time that the caller waits from when it sent the set-up, ms. */
  public static final int LEFT = 17;

  /** Parameter: marks the retry of an earlier set-up. */
  public static final int RETRY = 19;

  /** Parameter: the called number. */
  public static final int NUMBER = 20;

  /** Parameter: further figures, {@code name:value} pairs. */
  public static final int FIGURES = 21;

  /** Parameter: time for which a refused caller should not call again, ms. */
  public static final int WAIT = 22;

  /** Parameter: the cause, one octet. */
  public static final int CAUSE = 30;

  /** Parameter: the session description. */
  public static final int DESCRIPTION = 31;

  /** Creates a message whose only parameter is a cause. */
  public static CallerMessage withCause(int type, String callId, int cause) {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(CAUSE, new byte[] {(byte) cause});
    return new CallerMessage(type, callId, parameters);
  }

  /** Whether a parameter is present. */
  public boolean has(int code) {
    return parameters.containsKey(code);
  }

  /**
   * Returns a parameter as text; empty if it is absent.
   *
   * @throws MalformedException if it is not valid UTF-8
   */
  public String text(int code) throws MalformedException {
    byte[] value = parameters.get(code);
    if (value == null) {
      return "";
    }
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value)).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedException("parameter " + code + " is no UTF-8");
    }
  }

  /** Returns the cause; -1 if it is absent or not of one octet. */
  public int cause() {
    byte[] value = parameters.get(CAUSE);
    return value == null || value.length != 1 ? -1 : value[0] & 0xff;
  }
}
