package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.ParserRuleContext;

/** What an expression comes to. */
final class Expressions extends ScriptBaseVisitor<Object> {
  private final String file;
  private final EvaluationBudget meter;
  private final Values values;
  private final Builtins builtins;
  private final Host host;
  private final Statements statements;
  private Scope scope;

  Expressions(String file, EvaluationBudget meter, Host host, Statements statements) {
    this.file = file;
    this.meter = meter;
    this.host = host;
    this.statements = statements;
    this.values = new Values(meter);
    this.builtins = new Builtins(meter, values);
  }

  Values values() {
    return values;
  }

  Object evaluate(ParserRuleContext context, Scope in) {
    Scope before = scope;
    Place position = position(context);
    meter.recordStep(position);
    meter.enter(position);
    scope = in;
    try {
      return visit(context);
    } finally {
      scope = before;
      meter.leave();
    }
  }

  private Object evaluate(ParserRuleContext context) {
    return evaluate(context, scope);
  }

  Place position(ParserRuleContext context) {
    return new Place(
        file, context.getStart().getLine(), context.getStart().getCharPositionInLine() + 1);
  }

  @Override
  public Object visitTests(ScriptParser.TestsContext context) {
    boolean tuple = context.test().size() > 1 || context.getChildCount() > 1;
    return tuple ? new Values.Tuple(evaluateAll(context.test())) : evaluate(context.test(0));
  }

  private List<Object> evaluateAll(List<ScriptParser.TestContext> tests) {
    List<Object> made = new ArrayList<>();
    for (ScriptParser.TestContext t : tests) {
      meter.reserve(1, position(t));
      made.add(evaluate(t));
    }
    return made;
  }

  // --- Operators ---------------------------------------------------------------------------------

  @Override
  public Object visitSign(ScriptParser.SignContext context) {
    Object value = evaluate(context.test());
    return context.op.getText().equals("-") ? values.negative(value, position(context)) : value;
  }

  @Override
  public Object visitProduct(ScriptParser.ProductContext context) {
    return values.combine(
        context.op.getText(),
        evaluate(context.test(0)),
        evaluate(context.test(1)),
        position(context));
  }

  @Override
  public Object visitSum(ScriptParser.SumContext context) {
    return values.combine(
        context.op.getText(),
        evaluate(context.test(0)),
        evaluate(context.test(1)),
        position(context));
  }

  @Override
  public Object visitJoin(ScriptParser.JoinContext context) {
    return values.combine(
        context.op.getText(),
        evaluate(context.test(0)),
        evaluate(context.test(1)),
        position(context));
  }

  @Override
  public Object visitCompare(ScriptParser.CompareContext context) {
    Object left = evaluate(context.test(0));
    Object right = evaluate(context.test(1));
    return context.not == null
        ? values.compare(context.op.getText(), left, right, position(context))
        : !values.compare("in", left, right, position(context));
  }

  @Override
  public Object visitNegate(ScriptParser.NegateContext context) {
    return !Values.isTruthy(evaluate(context.test()));
  }

  @Override
  public Object visitBoth(ScriptParser.BothContext context) {
    Object first = evaluate(context.test(0));
    return Values.isTruthy(first) ? evaluate(context.test(1)) : first;
  }

  @Override
  public Object visitEither(ScriptParser.EitherContext context) {
    Object first = evaluate(context.test(0));
    return Values.isTruthy(first) ? first : evaluate(context.test(1));
  }

  @Override
  public Object visitChoose(ScriptParser.ChooseContext context) {
    return Values.isTruthy(evaluate(context.test(1)))
        ? evaluate(context.test(0))
        : evaluate(context.test(2));
  }

  // --- Parts of values ---------------------------------------------------------------------------

