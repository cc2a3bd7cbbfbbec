package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.ParserRuleContext;

/** Evaluates expressions. */
final class ExpressionEvaluator extends ScriptBaseVisitor<Object> {
  private final SourceFile source;
  private final EvaluationBudget budget;
  private final Values values;
  private final Arithmetic arithmetic;
  private final Comparisons comparisons;
  private final Subscripts subscripts;
  private final FunctionCalls functionCalls;
  private final MethodCalls methodCalls;
  private final LoopVariableBinder loopVariableBinder;

  /** The scope of the expression being evaluated. */
  private Scope scope;

  ExpressionEvaluator(
      SourceFile source,
      EvaluationBudget budget,
      Values values,
      Arithmetic arithmetic,
      Comparisons comparisons,
      Subscripts subscripts,
      FunctionCalls functionCalls,
      MethodCalls methodCalls,
      LoopVariableBinder loopVariableBinder) {
    this.source = source;
    this.budget = budget;
    this.values = values;
    this.arithmetic = arithmetic;
    this.comparisons = comparisons;
    this.subscripts = subscripts;
    this.functionCalls = functionCalls;
    this.methodCalls = methodCalls;
    this.loopVariableBinder = loopVariableBinder;
  }

  /** Evaluates an expression in a scope. */
  Object evaluate(ParserRuleContext expression, Scope expressionScope) {
    Scope outerScope = scope;
    SourcePosition position = source.position(expression);
    budget.recordStep(position);
    budget.enter(position);
    scope = expressionScope;
    try {
      return visit(expression);
    } finally {
      scope = outerScope;
      budget.leave();
    }
  }

  private Object evaluate(ParserRuleContext expression) {
    return evaluate(expression, scope);
  }

  private List<Object> evaluateAll(List<ScriptParser.ExpressionContext> expressions) {
    List<Object> results = new ArrayList<>();
    for (ScriptParser.ExpressionContext expression : expressions) {
      budget.reserve(1, source.position(expression));
      results.add(evaluate(expression));
    }
    return results;
  }

  @Override
  public Object visitExpressionList(ScriptParser.ExpressionListContext context) {
    boolean isTuple = context.expression().size() > 1 || context.getChildCount() > 1;
    return isTuple ? new Tuple(evaluateAll(context.expression())) : evaluate(context.expression(0));
  }

  @Override
  public Object visitUnarySign(ScriptParser.UnarySignContext context) {
    Object operand = evaluate(context.expression());
    return context.op.getText().equals("-")
        ? arithmetic.negate(operand, source.position(context))
        : operand;
  }

  @Override
  public Object visitMultiplicative(ScriptParser.MultiplicativeContext context) {
    return applyBinary(context.op.getText(), context.expression(0), context.expression(1), context);
  }

  @Override
  public Object visitAdditive(ScriptParser.AdditiveContext context) {
    return applyBinary(context.op.getText(), context.expression(0), context.expression(1), context);
  }

  @Override
  public Object visitUnion(ScriptParser.UnionContext context) {
    return applyBinary(context.op.getText(), context.expression(0), context.expression(1), context);
  }

  private Object applyBinary(
      String operator,
      ScriptParser.ExpressionContext left,
      ScriptParser.ExpressionContext right,
      ParserRuleContext context) {
    Object leftOperand = evaluate(left);
    Object rightOperand = evaluate(right);
    return arithmetic.applyBinary(operator, leftOperand, rightOperand, source.position(context));
  }

  @Override
  public Object visitComparison(ScriptParser.ComparisonContext context) {
    Object left = evaluate(context.expression(0));
    Object right = evaluate(context.expression(1));
    SourcePosition position = source.position(context);
    return context.not == null
        ? comparisons.compare(context.op.getText(), left, right, position)
        : !comparisons.contains(right, left, position);
  }

  @Override
  public Object visitLogicalNot(ScriptParser.LogicalNotContext context) {
    return !Values.isTruthy(evaluate(context.expression()));
  }

  @Override
  public Object visitLogicalAnd(ScriptParser.LogicalAndContext context) {
    Object left = evaluate(context.expression(0));
    return Values.isTruthy(left) ? evaluate(context.expression(1)) : left;
  }

