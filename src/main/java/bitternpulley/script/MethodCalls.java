package bitternpulley.script;

import java.util.Map;

/** Calls the methods of texts, lists and dicts. */
final class MethodCalls {
  private final StringMethods strings;
  private final ListMethods lists;
  private final DictMethods dicts;

  MethodCalls(StringMethods strings, ListMethods lists, DictMethods dicts) {
    this.strings = strings;
    this.lists = lists;
    this.dicts = dicts;
  }

  Object call(Object receiver, String name, Arguments arguments, SourcePosition position) {
    if (receiver instanceof String form && name.equals("format")) {
      return strings.format(form, arguments, position);
    }
    if (!arguments.named().isEmpty()) {
      throw new ScriptException(position, "." + name + "() takes no arguments by name");
    }
    if (receiver instanceof String text) {
      return strings.call(text, name, arguments.positional(), position);
    }
    if (receiver instanceof Map) {
      return dicts.call(Values.dict(receiver), name, arguments.positional(), position);
    }
    if (Values.isMutableList(receiver)) {
      return lists.call(Values.list(receiver), name, arguments.positional(), position);
    }
    throw noSuchMethod(receiver, name, arguments.count(), position);
  }

  /** The error of a call of a method that the receiver does not have. */
  static ScriptException noSuchMethod(
      Object receiver, String name, int argumentCount, SourcePosition position) {
    String type = Values.typeName(receiver);
    return new ScriptException(
        position, "a " + type + " has no ." + name + "() of " + argumentCount + " arguments");
  }
}
