package bitternpulley.platform;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A set of strings that keeps the most recently added values up to a capacity; the oldest is
 * evicted first.
 */
final class BoundedRecentSet {
  private final int capacity;
  private final Set<String> values = new LinkedHashSet<>();

  BoundedRecentSet(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a value. Adding a value that is already present does not refresh its age. */
  void add(String value) {
    values.add(value);
    if (values.size() > capacity) {
      values.remove(values.iterator().next());
    }
  }

  boolean contains(String value) {
    return values.contains(value);
  }

  /** Removes a value; returns false if it was not present. */
  boolean remove(String value) {
    return values.remove(value);
  }
}