  @Override
  public Object visitLogicalOr(ScriptParser.LogicalOrContext context) {
    Object left = evaluate(context.expression(0));
    return Values.isTruthy(left) ? left : evaluate(context.expression(1));
  }

  @Override
  public Object visitConditionalExpression(ScriptParser.ConditionalExpressionContext context) {
    boolean condition = Values.isTruthy(evaluate(context.expression(1)));
    return evaluate(context.expression(condition ? 0 : 2));
  }

  @Override
  public Object visitSubscript(ScriptParser.SubscriptContext context) {
    Object container = evaluate(context.expression(0));
    Object subscript = evaluate(context.expression(1));
    return subscripts.element(container, subscript, source.position(context));
  }

  @Override
  public Object visitSlice(ScriptParser.SliceContext context) {
    Object sequence = evaluate(context.expression(0));
    SourcePosition position = source.position(context);
    int length = Subscripts.sequenceLength(sequence, position);
    int start = context.lowerBound == null ? 0 : resolveBound(context.lowerBound, length);
    int end = context.upperBound == null ? length : resolveBound(context.upperBound, length);
    return subscripts.slice(sequence, start, Math.max(start, end), position);
  }

  private int resolveBound(ScriptParser.ExpressionContext expression, int length) {
    if (!(evaluate(expression) instanceof Long bound)) {
      throw new ScriptException(
          source.position(expression), "a slice bound must be a whole number");
    }
    long fromStart = bound < 0 ? bound + length : bound;
    return (int) Math.max(0, Math.min(length, fromStart));
  }

  @Override
  public Object visitCall(ScriptParser.CallContext context) {
    SourcePosition position = source.position(context);
    if (context.expression() instanceof ScriptParser.AttributeContext attribute) {
      Object receiver = evaluate(attribute.expression());
      String method = attribute.NAME().getText();
      return methodCalls.call(receiver, method, arguments(context), position);
    }
    if (context.expression() instanceof ScriptParser.AtomExpressionContext atomExpression
        && atomExpression.atom() instanceof ScriptParser.IdentifierContext identifier) {
      return callName(identifier.NAME().getText(), context, position);
    }
    Object target = evaluate(context.expression());
    return functionCalls.callValue(target, arguments(context), position);
  }

  private Object callName(String name, ScriptParser.CallContext context, SourcePosition position) {
    // Looked up before the arguments are evaluated, which might define a function of this name.
    Object target = scope.get(name);
    Arguments arguments = arguments(context);
    return target == null
        ? functionCalls.callByName(name, arguments, position)
        : functionCalls.callValue(target, arguments, position);
  }

  private Arguments arguments(ScriptParser.CallContext context) {
    SourcePosition position = source.position(context);
    List<Object> positional = new ArrayList<>();
    Map<String, ScriptHost.Argument> named = new LinkedHashMap<>();
    for (ScriptParser.ArgumentContext argument : context.argument()) {
      budget.reserve(1, position);
      Object value = evaluate(argument.expression());
      if (argument.NAME() != null) {
        addNamed(named, argument, value);
      } else if (named.isEmpty()) {
        positional.add(value);
      } else {
        throw new ScriptException(
            source.position(argument), "a positional argument follows a named argument");
      }
    }
    return new Arguments(positional, named);
  }

  private void addNamed(
      Map<String, ScriptHost.Argument> named, ScriptParser.ArgumentContext argument, Object value) {
    String name = argument.NAME().getText();
    SourcePosition position = source.position(argument);
    if (named.put(name, new ScriptHost.Argument(value, position)) != null) {
      throw new ScriptException(position, "the argument '" + name + "' is given twice");
    }
  }

  @Override
  public Object visitAttribute(ScriptParser.AttributeContext context) {
    throw new ScriptException(
        source.position(context), "'." + context.NAME().getText() + "' can only be used in a call");
  }

  @Override
  public Object visitAtomExpression(ScriptParser.AtomExpressionContext context) {
    return visit(context.atom());
  }

  @Override
  public Object visitIdentifier(ScriptParser.IdentifierContext context) {
    String name = context.NAME().getText();
    Object value = scope.get(name);
    if (value != null) {
      return value;
    }
    return switch (name) {
      case "True" -> true;
      case "False" -> false;
      case "None" -> None.NONE;
      default ->
          throw new ScriptException(
              source.position(context), "the name '" + name + "' is not defined");
    };
  }

