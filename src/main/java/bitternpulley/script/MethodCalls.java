package bitternpulley.script;

import java.util.Map;

/** Calls the methods of strings, lists and dicts. */
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
    if (receiver instanceof String template && name.equals("format")) {
      return strings.format(template, arguments, position);
    }
    if (!arguments.named().isEmpty()) {
      throw new ScriptException(position, "." + name + "() takes no named arguments");
    }
    if (receiver instanceof String text) {
      return strings.call(text, name, arguments.positional(), position);
    }
    if (receiver instanceof Map) {
      return dicts.call(Values.asDict(receiver), name, arguments.positional(), position);
    }
    if (Values.isMutableList(receiver)) {
      return lists.call(Values.asList(receiver), name, arguments.positional(), position);
    }
    throw noSuchMethod(receiver, name, arguments.positionalCount(), position);
  }

  /** The error for a method that the receiver does not have with this number of arguments. */
  static ScriptException noSuchMethod(
      Object receiver, String name, int argumentCount, SourcePosition position) {
    String type = Values.typeName(receiver);
    return new ScriptException(
        position,
        "type " + type + " has no method ." + name + "() with " + argumentCount + " arguments");
  }
}