  @Override
  public Object visitItem(ScriptParser.ItemContext context) {
    Object of = evaluate(context.test(0));
    Object at = evaluate(context.test(1));
    if (of instanceof Map) {
      Object found = Values.dict(of).get(values.key(at, position(context)));
      if (found == null) {
        throw new ScriptException(
            position(context), "there is no key " + values.literal(at, position(context)));
      }
      return found;
    }
    if (at instanceof Long i && (of instanceof List || of instanceof String)) {
      int size = of instanceof String text ? text.length() : Values.list(of).size();
      long index = i < 0 ? i + size : i;
      if (index < 0 || index >= size) {
        throw new ScriptException(position(context), "there is no element " + i + " of " + size);
      }
      return of instanceof String text
          ? text.substring((int) index, (int) index + 1)
          : Values.list(of).get((int) index);
    }
    throw new ScriptException(
        position(context),
        "a " + Values.typeName(of) + " has no elements by " + Values.typeName(at));
  }

  @Override
  public Object visitSlice(ScriptParser.SliceContext context) {
    Object of = evaluate(context.test(0));
    int size =
        of instanceof String text
            ? text.length()
            : of instanceof List ? Values.list(of).size() : -1;
    if (size < 0) {
      throw new ScriptException(position(context), "a " + Values.typeName(of) + " cannot be cut");
    }
    int low = bound(context.low, 0, size);
    int high = Math.max(low, bound(context.high, size, size));
    meter.reserve(high - low, position(context));
    if (of instanceof String text) {
      return text.substring(low, high);
    }
    List<Object> cut = new ArrayList<>(Values.list(of).subList(low, high));
    return of instanceof Values.Tuple ? new Values.Tuple(cut) : cut;
  }

  private int bound(ScriptParser.TestContext context, int absent, int size) {
    if (context == null) {
      return absent;
    }
    if (!(evaluate(context) instanceof Long i)) {
      throw new ScriptException(position(context), "a bound is a whole number");
    }
    return (int) Math.max(0, Math.min(size, i < 0 ? i + size : i));
  }

  // --- Calls -------------------------------------------------------------------------------------

  @Override
  public Object visitCall(ScriptParser.CallContext context) {
    Place position = position(context);
    List<Object> plain = new ArrayList<>();
    Map<String, Host.Value> named = new LinkedHashMap<>();
    Object receiver = null;
    String name = null;
    Object target = null;
    if (context.test() instanceof ScriptParser.MemberContext m) {
      receiver = evaluate(m.test());
      name = m.NAME().getText();
    } else if (context.test() instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.ReadContext r) {
      name = r.NAME().getText();
      target = scope.get(name);
    } else {
      target = evaluate(context.test());
    }
    for (ScriptParser.ArgumentContext a : context.argument()) {
      meter.reserve(1, position);
      Object value = evaluate(a.test());
      if (a.NAME() == null) {
        if (!named.isEmpty()) {
          throw new ScriptException(
              position(a), "an argument without a name stands behind one with a name");
        }
        plain.add(value);
      } else if (named.put(a.NAME().getText(), new Host.Value(value, position(a))) != null) {
        throw new ScriptException(position(a), "'" + a.NAME().getText() + "' is given twice");
      }
    }
    if (receiver != null) {
      return builtins.method(receiver, name, plain, named, position);
    }
    if (target instanceof Function f) {
      return statements.call(f, plain, named, position);
    }
    if (target == null && name != null && host.knows(name)) {
      if (!plain.isEmpty()) {
        throw new ScriptException(position, name + "() takes its arguments by name");
      }
      Object result = host.call(name, named, position);
      return result == null ? None.NONE : result;
    }
    if (target == null && name != null && Builtins.knows(name)) {
      return builtins.call(name, plain, named, position);
    }
    throw new ScriptException(
        position,
        target == null
            ? "nothing is called '" + name + "'"
            : "a " + Values.typeName(target) + " cannot be called");
  }

  @Override
  public Object visitMember(ScriptParser.MemberContext context) {
    throw new ScriptException(
        position(context), "'." + context.NAME().getText() + "' can only be called");
  }

  // --- Atoms -------------------------------------------------------------------------------------

  @Override
  public Object visitPlain(ScriptParser.PlainContext context) {
    return visit(context.atom());
  }

  @Override
  public Object visitRead(ScriptParser.ReadContext context) {
    String name = context.NAME().getText();
    Object found = scope.get(name);
    if (found != null) {
      return found;
    }
    return switch (name) {
      case "True" -> true;
      case "False" -> false;
      case "None" -> None.NONE;
      default -> throw new ScriptException(position(context), "nothing is called '" + name + "'");
    };
  }

