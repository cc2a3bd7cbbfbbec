package bitternpulley.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Carries out statements, one after the other. */
final class Statements {
  /** How a statement ended: by itself, or by leaving what it stands in. */
  private enum End {
    ON,
    NEXT,
    LEAVE,
    GIVE
  }

  private final Meter meter;
  private final Expressions expressions;
  private final Scope global = new Scope(null);
  private Object given = None.NONE;

  Statements(String file, Meter meter, Host host) {
    this.meter = meter;
    this.expressions = new Expressions(file, meter, host, this);
  }

  void run(ScriptParser.FileContext file) {
    for (ScriptParser.StatementContext s : file.statement()) {
      if (carryOut(s, global) != End.ON) {
        throw new ScriptException(expressions.place(s), "there is nothing to leave here");
      }
    }
  }

  /** Calls a function of the script. */
  Object call(Function f, List<Object> plain, Map<String, Host.Value> named, Place at) {
    if (f.running) {
      throw new ScriptException(at, "'" + f.name + "' calls itself, which is not allowed");
    }
    if (plain.size() > f.parameters.size()) {
      throw new ScriptException(
          at, f.name + "() takes " + f.parameters.size() + " arguments, not " + plain.size());
    }
    Scope own = new Scope(f.scope);
    Map<String, Host.Value> left = new LinkedHashMap<>(named);
    for (int i = 0; i < f.parameters.size(); i++) {
      String parameter = f.parameters.get(i);
      Host.Value byName = left.remove(parameter);
      if (i < plain.size() && byName != null) {
        throw new ScriptException(byName.at(), "'" + parameter + "' is given twice");
      }
      Object v =
          i < plain.size() ? plain.get(i) : byName != null ? byName.value() : f.defaults.get(i);
      if (v == null) {
        throw new ScriptException(at, f.name + "() needs '" + parameter + "'");
      }
      own.set(parameter, v);
    }
    for (Map.Entry<String, Host.Value> unknown : left.entrySet()) {
      throw new ScriptException(
          unknown.getValue().at(), f.name + "() has no '" + unknown.getKey() + "'");
    }
    f.running = true;
    meter.deeper(at);
    try {
      given = None.NONE;
      End end = carryOut(f.body, own);
      if (end == End.NEXT || end == End.LEAVE) {
        throw new ScriptException(at, "there is no loop to leave in '" + f.name + "'");
      }
      Object result = end == End.GIVE ? given : None.NONE;
      given = None.NONE;
      return result;
    } finally {
      meter.shallower();
      f.running = false;
    }
  }

  private End carryOut(ScriptParser.SuiteContext suite, Scope in) {
    if (suite.simpleLine() != null) {
      return carryOut(suite.simpleLine(), in);
    }
    for (ScriptParser.StatementContext s : suite.statement()) {
      End end = carryOut(s, in);
      if (end != End.ON) {
        return end;
      }
    }
    return End.ON;
  }

  private End carryOut(ScriptParser.StatementContext s, Scope in) {
    meter.step(expressions.place(s));
    if (s.simpleLine() != null) {
      return carryOut(s.simpleLine(), in);
    }
    if (s.definition() != null) {
      define(s.definition(), in);
      return End.ON;
    }
    return s.conditional() != null ? choose(s.conditional(), in) : loop(s.loop(), in);
  }

  private End carryOut(ScriptParser.SimpleLineContext line, Scope in) {
    for (ScriptParser.SmallContext s : line.small()) {
      End end = small(s, in);
      if (end != End.ON) {
        return end;
      }
    }
    return End.ON;
  }

  private End small(ScriptParser.SmallContext s, Scope in) {
    if (s instanceof ScriptParser.GiveContext g) {
      if (in == global) {
        throw new ScriptException(expressions.place(s), "'return' stands in no function");
      }
      given = g.tests() == null ? None.NONE : expressions.of(g.tests(), in);
      return End.GIVE;
    }
    if (s instanceof ScriptParser.LeaveContext) {
      return End.LEAVE;
    }
    if (s instanceof ScriptParser.NextContext) {
      return End.NEXT;
    }
    if (s instanceof ScriptParser.AssignContext a) {
      assign(a, in);
    } else if (s instanceof ScriptParser.EvaluateContext e) {
      expressions.of(e.tests(), in);
    }
    return End.ON;
  }

