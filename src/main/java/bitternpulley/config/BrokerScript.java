package bitternpulley.config;

import bitternpulley.script.EvaluationLimits;
import bitternpulley.script.ScriptException;
import bitternpulley.script.ScriptRunner;
import bitternpulley.script.SourcePosition;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * The evaluated operators' script: one document of all that its function calls set, and where in
 * the script each key was set.
 */
final class BrokerScript {
  private final ObjectNode document;

  /** By JSON pointer; a deeper key has the position of the nearest one above it. */
  private final Map<String, SourcePosition> positions;

  private final String printed;

  private BrokerScript(ObjectNode document, Map<String, SourcePosition> positions, String printed) {
    this.document = document;
    this.positions = positions;
    this.printed = printed;
  }

  /**
   * Evaluates a script.
   *
   * @throws ConfigurationException with the position of what cannot be evaluated
   */
  static BrokerScript evaluate(String file, String text) {
    BrokerScriptFunctions functions = new BrokerScriptFunctions();
    try {
      String printed = new ScriptRunner(EvaluationLimits.DEFAULT, functions).run(file, text);
      return new BrokerScript(functions.document(), functions.positions(), printed);
    } catch (ScriptException error) {
      throw ConfigurationException.ofFile(file, error.toString());
    }
  }

  ObjectNode document() {
    return document;
  }

  /** What the script printed. */
  String printed() {
    return printed;
  }

  /** An error in the document, given by JSON pointer, with its position in the script. */
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
