package bitternpulley.script;

/** Creates and connects the objects that evaluate one script once. */
final class ScriptEvaluator {
  private final StatementExecutor statementExecutor;

  ScriptEvaluator(SourceFile source, EvaluationBudget budget, ScriptHost host) {
    Values values = new Values(budget);
    ValueFormatter valueFormatter = new ValueFormatter(budget);
    Comparisons comparisons = new Comparisons(budget);
    StringFormatting formatting = new StringFormatting(budget, valueFormatter);
    Arithmetic arithmetic = new Arithmetic(budget, formatting);
    Subscripts subscripts = new Subscripts(budget, valueFormatter);
    LoopVariableBinder loopVariableBinder = new LoopVariableBinder(source, values);
    BuiltinFunctions builtins =
        new BuiltinFunctions(
            budget,
            values,
            valueFormatter,
            new SequenceFunctions(budget, values, comparisons),
            new Conversions(valueFormatter));
    MethodCalls methodCalls =
        new MethodCalls(
            new StringMethods(budget, values, formatting),
            new ListMethods(budget, values, comparisons),
            new DictMethods(budget, valueFormatter));
    ExpressionEvaluator expressionEvaluator =
        new ExpressionEvaluator(
            source,
            budget,
            values,
            arithmetic,
            comparisons,
            subscripts,
            new FunctionCalls(budget, host, builtins),
            methodCalls,
            loopVariableBinder);
    Assignments assignments =
        new Assignments(source, expressionEvaluator, values, arithmetic, subscripts);
    this.statementExecutor =
        new StatementExecutor(
            source, budget, values, expressionEvaluator, assignments, loopVariableBinder);
  }

  void run(ScriptParser.FileContext script) {
    statementExecutor.run(script);
  }
}
