package bitternpulley.platform;

import java.util.LinkedHashSet;
import java.util.Set;

/** The most recently added names, up to a bound; the oldest is dropped first. */
final class BoundedRecentSet {
  private final int capacity;
  private final Set<String> names = new LinkedHashSet<>();

  BoundedRecentSet(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a name. One that is present keeps its age. */
  void add(String name) {
    names.add(name);
    if (names.size() > capacity) {
      names.remove(names.iterator().next());
    }
  }

  boolean contains(String name) {
    return names.contains(name);
  }

  /** Removes a name; returns false where it was not present. */
  boolean remove(String name) {
    return names.remove(name);
  }
}
