package bitternpulley.script;

import java.util.List;

/** Binds the variables of a loop or comprehension to the elements that it iterates over. */
final class LoopVariableBinder {
  private final SourceFile source;
  private final Values values;

  LoopVariableBinder(SourceFile source, Values values) {
    this.source = source;
    this.values = values;
  }

  void bind(ScriptParser.LoopVariablesContext variables, Object value, Scope scope) {
    boolean isSingleVariable =
        variables.loopVariable().size() == 1 && variables.getChildCount() == 1;
    if (isSingleVariable) {
      bind(variables.loopVariable(0), value, scope);
      return;
    }
    List<Object> elements =
        values.unpack(value, variables.loopVariable().size(), source.position(variables));
    for (int index = 0; index < elements.size(); index++) {
      bind(variables.loopVariable(index), elements.get(index), scope);
    }
  }

  private void bind(ScriptParser.LoopVariableContext variable, Object value, Scope scope) {
    if (variable.loopVariables() != null) {
      bind(variable.loopVariables(), value, scope);
    } else {
      scope.set(variable.NAME().getText(), value);
    }
  }
}
