package bitternpulley.script;

import java.util.List;

/** Executes assignments to variables and to elements of lists and dicts. */
final class Assignments {
  private final SourceFile source;
  private final ExpressionEvaluator expressionEvaluator;
  private final Values values;
  private final Arithmetic arithmetic;
  private final Subscripts subscripts;

  Assignments(
      SourceFile source,
      ExpressionEvaluator expressionEvaluator,
      Values values,
      Arithmetic arithmetic,
      Subscripts subscripts) {
    this.source = source;
    this.expressionEvaluator = expressionEvaluator;
    this.values = values;
    this.arithmetic = arithmetic;
    this.subscripts = subscripts;
  }

  void assign(ScriptParser.AssignmentContext assignment, Scope scope) {
    Object value = expressionEvaluator.evaluate(assignment.value, scope);
    if (!assignment.op.getText().equals("=")) {
      value = evaluateAugmented(assignment, value, scope);
    }
    List<ScriptParser.ExpressionContext> targets = assignment.target.expression();
    boolean isSingleTarget = targets.size() == 1 && assignment.target.getChildCount() == 1;
    if (isSingleTarget) {
      assign(targets.get(0), value, scope);
    } else {
      assignAll(targets, value, scope, source.position(assignment.target));
    }
  }

  /** The new value of the target of an augmented assignment such as {@code +=}. */
  private Object evaluateAugmented(
      ScriptParser.AssignmentContext assignment, Object value, Scope scope) {
    String assignmentOperator = assignment.op.getText();
    if (assignment.target.expression().size() != 1) {
      throw new ScriptException(
          source.position(assignment.target), "'" + assignmentOperator + "' takes a single target");
    }
    String operator = assignmentOperator.substring(0, assignmentOperator.length() - 1);
    Object current = expressionEvaluator.evaluate(assignment.target.expression(0), scope);
    return arithmetic.applyBinary(operator, current, value, source.position(assignment));
  }

  private void assignAll(
      List<ScriptParser.ExpressionContext> targets,
      Object value,
      Scope scope,
      SourcePosition position) {
    List<Object> elements = values.unpack(value, targets.size(), position);
    for (int index = 0; index < elements.size(); index++) {
      assign(targets.get(index), elements.get(index), scope);
    }
  }

  private void assign(ScriptParser.ExpressionContext target, Object value, Scope scope) {
    SourcePosition position = source.position(target);
    if (target instanceof ScriptParser.AtomExpressionContext atomExpression
        && atomExpression.atom() instanceof ScriptParser.IdentifierContext identifier) {
      scope.set(identifier.NAME().getText(), value);
    } else if (target instanceof ScriptParser.AtomExpressionContext atomExpression
        && atomExpression.atom() instanceof ScriptParser.TupleContext tuple) {
      assignAll(tuple.expression(), value, scope, position);
    } else if (target instanceof ScriptParser.SubscriptContext subscriptTarget) {
      Object container = expressionEvaluator.evaluate(subscriptTarget.expression(0), scope);
      Object subscript = expressionEvaluator.evaluate(subscriptTarget.expression(1), scope);
      subscripts.assign(container, subscript, value, position);
    } else {
      throw new ScriptException(position, "cannot assign to this expression");
    }
  }
}
