package bitternpulley.faultinjection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * The parties of a cluster by what a scenario calls them: {@code n3} a process, {@code s2} a slot
 * server, {@code zone:NAME} all that stand there, {@code nodes}, {@code servers}, {@code
 * discovery}, {@code all}; several with commas between; {@code !x} all but these.
 */
final class Targets {
  private final List<String> nodeZones;
  private final List<String> serverZones;

  /** Processes and slot servers by number, each with the name of its zone. */
  Targets(List<String> nodeZones, List<String> serverZones) {
    this.nodeZones = nodeZones;
    this.serverZones = serverZones;
  }

  private static List<String> named(String letter, int count, IntFunction<Boolean> which) {
    return IntStream.range(0, count).filter(i -> which.apply(i)).mapToObj(i -> letter + i).toList();
  }

  private List<String> all() {
    List<String> all = new ArrayList<>(named("n", nodeZones.size(), i -> true));
    all.addAll(named("s", serverZones.size(), i -> true));
    all.add("discovery");
    return all;
  }

  /** Who is meant; throws IllegalArgumentException where nobody is. */
  Set<String> of(String words) {
    if (words.startsWith("!")) {
      Set<String> others = new LinkedHashSet<>(all());
      others.removeAll(of(words.substring(1)));
      return others;
    }
    Set<String> found = new LinkedHashSet<>();
    Arrays.stream(words.split(",")).forEach(w -> found.addAll(one(w)));
    return found;
  }

  private List<String> one(String word) {
    List<String> found =
        switch (word) {
          case "all" -> all();
          case "nodes" -> named("n", nodeZones.size(), i -> true);
          case "servers" -> named("s", serverZones.size(), i -> true);
          default -> {
            if (word.startsWith("zone:")) {
              List<String> in =
                  new ArrayList<>(
                      named(
                          "n", nodeZones.size(), i -> nodeZones.get(i).equals(word.substring(5))));
              in.addAll(
                  named(
                      "s", serverZones.size(), i -> serverZones.get(i).equals(word.substring(5))));
              yield in;
            }
            yield all().stream().filter(word::equals).toList();
          }
        };
    if (found.isEmpty()) {
      throw new IllegalArgumentException("nobody is called '" + word + "'");
    }
    return found;
  }
}
