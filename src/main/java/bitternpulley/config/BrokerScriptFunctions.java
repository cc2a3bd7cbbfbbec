package bitternpulley.config;

import bitternpulley.script.None;
import bitternpulley.script.ScriptException;
import bitternpulley.script.ScriptHost;
import bitternpulley.script.SourcePosition;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The functions that the operators' script may call. All but {@code terms()} add their arguments to
 * a document, which is later validated against the schema.
 */
final class BrokerScriptFunctions implements ScriptHost {
  private static final String CONTRACT = "contract";
  private static final String CONTRACTS = "contracts";
  private static final String TERMS = "terms";

  /** Functions that may be called only once; the arguments are set in the object of that name. */
  private static final Set<String> SECTIONS =
      Set.of("opensearch", "accounts", "membership", "leases");

  private final ObjectNode document = JsonNodeFactory.instance.objectNode();
  private final Map<String, SourcePosition> positions = new HashMap<>();

  /** The document built so far. */
  ObjectNode document() {
    return document;
  }

  /** The position in the script at which each key was set, by JSON pointer. */
  Map<String, SourcePosition> positions() {
    return positions;
  }

  @Override
  public boolean hasFunction(String function) {
    return function.equals(CONTRACT) || function.equals(TERMS) || SECTIONS.contains(function);
  }

  @Override
  public Object call(String function, Map<String, Argument> arguments, SourcePosition position) {
    if (function.equals(TERMS)) {
      return terms(arguments);
    }
    if (SECTIONS.contains(function)) {
      addSection(function, arguments, position);
    } else {
      addContract(arguments, position);
    }
    return None.NONE;
  }

  /** Returns the arguments as a dict; its keys are checked where the dict is used. */
  private static Map<Object, Object> terms(Map<String, Argument> arguments) {
    Map<Object, Object> terms = new LinkedHashMap<>();
    arguments.forEach((key, argument) -> terms.put(key, argument.value()));
    return terms;
  }

  private void addSection(String name, Map<String, Argument> arguments, SourcePosition position) {
    if (document.has(name)) {
      throw new ScriptException(position, name + "() is called a second time");
    }
    set(document.putObject(name), "/" + name, arguments, position);
  }

  private void addContract(Map<String, Argument> arguments, SourcePosition position) {
    ArrayNode contracts = document.withArray("/" + CONTRACTS);
    String pointer = "/" + CONTRACTS + "/" + contracts.size();
    set(contracts.addObject(), pointer, arguments, position);
  }

  private void set(
      ObjectNode object, String pointer, Map<String, Argument> arguments, SourcePosition position) {
    positions.put(pointer, position);
    arguments.forEach(
        (key, argument) -> {
          positions.put(pointer + "/" + key, argument.position());
          object.set(key, ScriptValues.toJson(argument.value(), argument.position()));
        });
  }
}