  @Override
  public Object visitIntegerLiteral(ScriptParser.IntegerLiteralContext context) {
    return Literals.parseInteger(context.INTEGER().getText(), source.position(context));
  }

  @Override
  public Object visitFloatLiteral(ScriptParser.FloatLiteralContext context) {
    return Literals.parseFloat(context.REAL().getText(), source.position(context));
  }

  @Override
  public Object visitStringLiteral(ScriptParser.StringLiteralContext context) {
    SourcePosition position = source.position(context);
    StringBuilder concatenated = new StringBuilder();
    context
        .STRING()
        .forEach(literal -> concatenated.append(Literals.parseString(literal.getText(), position)));
    budget.reserve(concatenated.length(), position);
    return concatenated.toString();
  }

  @Override
  public Object visitEmptyTuple(ScriptParser.EmptyTupleContext context) {
    return new Tuple(List.of());
  }

  @Override
  public Object visitParenthesized(ScriptParser.ParenthesizedContext context) {
    return evaluate(context.expression());
  }

  @Override
  public Object visitTuple(ScriptParser.TupleContext context) {
    return new Tuple(evaluateAll(context.expression()));
  }

  @Override
  public Object visitList(ScriptParser.ListContext context) {
    return evaluateAll(context.expression());
  }

  @Override
  public Object visitDict(ScriptParser.DictContext context) {
    Map<Object, Object> dict = new LinkedHashMap<>();
    for (ScriptParser.EntryContext entry : context.entry()) {
      SourcePosition position = source.position(entry);
      budget.reserve(1, position);
      Object key = Values.toKey(evaluate(entry.key), position);
      if (dict.put(key, evaluate(entry.value)) != null) {
        throw new ScriptException(position, "the key is given twice");
      }
    }
    return dict;
  }

  @Override
  public Object visitListComprehension(ScriptParser.ListComprehensionContext context) {
    List<Object> list = new ArrayList<>();
    evaluateClauses(
        context.comprehensionClause(),
        new Scope(scope),
        clauseScope -> {
          budget.reserve(1, source.position(context));
          list.add(evaluate(context.expression(), clauseScope));
        });
    return list;
  }

  @Override
  public Object visitDictComprehension(ScriptParser.DictComprehensionContext context) {
    Map<Object, Object> dict = new LinkedHashMap<>();
    SourcePosition position = source.position(context);
    evaluateClauses(
        context.comprehensionClause(),
        new Scope(scope),
        clauseScope -> {
          budget.reserve(1, position);
          Object key = Values.toKey(evaluate(context.entry().key, clauseScope), position);
          dict.put(key, evaluate(context.entry().value, clauseScope));
        });
    return dict;
  }

  /** Evaluates and adds one element of a comprehension. */
  private interface ElementAction {
    /** Adds the element, given the scope with the variables of the clauses. */
    void add(Scope clauseScope);
  }

  /** Calls the action for each combination of variables that the clauses produce. */
  private void evaluateClauses(
      List<ScriptParser.ComprehensionClauseContext> clauses,
      Scope clauseScope,
      ElementAction action) {
    if (clauses.isEmpty()) {
      action.add(clauseScope);
      return;
    }
    ScriptParser.ComprehensionClauseContext clause = clauses.get(0);
    List<ScriptParser.ComprehensionClauseContext> innerClauses = clauses.subList(1, clauses.size());
    Object value = evaluate(clause.expression(), clauseScope);
    if (clause.loopVariables() != null) {
      evaluateForClause(clause, value, innerClauses, clauseScope, action);
    } else if (Values.isTruthy(value)) {
      evaluateClauses(innerClauses, clauseScope, action);
    }
  }

  private void evaluateForClause(
      ScriptParser.ComprehensionClauseContext clause,
      Object sequence,
      List<ScriptParser.ComprehensionClauseContext> innerClauses,
      Scope clauseScope,
      ElementAction action) {
    SourcePosition position = source.position(clause);
    for (Object element : values.elements(sequence, position)) {
      budget.recordStep(position);
      loopVariableBinder.bind(clause.loopVariables(), element, clauseScope);
      evaluateClauses(innerClauses, clauseScope, action);
    }
  }
}
