package bitternpulley.script;

import java.util.List;

/** Binds the names of a loop or comprehension to the elements that it visits. */
final class NameBinding {
  private final SourceFile source;
  private final Values values;

  NameBinding(SourceFile source, Values values) {
    this.source = source;
    this.values = values;
  }

  void bind(ScriptParser.NamesContext names, Object value, Scope scope) {
    boolean isSingleName = names.name().size() == 1 && names.getChildCount() == 1;
    if (isSingleName) {
      bind(names.name(0), value, scope);
      return;
    }
    List<Object> elements = values.unpack(value, names.name().size(), source.position(names));
    for (int index = 0; index < elements.size(); index++) {
      bind(names.name(index), elements.get(index), scope);
    }
  }

  private void bind(ScriptParser.NameContext name, Object value, Scope scope) {
    if (name.names() != null) {
      bind(name.names(), value, scope);
    } else {
      scope.set(name.NAME().getText(), value);
    }
  }
}
