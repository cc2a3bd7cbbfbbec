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
  private enum Completion {
    ON,
    NEXT,
    LEAVE,
    GIVE
  }

  private final EvaluationBudget meter;
  private final Expressions expressions;
  private final Scope global = new Scope(null);
  private Object given = None.NONE;

  Statements(String file, EvaluationBudget meter, Host host) {
    this.meter = meter;
    this.expressions = new Expressions(file, meter, host, this);
  }

  void run(ScriptParser.FileContext file) {
    for (ScriptParser.StatementContext statement : file.statement()) {
      if (execute(statement, global) != Completion.ON) {
        throw new ScriptException(
            expressions.position(statement), "there is nothing to leave here");
      }
    }
  }

  /** Calls a function of the script. */
  Object call(
      Function function, List<Object> plain, Map<String, Host.Value> named, Place position) {
    if (function.running) {
      throw new ScriptException(
          position, "'" + function.name + "' calls itself, which is not allowed");
    }
    if (plain.size() > function.parameters.size()) {
      throw new ScriptException(
          position,
          function.name
              + "() takes "
              + function.parameters.size()
              + " arguments, not "
              + plain.size());
    }
    Scope own = new Scope(function.scope);
    Map<String, Host.Value> left = new LinkedHashMap<>(named);
    for (int i = 0; i < function.parameters.size(); i++) {
      String parameter = function.parameters.get(i);
      Host.Value byName = left.remove(parameter);
      if (i < plain.size() && byName != null) {
        throw new ScriptException(byName.at(), "'" + parameter + "' is given twice");
      }
      Object value =
          i < plain.size()
              ? plain.get(i)
              : byName != null ? byName.value() : function.defaults.get(i);
      if (value == null) {
        throw new ScriptException(position, function.name + "() needs '" + parameter + "'");
      }
      own.set(parameter, value);
    }
    for (Map.Entry<String, Host.Value> unknown : left.entrySet()) {
      throw new ScriptException(
          unknown.getValue().at(), function.name + "() has no '" + unknown.getKey() + "'");
    }
    function.running = true;
    meter.enter(position);
    try {
      given = None.NONE;
      Completion end = execute(function.body, own);
      if (end == Completion.NEXT || end == Completion.LEAVE) {
        throw new ScriptException(position, "there is no loop to leave in '" + function.name + "'");
      }
      Object result = end == Completion.GIVE ? given : None.NONE;
      given = None.NONE;
      return result;
    } finally {
      meter.leave();
      function.running = false;
    }
  }

  private Completion execute(ScriptParser.SuiteContext suite, Scope in) {
    if (suite.simpleLine() != null) {
      return execute(suite.simpleLine(), in);
    }
    for (ScriptParser.StatementContext statement : suite.statement()) {
      Completion end = execute(statement, in);
      if (end != Completion.ON) {
        return end;
      }
    }
    return Completion.ON;
  }

  private Completion execute(ScriptParser.StatementContext statement, Scope in) {
    meter.recordStep(expressions.position(statement));
    if (statement.simpleLine() != null) {
      return execute(statement.simpleLine(), in);
    }
    if (statement.definition() != null) {
      define(statement.definition(), in);
      return Completion.ON;
    }
    return statement.conditional() != null
        ? choose(statement.conditional(), in)
        : loop(statement.loop(), in);
  }

  private Completion execute(ScriptParser.SimpleLineContext line, Scope in) {
    for (ScriptParser.SmallContext statement : line.small()) {
      Completion end = small(statement, in);
      if (end != Completion.ON) {
        return end;
      }
    }
    return Completion.ON;
  }

  private Completion small(ScriptParser.SmallContext statement, Scope in) {
    if (statement instanceof ScriptParser.GiveContext g) {
      if (in == global) {
        throw new ScriptException(
            expressions.position(statement), "'return' stands in no function");
      }
      given = g.tests() == null ? None.NONE : expressions.evaluate(g.tests(), in);
      return Completion.GIVE;
    }
    if (statement instanceof ScriptParser.LeaveContext) {
      return Completion.LEAVE;
    }
    if (statement instanceof ScriptParser.NextContext) {
      return Completion.NEXT;
    }
    if (statement instanceof ScriptParser.AssignContext a) {
      assign(a, in);
    } else if (statement instanceof ScriptParser.EvaluateContext e) {
      expressions.evaluate(e.tests(), in);
    }
    return Completion.ON;
  }

  private void define(ScriptParser.DefinitionContext definition, Scope in) {
    List<String> parameters = new ArrayList<>();
    List<Object> defaults = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (ScriptParser.ParameterContext p : definition.parameter()) {
      if (!seen.add(p.NAME().getText())) {
        throw new ScriptException(expressions.position(p), "the parameter comes twice");
      }
      parameters.add(p.NAME().getText());
      defaults.add(p.test() == null ? null : expressions.evaluate(p.test(), in));
    }
    in.set(
        definition.NAME().getText(),
        new Function(definition.NAME().getText(), parameters, defaults, definition.suite(), in));
  }

  private Completion choose(ScriptParser.ConditionalContext conditional, Scope in) {
    for (int i = 0; i < conditional.test().size(); i++) {
      if (Values.isTruthy(expressions.evaluate(conditional.test(i), in))) {
        return execute(conditional.suite(i), in);
      }
    }
    return conditional.suite().size() > conditional.test().size()
        ? execute(conditional.suite(conditional.test().size()), in)
        : Completion.ON;
  }

  private Completion loop(ScriptParser.LoopContext loop, Scope in) {
    Place position = expressions.position(loop);
    for (Object element :
        expressions.values().elements(expressions.evaluate(loop.tests(), in), position)) {
      meter.recordStep(position);
      bind(loop.names(), element, in);
      Completion end = execute(loop.suite(), in);
      if (end == Completion.GIVE) {
        return end;
      }
      if (end == Completion.LEAVE) {
        break;
      }
    }
    return Completion.ON;
  }

  // --- Names -------------------------------------------------------------------------------------

  void bind(ScriptParser.NamesContext names, Object value, Scope in) {
    if (names.name().size() == 1 && names.getChildCount() == 1) {
      bind(names.name(0), value, in);
      return;
    }
    List<Object> elements = unpacked(value, names.name().size(), expressions.position(names));
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

  private List<Object> unpacked(Object value, int count, Place position) {
    List<Object> elements = expressions.values().elements(value, position);
    if (elements.size() != count) {
      throw new ScriptException(position, elements.size() + " values for " + count + " names");
    }
    return elements;
  }

  private void assign(ScriptParser.AssignContext a, Scope in) {
    Object value = expressions.evaluate(a.value, in);
    String op = a.op.getText();
    if (!op.equals("=")) {
      if (a.target.test().size() != 1) {
        throw new ScriptException(expressions.position(a.target), "'" + op + "' takes one name");
      }
      value =
          expressions
              .values()
              .combine(
                  op.substring(0, op.length() - 1),
                  expressions.evaluate(a.target.test(0), in),
                  value,
                  expressions.position(a));
    }
    if (a.target.test().size() == 1 && a.target.getChildCount() == 1) {
      assign(a.target.test(0), value, in);
      return;
    }
    assignAll(a.target.test(), value, in, expressions.position(a.target));
  }

  private void assignAll(
      List<ScriptParser.TestContext> targets, Object value, Scope in, Place position) {
    List<Object> elements = unpacked(value, targets.size(), position);
    for (int i = 0; i < elements.size(); i++) {
      assign(targets.get(i), elements.get(i), in);
    }
  }

  private void assign(ScriptParser.TestContext target, Object value, Scope in) {
    Place position = expressions.position(target);
    if (target instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.ReadContext r) {
      in.set(r.NAME().getText(), value);
    } else if (target instanceof ScriptParser.PlainContext p
        && p.atom() instanceof ScriptParser.TupleContext t) {
      assignAll(t.test(), value, in, position);
    } else if (target instanceof ScriptParser.ItemContext item) {
      store(
          expressions.evaluate(item.test(0), in),
          expressions.evaluate(item.test(1), in),
          value,
          position);
    } else {
      throw new ScriptException(position, "nothing can be assigned to this");
    }
  }

  private void store(Object to, Object key, Object value, Place position) {
    if (to instanceof Map) {
      meter.reserve(1, position);
      Values.dict(to).put(expressions.values().key(key, position), value);
    } else if (to instanceof List && !(to instanceof Values.Tuple) && key instanceof Long i) {
      int size = Values.list(to).size();
      long index = i < 0 ? i + size : i;
      if (index < 0 || index >= size) {
        throw new ScriptException(position, "there is no element " + i + " of " + size);
      }
      Values.list(to).set((int) index, value);
    } else {
      throw new ScriptException(position, "a " + Values.typeName(to) + " cannot be changed so");
    }
  }
}
