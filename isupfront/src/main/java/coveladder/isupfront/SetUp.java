package coveladder.isupfront;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.CallClass;
import coveladder.isup.CallerMessage;
import coveladder.isup.MalformedException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * A validated set-up of a caller.
 *
 * @param id the call's id
 * @param classNumber number of its call class, from 0
 * @param className name of its call class
 * @param timeLeftMillis time that the caller waits from when it sent the set-up, ms
 * @param calledNumber the called number
 * @param description session description, passed on unchanged
 * @param destination number of the destination exchange
 * @param width circuits seized on each circuit group
 * @param transit whether another controller forwarded the call here
 * @param returned whether the call was established before, was disconnected and is made again
 * @param retry whether the caller marked the call as a retry
 * @param establishedAt id of the switch at which the call is established already; empty if it is
 *     not
 */
record SetUp(
    String id,
    int classNumber,
    String className,
    double timeLeftMillis,
    String calledNumber,
    String description,
    int destination,
    int width,
    boolean transit,
    boolean returned,
    boolean retry,
    String establishedAt) {
  /** Maximum length of a called number, characters. */
  private static final int MAX_NUMBER_LENGTH = 64;

  /** Maximum length of all figures together, characters; the known ones take under 200. */
  private static final int MAX_FIGURES_LENGTH = 1_024;

  /** Maximum length of the id of a switch, characters. */
  private static final int MAX_SWITCH_ID_LENGTH = 64;

  /** Memory of a set-up without the characters of its description, octets. */
  private static final int BASE_MEMORY_OCTETS = 512;

  /** Memory of a character, octets: two if one of the text is beyond Latin-1. */
  private static final int OCTETS_PER_CHARACTER = 2;

  /** Maximum time left, as a multiple of the caller time-out of the call class. */
  private static final double MAX_TIME_LEFT_FACTOR = 4;

  /** Reads and validates set-ups. */
  static final class Reader {
    private final List<String> classNames;
    private final List<CallClass> classes;
    private final IntPredicate callableExchange;
    private final int maxWidth;

    /**
     * Creates a reader.
     *
     * @param classNames names of the call classes
     * @param classes the call classes, in the same order
     * @param callableExchange whether a number is that of an exchange to which calls can be made
     */
    Reader(List<String> classNames, List<CallClass> classes, IntPredicate callableExchange) {
      this.classNames = classNames;
      this.classes = classes;
      this.callableExchange = callableExchange;
      this.maxWidth = classes.stream().mapToInt(CallClass::width).max().orElse(1);
    }

    /**
     * Reads a set-up.
     *
     * @throws MalformedException naming the field that cannot be used
     */
    SetUp read(CallerMessage message) throws MalformedException {
      MalformedException.expect(!message.callId().equals("0000000000000000"), "no id");
      String name = message.text(CallerMessage.CLASS);
      int classNumber = classNames.indexOf(name);
      MalformedException.expect(classNumber >= 0, "unknown class");
      String calledNumber = message.text(CallerMessage.NUMBER);
      MalformedException.expect(
          calledNumber.length() <= MAX_NUMBER_LENGTH, "a number of too many characters");
      Map<String, String> figures = parseFigures(message.text(CallerMessage.FIGURES));
      CallClass callClass = classes.get(classNumber);
      String establishedAt = figures.getOrDefault("at", "");
      SetUp setUp =
          new SetUp(
              message.callId(),
              classNumber,
              classNames.get(classNumber),
              parseTimeLeft(message.text(CallerMessage.LEFT), callClass, !establishedAt.isEmpty()),
              calledNumber,
              description(message, establishedAt),
              parseInteger("dest", figures.getOrDefault("dest", "-1")),
              parseInteger(
                  "width", figures.getOrDefault("width", Integer.toString(callClass.width()))),
              flag(figures, "transit"),
              flag(figures, "again"),
              message.text(CallerMessage.RETRY).equals("1"),
              establishedAt);
      check(setUp);
      return setUp;
    }

    /** Returns the description; that of an established call is checked, but needed no more. */
    private static String description(CallerMessage message, String establishedAt)
        throws MalformedException {
      String description = message.text(CallerMessage.DESCRIPTION);
      return establishedAt.isEmpty() ? description : "";
    }

    private void check(SetUp setUp) throws MalformedException {
      MalformedException.expect(
          setUp.establishedAt.length() <= MAX_SWITCH_ID_LENGTH,
          "an id of a switch of too many characters");
      MalformedException.expect(setUp.width >= 1 && setUp.width <= maxWidth, "width out of range");
      boolean established = !setUp.establishedAt.isEmpty();
      MalformedException.expect(
          established || callableExchange.test(setUp.destination), "dest is no exchange to call");
    }

    private static double parseTimeLeft(String text, CallClass callClass, boolean established)
        throws MalformedException {
      if (established && text.isEmpty()) {
        return 0;
      }
      try {
        double timeLeftMillis = Double.parseDouble(text);
        MalformedException.expect(
            timeLeftMillis > 0
                && timeLeftMillis <= MAX_TIME_LEFT_FACTOR * callClass.callerTimeout(),
            "time left out of range");
        return timeLeftMillis;
      } catch (NumberFormatException e) {
        throw new MalformedException("time left is no number");
      }
    }

    private static Map<String, String> parseFigures(String text) throws MalformedException {
      MalformedException.expect(
          text.length() <= MAX_FIGURES_LENGTH, "figures of too many characters");
      Map<String, String> figures = new HashMap<>();
      for (String figure : text.isEmpty() ? new String[0] : text.split(";")) {
        int colon = figure.indexOf(':');
        MalformedException.expect(colon > 0, "a figure without a value");
        MalformedException.expect(
            figures.put(figure.substring(0, colon), figure.substring(colon + 1)) == null,
            "a figure stands twice");
      }
      return figures;
    }

    private static boolean flag(Map<String, String> figures, String name) {
      return figures.getOrDefault(name, "0").equals("1");
    }

    private static int parseInteger(String name, String text) throws MalformedException {
      try {
        return Integer.parseInt(text);
      } catch (NumberFormatException e) {
        throw new MalformedException(name + " is no whole number");
      }
    }
  }

  /** Returns an upper bound of the memory that the set-up takes, octets. */
  int memoryOctets() {
    return BASE_MEMORY_OCTETS + OCTETS_PER_CHARACTER * description.length();
  }

  /**
   * Returns the call as reported to the policy.
   *
   * @param patienceMillis time until the caller abandons, ms
   */
  Call toCall(double patienceMillis) {
    return new Call(
        id,
        classNumber,
        patienceMillis,
        width,
        calledNumber,
        destination,
        transit,
        retry,
        returned);
  }
}
