package bitternpulley.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Executes statements in order. */
final class Statements {
  private final SourceFile source;
  private final EvaluationBudget budget;
  private final Values values;
  private final Expressions expressions;
  private final Assignments assignments;
  private final NameBinding nameBinding;
  private final Scope global = new Scope(null);

  Statements(
      SourceFile source,
      EvaluationBudget budget,
      Values values,
      Expressions expressions,
      Assignments assignments,
      NameBinding nameBinding) {
    this.source = source;
    this.budget = budget;
    this.values = values;
    this.expressions = expressions;
    this.assignments = assignments;
    this.nameBinding = nameBinding;
  }

  /** Executes a whole script. */
  void run(ScriptParser.FileContext file) {
    for (ScriptParser.StatementContext statement : file.statement()) {
      if (!execute(statement, global).isNormal()) {
        throw new ScriptException(source.position(statement), "there is nothing to leave here");
      }
    }
  }

  private Completion execute(ScriptParser.SuiteContext suite, Scope scope) {
    if (suite.simpleLine() != null) {
      return execute(suite.simpleLine(), scope);
    }
    for (ScriptParser.StatementContext statement : suite.statement()) {
      Completion completion = execute(statement, scope);
      if (!completion.isNormal()) {
        return completion;
      }
    }
    return Completion.NORMAL;
  }

  private Completion execute(ScriptParser.StatementContext statement, Scope scope) {
    budget.recordStep(source.position(statement));
    if (statement.simpleLine() != null) {
      return execute(statement.simpleLine(), scope);
    }
    if (statement.definition() != null) {
      define(statement.definition(), scope);
      return Completion.NORMAL;
    }
    return statement.conditional() != null
        ? executeConditional(statement.conditional(), scope)
        : executeLoop(statement.loop(), scope);
  }

  private Completion execute(ScriptParser.SimpleLineContext line, Scope scope) {
    for (ScriptParser.SmallContext statement : line.small()) {
      Completion completion = execute(statement, scope);
      if (!completion.isNormal()) {
        return completion;
      }
    }
    return Completion.NORMAL;
  }

  private Completion execute(ScriptParser.SmallContext statement, Scope scope) {
    if (statement instanceof ScriptParser.GiveContext returnStatement) {
      return executeReturn(returnStatement, scope);
    }
    if (statement instanceof ScriptParser.LeaveContext) {
      return Completion.BREAK;
    }
    if (statement instanceof ScriptParser.NextContext) {
      return Completion.CONTINUE;
    }
    if (statement instanceof ScriptParser.AssignContext assignment) {
      assignments.assign(assignment, scope);
    } else if (statement instanceof ScriptParser.EvaluateContext expression) {
      expressions.evaluate(expression.tests(), scope);
    }
    return Completion.NORMAL;
  }

  private Completion executeReturn(ScriptParser.GiveContext statement, Scope scope) {
    if (scope == global) {
      throw new ScriptException(source.position(statement), "'return' stands in no function");
    }
    return Completion.returning(
        statement.tests() == null ? None.NONE : expressions.evaluate(statement.tests(), scope));
  }

  private void define(ScriptParser.DefinitionContext definition, Scope scope) {
    List<ScriptFunction.Parameter> parameters = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ScriptParser.ParameterContext parameter : definition.parameter()) {
      String name = parameter.NAME().getText();
      if (!names.add(name)) {
        throw new ScriptException(source.position(parameter), "the parameter comes twice");
      }
      Object defaultValue =
          parameter.test() == null ? null : expressions.evaluate(parameter.test(), scope);
      parameters.add(new ScriptFunction.Parameter(name, defaultValue));
    }
    String name = definition.NAME().getText();
    ScriptFunction.Body body =
        (locals, callPosition) -> executeBody(name, definition.suite(), locals, callPosition);
    scope.set(name, new ScriptFunction(name, parameters, scope, body));
  }

  private Object executeBody(
      String name, ScriptParser.SuiteContext body, Scope locals, SourcePosition callPosition) {
    Completion completion = execute(body, locals);
    return switch (completion.kind()) {
      case NORMAL, RETURN -> completion.value();
      case BREAK, CONTINUE ->
          throw new ScriptException(callPosition, "there is no loop to leave in '" + name + "'");
    };
  }

  private Completion executeConditional(ScriptParser.ConditionalContext conditional, Scope scope) {
    int conditionCount = conditional.test().size();
    for (int index = 0; index < conditionCount; index++) {
      if (Values.isTruthy(expressions.evaluate(conditional.test(index), scope))) {
        return execute(conditional.suite(index), scope);
      }
    }
    boolean hasElse = conditional.suite().size() > conditionCount;
    return hasElse ? execute(conditional.suite(conditionCount), scope) : Completion.NORMAL;
  }

  private Completion executeLoop(ScriptParser.LoopContext loop, Scope scope) {
    SourcePosition position = source.position(loop);
    Object sequence = expressions.evaluate(loop.tests(), scope);
    for (Object element : values.elements(sequence, position)) {
      budget.recordStep(position);
      nameBinding.bind(loop.names(), element, scope);
      Completion completion = execute(loop.suite(), scope);
      if (completion.leavesLoop()) {
        return completion.kind() == Completion.Kind.RETURN ? completion : Completion.NORMAL;
      }
    }
    return Completion.NORMAL;
  }
}
