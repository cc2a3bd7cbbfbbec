package bitternpulley.simulator;

import static bitternpulley.config.Fields.flag;
import static bitternpulley.config.Fields.integer;
import static bitternpulley.config.Fields.number;
import static bitternpulley.config.Fields.required;
import static bitternpulley.config.Fields.text;

import bitternpulley.config.SettingsReader;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the simulator's messages. All names of the incoming protocol are in this class. The methods
 * throw {@link bitternpulley.config.ConfigurationException} for a field that is missing or of the
 * wrong type.
 */
final class MessageReader {
  private MessageReader() {}

  /** The type of a message. */
  enum MessageType {
    /**
     * A numbered page of servers to which later {@link #ENDPOINTS_CHANGED} messages refer. It is
     * not addressed to an instance.
     */
    ENDPOINT_PAGE,
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    ENDPOINTS_CHANGED,
    QUERY_OR_PART_RECEIVED,
    ATTEMPT_ENDED,
    CLIENT_DISCONNECTED,
    ALARM_DUE,
    /** Messages about streams, between instances, or of later versions of the protocol. */
    IGNORED
  }

  /** The current time of a batch, in ms. */
  static double currentTime(JsonNode batch) {
    return number(batch, "clock");
  }

  /** The messages of a batch, in order. */
  static JsonNode messages(JsonNode batch) {
    return required(batch, "msgs");
  }

  static MessageType type(JsonNode message) {
    return switch (text(message, "verb")) {
      case "page" -> MessageType.ENDPOINT_PAGE;
      case "launch" -> MessageType.INSTANCE_STARTED;
      case "teardown" -> MessageType.INSTANCE_STOPPED;
      case "fleet" -> MessageType.ENDPOINTS_CHANGED;
      case "workItem" -> MessageType.QUERY_OR_PART_RECEIVED;
      case "settled" -> MessageType.ATTEMPT_ENDED;
      case "hangup" -> MessageType.CLIENT_DISCONNECTED;
      case "timer" -> MessageType.ALARM_DUE;
      default -> MessageType.IGNORED;
    };
  }

  /** The instance that a message is for. */
  static int instance(JsonNode message) {
    return (int) integer(message, "who");
  }

  /** The settings of a started instance. */
  static Settings settings(JsonNode message) {
    return SettingsReader.read(required(message, "profileData"));
  }

  /** The seed of the random numbers of a started instance. */
  static long seed(JsonNode message) {
    return integer(message, "entropy");
  }

  /** The number of an endpoint page, or of the page to which a change of endpoints refers. */
  static long pageNumber(JsonNode message) {
    return integer(message, "buffer");
  }

  /** The servers on a page. */
  static List<Router.Endpoint> endpoints(JsonNode page) {
    List<Router.Endpoint> endpoints = new ArrayList<>();
    for (JsonNode entry : required(page, "entries")) {
      endpoints.add(endpoint(entry));
    }
    return List.copyOf(endpoints);
  }

  private static Router.Endpoint endpoint(JsonNode entry) {
    return new Router.Endpoint(
        text(entry, "server"),
        (int) number(entry, "regionPart", 0),
        (int) number(entry, "setNo", 0),
        serverState(entry),
        number(entry, "startedAt", 0));
  }

  private static Router.ServerState serverState(JsonNode entry) {
    return switch (entry.path("availability").asText("live")) {
      case "quiescing" -> Router.ServerState.DRAINING;
      case "dead" -> Router.ServerState.GONE;
      default -> Router.ServerState.LIVE;
    };
  }

  /** How a change of endpoints is to be applied. */
  static Router.EndpointListKind listKind(JsonNode message) {
    return switch (text(message, "kind")) {
      case "Partial" -> Router.EndpointListKind.CHANGES;
      case "Complete" -> Router.EndpointListKind.COMPLETE;
      case "Persisted" -> Router.EndpointListKind.PERSISTED;
      default -> Router.EndpointListKind.FAILED;
    };
  }

  /** Whether a work item is a query; otherwise it is a part of a query. */
  static boolean isQuery(JsonNode workItem) {
    return shard(workItem) < 0;
  }

  static Router.Query query(JsonNode workItem) {
    double partCount = partCountOrWeight(workItem);
    double estimatedWork = estimatedWork(workItem);
    return new Router.Query(
        reference(workItem),
        queryGroup(workItem),
        (int) number(workItem, "lane", 0),
        (int) partCount,
        estimatedWork,
        flag(workItem, "isRetry"),
        number(workItem, "expiresIn"),
        (int) number(workItem, "org", 0));
  }

  static Router.Part part(JsonNode workItem) {
    double weight = partCountOrWeight(workItem);
    double estimatedWork = estimatedWork(workItem);
    return new Router.Part(
        reference(workItem), queryGroup(workItem), shard(workItem), weight, estimatedWork);
  }

  /** The number of a query, part or attempted part. */
  static long reference(JsonNode message) {
    return integer(message, "ref");
  }

  private static long queryGroup(JsonNode workItem) {
    return integer(workItem, "groupNo");
  }

  private static int shard(JsonNode workItem) {
    return (int) integer(workItem, "shard");
  }

  /** The number of parts of a query, or the weight of a part in the complete answer. */
  private static double partCountOrWeight(JsonNode workItem) {
    return number(workItem, "shareOrCount", 0);
  }

  private static double estimatedWork(JsonNode workItem) {
    return number(workItem, "expected", 0);
  }

  static Router.AttemptEnded attemptEnded(JsonNode message) {
    return new Router.AttemptEnded(
        reference(message),
        (int) number(message, "roundNo", 0),
        text(message, "server"),
        outcome(message),
        number(message, "elapsed", 0));
  }

  private static Router.Outcome outcome(JsonNode message) {
    return switch (text(message, "disposition")) {
      case "completed" -> Router.Outcome.OK;
      case "saturated" -> Router.Outcome.REJECTED;
      case "overdue" -> Router.Outcome.TIMEOUT;
      case "refused_conn" -> Router.Outcome.UNREACHABLE;
      case "severed" -> Router.Outcome.RESET;
      case "recalled" -> Router.Outcome.CANCELLED;
      case "superseded" -> Router.Outcome.NOT_SENT;
      default -> Router.Outcome.ERROR;
    };
  }

  /** The token with which a due alarm was scheduled. */
  static String alarmToken(JsonNode message) {
    return text(message, "token");
  }
}
