package coveladder.isup;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A message between a caller and a call controller: a type, the call's id and parameters.
 *
 * @param type one of the constants here; others are left to the receiver
 * @param callId the call's id, 16 hex digits
 * @param parameters values by code, in their order
 */
public record CallerMessage(int type, String callId, Map<Integer, byte[]> parameters) {
  /** A set-up, with a description. */
  public static final int SET_UP = 1;

  /** Progress; means nothing. */
  public static final int PROGRESS = 6;

  /** An answer, with a description: the call stands. */
  public static final int ANSWER = 9;

  /** A refusal, a give-up or a release, by its sender and the state of the call. */
  public static final int RELEASE = 12;

  /** A release was heard. */
  public static final int RELEASE_HEARD = 16;

  /** A test. */
  public static final int TEST = 52;

  /** What came of a test: cause 1 passed, 0 failed. */
  public static final int TESTED = 53;

  /** Parameter: the class. */
  public static final int CLASS = 16;

  /** Parameter: time that the caller waits, ms. */
  public static final int LEFT = 17;

  /** Parameter: marks a caller's retry. */
  public static final int RETRY = 19;

  /** Parameter: the number called. */
  public static final int NUMBER = 20;

  /** Parameter: further figures. */
  public static final int FIGURES = 21;

  /** Parameter: time that a refused caller should stay away, ms. */
  public static final int WAIT = 22;

  /** Parameter: the cause, one octet. */
  public static final int CAUSE = 30;

  /** Parameter: the description. */
  public static final int DESCRIPTION = 31;

  /** A message with a cause and nothing else. */
  public static CallerMessage withCause(int type, String call, int cause) {
    Map<Integer, byte[]> parameters = new LinkedHashMap<>();
    parameters.put(CAUSE, new byte[] {(byte) cause});
    return new CallerMessage(type, call, parameters);
  }

  /** Whether a parameter is there. */
  public boolean has(int code) {
    return parameters.containsKey(code);
  }

  /**
   * A parameter as text; empty where it is absent.
   *
   * @throws MalformedException where it is no UTF-8
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

  /** The cause; -1 where there is none of one octet. */
  public int cause() {
    byte[] value = parameters.get(CAUSE);
    return value == null || value.length != 1 ? -1 : value[0] & 0xff;
  }
}
