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
 * A caller's set-up, checked.
 *
 * @param id the call's id
 * @param type number of its class
 * @param className its class
 * @param left how long the caller waits from when it sent it, ms
 * @param number the number called
 * @param description passed on as it is
 * @param destination number of the exchange called
 * @param width circuits on each group
 * @param transit whether it is in transit
 * @param again whether it stood, was cut and comes again
 * @param retry whether the caller marked it as a retry
 * @param at the switch that it stands at already; empty where it does not
 */
record SetUp(
    String id,
    int type,
    String className,
    double left,
    String number,
    String description,
    int destination,
    int width,
    boolean transit,
    boolean again,
    boolean retry,
    String at) {
  private static final int LONGEST_WORD = 64;

  /** No caller waits longer than so many times as its class gives up after. */
  private static final double LONGEST_WAIT = 4;

  /** Reads set-ups by the settings' classes. */
  static final class Reader {
    private final List<String> names;
    private final List<CallClass> kinds;
    private final IntPredicate exchange;
    private final int widest;

    /**
     * Makes a reader.
     *
     * @param exchange whether a number is of an exchange that calls can go to
     */
    Reader(List<String> names, List<CallClass> kinds, IntPredicate exchange) {
      this.names = names;
      this.kinds = kinds;
      this.exchange = exchange;
      this.widest = kinds.stream().mapToInt(CallClass::width).max().orElse(1);
    }

    /**
     * Reads a set-up.
     *
     * @throws MalformedException naming what cannot be used
     */
    SetUp read(CallerMessage message) throws MalformedException {
      MalformedException.expect(!message.callId().equals("0000000000000000"), "no id");
      String name = message.text(CallerMessage.CLASS);
      int type = names.indexOf(name);
      MalformedException.expect(type >= 0, "unknown class");
      String number = message.text(CallerMessage.NUMBER);
      MalformedException.expect(
          number.length() <= LONGEST_WORD, "a number of " + number.length() + " characters");
      Map<String, String> figures = figures(message.text(CallerMessage.FIGURES));
      CallClass kind = kinds.get(type);
      String at = figures.getOrDefault("at", "");
      SetUp setUp =
          new SetUp(
              message.callId(),
              type,
              name,
              left(message.text(CallerMessage.LEFT), kind, !at.isEmpty()),
              number,
              message.text(CallerMessage.DESCRIPTION),
              whole("dest", figures.getOrDefault("dest", "-1")),
              whole("width", figures.getOrDefault("width", Integer.toString(kind.width()))),
              flag(figures, "transit"),
              flag(figures, "again"),
              message.text(CallerMessage.RETRY).equals("1"),
              at);
      check(setUp);
      return setUp;
    }

    private void check(SetUp setUp) throws MalformedException {
      MalformedException.expect(setUp.width >= 1 && setUp.width <= widest, "width out of range");
      boolean stands = !setUp.at.isEmpty();
      MalformedException.expect(
          stands || exchange.test(setUp.destination), "dest is no exchange to call");
    }

    private static double left(String text, CallClass kind, boolean stands)
        throws MalformedException {
      if (stands && text.isEmpty()) {
        return 0;
      }
      try {
        double left = Double.parseDouble(text);
        MalformedException.expect(
            left > 0 && left <= LONGEST_WAIT * kind.callerTimeout(), "time left out of range");
        return left;
      } catch (NumberFormatException e) {
        throw new MalformedException("time left is no number");
      }
    }

    private static Map<String, String> figures(String text) throws MalformedException {
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

    private static int whole(String name, String text) throws MalformedException {
      try {
        return Integer.parseInt(text);
      } catch (NumberFormatException e) {
        throw new MalformedException(name + " is no whole number");
      }
    }
  }

  /** The call as the policy is told, with what is left of the caller's patience, ms. */
  Call call(double patience) {
    return new Call(id, type, patience, width, number, destination, transit, retry, again);
  }
}
