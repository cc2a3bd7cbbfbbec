package bitternpulley.simulator;

import bitternpulley.config.ConfigurationException;
import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Delivers batches of messages to the routing policies, one per instance, and replies with their
 * actions.
 */
public final class SimulatorAdapter {
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Integer, Router> routers = new HashMap<>();
  private final Map<Long, List<Router.Endpoint>> endpointPages = new HashMap<>();

  /** Creates an adapter without instances. */
  public SimulatorAdapter() {}

  /**
   * Answers one batch.
   *
   * @param line the batch, a JSON object
   * @return the reply, a JSON object in one line
   * @throws BatchException if the batch cannot be used
   */
  public String reply(String line) {
    try {
      JsonNode batch = mapper.readTree(line);
      if (batch == null || !batch.isObject()) {
        throw new BatchException("not a JSON object");
      }
      return reply(batch);
    } catch (ConfigurationException exception) {
      throw new BatchException(exception.getMessage(), exception);
    } catch (JsonProcessingException exception) {
      throw new BatchException("not JSON: " + exception.getOriginalMessage(), exception);
    } catch (IOException exception) {
      throw new BatchException(exception.getMessage(), exception);
    }
  }

  private String reply(JsonNode batch) throws IOException {
    double now = MessageReader.currentTime(batch);
    StringWriter text = new StringWriter();
    JsonGenerator generator = mapper.createGenerator(text);
    ActionWriter actions = new ActionWriter(generator);
    actions.beginReply();
    deliverBatch(MessageReader.messages(batch), now, actions);
    actions.endReply();
    generator.close();
    return text.toString();
  }

  private void deliverBatch(JsonNode messages, double now, ActionWriter actions) {
    Set<Integer> addressedInstances = new LinkedHashSet<>();
    for (JsonNode message : messages) {
      MessageReader.MessageType type = MessageReader.type(message);
      if (type == MessageReader.MessageType.ENDPOINT_PAGE) {
        storePage(message);
        continue;
      }
      int instance = MessageReader.instance(message);
      addressedInstances.add(instance);
      runReportingFailure(
          instance,
          actions,
          () -> deliverToInstance(type, message, instance, now, actions.forInstance(instance)));
    }
    for (int instance : addressedInstances) {
      completeBatch(instance, now, actions);
    }
  }

  private void storePage(JsonNode page) {
    endpointPages.put(MessageReader.pageNumber(page), MessageReader.endpoints(page));
  }

  private void completeBatch(int instance, double now, ActionWriter actions) {
    Router router = routers.get(instance);
    if (router != null) {
      runReportingFailure(
          instance, actions, () -> router.completeBatch(now, actions.forInstance(instance)));
    }
  }

  /**
   * Runs a step and reports an exception of the routing policy to the simulator, which counts the
   * failure against this instance alone. Unreadable input is the sender's fault: its exception is
   * rethrown and ends the run.
   */
  private static void runReportingFailure(int instance, ActionWriter actions, Runnable step) {
    try {
      step.run();
    } catch (BatchException | ConfigurationException exception) {
      throw exception;
    } catch (RuntimeException exception) {
      StackTraceElement[] stackTrace = exception.getStackTrace();
      String position = stackTrace.length > 0 ? " at " + stackTrace[0] : "";
      actions.forInstance(instance).reportFailure(exception + position);
    }
  }

  private void deliverToInstance(
      MessageReader.MessageType type,
      JsonNode message,
      int instance,
      double now,
      Router.Actions actions) {
    if (type == MessageReader.MessageType.INSTANCE_STARTED) {
      routers.put(
          instance,
          new RoutingPolicy(
              MessageReader.settings(message), MessageReader.seed(message), now, actions));
      return;
    }
    if (type == MessageReader.MessageType.INSTANCE_STOPPED) {
      routers.remove(instance);
      return;
    }
    Router router = routers.get(instance);
    if (router != null) {
      deliverToRouter(type, message, router, now, actions);
    }
  }

  private void deliverToRouter(
      MessageReader.MessageType type,
      JsonNode message,
      Router router,
      double now,
      Router.Actions actions) {
    switch (type) {
      case ENDPOINTS_CHANGED -> deliverEndpoints(router, message, now, actions);
      case QUERY_OR_PART_RECEIVED -> deliverWorkItem(router, message, now, actions);
      case ATTEMPT_ENDED ->
          router.onAttemptEnded(MessageReader.attemptEnded(message), now, actions);
      case CLIENT_DISCONNECTED ->
          router.onClientDisconnected(MessageReader.reference(message), now, actions);
      case ALARM_DUE -> router.onAlarm(MessageReader.alarmToken(message), now, actions);
      case IGNORED -> {}
      case ENDPOINT_PAGE, INSTANCE_STARTED, INSTANCE_STOPPED ->
          throw new IllegalStateException(type + " is not for a running instance");
    }
  }

  private void deliverEndpoints(
      Router router, JsonNode message, double now, Router.Actions actions) {
    Router.EndpointListKind kind = MessageReader.listKind(message);
    router.onServersChanged(
        kind,
        kind == Router.EndpointListKind.FAILED ? List.of() : referencedPage(message),
        now,
        actions);
  }

  private List<Router.Endpoint> referencedPage(JsonNode message) {
    List<Router.Endpoint> endpoints = endpointPages.get(MessageReader.pageNumber(message));
    if (endpoints == null) {
      throw new BatchException("field 'buffer' names no list");
    }
    return endpoints;
  }

  private static void deliverWorkItem(
      Router router, JsonNode workItem, double now, Router.Actions actions) {
    if (MessageReader.isQuery(workItem)) {
      router.onQuery(MessageReader.query(workItem), now, actions);
    } else {
      router.onPart(MessageReader.part(workItem), now, actions);
    }
  }
}
