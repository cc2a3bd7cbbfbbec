package bitternpulley.opensearch;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Event;
import bitternpulley.broker.Request;
import bitternpulley.config.SearchConfiguration;
import bitternpulley.config.StrictJson;
import bitternpulley.contracts.QueryFingerprint;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The OpenSearch-style client side: {@code _search} and {@code _msearch}, on the same core as the
 * platform's.
 */
public final class SearchFront implements HttpServer.Handler {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<String> PARAMETERS =
      Set.of(
          "from",
          "size",
          "timeout",
          "allow_partial_search_results",
          "track_total_hits",
          "preference",
          "request_cache",
          "max_concurrent_shard_requests",
          "batched_reduce_size");
  private static final Set<String> M_PARAMETERS =
      Set.of("max_concurrent_searches", "max_concurrent_shard_requests");
  private static final Set<String> M_HEADER =
      Set.of("index", "preference", "allow_partial_search_results");

  private final Settings settings;
  private final SearchConfiguration config;
  private final Broker broker;
  private final SearchServers servers;
  private final Clock clock;
  private final String instance;
  private final Supplier<TenantIdentification> recognition;

  /** {@code recognition} tells whose a search is, as the contracts in force have it. */
  public SearchFront(
      Settings settings,
      SearchConfiguration config,
      Broker broker,
      SearchServers servers,
      Clock clock,
      String name,
      Supplier<TenantIdentification> recognition) {
    this.recognition = recognition;
    this.settings = settings;
    this.config = config;
    this.broker = broker;
    this.servers = servers;
    this.clock = clock;
    this.instance = name;
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    try {
      String[] target = request.head().target().split("\\?", 2);
      List<String> path = new ArrayList<>(Arrays.asList(target[0].substring(1).split("/", -1)));
      String call = path.remove(path.size() - 1);
      if (path.size() > 1 || !call.equals("_search") && !call.equals("_msearch")) {
        throw SearchException.illegal(
            "no handler found for uri ["
                + target[0]
                + "] and method ["
                + request.head().method()
                + "]");
      }
      if (!request.head().method().equals("POST")) {
        throw new SearchException(
            405, "method_not_allowed", "Incorrect HTTP method, allowed: [POST]");
      }
      List<String> names = path.isEmpty() ? List.of() : names(decode(path.get(0)));
      Map<String, String> parameters = parameters(target.length > 1 ? target[1] : "");
      String token = token(request);
      Asker asker =
          new Asker(
              holder(request), token, new Router.Lateness(request.unread(), request.worstTurn()));
      if (call.equals("_search")) {
        search(names, parameters, asker, request, exchange);
      } else {
        multi(names, parameters, asker, request, exchange);
      }
    } catch (SearchException e) {
      exchange.reply(response(SearchResponse.error(e)));
    }
  }

  @Override
  public HttpServer.Response unusable(int status, String reason) {
    String type = status == 413 ? "content_too_long_exception" : "illegal_argument_exception";
    return response(SearchResponse.error(new SearchException(status, type, reason)));
  }

  /**
   * Who asks: by the key shown, and the token that keyed classes need, or null; and how late that
   * was read.
   */
  private record Asker(TenantIdentification.KeyOwner holder, String token, Router.Lateness late) {
    /** The same for one search of several. */
    Asker of(int place) {
      return new Asker(holder, token == null ? null : token + "." + place, late);
    }
  }

  private TenantIdentification.KeyOwner holder(HttpServer.Request request) {
    TenantIdentification known = recognition.get();
    if (known == TenantIdentification.NONE) {
      return new TenantIdentification.KeyOwner(TenantIdentification.KeyStatus.ABSENT, null);
    }
    TenantIdentification.KeyOwner holder = known.byKey(request.head().header("Authorization"));
    if (holder.status() == TenantIdentification.KeyStatus.UNKNOWN && !known.hasFallback()) {
      throw new SearchException(
          401, "security_exception", "unable to authenticate with the key that is shown");
    }
    return holder;
  }

