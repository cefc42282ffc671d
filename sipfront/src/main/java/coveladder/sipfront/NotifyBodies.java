package coveladder.sipfront;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeDirectory;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the JSON bodies of the event packages {@code exchange-list} and {@code circuit-groups}.
 */
final class NotifyBodies {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private NotifyBodies() {}

  /**
   * A body does not conform to its event package; the message names the place and what is wrong.
   */
  static final class MalformedBodyException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedBodyException(String reason) {
      super(reason);
    }
  }

  /**
   * The state of one circuit group.
   *
   * @param remoteExchange number of the exchange at the remote end
   * @param free number of free circuits
   * @param size number of all circuits
   */
  record CircuitGroup(int remoteExchange, int free, int size) {}

  /**
   * One report of the switch.
   *
   * @param epoch identifies one run of the switch; versions count within it
   * @param version version of this report
   * @param groups the reported circuit groups
   */
  record CircuitReport(String epoch, long version, List<CircuitGroup> groups) {}

  /**
   * Parses a body of {@code exchange-list}.
   *
   * @param nowMillis the clock, ms, from which the start times of exchanges are computed
   */
  static ExchangeDirectory.Update parseDirectoryUpdate(String body, double nowMillis)
      throws MalformedBodyException {
    JsonNode root = parseObject(body);
    List<ExchangeDirectory.Entry> entries = new ArrayList<>();
    int index = 0;
    for (JsonNode node : requireArray(root, "exchanges")) {
      entries.add(parseEntry(node, "exchanges[" + index + "].", nowMillis));
      index++;
    }
    boolean full = requireField(root, "", "full").asBoolean();
    long previousVersion = full ? 0 : requireInteger(root, "", "after");
    return new ExchangeDirectory.Update(
        full, previousVersion, requireInteger(root, "", "version"), entries);
  }

  private static ExchangeDirectory.Entry parseEntry(JsonNode node, String path, double nowMillis)
      throws MalformedBodyException {
    // An exchange without an age started long ago and gets the start time 0. That of any other
    // exchange is therefore at least 1 ms.
    double ageMillis = node.path("age").isNumber() ? node.path("age").asDouble() : -1;
    return new ExchangeDirectory.Entry(
        requireField(node, path, "id").asText(),
        (int) requireInteger(node, path, "number"),
        requireField(node, path, "domain").asText(),
        requireField(node, path, "address").asText(),
        parseState(requireField(node, path, "state").asText(), path),
        ageMillis < 0 ? 0 : Math.max(1, nowMillis - ageMillis));
  }

  private static ExchangeState parseState(String word, String path) throws MalformedBodyException {
    return switch (word) {
      case "in-service" -> ExchangeState.IN_SERVICE;
      case "draining" -> ExchangeState.DRAINING;
      case "gone" -> ExchangeState.GONE;
      default ->
          throw new MalformedBodyException(
              path + "state is " + word + ", not in-service, draining or gone");
    };
  }

  /** Parses a body of {@code circuit-groups}. */
  static CircuitReport parseCircuitReport(String body) throws MalformedBodyException {
    JsonNode root = parseObject(body);
    List<CircuitGroup> groups = new ArrayList<>();
    int index = 0;
    for (JsonNode node : requireArray(root, "groups")) {
      String path = "groups[" + index + "].";
      int free = (int) requireInteger(node, path, "free");
      int size = (int) requireInteger(node, path, "size");
      groups.add(new CircuitGroup((int) requireInteger(node, path, "toward"), free, size));
      index++;
    }
    return new CircuitReport(
        requireField(root, "", "epoch").asText(), requireInteger(root, "", "version"), groups);
  }

  private static JsonNode parseObject(String body) throws MalformedBodyException {
    try {
      JsonNode root = MAPPER.readTree(body);
      if (root == null || !root.isObject()) {
        throw new MalformedBodyException("body is not a JSON object");
      }
      return root;
    } catch (JsonProcessingException e) {
      throw new MalformedBodyException("body is not JSON: " + e.getOriginalMessage());
    }
  }

  private static JsonNode requireArray(JsonNode root, String name) throws MalformedBodyException {
    JsonNode node = requireField(root, "", name);
    if (!node.isArray()) {
      throw new MalformedBodyException(name + " is not an array");
    }
    return node;
  }

  private static JsonNode requireField(JsonNode node, String path, String name)
      throws MalformedBodyException {
    JsonNode value = node.get(name);
    if (value == null || value.isNull()) {
      throw new MalformedBodyException(path + name + " is missing");
    }
    return value;
  }

  private static long requireInteger(JsonNode node, String path, String name)
      throws MalformedBodyException {
    JsonNode value = requireField(node, path, name);
    if (!value.canConvertToLong() || !value.isIntegralNumber()) {
      throw new MalformedBodyException(path + name + " is not an integer");
    }
    return value.asLong();
  }
}
