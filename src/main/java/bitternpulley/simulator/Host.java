package bitternpulley.simulator;

import static bitternpulley.config.Fields.flag;
import static bitternpulley.config.Fields.integer;
import static bitternpulley.config.Fields.need;
import static bitternpulley.config.Fields.number;
import static bitternpulley.config.Fields.text;

import bitternpulley.config.ConfigurationException;
import bitternpulley.config.SettingsReader;
import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Translates batches into events for the instances, and their actions into replies. One policy per
 * instance.
 */
public final class Host {
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Integer, Router> routers = new HashMap<>();
  private final Map<Long, List<Router.Endpoint>> lists = new HashMap<>();

  /** Answers one line of the wire. */
  public String reply(String line) {
    try {
      JsonNode batch = mapper.readTree(line);
      if (batch == null || !batch.isObject()) {
        throw new WireException("not a JSON object");
      }
      double now = number(batch, "clock");
      StringWriter text = new StringWriter();
      JsonGenerator out = mapper.createGenerator(text);
      out.writeStartObject();
      out.writeArrayFieldStart("actions");
      deliver(need(batch, "msgs"), now, new WireActions(out));
      out.writeEndArray();
      out.writeEndObject();
      out.close();
      return text.toString();
    } catch (ConfigurationException e) {
      throw new WireException(e.getMessage());
    } catch (JsonProcessingException e) {
      throw new WireException("not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new WireException(e.getMessage());
    }
  }

  private void deliver(JsonNode events, double now, WireActions out) {
    Set<Integer> touched = new LinkedHashSet<>();
    for (JsonNode e : events) {
      String verb = text(e, "verb");
      if (verb.equals("page")) {
        lists.put(integer(e, "buffer"), members(need(e, "entries")));
        continue;
      }
      int who = (int) integer(e, "who");
      touched.add(who);
      guarded(who, out, () -> event(verb, e, who, now, out.of(who)));
    }
    for (int who : touched) {
      Router router = routers.get(who);
      if (router != null) {
        guarded(who, out, () -> router.completeBatch(now, out.of(who)));
      }
    }
  }

  /**
   * A policy that throws has failed, and says so; text that cannot be read is the sender's fault
   * and ends the run.
   */
  private static void guarded(int who, WireActions out, Runnable step) {
    try {
      step.run();
    } catch (WireException | ConfigurationException e) {
      throw e;
    } catch (RuntimeException e) {
      StackTraceElement[] at = e.getStackTrace();
      out.of(who).panic(e + (at.length > 0 ? " at " + at[0] : ""));
    }
  }

  private void event(String verb, JsonNode e, int who, double now, WireActions out) {
    if (verb.equals("launch")) {
      routers.put(
          who,
          new RoutingPolicy(
              SettingsReader.read(need(e, "profileData")), integer(e, "entropy"), now, out));
      return;
    }
    if (verb.equals("teardown")) {
      routers.remove(who);
      return;
    }
    Router router = routers.get(who);
    if (router == null) {
      return;
    }
    switch (verb) {
      case "fleet" -> fleet(router, e, now, out);
      case "workItem" -> workItem(router, e, now, out);
      case "settled" ->
          router.onAttemptEnded(
              new Router.AttemptEnded(
                  integer(e, "ref"),
                  (int) number(e, "roundNo", 0),
                  text(e, "server"),
                  outcome(text(e, "disposition")),
                  number(e, "elapsed", 0)),
              now,
              out);
      case "hangup" -> router.onClientDisconnected(integer(e, "ref"), now, out);
      case "timer" -> router.onAlarm(text(e, "token"), now, out);
      default -> {} // streams, peer messages and what later wires add: tolerated
    }
  }

  private void fleet(Router router, JsonNode e, double now, WireActions out) {
    Router.ListKind kind =
        switch (text(e, "kind")) {
          case "Partial" -> Router.ListKind.CHANGES;
          case "Complete" -> Router.ListKind.COMPLETE;
          case "Persisted" -> Router.ListKind.REMEMBERED;
          default -> Router.ListKind.FAILED;
        };
    List<Router.Endpoint> entries =
        kind == Router.ListKind.FAILED ? List.of() : lists.get(integer(e, "buffer"));
    if (entries == null) {
      throw new WireException("field 'buffer' names no list");
    }
    router.onServersChanged(kind, entries, now, out);
  }

  private static void workItem(Router router, JsonNode e, double now, WireActions out) {
    int shard = (int) integer(e, "shard");
    double amount = number(e, "shareOrCount", 0);
    double work = number(e, "expected", 0);
    if (shard < 0) {
      router.onQuery(
          new Router.Query(
              integer(e, "ref"),
              integer(e, "groupNo"),
              (int) number(e, "lane", 0),
              (int) amount,
              work,
              flag(e, "isRetry"),
              number(e, "expiresIn"),
              (int) number(e, "org", 0)),
          now,
          out);
    } else {
      router.onPart(
          new Router.Part(integer(e, "ref"), integer(e, "groupNo"), shard, amount, work), now, out);
    }
  }

  private static List<Router.Endpoint> members(JsonNode entries) {
    List<Router.Endpoint> read = new ArrayList<>();
    for (JsonNode m : entries) {
      Router.ServerState state =
          switch (m.path("availability").asText("live")) {
            case "quiescing" -> Router.ServerState.DRAINING;
            case "dead" -> Router.ServerState.GONE;
            default -> Router.ServerState.LIVE;
          };
      read.add(
          new Router.Endpoint(
              text(m, "server"),
              (int) number(m, "regionPart", 0),
              (int) number(m, "setNo", 0),
              state,
              number(m, "startedAt", 0)));
    }
    return List.copyOf(read);
  }

  private static Router.Outcome outcome(String word) {
    return switch (word) {
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
}
