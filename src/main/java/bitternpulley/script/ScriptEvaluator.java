package bitternpulley.script;

/** Assembles the parts of an evaluator for one evaluation of one script. */
final class ScriptEvaluator {
  private final Statements statements;

  ScriptEvaluator(SourceFile source, EvaluationBudget budget, ScriptHost host) {
    Values values = new Values(budget);
    ValueText valueText = new ValueText(budget);
    Comparisons comparisons = new Comparisons(budget);
    StringFormatting formatting = new StringFormatting(budget, valueText);
    Arithmetic arithmetic = new Arithmetic(budget, formatting);
    Subscripts subscripts = new Subscripts(budget, valueText);
    NameBinding nameBinding = new NameBinding(source, values);
    BuiltinFunctions builtins =
        new BuiltinFunctions(
            budget,
            values,
            valueText,
            new SequenceFunctions(budget, values, comparisons),
            new Conversions(valueText));
    MethodCalls methodCalls =
        new MethodCalls(
            new StringMethods(budget, values, formatting),
            new ListMethods(budget, values, comparisons),
            new DictMethods(budget, valueText));
    Expressions expressions =
        new Expressions(
            source,
            budget,
            values,
            arithmetic,
            comparisons,
            subscripts,
            new FunctionCalls(budget, host, builtins),
            methodCalls,
            nameBinding);
    Assignments assignments = new Assignments(source, expressions, values, arithmetic, subscripts);
    this.statements = new Statements(source, budget, values, expressions, assignments, nameBinding);
  }

  void run(ScriptParser.FileContext script) {
    statements.run(script);
  }
}
