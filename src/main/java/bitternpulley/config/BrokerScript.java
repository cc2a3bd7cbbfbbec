package bitternpulley.config;

import bitternpulley.script.EvaluationLimits;
import bitternpulley.script.ScriptException;
import bitternpulley.script.ScriptRunner;
import bitternpulley.script.SourcePosition;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * An evaluated operators' script: the document that its function calls build, and the position in
 * the script at which each key was set.
 */
final class BrokerScript {
  private final ObjectNode document;

  /** By JSON pointer; a key without an entry has the position of the nearest enclosing key. */
  private final Map<String, SourcePosition> positions;

  private final String output;

  private BrokerScript(ObjectNode document, Map<String, SourcePosition> positions, String output) {
    this.document = document;
    this.positions = positions;
    this.output = output;
  }

  /**
   * Evaluates a script.
   *
   * @throws ConfigurationException if the script cannot be evaluated; the message has the position
   */
  static BrokerScript evaluate(String file, String text) {
    BrokerScriptFunctions functions = new BrokerScriptFunctions();
    try {
      String output = new ScriptRunner(EvaluationLimits.DEFAULT, functions).run(file, text);
      return new BrokerScript(functions.document(), functions.positions(), output);
    } catch (ScriptException error) {
      throw ConfigurationException.ofFile(file, error.toString());
    }
  }

  ObjectNode document() {
    return document;
  }

  /** The text that the script printed. */
  String output() {
    return output;
  }

  /** Creates an error at a JSON pointer of the document; its message has the script position. */
  ConfigurationException error(String pointer, String message) {
    String nearest = pointer;
    while (!positions.containsKey(nearest) && nearest.lastIndexOf('/') > 0) {
      nearest = nearest.substring(0, nearest.lastIndexOf('/'));
    }
    SourcePosition position = positions.get(nearest);
    String key = pointer.startsWith("/") ? pointer.substring(1).replace('/', '.') : pointer;
    String text = "'" + key + "' " + message;
    return position == null
        ? ConfigurationException.ofKey(key, text)
        : ConfigurationException.ofKeyInFile(key, position.file(), position + ": " + text);
  }
}