  /**
   * A key goes before the index; a key that is not known leaves only the contract that is for
   * anybody.
   */
  private String team(TenantIdentification.KeyOwner holder, List<Search.Part> parts) {
    if (holder.status() != TenantIdentification.KeyStatus.ABSENT) {
      return holder.team();
    }
    TenantIdentification known = recognition.get();
    if (known == TenantIdentification.NONE) {
      return null;
    }
    List<String> teams =
        parts.stream().map(Search.Part::index).distinct().map(known::byIndex).distinct().toList();
    if (teams.size() > 1) {
      throw SearchException.illegal(
          "the indices are of different teams and need searches of their own");
    }
    if (teams.get(0) == null && !known.hasFallback()) {
      throw new SearchException(401, "security_exception", "missing authentication credentials");
    }
    return teams.get(0);
  }

  private void search(
      List<String> names,
      Map<String, String> parameters,
      Asker asker,
      HttpServer.Request request,
      HttpServer.Exchange exchange) {
    known(parameters, PARAMETERS);
    JsonNode body = request.body().length == 0 ? MAPPER.createObjectNode() : json(request.body());
    Runnable leave = begin(names, parameters, asker, body, r -> exchange.reply(response(r)));
    exchange.onGone(leave);
  }

  /**
   * Several searches, each with a fate of its own; the answer has theirs in the order they were
   * asked.
   */
  private void multi(
      List<String> names,
      Map<String, String> parameters,
      Asker asker,
      HttpServer.Request request,
      HttpServer.Exchange exchange) {
    known(parameters, M_PARAMETERS);
    List<JsonNode> lines = lines(request.body());
    int count = lines.size() / 2;
    if (count > config.maxSearches()) {
      throw SearchException.illegal(
          "at most " + config.maxSearches() + " searches in one request, not " + count);
    }
    for (int i = 0; i < count; i++) {
      heading(lines.get(2 * i));
    }
    Gathered gathered = new Gathered(count, exchange);
    List<Runnable> leaves = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JsonNode heading = lines.get(2 * i);
      int place = i;
      try {
        Map<String, String> own = new HashMap<>();
        for (String key : List.of("preference", "allow_partial_search_results")) {
          if (heading.hasNonNull(key)) {
            own.put(key, heading.get(key).asText());
          }
        }
        leaves.add(
            begin(
                heading.hasNonNull("index") ? names(heading.get("index")) : names,
                own,
                asker.of(i),
                lines.get(2 * i + 1),
                r -> gathered.put(place, r)));
      } catch (SearchException e) {
        gathered.put(place, SearchResponse.error(e));
      }
    }
    exchange.onGone(() -> leaves.forEach(Runnable::run));
  }

  /** The answers of one {@code _msearch}. */
  private final class Gathered {
    private final SearchResponse[] responses;
    private final HttpServer.Exchange exchange;
    private final double since = clock.now();
    private int left;

    Gathered(int count, HttpServer.Exchange exchange) {
      this.responses = new SearchResponse[count];
      this.exchange = exchange;
      this.left = count;
    }

    void put(int place, SearchResponse response) {
      responses[place] = response;
      if (--left > 0) {
        return;
      }
      ObjectNode body = MAPPER.createObjectNode().put("took", Math.round(clock.now() - since));
      ArrayNode list = body.putArray("responses");
      long retryAfter = 0;
      for (SearchResponse r : responses) {
        list.add(r.body().put("status", r.status()));
        retryAfter = Math.max(retryAfter, r.retryAfter());
      }
      exchange.reply(response(new SearchResponse(200, body, retryAfter)));
    }
  }

  /** Hands one search to the core; the returned task tells it that the client has left. */
  private Runnable begin(
      List<String> names,
      Map<String, String> parameters,
      Asker asker,
      JsonNode body,
      Consumer<SearchResponse> done) {
    long id = broker.nextId();
    double since = clock.now();
    Search[] search = new Search[1];
    search[0] =
        Search.read(
            names.isEmpty() ? List.copyOf(config.indices().keySet()) : names,
            new Search.Asked(
                instance + "-" + id,
                asker.token(),
                parameters,
                answer -> done.accept(SearchResponse.of(search[0], answer, clock.now() - since))),
            body,
            config);
    Settings.QueryClass kind = settings.classes().get(search[0].requestClass());
    if (kind.idempotency() == Settings.Idempotency.KEYED && asker.token() == null) {
      throw SearchException.illegal("class [" + kind.name() + "] needs an Idempotency-Key header");
    }
    int most = settings.limits().maxPending() - 1;
    if (search[0].parts().size() > most) {
      // Guards against a refusal that invites another try of what will never fit.
      throw SearchException.illegal(
          "Trying to query "
              + search[0].parts().size()
              + " shards, which is over the limit of "
              + most);
    }
    double wanted = search[0].timeout();
    double time = wanted < 0 ? kind.deadline() : Math.min(wanted, kind.deadline());
    Router.Terms terms = new Router.Terms(!search[0].mayBePartial(), wanted >= 0);
    List<Search.Part> parts = search[0].parts();
    List<Request.QueryPart> slices =
        parts.stream().map(p -> new Request.QueryPart(p.section(), 1.0 / parts.size(), 0)).toList();
    String team = team(asker.holder(), parts);
    long print =
        recognition.get() == TenantIdentification.NONE
            ? 0
            : QueryFingerprint.of(
                (parts + search[0].body().toString()).getBytes(StandardCharsets.UTF_8),
                search[0].requestClass());
    broker.submit(
        new Event.RequestReceived(
            new Request(
                id,
                servers,
                search[0].requestClass(),
                time,
                false,
                terms,
                slices,
                search[0],
                team,
                print,
                asker.late())));
    return () -> broker.submit(new Event.ClientDisconnected(id));
  }

  private static void heading(JsonNode heading) {
    if (!heading.isObject()) {
      throw SearchException.illegal("a header line is not a JSON object");
    }
    heading
        .fieldNames()
        .forEachRemaining(
            key -> {
              if (!M_HEADER.contains(key)) {
                throw SearchException.illegal(
                    "key [" + key + "] is not supported in the metadata section");
              }
            });
  }

  private static List<JsonNode> lines(byte[] body) {
    List<JsonNode> lines = new ArrayList<>();
    String text = new String(body, StandardCharsets.UTF_8);
    if (!text.endsWith("\n")) {
      throw SearchException.illegal("The msearch request must be terminated by a newline [\\n]");
    }
    for (String line : text.split("\r?\n")) {
      lines.add(
          line.isBlank() ? MAPPER.createObjectNode() : json(line.getBytes(StandardCharsets.UTF_8)));
    }
    if (lines.isEmpty() || lines.size() % 2 != 0) {
      throw SearchException.illegal("a search is a header line and a body line");
    }
    return lines;
  }

  private static JsonNode json(byte[] text) {
    try {
      return StrictJson.read(text);
    } catch (IOException e) {
      throw new SearchException(400, "parsing_exception", "the body is not JSON");
    }
  }

  private static List<String> names(String text) {
    return Arrays.stream(text.split(",")).filter(s -> !s.isEmpty()).toList();
  }

  private static List<String> names(JsonNode index) {
    if (!index.isArray()) {
      return names(index.asText());
    }
    List<String> names = new ArrayList<>();
    index.forEach(i -> names.addAll(names(i.asText())));
    return names;
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> parameters = new LinkedHashMap<>();
    for (String pair : query.split("&")) {
      if (!pair.isEmpty()) {
        String[] words = pair.split("=", 2);
        parameters.put(decode(words[0]), words.length > 1 ? decode(words[1]) : "");
      }
    }
    return parameters;
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw SearchException.illegal("the address is not encoded as one");
    }
  }

  private static void known(Map<String, String> parameters, Set<String> supported) {
    for (String key : parameters.keySet()) {
      if (!supported.contains(key)) {
        throw SearchException.illegal(
            "request contains unrecognized or unsupported parameter: [" + key + "]");
      }
    }
  }

  private static String token(HttpServer.Request request) {
    String token = request.head().header("Idempotency-Key");
    if (token != null && !token.matches("[!-~]{1,128}")) {
      throw SearchException.illegal("Idempotency-Key is not one word of at most 128 characters");
    }
    return token;
  }

  private static HttpServer.Response response(SearchResponse r) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json; charset=UTF-8");
    if (r.status() == 401) {
      headers.put("WWW-Authenticate", "ApiKey");
    }
    if (r.retryAfter() > 0) {
      headers.put("Retry-After", String.valueOf(r.retryAfter()));
    }
    try {
      return new HttpServer.Response(r.status(), headers, MAPPER.writeValueAsBytes(r.body()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
