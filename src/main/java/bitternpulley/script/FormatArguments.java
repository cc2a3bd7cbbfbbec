package bitternpulley.script;

/** Looks up the values for the replacement fields of one {@code format()} call. */
final class FormatArguments {
  private final Arguments arguments;
  private final SourcePosition position;
  private int nextIndex;

  FormatArguments(Arguments arguments, SourcePosition position) {
    this.arguments = arguments;
    this.position = position;
  }

  /** The value for a field: by index or name or, if the field is empty, the next positional one. */
  Object value(String field) {
    if (field.isEmpty()) {
      return positional(nextIndex++);
    }
    if (field.matches("[0-9]{1,6}")) {
      return positional(Integer.parseInt(field));
    }
    ScriptHost.Argument named = arguments.named().get(field);
    if (named == null) {
      throw new ScriptException(position, "format() is missing the argument '" + field + "'");
    }
    return named.value();
  }

  private Object positional(int index) {
    if (index >= arguments.positionalCount()) {
      throw new ScriptException(position, "there are fewer values than placeholders");
    }
    return arguments.positional().get(index);
  }
}
