package bitternpulley.script;

import java.util.AbstractList;
import java.util.List;

/** The tuple type of the language: an immutable list. */
final class Tuple extends AbstractList<Object> {
  private final List<Object> elements;

  Tuple(List<Object> elements) {
    this.elements = List.copyOf(elements);
  }

  @Override
  public Object get(int index) {
    return elements.get(index);
  }

  @Override
  public int size() {
    return elements.size();
  }
}
