package coveladder.sipfront;

import coveladder.sip.SipRequest;
import java.util.List;
import java.util.Locale;

/**
 * Determines the class of a call: first by Resource-Priority (RFC 4412), then by the longest
 * matching prefix of the called number, otherwise the default class, so that a plain telephone can
 * call as well.
 *
 * @param names name of each class, by class number
 * @param priorities Resource-Priority value of each class, such as {@code cove.2}; empty: none
 * @param prefixes prefixes of called numbers and their classes
 * @param defaultClass number of the default class
 */
public record ClassTable(
    List<String> names, List<String> priorities, List<Prefix> prefixes, int defaultClass) {

  /**
   * A prefix of called numbers.
   *
   * @param digits the leading digits
   * @param classNumber number of the class
   */
  public record Prefix(String digits, int classNumber) {}

  /** Checks the default class and copies the lists. */
  public ClassTable {
    names = List.copyOf(names);
    priorities = List.copyOf(priorities);
    prefixes = List.copyOf(prefixes);
    if (defaultClass < 0 || defaultClass >= names.size()) {
      throw new IllegalArgumentException("default class " + defaultClass + " of " + names.size());
    }
  }

  /** The class number of a call to this number. */
  public int classOf(SipRequest invite, String number) {
    for (String value : invite.headers("Resource-Priority")) {
      int classNumber = priorities.indexOf(value.trim().toLowerCase(Locale.ROOT));
      if (classNumber >= 0) {
        return classNumber;
      }
    }
    int classNumber = defaultClass;
    int longestMatch = -1;
    for (Prefix prefix : prefixes) {
      if (number.startsWith(prefix.digits()) && prefix.digits().length() > longestMatch) {
        classNumber = prefix.classNumber();
        longestMatch = prefix.digits().length();
      }
    }
    return classNumber;
  }
}