  @Override
  public Object visitInteger(ScriptParser.IntegerContext context) {
    String text = context.INTEGER().getText().replace("_", "");
    try {
      return text.startsWith("0x") || text.startsWith("0X")
          ? Long.parseLong(text.substring(2), 16)
          : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new ScriptException(position(context), "the number is too large");
    }
  }

  @Override
  public Object visitReal(ScriptParser.RealContext context) {
    double v = Double.parseDouble(context.REAL().getText());
    if (Double.isInfinite(v)) {
      throw new ScriptException(position(context), "the number is too large");
    }
    return v;
  }

  @Override
  public Object visitText(ScriptParser.TextContext context) {
    StringBuilder joined = new StringBuilder();
    context.STRING().forEach(s -> joined.append(unquoted(s.getText(), position(context))));
    meter.reserve(joined.length(), position(context));
    return joined.toString();
  }

  private static String unquoted(String quoted, Place position) {
    int marks = quoted.startsWith("\"\"\"") ? 3 : 1;
    String raw = quoted.substring(marks, quoted.length() - marks);
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < raw.length(); i++) {
      char context = raw.charAt(i);
      if (context != '\\') {
        out.append(context);
        continue;
      }
      char escaped = ++i < raw.length() ? raw.charAt(i) : ' ';
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case '\\', '"', '\'' -> out.append(escaped);
        case '\n' -> {}
        default -> throw new ScriptException(position, "'\\" + escaped + "' stands for nothing");
      }
    }
    return out.toString();
  }

  @Override
  public Object visitEmptyTuple(ScriptParser.EmptyTupleContext context) {
    return new Values.Tuple(List.of());
  }

  @Override
  public Object visitGroup(ScriptParser.GroupContext context) {
    return evaluate(context.test());
  }

  @Override
  public Object visitTuple(ScriptParser.TupleContext context) {
    return new Values.Tuple(evaluateAll(context.test()));
  }

  @Override
  public Object visitList(ScriptParser.ListContext context) {
    return evaluateAll(context.test());
  }

  @Override
  public Object visitDict(ScriptParser.DictContext context) {
    Map<Object, Object> made = new LinkedHashMap<>();
    for (ScriptParser.EntryContext e : context.entry()) {
      meter.reserve(1, position(e));
      if (made.put(values.key(evaluate(e.key), position(e)), evaluate(e.value)) != null) {
        throw new ScriptException(position(e), "the key comes twice");
      }
    }
    return made;
  }

  @Override
  public Object visitListOf(ScriptParser.ListOfContext context) {
    List<Object> made = new ArrayList<>();
    comprehend(
        context.clause(),
        0,
        new Scope(scope),
        in -> {
          meter.reserve(1, position(context));
          made.add(evaluate(context.test(), in));
        });
    return made;
  }

  @Override
  public Object visitDictOf(ScriptParser.DictOfContext context) {
    Map<Object, Object> made = new LinkedHashMap<>();
    comprehend(
        context.clause(),
        0,
        new Scope(scope),
        in -> {
          meter.reserve(1, position(context));
          made.put(
              values.key(evaluate(context.entry().key, in), position(context)),
              evaluate(context.entry().value, in));
        });
    return made;
  }

  private interface Yield {
    void in(Scope scope);
  }

  private void comprehend(List<ScriptParser.ClauseContext> clauses, int at, Scope in, Yield yield) {
    if (at == clauses.size()) {
      yield.in(in);
      return;
    }
    ScriptParser.ClauseContext clause = clauses.get(at);
    Object value = evaluate(clause.test(), in);
    if (clause.names() == null) {
      if (Values.isTruthy(value)) {
        comprehend(clauses, at + 1, in, yield);
      }
      return;
    }
    for (Object element : values.elements(value, position(clause))) {
      meter.recordStep(position(clause));
      statements.bind(clause.names(), element, in);
      comprehend(clauses, at + 1, in, yield);
    }
  }
}
