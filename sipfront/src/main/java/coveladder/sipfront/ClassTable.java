package coveladder.sipfront;

import coveladder.sip.SipRequest;
import java.util.List;
import java.util.Locale;

/**
 * Which class a call is of: by Resource-Priority (RFC 4412) first, by the longest fitting prefix of
 * the number called next; a default class makes any plain telephone work.
 *
 * @param names name of each class, in the order of their numbers
 * @param priorities resource value of each class, such as {@code cove.2}; empty: none
 * @param prefixes prefixes of numbers with the number of their class
 * @param defaultClass number of the default class
 */
public record ClassTable(
    List<String> names, List<String> priorities, List<Prefix> prefixes, int defaultClass) {

  /**
   * One prefix.
   *
   * @param digits what the number begins with
   * @param type number of the class
   */
  public record Prefix(String digits, int type) {}

  /** Checks and copies. */
  public ClassTable {
    names = List.copyOf(names);
    priorities = List.copyOf(priorities);
    prefixes = List.copyOf(prefixes);
    if (defaultClass < 0 || defaultClass >= names.size()) {
      throw new IllegalArgumentException("default class " + defaultClass + " of " + names.size());
    }
  }

  /** Number of the class of a call to this number. */
  public int classOf(SipRequest invite, String number) {
    for (String value : invite.headers("Resource-Priority")) {
      int type = priorities.indexOf(value.trim().toLowerCase(Locale.ROOT));
      if (type >= 0) {
        return type;
      }
    }
    int type = defaultClass;
    int longestMatch = -1;
    for (Prefix prefix : prefixes) {
      if (number.startsWith(prefix.digits()) && prefix.digits().length() > longestMatch) {
        type = prefix.type();
        longestMatch = prefix.digits().length();
      }
    }
    return type;
  }
}