  private void define(ScriptParser.DefinitionContext d, Scope in) {
    List<String> parameters = new ArrayList<>();
    List<Object> defaults = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (ScriptParser.ParameterContext p : d.parameter()) {
      if (!seen.add(p.NAME().getText())) {
        throw new ScriptException(expressions.place(p), "the parameter comes twice");
      }
      parameters.add(p.NAME().getText());
      defaults.add(p.test() == null ? null : expressions.of(p.test(), in));
    }
    in.set(
        d.NAME().getText(), new Function(d.NAME().getText(), parameters, defaults, d.suite(), in));
  }

  private End choose(ScriptParser.ConditionalContext c, Scope in) {
    for (int i = 0; i < c.test().size(); i++) {
      if (Values.truth(expressions.of(c.test(i), in))) {
        return carryOut(c.suite(i), in);
      }
    }
    return c.suite().size() > c.test().size() ? carryOut(c.suite(c.test().size()), in) : End.ON;
  }

  private End loop(ScriptParser.LoopContext l, Scope in) {
    Place at = expressions.place(l);
    for (Object element : expressions.values().elements(expressions.of(l.tests(), in), at)) {
      meter.step(at);
      bind(l.names(), element, in);
      End end = carryOut(l.suite(), in);
      if (end == End.GIVE) {
        return end;
      }
      if (end == End.LEAVE) {
        break;
      }
    }
    return End.ON;
  }

  // --- Names -------------------------------------------------------------------------------------

  void bind(ScriptParser.NamesContext names, Object value, Scope in) {
    if (names.name().size() == 1 && names.getChildCount() == 1) {
      bind(names.name(0), value, in);
      return;
    }
    List<Object> elements = unpacked(value, names.name().size(), expressions.place(names));
    for (int i = 0; i < elements.size(); i++) {
      bind(names.name(i), elements.get(i), in);
    }
  }

  private void bind(ScriptParser.NameContext name, Object value, Scope in) {
    if (name.names() != null) {
      bind(name.names(), value, in);
    } else {
      in.set(name.NAME().getText(), value);
    }
  }

  private List<Object> unpacked(Object value, int count, Place at) {
    List<Object> elements = expressions.values().elements(value, at);
    if (elements.size() != count) {
      throw new ScriptException(at, elements.size() + " values for " + count + " names");
    }
    return elements;
  }

  private void assign(ScriptParser.AssignContext a, Scope in) {
    Object value = expressions.of(a.value, in);
    String op = a.op.getText();
    if (!op.equals("=")) {
      if (a.target.test().size() != 1) {
        throw new ScriptException(expressions.place(a.target), "'" + op + "' takes one name");
      }
      value =
          expressions
              .values()
              .combine(
                  op.substring(0, op.length() - 1),
                  expressions.of(a.target.test(0), in),
                  value,
                  expressions.place(a));
    }
    if (a.target.test().size() == 1 && a.target.getChildCount() == 1) {
      assign(a.target.test(0), value, in);
      return;
    }
    assignAll(a.target.test(), value, in, expressions.place(a.target));
  }

  private void assignAll(List<ScriptParser.TestContext> targets, Object value, Scope in, Place at) {
    List<Object> elements = unpacked(value, targets.size(), at);
    for (int i = 0; i < elements.size(); i++) {
      assign(targets.get(i), elements.get(i), in);
    }
  }

  private void assign(ScriptParser.TestContext target, Object value, Scope in) {
    Place at = expressions.place(target);
    if (target instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.ReadContext r) {
      in.set(r.NAME().getText(), value);
    } else if (target instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.TupleContext t) {
      assignAll(t.test(), value, in, at);
    } else if (target instanceof ScriptParser.ItemContext item) {
      store(expressions.of(item.test(0), in), expressions.of(item.test(1), in), value, at);
    } else {
      throw new ScriptException(at, "nothing can be assigned to this");
    }
  }

  private void store(Object to, Object key, Object value, Place at) {
    if (to instanceof Map) {
      meter.make(1, at);
      Values.dict(to).put(expressions.values().key(key, at), value);
    } else if (to instanceof List && !(to instanceof Values.Tuple) && key instanceof Long i) {
      int size = Values.list(to).size();
      long index = i < 0 ? i + size : i;
      if (index < 0 || index >= size) {
        throw new ScriptException(at, "there is no element " + i + " of " + size);
      }
      Values.list(to).set((int) index, value);
    } else {
      throw new ScriptException(at, "a " + Values.type(to) + " cannot be changed so");
    }
  }
}
