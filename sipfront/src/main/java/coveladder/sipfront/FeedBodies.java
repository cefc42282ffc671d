package coveladder.sipfront;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coveladder.CallPolicy.ExchangeState;
import coveladder.core.ExchangeDirectory;
import java.util.ArrayList;
import java.util.List;

/** The JSON bodies of the event packages {@code exchange-list} and {@code circuit-groups}. */
final class FeedBodies {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private FeedBodies() {}

  /** A body that is not what its package says; the message tells where and what was expected. */
  static final class BadBody extends Exception {
    private static final long serialVersionUID = 1L;

    BadBody(String reason) {
      super(reason);
    }
  }

  /**
   * Circuits of one group.
   *
   * @param toward number of the exchange at the other end
   * @param free free circuits
   * @param size circuits in all
   */
  record Circuits(int toward, int free, int size) {}

  /**
   * One report of the switch.
   *
   * @param epoch names one life of the switch; versions count within it
   * @param version version of this report
   * @param groups the groups told
   */
  record CircuitNews(String epoch, long version, List<Circuits> groups) {}

  static ExchangeDirectory.Update list(String body, double now) throws BadBody {
    JsonNode root = read(body);
    List<ExchangeDirectory.Entry> entries = new ArrayList<>();
    int at = 0;
    for (JsonNode node : array(root, "exchanges")) {
      entries.add(entry(node, "exchanges[" + at + "].", now));
      at++;
    }
    boolean full = field(root, "", "full").asBoolean();
    long after = full ? 0 : whole(root, "", "after");
    return new ExchangeDirectory.Update(full, after, whole(root, "", "version"), entries);
  }

  private static ExchangeDirectory.Entry entry(JsonNode node, String path, double now)
      throws BadBody {
    double age = node.path("age").isNumber() ? node.path("age").asDouble() : -1;
    return new ExchangeDirectory.Entry(
        field(node, path, "id").asText(),
        (int) whole(node, path, "number"),
        field(node, path, "domain").asText(),
        field(node, path, "address").asText(),
        state(field(node, path, "state").asText(), path),
        age < 0 ? 0 : Math.max(1, now - age));
  }

  private static ExchangeState state(String word, String path) throws BadBody {
    return switch (word) {
      case "in-service" -> ExchangeState.IN_SERVICE;
      case "draining" -> ExchangeState.DRAINING;
      case "gone" -> ExchangeState.GONE;
      default ->
          throw new BadBody(path + "state is " + word + ", not in-service, draining or gone");
    };
  }

  static CircuitNews circuits(String body) throws BadBody {
    JsonNode root = read(body);
    List<Circuits> groups = new ArrayList<>();
    int at = 0;
    for (JsonNode node : array(root, "groups")) {
      String path = "groups[" + at + "].";
      int free = (int) whole(node, path, "free");
      int size = (int) whole(node, path, "size");
      groups.add(new Circuits((int) whole(node, path, "toward"), free, size));
      at++;
    }
    return new CircuitNews(field(root, "", "epoch").asText(), whole(root, "", "version"), groups);
  }

  private static JsonNode read(String body) throws BadBody {
    try {
      JsonNode root = MAPPER.readTree(body);
      if (root == null || !root.isObject()) {
        throw new BadBody("body is no JSON object");
      }
      return root;
    } catch (JsonProcessingException e) {
      throw new BadBody("body is no JSON: " + e.getOriginalMessage());
    }
  }

  private static JsonNode array(JsonNode root, String name) throws BadBody {
    JsonNode node = field(root, "", name);
    if (!node.isArray()) {
      throw new BadBody(name + " is no array");
    }
    return node;
  }

  private static JsonNode field(JsonNode node, String path, String name) throws BadBody {
    JsonNode found = node.get(name);
    if (found == null || found.isNull()) {
      throw new BadBody(path + name + " is missing");
    }
    return found;
  }

  private static long whole(JsonNode node, String path, String name) throws BadBody {
    JsonNode found = field(node, path, name);
    if (!found.canConvertToLong() || !found.isIntegralNumber()) {
      throw new BadBody(path + name + " is no whole number");
    }
    return found.asLong();
  }
}
