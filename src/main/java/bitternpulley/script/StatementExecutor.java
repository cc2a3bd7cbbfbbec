package bitternpulley.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Executes the statements of a script. */
final class StatementExecutor {
  private final SourceFile source;
  private final EvaluationBudget budget;
  private final Values values;
  private final ExpressionEvaluator expressionEvaluator;
  private final Assignments assignments;
  private final LoopVariableBinder loopVariableBinder;
  private final Scope globalScope = new Scope(null);

  StatementExecutor(
      SourceFile source,
      EvaluationBudget budget,
      Values values,
      ExpressionEvaluator expressionEvaluator,
      Assignments assignments,
      LoopVariableBinder loopVariableBinder) {
    this.source = source;
    this.budget = budget;
    this.values = values;
    this.expressionEvaluator = expressionEvaluator;
    this.assignments = assignments;
    this.loopVariableBinder = loopVariableBinder;
  }

  /** Executes a whole script. */
  void run(ScriptParser.FileContext file) {
    for (ScriptParser.StatementContext statement : file.statement()) {
      if (!execute(statement, globalScope).isNormal()) {
        throw new ScriptException(
            source.position(statement), "'break' or 'continue' outside a loop");
      }
    }
  }

  private Completion execute(ScriptParser.SuiteContext suite, Scope scope) {
    if (suite.simpleStatement() != null) {
      return execute(suite.simpleStatement(), scope);
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
    if (statement.simpleStatement() != null) {
      return execute(statement.simpleStatement(), scope);
    }
    if (statement.functionDefinition() != null) {
      define(statement.functionDefinition(), scope);
      return Completion.NORMAL;
    }
    return statement.ifStatement() != null
        ? executeIf(statement.ifStatement(), scope)
        : executeFor(statement.forStatement(), scope);
  }

  private Completion execute(ScriptParser.SimpleStatementContext simpleStatement, Scope scope) {
    for (ScriptParser.SmallStatementContext statement : simpleStatement.smallStatement()) {
      Completion completion = execute(statement, scope);
      if (!completion.isNormal()) {
        return completion;
      }
    }
    return Completion.NORMAL;
  }

  private Completion execute(ScriptParser.SmallStatementContext statement, Scope scope) {
    if (statement instanceof ScriptParser.ReturnStatementContext returnStatement) {
      return executeReturn(returnStatement, scope);
    }
    if (statement instanceof ScriptParser.BreakStatementContext) {
      return Completion.BREAK;
    }
    if (statement instanceof ScriptParser.ContinueStatementContext) {
      return Completion.CONTINUE;
    }
    if (statement instanceof ScriptParser.AssignmentContext assignment) {
      assignments.assign(assignment, scope);
    } else if (statement instanceof ScriptParser.ExpressionStatementContext expressionStatement) {
      expressionEvaluator.evaluate(expressionStatement.expressionList(), scope);
    }
    return Completion.NORMAL;
  }

  private Completion executeReturn(ScriptParser.ReturnStatementContext statement, Scope scope) {
    if (scope == globalScope) {
      throw new ScriptException(source.position(statement), "'return' outside a function");
    }
    return Completion.returning(
        statement.expressionList() == null
            ? None.NONE
            : expressionEvaluator.evaluate(statement.expressionList(), scope));
  }

  private void define(ScriptParser.FunctionDefinitionContext definition, Scope scope) {
    List<ScriptFunction.Parameter> parameters = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ScriptParser.ParameterContext parameter : definition.parameter()) {
      String name = parameter.NAME().getText();
      if (!names.add(name)) {
        throw new ScriptException(source.position(parameter), "the parameter is declared twice");
      }
      Object defaultValue =
          parameter.expression() == null
              ? null
              : expressionEvaluator.evaluate(parameter.expression(), scope);
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
          throw new ScriptException(
              callPosition, "'break' or 'continue' outside a loop in '" + name + "'");
    };
  }

  private Completion executeIf(ScriptParser.IfStatementContext ifStatement, Scope scope) {
    int conditionCount = ifStatement.expression().size();
    for (int index = 0; index < conditionCount; index++) {
      if (Values.isTruthy(expressionEvaluator.evaluate(ifStatement.expression(index), scope))) {
        return execute(ifStatement.suite(index), scope);
      }
    }
    boolean hasElse = ifStatement.suite().size() > conditionCount;
    return hasElse ? execute(ifStatement.suite(conditionCount), scope) : Completion.NORMAL;
  }

  private Completion executeFor(ScriptParser.ForStatementContext forStatement, Scope scope) {
    SourcePosition position = source.position(forStatement);
    Object sequence = expressionEvaluator.evaluate(forStatement.expressionList(), scope);
    for (Object element : values.elements(sequence, position)) {
      budget.recordStep(position);
      loopVariableBinder.bind(forStatement.loopVariables(), element, scope);
      Completion completion = execute(forStatement.suite(), scope);
      if (completion.exitsLoop()) {
        return completion.kind() == Completion.Kind.RETURN ? completion : Completion.NORMAL;
      }
    }
    return Completion.NORMAL;
  }
}
