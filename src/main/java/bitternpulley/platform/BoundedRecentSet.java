package bitternpulley.platform;

import java.util.LinkedHashSet;
import java.util.Set;

/** The newest of the names that were noted, up to a bound; the oldest is forgotten first. */
final class BoundedRecentSet {
  private final int most;
  private final Set<String> names = new LinkedHashSet<>();

  BoundedRecentSet(int most) {
    this.most = most;
  }

  void add(String name) {
    names.add(name);
    if (names.size() > most) {
      names.remove(names.iterator().next());
    }
  }

  boolean contains(String name) {
    return names.contains(name);
  }

  /** Forgets a name; false where it was not known. */
  boolean remove(String name) {
    return names.remove(name);
  }
}
