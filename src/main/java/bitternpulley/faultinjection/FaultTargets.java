package bitternpulley.faultinjection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Resolves the targets of a fault in a scenario: {@code n3} is a process, {@code s2} a slot server,
 * {@code zone:NAME} everything in that zone; {@code nodes}, {@code servers}, {@code discovery} and
 * {@code all} are groups. Commas separate several targets, and {@code !x} selects all except x.
 */
final class FaultTargets {
  private final List<String> nodeZones;
  private final List<String> serverZones;

  /** Creates targets from the names of the zones of the processes and slot servers, by number. */
  FaultTargets(List<String> nodeZones, List<String> serverZones) {
    this.nodeZones = nodeZones;
    this.serverZones = serverZones;
  }

  private static List<String> names(String prefix, int count, IntFunction<Boolean> filter) {
    return IntStream.range(0, count)
        .filter(number -> filter.apply(number))
        .mapToObj(number -> prefix + number)
        .toList();
  }

  private List<String> all() {
    List<String> all = new ArrayList<>(names("n", nodeZones.size(), number -> true));
    all.addAll(names("s", serverZones.size(), number -> true));
    all.add("discovery");
    return all;
  }

  /**
   * Returns the names of all targets that an expression selects.
   *
   * @throws IllegalArgumentException when a word of the expression selects no target
   */
  Set<String> resolve(String expression) {
    if (expression.startsWith("!")) {
      Set<String> others = new LinkedHashSet<>(all());
      others.removeAll(resolve(expression.substring(1)));
      return others;
    }
    Set<String> targets = new LinkedHashSet<>();
    Arrays.stream(expression.split(",", 0)).forEach(word -> targets.addAll(resolveWord(word)));
    return targets;
  }

  private List<String> resolveWord(String word) {
    List<String> targets =
        switch (word) {
          case "all" -> all();
          case "nodes" -> names("n", nodeZones.size(), number -> true);
          case "servers" -> names("s", serverZones.size(), number -> true);
          default -> {
            if (word.startsWith("zone:")) {
              List<String> inZone =
                  new ArrayList<>(
                      names(
                          "n",
                          nodeZones.size(),
                          number -> nodeZones.get(number).equals(word.substring(5))));
              inZone.addAll(
                  names(
                      "s",
                      serverZones.size(),
                      number -> serverZones.get(number).equals(word.substring(5))));
              yield inZone;
            }
            yield all().stream().filter(word::equals).toList();
          }
        };
    if (targets.isEmpty()) {
      throw new IllegalArgumentException("no fault target is named '" + word + "'");
    }
    return targets;
  }
}
