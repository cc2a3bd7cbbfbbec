package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.ParserRuleContext;

/** What an expression comes to. */
final class Expressions extends ScriptBaseVisitor<Object> {
  private final String file;
  private final Meter meter;
  private final Values values;
  private final Builtins builtins;
  private final Host host;
  private final Statements statements;
  private Scope scope;

  Expressions(String file, Meter meter, Host host, Statements statements) {
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

  Object of(ParserRuleContext c, Scope in) {
    Scope before = scope;
    Place at = place(c);
    meter.step(at);
    meter.deeper(at);
    scope = in;
    try {
      return visit(c);
    } finally {
      scope = before;
      meter.shallower();
    }
  }

  private Object of(ParserRuleContext c) {
    return of(c, scope);
  }

  Place place(ParserRuleContext c) {
    return new Place(file, c.getStart().getLine(), c.getStart().getCharPositionInLine() + 1);
  }

  @Override
  public Object visitTests(ScriptParser.TestsContext c) {
    boolean tuple = c.test().size() > 1 || c.getChildCount() > 1;
    return tuple ? new Values.Tuple(all(c.test())) : of(c.test(0));
  }

  private List<Object> all(List<ScriptParser.TestContext> tests) {
    List<Object> made = new ArrayList<>();
    for (ScriptParser.TestContext t : tests) {
      meter.make(1, place(t));
      made.add(of(t));
    }
    return made;
  }

  // --- Operators ---------------------------------------------------------------------------------

  @Override
  public Object visitSign(ScriptParser.SignContext c) {
    Object v = of(c.test());
    return c.op.getText().equals("-") ? values.negative(v, place(c)) : v;
  }

  @Override
  public Object visitProduct(ScriptParser.ProductContext c) {
    return values.combine(c.op.getText(), of(c.test(0)), of(c.test(1)), place(c));
  }

  @Override
  public Object visitSum(ScriptParser.SumContext c) {
    return values.combine(c.op.getText(), of(c.test(0)), of(c.test(1)), place(c));
  }

  @Override
  public Object visitJoin(ScriptParser.JoinContext c) {
    return values.combine(c.op.getText(), of(c.test(0)), of(c.test(1)), place(c));
  }

  @Override
  public Object visitCompare(ScriptParser.CompareContext c) {
    Object a = of(c.test(0));
    Object b = of(c.test(1));
    return c.not == null
        ? values.compare(c.op.getText(), a, b, place(c))
        : !values.compare("in", a, b, place(c));
  }

  @Override
  public Object visitNegate(ScriptParser.NegateContext c) {
    return !Values.truth(of(c.test()));
  }

  @Override
  public Object visitBoth(ScriptParser.BothContext c) {
    Object first = of(c.test(0));
    return Values.truth(first) ? of(c.test(1)) : first;
  }

  @Override
  public Object visitEither(ScriptParser.EitherContext c) {
    Object first = of(c.test(0));
    return Values.truth(first) ? first : of(c.test(1));
  }

  @Override
  public Object visitChoose(ScriptParser.ChooseContext c) {
    return Values.truth(of(c.test(1))) ? of(c.test(0)) : of(c.test(2));
  }

  // --- Parts of values ---------------------------------------------------------------------------

  @Override
  public Object visitItem(ScriptParser.ItemContext c) {
    Object of = of(c.test(0));
    Object at = of(c.test(1));
    if (of instanceof Map) {
      Object found = Values.dict(of).get(values.key(at, place(c)));
      if (found == null) {
        throw new ScriptException(place(c), "there is no key " + values.written(at, place(c)));
      }
      return found;
    }
    if (at instanceof Long i && (of instanceof List || of instanceof String)) {
      int size = of instanceof String s ? s.length() : Values.list(of).size();
      long index = i < 0 ? i + size : i;
      if (index < 0 || index >= size) {
        throw new ScriptException(place(c), "there is no element " + i + " of " + size);
      }
      return of instanceof String s
          ? s.substring((int) index, (int) index + 1)
          : Values.list(of).get((int) index);
    }
    throw new ScriptException(
        place(c), "a " + Values.type(of) + " has no elements by " + Values.type(at));
  }

  @Override
  public Object visitSlice(ScriptParser.SliceContext c) {
    Object of = of(c.test(0));
    int size =
        of instanceof String s ? s.length() : of instanceof List ? Values.list(of).size() : -1;
    if (size < 0) {
      throw new ScriptException(place(c), "a " + Values.type(of) + " cannot be cut");
    }
    int low = bound(c.low, 0, size);
    int high = Math.max(low, bound(c.high, size, size));
    meter.make(high - low, place(c));
    if (of instanceof String s) {
      return s.substring(low, high);
    }
    List<Object> cut = new ArrayList<>(Values.list(of).subList(low, high));
    return of instanceof Values.Tuple ? new Values.Tuple(cut) : cut;
  }

  private int bound(ScriptParser.TestContext c, int absent, int size) {
    if (c == null) {
      return absent;
    }
    if (!(of(c) instanceof Long i)) {
      throw new ScriptException(place(c), "a bound is a whole number");
    }
    return (int) Math.max(0, Math.min(size, i < 0 ? i + size : i));
  }

  // --- Calls -------------------------------------------------------------------------------------

  @Override
  public Object visitCall(ScriptParser.CallContext c) {
    Place at = place(c);
    List<Object> plain = new ArrayList<>();
    Map<String, Host.Value> named = new LinkedHashMap<>();
    Object receiver = null;
    String name = null;
    Object target = null;
    if (c.test() instanceof ScriptParser.MemberContext m) {
      receiver = of(m.test());
      name = m.NAME().getText();
    } else if (c.test() instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.ReadContext r) {
      name = r.NAME().getText();
      target = scope.get(name);
    } else {
      target = of(c.test());
    }
    for (ScriptParser.ArgumentContext a : c.argument()) {
      meter.make(1, at);
      Object v = of(a.test());
      if (a.NAME() == null) {
        if (!named.isEmpty()) {
          throw new ScriptException(
              place(a), "an argument without a name stands behind one with a name");
        }
        plain.add(v);
      } else if (named.put(a.NAME().getText(), new Host.Value(v, place(a))) != null) {
        throw new ScriptException(place(a), "'" + a.NAME().getText() + "' is given twice");
      }
    }
    if (receiver != null) {
      return builtins.method(receiver, name, plain, named, at);
    }
    if (target instanceof Function f) {
      return statements.call(f, plain, named, at);
    }
    if (target == null && name != null && host.knows(name)) {
      if (!plain.isEmpty()) {
        throw new ScriptException(at, name + "() takes its arguments by name");
      }
      Object result = host.call(name, named, at);
      return result == null ? None.NONE : result;
    }
    if (target == null && name != null && Builtins.knows(name)) {
      return builtins.call(name, plain, named, at);
    }
    throw new ScriptException(
        at,
        target == null
            ? "nothing is called '" + name + "'"
            : "a " + Values.type(target) + " cannot be called");
  }

  @Override
  public Object visitMember(ScriptParser.MemberContext c) {
    throw new ScriptException(place(c), "'." + c.NAME().getText() + "' can only be called");
  }

  // --- Atoms -------------------------------------------------------------------------------------

  @Override
  public Object visitPlain(ScriptParser.PlainContext c) {
    return visit(c.atom());
  }

  @Override
  public Object visitRead(ScriptParser.ReadContext c) {
    String name = c.NAME().getText();
    Object found = scope.get(name);
    if (found != null) {
      return found;
    }
    return switch (name) {
      case "True" -> true;
      case "False" -> false;
      case "None" -> None.NONE;
      default -> throw new ScriptException(place(c), "nothing is called '" + name + "'");
    };
  }

  @Override
  public Object visitInteger(ScriptParser.IntegerContext c) {
    String text = c.INTEGER().getText().replace("_", "");
    try {
      return text.startsWith("0x") || text.startsWith("0X")
          ? Long.parseLong(text.substring(2), 16)
          : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new ScriptException(place(c), "the number is too large");
    }
  }

  @Override
  public Object visitReal(ScriptParser.RealContext c) {
    double v = Double.parseDouble(c.REAL().getText());
    if (Double.isInfinite(v)) {
      throw new ScriptException(place(c), "the number is too large");
    }
    return v;
  }

  @Override
  public Object visitText(ScriptParser.TextContext c) {
    StringBuilder joined = new StringBuilder();
    c.STRING().forEach(s -> joined.append(unquoted(s.getText(), place(c))));
    meter.make(joined.length(), place(c));
    return joined.toString();
  }

  private static String unquoted(String quoted, Place at) {
    int marks = quoted.startsWith("\"\"\"") ? 3 : 1;
    String raw = quoted.substring(marks, quoted.length() - marks);
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < raw.length(); i++) {
      char c = raw.charAt(i);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = ++i < raw.length() ? raw.charAt(i) : ' ';
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case '\\', '"', '\'' -> out.append(escaped);
        case '\n' -> {}
        default -> throw new ScriptException(at, "'\\" + escaped + "' stands for nothing");
      }
    }
    return out.toString();
  }

  @Override
  public Object visitEmptyTuple(ScriptParser.EmptyTupleContext c) {
    return new Values.Tuple(List.of());
  }

  @Override
  public Object visitGroup(ScriptParser.GroupContext c) {
    return of(c.test());
  }

  @Override
  public Object visitTuple(ScriptParser.TupleContext c) {
    return new Values.Tuple(all(c.test()));
  }

  @Override
  public Object visitList(ScriptParser.ListContext c) {
    return all(c.test());
  }

  @Override
  public Object visitDict(ScriptParser.DictContext c) {
    Map<Object, Object> made = new LinkedHashMap<>();
    for (ScriptParser.EntryContext e : c.entry()) {
      meter.make(1, place(e));
      if (made.put(values.key(of(e.key), place(e)), of(e.value)) != null) {
        throw new ScriptException(place(e), "the key comes twice");
      }
    }
    return made;
  }

  @Override
  public Object visitListOf(ScriptParser.ListOfContext c) {
    List<Object> made = new ArrayList<>();
    comprehend(
        c.clause(),
        0,
        new Scope(scope),
        in -> {
          meter.make(1, place(c));
          made.add(of(c.test(), in));
        });
    return made;
  }

  @Override
  public Object visitDictOf(ScriptParser.DictOfContext c) {
    Map<Object, Object> made = new LinkedHashMap<>();
    comprehend(
        c.clause(),
        0,
        new Scope(scope),
        in -> {
          meter.make(1, place(c));
          made.put(values.key(of(c.entry().key, in), place(c)), of(c.entry().value, in));
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
    Object v = of(clause.test(), in);
    if (clause.names() == null) {
      if (Values.truth(v)) {
        comprehend(clauses, at + 1, in, yield);
      }
      return;
    }
    for (Object element : values.elements(v, place(clause))) {
      meter.step(place(clause));
      statements.bind(clause.names(), element, in);
      comprehend(clauses, at + 1, in, yield);
    }
  }
}
