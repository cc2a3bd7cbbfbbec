package bitternpulley.config;

import bitternpulley.script.Bounds;
import bitternpulley.script.Host;
import bitternpulley.script.None;
import bitternpulley.script.Place;
import bitternpulley.script.ScriptException;
import bitternpulley.script.ScriptRunner;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Evaluates the operators' script to one document, and remembers where in the script each of its
 * keys was set.
 */
final class BrokerScript implements Host {
  /** Levels of lists and dicts in an argument. */
  private static final int DEEPEST = 8;

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final Set<String> ONCE = Set.of("opensearch", "accounts", "membership", "leases");

  private final ObjectNode document = JSON.objectNode();

  /** By JSON pointer; what stands deeper has the place of what it stands in. */
  private final Map<String, Place> places = new HashMap<>();

  private String printed;

  private BrokerScript() {}

  /** Throws ConfigException with the place of what cannot be evaluated. */
  static BrokerScript evaluate(String file, String text) {
    BrokerScript script = new BrokerScript();
    try {
      script.printed = new ScriptRunner(Bounds.USUAL, script).run(file, text);
    } catch (ScriptException e) {
      throw new ConfigurationException(e.toString());
    }
    return script;
  }

  ObjectNode document() {
    return document;
  }

  String printed() {
    return printed;
  }

  /** A fault at a place of the document, in terms of the script. */
  ConfigurationException fault(String pointer, String message) {
    String at = pointer;
    while (!places.containsKey(at) && at.lastIndexOf('/') > 0) {
      at = at.substring(0, at.lastIndexOf('/'));
    }
    Place place = places.get(at);
    String key = pointer.startsWith("/") ? pointer.substring(1).replace('/', '.') : pointer;
    return new ConfigurationException(
        (place == null ? "" : place + ": ") + "'" + key + "' " + message);
  }

  @Override
  public boolean knows(String function) {
    return function.equals("contract") || function.equals("terms") || ONCE.contains(function);
  }

  @Override
  public Object call(String function, Map<String, Value> arguments, Place at) {
    if (function.equals("terms")) {
      // A dict by another name: it reads better where a class's terms are told, and its keys are
      // checked with the rest.
      Map<Object, Object> terms = new java.util.LinkedHashMap<>();
      arguments.forEach((key, v) -> terms.put(key, v.value()));
      return terms;
    }
    String pointer;
    ObjectNode into;
    if (ONCE.contains(function)) {
      if (document.has(function)) {
        throw new ScriptException(at, function + "() is called a second time");
      }
      into = document.putObject(function);
      pointer = "/" + function;
    } else {
      ArrayNode all = document.withArray("/contracts");
      pointer = "/contracts/" + all.size();
      into = all.addObject();
    }
    places.put(pointer, at);
    arguments.forEach(
        (key, v) -> {
          places.put(pointer + "/" + key, v.at());
          into.set(key, json(v.value(), v.at(), 0));
        });
    return None.NONE;
  }

  private static JsonNode json(Object v, Place at, int depth) {
    if (depth > DEEPEST) {
      throw new ScriptException(at, "nested more than " + DEEPEST + " deep");
    }
    if (v instanceof String s) {
      return JSON.textNode(s);
    }
    if (v instanceof Boolean b) {
      return JSON.booleanNode(b);
    }
    if (v instanceof Long l) {
      return l == (int) (long) l ? JSON.numberNode((int) (long) l) : JSON.numberNode(l);
    }
    if (v instanceof Double d) {
      return JSON.numberNode(d);
    }
    if (v instanceof List<?> list) {
      ArrayNode array = JSON.arrayNode();
      list.forEach(e -> array.add(json(e, at, depth + 1)));
      return array;
    }
    if (v instanceof Map<?, ?> map) {
      ObjectNode object = JSON.objectNode();
      map.forEach(
          (k, e) -> {
            if (!(k instanceof String key)) {
              throw new ScriptException(at, "a key that is no text");
            }
            object.set(key, json(e, at, depth + 1));
          });
      return object;
    }
    if (v == None.NONE) {
      return JSON.nullNode();
    }
    throw new ScriptException(at, "a function is no value for a setting");
  }
}
